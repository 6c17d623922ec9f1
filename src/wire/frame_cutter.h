// Frames on a stream of bytes: a length of four bytes, the highest first, and the payload.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "absl/strings/string_view.h"

namespace martenyard::wire {

/// Longer frames are refused: their length would have to be believed before a byte has come.
inline constexpr std::size_t kMostFrameBytes = std::size_t{64} << 20U;

void AppendFrame(std::string& bytes, absl::string_view payload);

/// Cuts one connection's bytes into frames; it ends with the connection, as does a frame cut short.
class FrameCutter {
 public:
  /// Takes bytes as they come, cut anywhere.
  /// @return false when they can't be frames; the connection is then of no use any more.
  bool Feed(absl::string_view bytes, const std::function<void(std::string payload)>& on_frame);
  /// @return bytes of a frame that has no end yet.
  std::size_t unfinished() const { return received_.size(); }

 private:
  std::string received_;
};

}  // namespace martenyard::wire
