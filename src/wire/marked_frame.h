// Header of a frame: the layout of its message, and the newest layout that its sender can read.
// Also the greeting, whose format is the same for all builds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "wire/endpoint.h"
#include "wire/layout.h"

namespace martenyard::wire {

/// Plain numbers, since layouts of later builds have no enumerator here.
struct FrameMark {
  std::uint16_t layout = 0;
  std::uint16_t newest = 0;  ///< Newest layout that the sender can read.
  friend bool operator==(const FrameMark&, const FrameMark&) = default;
};

/// The layout number of a greeting.
inline constexpr std::uint16_t kGreetingLayout = 0;

/// Sent to a process whose build is unknown. Later builds may append members; nothing else may
/// change.
struct Greeting {
  Endpoint from;
  std::string node;
  std::string build;
  bool wants_reply = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from, node, build, wants_reply);
  }
};

/// @return the message prefixed with the mark.
std::string Mark(const FrameMark& mark, absl::string_view message);
/// Removes the mark from the front. @return nullopt if there is none, as in frames of earlier
/// builds.
std::optional<FrameMark> TakeMark(absl::string_view& payload);

/// @return a greeting frame, for requests and replies.
std::string EncodeGreeting(const Greeting& greeting);
/// @return the greeting that follows the mark, or nullopt if malformed.
std::optional<Greeting> DecodeGreeting(absl::string_view message);

}  // namespace martenyard::wire
