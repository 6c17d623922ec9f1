// What a frame says of itself in front of its message: the layout of its bytes, and the newest
// layout that its sender reads. And the greeting, which any two builds understand.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "wire/endpoint.h"
#include "wire/layout.h"

namespace martenyard::wire {

/// As numbers: a later build's layouts have no name here.
struct FrameMark {
  std::uint16_t layout = 0;
  std::uint16_t newest = 0;  ///< That the sender reads.
  friend bool operator==(const FrameMark&, const FrameMark&) = default;
};

/// The layout number of a greeting.
inline constexpr std::uint16_t kGreetingLayout = 0;

/// Sent to a process whose build isn't known. Later builds may add members at its end, and nothing
/// else may change.
struct Greeting {
  Endpoint from;
  std::string node;
  std::string build;
  bool wants_answer = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from, node, build, wants_answer);
  }
};

/// @return the payload of a frame with this mark.
std::string Mark(const FrameMark& mark, absl::string_view message);
/// Takes the mark off the front. @return nothing where there is none, as in frames of the builds
/// before it.
std::optional<FrameMark> TakeMark(absl::string_view& payload);

/// @return a frame that asks who is there, or answers that.
std::string EncodeGreeting(const Greeting& greeting);
/// @return the greeting behind its mark, or nothing when it is none.
std::optional<Greeting> DecodeGreeting(absl::string_view message);

}  // namespace martenyard::wire
