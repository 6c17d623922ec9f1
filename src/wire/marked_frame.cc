#include "wire/marked_frame.h"

#include "base/big_endian.h"
#include "wire/codec.h"

namespace martenyard::wire {
namespace {

/// Differs from the first byte of messages without a mark: their byte order, 0 or 1.
constexpr char kMarkByte = '\xb5';
constexpr std::size_t kNumberBytes = sizeof(std::uint16_t);
constexpr std::size_t kMarkBytes = 1 + 2 * kNumberBytes;

std::uint16_t NumberAt(absl::string_view payload, std::size_t position) {
  return static_cast<std::uint16_t>(FromBigEndian({payload.data() + position, kNumberBytes}));
}

}  // namespace

std::string Mark(const FrameMark& mark, absl::string_view message) {
  std::string payload(1, kMarkByte);
  payload += BigEndian(mark.layout, kNumberBytes);
  payload += BigEndian(mark.newest, kNumberBytes);
  payload.append(message.data(), message.size());
  return payload;
}

std::optional<FrameMark> TakeMark(absl::string_view& payload) {
  if (payload.size() < kMarkBytes || payload.front() != kMarkByte) {
    return std::nullopt;
  }
  FrameMark mark;
  mark.layout = NumberAt(payload, 1);
  mark.newest = NumberAt(payload, 1 + kNumberBytes);
  payload.remove_prefix(kMarkBytes);
  return mark;
}

std::string EncodeGreeting(const Greeting& greeting) {
  return Mark({kGreetingLayout, static_cast<std::uint16_t>(kNewestLayout)}, Encode(greeting));
}

std::optional<Greeting> DecodeGreeting(absl::string_view message) {
  return DecodePrefix<Greeting>(message);
}

}  // namespace martenyard::wire
