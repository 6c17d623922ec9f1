// Length-prefixed frames on a byte stream: a 4-byte big-endian length, then the payload.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "absl/strings/string_view.h"

namespace martenyard::wire {

/// Maximum payload size, so that a corrupt length can't make the receiver buffer without bound.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{64} << 20U;

void AppendFrame(std::string& bytes, absl::string_view payload);

struct FeedResult {
  bool valid = true;  ///< False if a length exceeds the maximum; the connection has to be closed.
  std::size_t frames = 0;  ///< Completed by these bytes.
};

/// Splits the bytes of one connection into frames. Not to be reused for another connection.
class FrameParser {
 public:
  /// Accepts bytes in chunks of any size.
  /// @param max_bytes of a frame; at most `kMaxFrameBytes`.
  FeedResult Feed(absl::string_view bytes, std::size_t max_bytes,
                  const std::function<void(std::string payload)>& on_frame);
  /// @return number of buffered bytes of an incomplete frame.
  std::size_t buffered_bytes() const { return buffer_.size(); }

 private:
  std::string buffer_;
};

}  // namespace martenyard::wire
