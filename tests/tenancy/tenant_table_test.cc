#include "tenancy/tenant_table.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace martenyard::tenancy {
namespace {

tenant MakeTenant(const key_hasher& hasher, const std::string& name,
                  const std::vector<std::string>& keys) {
  tenant result;
  result.m_name = name;
  for (const std::string& key : keys) {
    result.m_keys.push_back(hasher.hash(key));
  }
  return result;
}

struct KeyCase {
  const char* name;
  std::vector<absl::string_view> keys;
  bool is_public;
  key_verdict verdict;
  const char* tenant;  ///< Null if none is expected.
};

class KeyCheckTest : public ::testing::TestWithParam<KeyCase> {};

TEST_P(KeyCheckTest, ReturnsTheExpectedTenantAndVerdict) {
  key_hasher hasher;
  tenant_table table(
      {MakeTenant(hasher, "north", {"n1", "n2"}), MakeTenant(hasher, "south", {"s1"})});
  key_check check = table.check(GetParam().keys, GetParam().is_public, hasher);
  EXPECT_EQ(check.m_verdict, GetParam().verdict);
  if (GetParam().tenant == nullptr) {
    EXPECT_EQ(check.m_tenant, nullptr);
  } else {
    ASSERT_NE(check.m_tenant, nullptr);
    EXPECT_EQ(check.m_tenant->m_name, GetParam().tenant);
  }
}

const KeyCase kKeyCases[] = {
    {"Known", {"n1"}, false, key_verdict::allowed, "north"},
    {"SecondKey", {"n2"}, false, key_verdict::allowed, "north"},
    {"OtherTenant", {"s1"}, false, key_verdict::allowed, "south"},
    {"Unknown", {"x"}, false, key_verdict::unknown, nullptr},
    {"BeginningOfAKey", {"n"}, false, key_verdict::unknown, nullptr},
    {"LongerThanAKey", {"n11"}, false, key_verdict::unknown, nullptr},
    {"OtherCase", {"N1"}, false, key_verdict::unknown, nullptr},
    {"None", {}, false, key_verdict::missing, nullptr},
    {"Empty", {""}, false, key_verdict::missing, nullptr},
    {"Two", {"n1", "n1"}, false, key_verdict::missing, nullptr},
    {"TwoTenants", {"n1", "s1"}, false, key_verdict::missing, nullptr},
    {"PublicWithoutKey", {}, true, key_verdict::allowed, nullptr},
    {"PublicWithKey", {"s1"}, true, key_verdict::allowed, "south"},
};

INSTANTIATE_TEST_SUITE_P(Table, KeyCheckTest, ::testing::ValuesIn(kKeyCases),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(TenantTableTest, NoKeyIsNeededWithoutTenants) {
  key_hasher hasher;
  EXPECT_EQ(tenant_table().check({}, false, hasher).m_verdict, key_verdict::allowed);
  EXPECT_EQ(tenant_table().check({"any"}, false, hasher).m_tenant, nullptr);
}

TEST(TenantTableTest, KeyOfTwoTenantsIsRejectedAndReported) {
  key_hasher hasher;
  tenant_table table({MakeTenant(hasher, "a", {"k", "own"}), MakeTenant(hasher, "b", {"k"})});
  EXPECT_EQ(table.check({"k"}, false, hasher).m_verdict, key_verdict::unknown);
  EXPECT_EQ(table.check({"own"}, false, hasher).m_verdict, key_verdict::allowed);
  EXPECT_THAT(table.errors(), ::testing::ElementsAre("tenants a and b claim the same key"));
}

TEST(TenantTableTest, NamelessAndRepeatedTenantsAreSkippedAndReported) {
  key_hasher hasher;
  tenant_table table({MakeTenant(hasher, "", {"k"}), MakeTenant(hasher, "a", {"l"}),
                      MakeTenant(hasher, "a", {"m"})});
  EXPECT_EQ(table.check({"k"}, false, hasher).m_verdict, key_verdict::unknown);
  EXPECT_EQ(table.check({"m"}, false, hasher).m_verdict, key_verdict::unknown);
  EXPECT_THAT(table.errors(),
              ::testing::ElementsAre("a tenant has no name", "tenant a is listed twice"));
}

TEST(KeyHasherTest, HashesOfTwoHashersDiffer) {
  EXPECT_NE(key_hasher().hash("key"), key_hasher().hash("key"));
}

TEST(ScopedIdTest, EqualIdsOfTwoTenantsDiffer) {
  EXPECT_NE(scoped_id("a", "1"), scoped_id("b", "1"));
  EXPECT_NE(scoped_id("a", "b1"), scoped_id("ab", "1"));
  EXPECT_EQ(scoped_id("", "1"), "1");
}

}  // namespace
}  // namespace martenyard::tenancy
