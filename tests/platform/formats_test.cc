#include "platform/formats.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "platform/settings_file.h"

namespace martenyard::platform {
namespace {

constexpr char kConfiguration[] = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","pathPrefix":"/x/","type":"streaming","timeoutMs":3000,
   "targetLatencyMs":200,"priority":0,"service":"s1","maxAttempts":2,"retentionEnabled":true,
   "retentionS":60.0,"sticky":true,"resumable":false,"targetGapMs":300},
  {"name":"r2","host":"a.example","pathPrefix":"/y/","type":"idempotent","timeoutMs":1200,
   "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
  "services":[{"name":"s1","healthPath":"/h","maxConnections":160,"protocol":"h1","tls":false,
    "engine":{"slots":12,"kvCapacityTokens":490370,"tokensPerEvent":25}},
   {"name":"s2","maxConnections":110}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
            "idleTimeoutMs":15000},"somethingNew":{"a":1}})";

TEST(FormatsTest, ReadsTheWholeConfiguration) {
  auto configuration = Formats().ReadConfiguration(kConfiguration);
  ASSERT_TRUE(configuration.has_value());
  EXPECT_EQ(configuration->version, 7U);
  ASSERT_EQ(configuration->routes.size(), 2U);
  const forwarding::Route& kept = configuration->routes[0];
  EXPECT_EQ(kept.kind, forwarding::RouteKind::kStream);
  EXPECT_TRUE(kept.keeps_turns);
  EXPECT_EQ(kept.turn_retention, absl::Seconds(60));
  EXPECT_EQ(kept.max_attempts, 2);
  EXPECT_FALSE(kept.Repeatable());
  const forwarding::Route& split = configuration->routes[1];
  ASSERT_EQ(split.services.size(), 2U);
  EXPECT_EQ(split.services[0].weight, 90U);
  EXPECT_TRUE(split.Repeatable());
  const auto* service = configuration->FindService(forwarding::ServiceName("s1"));
  ASSERT_NE(service, nullptr);
  EXPECT_EQ(service->engine->tokens_per_event, 25U);
  EXPECT_EQ(configuration->limits.idle_timeout, absl::Seconds(15));
}

TEST(FormatsTest, ReadsSlowStartAndAllowedRegions) {
  auto configuration = Formats().ReadConfiguration(R"({"version":1,
    "routes":[{"host":"h","pathPrefix":"/a/","service":"s","allowedRegions":["eu","us"]},
              {"host":"h","pathPrefix":"/b/","service":"s","allowedRegions":null}],
    "services":[{"name":"s","coldStartS":3.0,"coldPerS":24.0},{"name":"t"}],
    "tenants":[{"name":"x","apiKeys":["k"],"allowedRegions":["eu"]}]})");
  ASSERT_TRUE(configuration.has_value());
  EXPECT_EQ(configuration->routes[0].allowed_regions, (std::set<std::string>{"eu", "us"}));
  EXPECT_TRUE(configuration->routes[1].allowed_regions.empty());
  EXPECT_EQ(configuration->services[0].slow_start, absl::Seconds(3));
  EXPECT_EQ(configuration->services[0].slow_start_rate, 24);
  EXPECT_EQ(configuration->services[1].slow_start_rate, 0);
  EXPECT_EQ(configuration->tenants.tenants()[0].m_allowed_regions, std::set<std::string>{"eu"});
}

TEST(FormatsTest, ReadsEvacuationOrders) {
  Formats formats;
  EXPECT_EQ(formats.EvacuatedZone("op/evacuate/north"), ZoneName("north"));
  for (const char* key : {"op/evacuate/", "op/config", "op/retire/north", "servers/north", ""}) {
    EXPECT_FALSE(formats.EvacuatedZone(key).has_value()) << key;
  }
}

TEST(FormatsTest, RefusesWhatIsNoConfiguration) {
  for (const char* text : {"", "{", "[]", "{\"version\":1}", "{\"version\":\"x\",\"routes\":[]}",
                           "{\"version\":1,\"routes\":[{}],\"services\":[]}"}) {
    EXPECT_FALSE(Formats().ReadConfiguration(text).has_value()) << text;
  }
}

/// What a runner writes of itself, with one field put as `text` says; empty: left out.
std::string RunnerEntry(const std::string& field = "", const std::string& text = "") {
  std::map<std::string, std::string> fields = {{"service", "\"s\""}, {"address", "\"10.1.2.3:80\""},
                                               {"zone", "\"z\""},    {"version", "\"v1\""},
                                               {"slots", "12"},      {"state", "\"ready\""},
                                               {"sequence", "4"},    {"coldRemainingMs", "0"}};
  if (!field.empty()) {
    fields[field] = text;
  }
  std::string entry = "{\"new\":true";
  for (const auto& [name, value] : fields) {
    entry += value.empty() ? "" : ",\"" + name + "\":" + value;
  }
  return entry + "}";
}

TEST(FormatsTest, ReadsRunnersTheirLeavingAndTheirStart) {
  Formats formats;
  auto runner = formats.ReadRunner("servers/i-1", RunnerEntry());
  ASSERT_TRUE(runner.has_value());
  EXPECT_EQ(runner->id.value, "i-1");
  EXPECT_EQ(runner->endpoint.port, 80);
  EXPECT_EQ(runner->slots, 12U);
  EXPECT_FALSE(runner->draining);
  EXPECT_EQ(runner->version, "v1");
  EXPECT_EQ(runner->started, absl::UnixEpoch()) << "not told";
  EXPECT_TRUE(formats.ReadRunner("servers/i-1", RunnerEntry("state", "\"draining\""))->draining);
  runner = formats.ReadRunner("servers/i-1", RunnerEntry("born", "1786665561000"));
  EXPECT_EQ(runner->started, absl::FromUnixMillis(1786665561000));
}

