#include "forwarding/streams/id_strides.h"

#include <gtest/gtest.h>

#include <string>

namespace martenyard::forwarding
{
namespace
{

TEST(IdStridesTest, StrideIsKnownUntilAStreamDiffers)
{
    id_strides strides;
    turn_ledger::stream_origin service{ServiceName("s"), "v1"};
    EXPECT_EQ(strides.stride_of(service), 0U) << "no stream was recorded";
    strides.record(service, 25);
    strides.record(service, 25);
    EXPECT_EQ(strides.stride_of(service), 25U);
    EXPECT_EQ(strides.stride_of({ServiceName("t"), "v1"}), 0U) << "each service has its own";
    strides.record(service, 1);
    strides.record(service, 25);
    EXPECT_EQ(strides.stride_of(service), 0U) << "its streams differ";
}

// Guards against a stride of one version that is expected of another one that counts otherwise.
TEST(IdStridesTest, EachVersionHasItsOwnStrideOnceOneOfItsStreamsIsKnown)
{
    id_strides strides;
    turn_ledger::stream_origin first{ServiceName("s"), "v1"};
    turn_ledger::stream_origin second{ServiceName("s"), "v2"};
    turn_ledger::stream_origin third{ServiceName("s"), "v3"};
    strides.record(first, 1);
    EXPECT_EQ(strides.stride_of(second), 1U) << "nothing else is known of the service";
    strides.record(second, 25);
    EXPECT_EQ(strides.stride_of(second), 25U);
    EXPECT_EQ(strides.stride_of(first), 1U);
    EXPECT_EQ(strides.stride_of(third), 0U) << "the known versions differ";
}

TEST(IdStridesTest, LimitsTheNumberOfOrigins)
{
    id_strides strides;
    for (std::size_t number = 0; number <= id_strides::max_origins; ++number)
    {
        strides.record({ServiceName(std::to_string(number)), "v1"}, 1);
    }
    EXPECT_EQ(strides.stride_of({ServiceName("0"), "v1"}), 0U);
    EXPECT_EQ(strides.stride_of({ServiceName(std::to_string(id_strides::max_origins)), "v1"}), 1U);
}

}  // namespace
}  // namespace martenyard::forwarding
