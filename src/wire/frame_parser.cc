#include "wire/frame_parser.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstdint>
#include <cstring>

namespace martenyard::wire {
namespace {

constexpr std::size_t kLengthBytes = sizeof(std::uint32_t);
/// Capacity that an idle connection keeps.
constexpr std::size_t kRetainedBytes = std::size_t{64} << 10;

}  // namespace

void AppendFrame(std::string& bytes, absl::string_view payload) {
  std::uint32_t length = htonl(static_cast<std::uint32_t>(payload.size()));
  bytes.append(reinterpret_cast<const char*>(&length), kLengthBytes);
  bytes.append(payload.data(), payload.size());
}

FeedResult FrameParser::Feed(absl::string_view bytes, std::size_t max_bytes,
                             const std::function<void(std::string payload)>& on_frame) {
  FeedResult result;
  buffer_.append(bytes.data(), bytes.size());
  std::size_t position = 0;
  while (buffer_.size() - position >= kLengthBytes) {
    std::uint32_t length = 0;
    std::memcpy(&length, buffer_.data() + position, kLengthBytes);
    length = ntohl(length);
    if (length > std::min(max_bytes, kMaxFrameBytes)) {
      result.valid = false;
      return result;
    }
    if (buffer_.size() - position - kLengthBytes < length) {
      break;
    }
    on_frame(buffer_.substr(position + kLengthBytes, length));
    ++result.frames;
    position += kLengthBytes + length;
  }
  buffer_.erase(0, position);
  if (buffer_.empty() && buffer_.capacity() > kRetainedBytes) {
    buffer_.shrink_to_fit();
  }
  return result;
}

}  // namespace martenyard::wire