// Entries of other writers: they name no runner, and none of them may stand in for one by a
// default.
TEST(FormatsTest, EntryOfAnotherWriterNamesNoRunner) {
  const std::pair<const char*, std::vector<const char*>> wrong[] = {
      {"service", {"", "null", "7", "\"\"", "[\"s\"]", "{}"}},
      {"address", {"", "null", "80", "\"nowhere\"", "\"10.1.2.3\"", "\"10.1.2.3:0\"", "\":80\""}},
      {"zone", {"", "null", "3", "{}"}},
      {"version", {"", "null", "{}", "[]"}},
      {"slots", {"", "null", "\"12\"", "-1", "0", "1.5", "1e99", "4294967296", "true"}},
      {"state", {"", "null", "1", "\"READY\"", "\"resting\"", "\"\"", "[\"ready\"]"}},
      {"sequence", {"", "null", "\"4\"", "{}"}},
      {"coldRemainingMs", {"", "null", "\"0\"", "[]"}},
      {"born", {"null", "\"1786665561000\"", "1.5", "-3", "{}"}}};
  Formats formats;
  for (const auto& [field, texts] : wrong) {
    for (const char* text : texts) {
      EXPECT_FALSE(formats.ReadRunner("servers/i-1", RunnerEntry(field, text)).has_value())
          << field << " as " << text;
    }
  }
  for (const char* text :
       {"", "{", "[]", "7", "null", "\"servers\"", "\xff\xfe", "{\"service\":\"s\"}"}) {
    EXPECT_FALSE(formats.ReadRunner("servers/i-1", text).has_value()) << text;
  }
  EXPECT_FALSE(formats.ReadRunner("servers/", RunnerEntry()).has_value());
  EXPECT_FALSE(formats.ReadRunner("elsewhere/i-1", RunnerEntry()).has_value());
}

// Guards against a runner's id that adds a line to the head of the requests sent to it.
TEST(FormatsTest, KeyThatIsNoFieldValueNamesNoRunner) {
  Formats formats;
  for (const std::string& id :
       {std::string("r-x\r\nEvil: 1"), std::string("r\nx"), std::string("r\rx"),
        std::string("r\0x", 3), std::string("r\x01x"), std::string("r\x7f"), std::string(" r"),
        std::string("r "), std::string("\t"), std::string("r\r\n")}) {
    EXPECT_FALSE(formats.ReadRunner("servers/" + id, RunnerEntry()).has_value()) << id;
  }
  for (const std::string& id :
       {std::string("r-1"), std::string("r 1"), std::string("r/1:2"), std::string("\xc3\xa9")}) {
    EXPECT_TRUE(formats.ReadRunner("servers/" + id, RunnerEntry()).has_value()) << id;
  }
}

constexpr char kSettings[] =
    "nodeName=edge-1\nmachineClass=edge\nip=10.1.0.38\nzone=a\nzones.a=r\nzones.b=r\n"
    "listen.frontend=10.1.0.38:8149\nlisten.readiness=10.1.0.38:8141\ninternalPorts=7380,7395\n"
    "bootstrap=true\nlimits.memoryMb=220\nlimits.maxFds=4100\nfaultTolerance.machines=1\n"
    "bounds.graceS=8\nplatform.address=10.200.1.7:8142\nsomething.new=1\nmetrics=9100/metrics\n";

Result<std::string> FaultsOf(const std::string& text) {
  return leaf::try_handle_some(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ReadSettings(text));
        return std::string();
      },
      [](const SettingsError& error) -> Result<std::string> { return error.detail; });
}

TEST(SettingsFileTest, ReadsWhatIsKnownAndPassesOverTheRest) {
  roles::RoleSettings settings = ReadSettings(kSettings).value();
  EXPECT_EQ(settings.node, "edge-1");
  EXPECT_EQ(settings.frontend.port, 8149);
  EXPECT_EQ(settings.internal_port, 7380);
  EXPECT_EQ(settings.regions.size(), 2U);
  EXPECT_TRUE(settings.first_start);
  EXPECT_EQ(settings.metrics->port, 9100);
  EXPECT_EQ(settings.stop_grace, absl::Seconds(8));
}

// A deployment that need not bear the loss of a zone must keep the mechanisms for it disabled.
TEST(SettingsFileTest, ToleratedZoneFailuresAreZeroUnlessSet) {
  EXPECT_EQ(ReadSettings(kSettings).value().tolerated_zone_failures, 0U);
  std::string text = absl::StrCat(kSettings, "faultTolerance.zones=1\n");
  EXPECT_EQ(ReadSettings(text).value().tolerated_zone_failures, 1U);
  text = absl::StrCat(kSettings, "faultTolerance.zones=all\n");
  EXPECT_NE(FaultsOf(text).value().find("faultTolerance.zones"), std::string::npos);
}

TEST(SettingsFileTest, NamesEveryFaultOnItsOwnLine) {
  std::string text = kSettings;
  text += "listen.frontend=nowhere\nlimits.maxFds=many\ninternalPorts=x\n";
  std::string faults = FaultsOf(text).value();
  EXPECT_NE(faults.find("listen.frontend"), std::string::npos);
  EXPECT_NE(faults.find("limits.maxFds"), std::string::npos);
  EXPECT_NE(faults.find("internalPorts"), std::string::npos);
  EXPECT_EQ(std::count(faults.begin(), faults.end(), '\n'), 2);
  EXPECT_NE(FaultsOf("").value().find("nodeName is missing"), std::string::npos);
}

}  // namespace
}  // namespace martenyard::platform
