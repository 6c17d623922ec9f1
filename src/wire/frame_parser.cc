#include "wire/frame_parser.h"

#include <arpa/inet.h>

#include <cstdint>
#include <cstring>

namespace martenyard::wire {
namespace {

constexpr std::size_t kLengthBytes = sizeof(std::uint32_t);

}  // namespace

void AppendFrame(std::string& bytes, absl::string_view payload) {
  std::uint32_t length = htonl(static_cast<std::uint32_t>(payload.size()));
  bytes.append(reinterpret_cast<const char*>(&length), kLengthBytes);
  bytes.append(payload.data(), payload.size());
}

bool FrameParser::Feed(absl::string_view bytes,
                       const std::function<void(std::string payload)>& on_frame) {
  buffer_.append(bytes.data(), bytes.size());
  std::size_t position = 0;
  while (buffer_.size() - position >= kLengthBytes) {
    std::uint32_t length = 0;
    std::memcpy(&length, buffer_.data() + position, kLengthBytes);
    length = ntohl(length);
    if (length > kMaxFrameBytes) {
      return false;
    }
    if (buffer_.size() - position - kLengthBytes < length) {
      break;
    }
    on_frame(buffer_.substr(position + kLengthBytes, length));
    position += kLengthBytes + length;
  }
  buffer_.erase(0, position);
  return true;
}

}  // namespace martenyard::wire
