#include "forwarding/streams/id_steps.h"

#include <gtest/gtest.h>

#include <string>

namespace martenyard::forwarding
{
namespace
{

TEST(IdStepsTest, StrideIsKnownUntilAStreamDiffers)
{
    id_steps steps;
    ServiceName service("s");
    EXPECT_EQ(steps.step_of(service), 0U) << "no stream was recorded";
    steps.note(service, 25);
    steps.note(service, 25);
    EXPECT_EQ(steps.step_of(service), 25U);
    EXPECT_EQ(steps.step_of(ServiceName("t")), 0U) << "each service has its own";
    steps.note(service, 1);
    steps.note(service, 25);
    EXPECT_EQ(steps.step_of(service), 0U) << "its streams differ";
}

TEST(IdStepsTest, LimitsTheNumberOfServices)
{
    id_steps steps;
    for (std::size_t number = 0; number <= id_steps::most_services; ++number)
    {
        steps.note(ServiceName(std::to_string(number)), 1);
    }
    EXPECT_EQ(steps.step_of(ServiceName("0")), 0U);
    EXPECT_EQ(steps.step_of(ServiceName(std::to_string(id_steps::most_services))), 1U);
}

}  // namespace
}  // namespace martenyard::forwarding
