// What earlier builds wrote is read, and what they read is written, byte for byte. The bytes below
// tests/layouts/data were written by those builds themselves.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <string>

#include "absl/strings/escaping.h"
#include "layouts/samples.h"
#include "turn_ledger/frames/frame_codec.h"
#include "wire/codec.h"
#include "wire/marked_frame.h"

namespace martenyard::layouts
{
namespace
{

using turn_ledger::encode_frame;
using wire::Layout;

const std::map<std::string, Layout> released{
    {"unmarked-1", Layout::kUnmarked1}, {"unmarked-2", Layout::kUnmarked2}, {"marked-3", Layout::kMarked3},
    {"marked-4", Layout::kMarked4},     {"marked-5", Layout::kMarked5},     {"marked-6", Layout::kMarked6},
    {"marked-7", Layout::kMarked7}};

std::string folder(const std::string& layout)
{
    return std::string(MARTENYARD_SOURCES) + "/tests/layouts/data/" + layout + "/";
}

std::string bytes_of(const std::string& layout, const std::string& sample)
{
    std::ifstream file(folder(layout) + sample + ".hex");
    std::string text;
    file >> text;
    return absl::HexStringToBytes(text);
}

/// @return the frame as this build writes it in its layout: a mark also names the newest layout that the
/// sender reads, which is a later one for each build. All other bytes are those of the released build.
std::string with_newest_of_this_build(const std::string& frame)
{
    absl::string_view message = frame;
    auto mark = wire::TakeMark(message);
    if (!mark)
    {
        return frame;
    }
    EXPECT_EQ(mark->newest, mark->layout)
        << "the bytes of a layout are written by a build that reads no later one";
    return wire::Mark({mark->layout, static_cast<std::uint16_t>(wire::kNewestLayout)}, message);
}

std::set<std::string> samples_of(const std::string& layout)
{
    std::set<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(folder(layout)))
    {
        names.insert(entry.path().stem().string());
    }
    return names;
}

TEST(Layouts, FramesOfEachReleasedLayoutAreWrittenAndReadAsThoseBuildsDo)
{
    for (const auto& [name, layout] : released)
    {
        visit_ledger_frames(
            [&, name = name, layout = layout](const std::string& sample, const turn_ledger::Envelope& message)
            {
                std::optional<std::string> written = encode_frame(message, layout);
                std::string released_bytes = bytes_of(name, sample);
                std::string expected = with_newest_of_this_build(released_bytes);
                EXPECT_EQ(written.value_or(""), expected) << sample << " in " << name;
                if (expected.empty())
                {
                    return;  // The layout has no such message; the writer has just agreed.
                }
                turn_ledger::decoded_frame read = turn_ledger::decode_frame(released_bytes);
                auto* as_message = std::get_if<turn_ledger::decoded_message>(&read);
                ASSERT_NE(as_message, nullptr) << sample << " in " << name;
                if (as_message->m_sender_reads)  // Unmarked layouts share the bytes of some messages.
                {
                    EXPECT_EQ(as_message->m_layout, layout) << sample << " in " << name;
                }
                EXPECT_EQ(encode_frame(as_message->m_envelope, layout).value_or(""), expected)
                    << sample << " in " << name;
                EXPECT_EQ(as_message->m_sender_reads.value_or(layout), layout) << sample << " in " << name;
            });
    }
}

// What lies in the store, in logs and on disks, and what the product's daemons send, has no mark: a build
// that changed it would not be understood by the one before.
TEST(Layouts, WhatHasNoMarkIsWrittenAsEachReleasedBuildDoes)
{
    for (const std::string& layout : {std::string("unmarked-1"), std::string("unmarked-2")})
    {
        std::set<std::string> known = samples_of(layout);
        auto check = [&](const std::string& sample, const auto& message)
        {
            if (known.contains(sample))
            {
                EXPECT_EQ(absl::BytesToHexString(wire::Encode(message)),
                          absl::BytesToHexString(bytes_of(layout, sample)))
                    << sample << " in " << layout;
                EXPECT_TRUE(
                    (wire::Decode<std::decay_t<decltype(message)>>(bytes_of(layout, sample)).has_value()))
                    << sample << " in " << layout;
            }
        };
        visit_datagrams(check);
        visit_kept(check);
        visit_daemon(check);
    }
}

TEST(Layouts, EachSampleOfThisBuildIsKeptAsBytes)
{
    std::set<std::string> kept = samples_of("unmarked-2");
    visit_all(
        [&](const std::string& sample, const auto& /*message*/)
        {
            EXPECT_TRUE(kept.contains(sample)) << sample << ": write it with write_samples.cc";
        });
}

TEST(Layouts, TheNewestLayoutHasItsBytesKept)
{
    // A new layout needs a folder of its own before a build that writes it may run anywhere.
    EXPECT_EQ(static_cast<std::size_t>(wire::kNewestLayout), released.size());
}

}  // namespace
}  // namespace martenyard::layouts
