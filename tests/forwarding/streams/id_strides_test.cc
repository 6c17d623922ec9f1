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
    ServiceName service("s");
    EXPECT_EQ(strides.stride_of(service), 0U) << "no stream was recorded";
    strides.record(service, 25);
    strides.record(service, 25);
    EXPECT_EQ(strides.stride_of(service), 25U);
    EXPECT_EQ(strides.stride_of(ServiceName("t")), 0U) << "each service has its own";
    strides.record(service, 1);
    strides.record(service, 25);
    EXPECT_EQ(strides.stride_of(service), 0U) << "its streams differ";
}

TEST(IdStridesTest, LimitsTheNumberOfServices)
{
    id_strides strides;
    for (std::size_t number = 0; number <= id_strides::max_services; ++number)
    {
        strides.record(ServiceName(std::to_string(number)), 1);
    }
    EXPECT_EQ(strides.stride_of(ServiceName("0")), 0U);
    EXPECT_EQ(strides.stride_of(ServiceName(std::to_string(id_strides::max_services))), 1U);
}

}  // namespace
}  // namespace martenyard::forwarding
