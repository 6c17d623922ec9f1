// Decoders of the platform's documents: settings file and records of its store.
#include <gtest/gtest.h>

#include "fuzz/target.h"
#include "platform/formats.h"
#include "platform/settings_file.h"

namespace martenyard::fuzz {
namespace {

/// A parsed document: a node of some hundred bytes may stand for a few bytes of text.
constexpr std::size_t kDocumentBytesForEach = 1000;

const std::vector<std::string> kJsonWords = {"[",
                                             "]",
                                             "{",
                                             "}",
                                             ":",
                                             ",",
                                             "\"",
                                             "\\u0000",
                                             "\\ud800",
                                             "1e400",
                                             "1e300",
                                             "-1",
                                             "18446744073709551616",
                                             "null",
                                             "true",
                                             "\xff"};

constexpr char kSettings[] =
    "nodeName=edge-1\nmachineClass=edge\nip=10.1.0.38\nzone=a\nzones.a=r\nzones.b=r\n"
    "listen.frontend=10.1.0.38:8149\nlisten.readiness=10.1.0.38:8141\ninternalPorts=7380,7395\n"
    "bootstrap=true\nlimits.memoryMb=220\nlimits.maxFds=4100\nfaultTolerance.machines=1\n"
    "bounds.graceS=8\nplatform.address=10.200.1.7:8142\nsomething.new=1\nmetrics=9100/metrics\n";

constexpr char kConfiguration[] = R"({"version":7,"routes":[
 {"name":"r1","host":"h","pathPrefix":"/a","type":"streaming","service":"s1","timeoutMs":500,
  "maxAttempts":2,"priority":3,"retentionEnabled":true,"retentionS":60},
 {"name":"r2","host":"h","pathPrefix":"/b","type":"idempotent",
  "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
 "services":[{"name":"s1","maxConnections":5,
   "engine":{"slots":4,"kvCapacityTokens":1000,"tokensPerEvent":25}},{"name":"s2"}],
 "limits":{"maxHeaderBytes":8192,"maxBodyBytes":100000,"headerTimeoutMs":3000,
   "idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k"],"priority":2,"ratePerS":5,"burst":10}]})";

constexpr char kRunner[] = R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":12,
 "version":"v1","state":"ready","coldRemainingMs":0,"born":1786665561000,"sequence":4,"new":true})";

bool ReadSettingsText(const std::string& input) {
  return Recover<platform::SettingsError>(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(platform::ReadSettings(input));
        return true;
      },
      [](const platform::SettingsError& error) {
        EXPECT_FALSE(error.detail.empty());
        return false;
      });
}

bool ReadConfiguration(const std::string& input) {
  return platform::Formats().ReadConfiguration(input).has_value();
}

bool ReadRunner(const std::string& input) {
  return platform::Formats().ReadRunner("servers/i-1", input).has_value();
}

}  // namespace

std::vector<Target> PlatformTargets() {
  return {{"node_settings",
           {kSettings},
           {"=", "\n", ",", ":", "1e400", "nan", "-1", "99999999999999999999", "\xff"},
           ReadSettingsText,
           kDocumentBytesForEach},
          {"configuration_record",
           {kConfiguration},
           kJsonWords,
           ReadConfiguration,
           kDocumentBytesForEach},
          {"runner_record", {kRunner}, kJsonWords, ReadRunner, kDocumentBytesForEach}};
}

}  // namespace martenyard::fuzz
