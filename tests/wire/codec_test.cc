// Tests the encoding of messages and the rejection of malformed bytes.
#include "wire/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sys/resource.h>

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

#include "aggregation/messages.h"
#include "turn_ledger/groups/group_layout.h"
#include "turn_ledger/messages.h"

namespace martenyard::wire {
namespace {

using turn_ledger::Envelope;
using turn_ledger::Machine;

Machine SomeMachine(std::uint64_t number) {
  Machine machine;
  machine.name = "store-" + std::to_string(number);
  machine.identity = NodeId(number);
  machine.endpoint = {"10.0.0.1", 7380};
  machine.zone = ZoneName("north");
  return machine;
}

/// Peak resident memory of this process.
std::size_t PeakResidentBytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<std::size_t>(usage.ru_maxrss) << 10U;
}

/// Increase of the peak resident memory during one decoding.
template <typename Message>
std::size_t PeakWhileDecoding(const std::string& bytes) {
  std::size_t before = PeakResidentBytes();
  auto message = Decode<Message>(bytes);
  return PeakResidentBytes() - before;
}

/// Records the largest length that a reader passes on without checking it.
struct CountedText {
  static inline std::size_t largest = 0;
  std::string text;

  template <class Archive>
  void load(Archive& archive) {
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    largest = std::max<std::size_t>(largest, size);
  }
  template <class Archive>
  void save(Archive& archive) const {
    archive(text);
  }
};

TEST(CodecTest, IsCompatibleWithPortableBinaryArchive) {
  // Existing records in the store and on disk were written by it.
  std::vector<Machine> machines = {SomeMachine(1), SomeMachine(2)};
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(machines);
  }
  EXPECT_EQ(Encode(machines), stream.str());
  auto read = Decode<std::vector<Machine>>(stream.str());
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, machines);
}

TEST(CodecTest, RejectsLengthBeyondTheMessageBeforeAllocating) {
  std::string bytes = Encode(std::uint64_t{3} << 30U);  // A length of 3 GiB without any data.
  CountedText::largest = 0;
  EXPECT_FALSE(Decode<CountedText>(bytes));
  EXPECT_EQ(CountedText::largest, 0U);
  EXPECT_FALSE(Decode<std::string>(bytes));
  EXPECT_FALSE(Decode<std::vector<Machine>>(bytes));
  EXPECT_FALSE(Decode<std::vector<std::uint64_t>>(bytes));
}

TEST(CodecTest, RejectsGroupLayoutDecodedAsMachine) {
  // 36 groups of five voters, decoded as a machine: half of an id is read as a string's length.
  std::vector<Machine> machines;
  for (std::uint64_t number = 1; number <= 36; ++number) {
    machines.push_back(SomeMachine(number * 0x9E3779B97F4A7C15ULL));
  }
  std::string record = Encode(turn_ledger::layout_groups(machines, 5));
  EXPECT_FALSE(Decode<Machine>(record));
  EXPECT_LT(PeakWhileDecoding<Machine>(record), std::size_t{16} << 20U);
}

TEST(CodecTest, RejectsTruncatedForeignAndOverlongBytes) {
  Envelope envelope;
  envelope.from = SomeMachine(7);
  envelope.body = turn_ledger::Hello{{SomeMachine(1), SomeMachine(2)}};
  std::string whole = Encode(envelope);
  ASSERT_TRUE(Decode<Envelope>(whole));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(Decode<Envelope>(whole.substr(0, size))) << size;
  }
  EXPECT_FALSE(Decode<Envelope>(whole + "x"));
  std::string foreign = whole;
  foreign[0] = 0;
  EXPECT_FALSE(Decode<Envelope>(foreign));
}

RC_GTEST_PROP(CodecPropertyTest, MalformedMessagesAllocateInProportionToTheirSize,
              (const std::vector<std::uint8_t>& noise)) {
  Envelope envelope;
  envelope.from = SomeMachine(7);
  envelope.body = turn_ledger::Hello{{SomeMachine(1), SomeMachine(2)}};
  std::string bytes = Encode(envelope);
  for (std::size_t index = 0; index < noise.size(); ++index) {
    bytes[1 + (index * 31 + noise[index]) % (bytes.size() - 1)] =
        static_cast<char>(noise[noise.size() - 1 - index]);
  }
  constexpr std::size_t kMost = std::size_t{16} << 20U;
  RC_ASSERT(PeakWhileDecoding<Envelope>(bytes) < kMost);
  RC_ASSERT(PeakWhileDecoding<aggregation::datagram>(bytes) < kMost);
  RC_ASSERT(PeakWhileDecoding<Machine>(bytes) < kMost);
  RC_ASSERT(PeakWhileDecoding<turn_ledger::group_layout>(bytes) < kMost);
}

}  // namespace
}  // namespace martenyard::wire
