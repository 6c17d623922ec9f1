// Parsing of the list of disabled mechanisms.
#include "roles/policy/policy_switches.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace martenyard::roles {
namespace {

policy_switches Parsed(absl::string_view text) {
  auto parsed = policy_switches::parse(text);
  EXPECT_TRUE(parsed);
  return parsed ? *parsed : policy_switches();
}

TEST(PolicySwitchesTest, AllMechanismsAreEnabledUnlessListed) {
  EXPECT_TRUE(Parsed("").enabled(mechanism::relays));
  policy_switches some = Parsed("home,relays");
  EXPECT_FALSE(some.enabled(mechanism::relays));
  EXPECT_FALSE(some.enabled(mechanism::home));
  EXPECT_TRUE(some.enabled(mechanism::zone_cost));
  EXPECT_EQ(some.disabled_names(), "home,relays");
}

TEST(PolicySwitchesTest, UnknownNameIsRejectedAndValidNamesAreListed) {
  std::string detail = Recover<policy_error>(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(policy_switches::parse("home,hame"));
        return std::string();
      },
      [](const policy_error& error) { return error.m_detail; });
  EXPECT_THAT(detail, ::testing::HasSubstr("hame"));
  EXPECT_THAT(detail, ::testing::HasSubstr("zone_cost"));
}

}  // namespace
}  // namespace martenyard::roles
