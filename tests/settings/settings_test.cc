#include "settings/settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "bundle/signature.h"

namespace martenyard::settings {
namespace {

std::string ValidSettings() {
  return R"(
[daemon]
zone = "sapporo-hall"
peer_address = "127.0.0.1:7101"
caller_address = "127.0.0.1:8101"
seeds = ["127.0.0.1:7101"]
[platform]
key_value_url = "http://127.0.0.1:2379"
machine_list_url = "http://127.0.0.1:2380"
[[partner]]
name = "tournament"
public_key = ")" +
         bundle::GenerateKeyPair().public_key + "\"\n";
}

std::string ErrorOf(const std::string& text) {
  return Recover<SettingsError>(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseSettings(text, "daemon.toml"));
        return std::string();
      },
      [](const SettingsError& error) { return error.detail; });
}

TEST(SettingsTest, ParsesValidFile) {
  Settings settings = *ParseSettings(ValidSettings(), "daemon.toml");
  EXPECT_EQ(settings.zone, "sapporo-hall");
  EXPECT_EQ(settings.peer.port, 7101);
  EXPECT_EQ(settings.groups, 8);
}

struct BadSettings {
  const char* name;
  const char* from;
  const char* to;
  const char* expected;
};

class BadSettingsTest : public ::testing::TestWithParam<BadSettings> {};

TEST_P(BadSettingsTest, IsRejectedWithFileKeyAndAllowedValuesInOneLine) {
  std::string text = ValidSettings();
  std::string from = GetParam().from;
  text.replace(text.find(from), from.size(), GetParam().to);
  std::string error_message = ErrorOf(text);
  EXPECT_EQ(error_message.rfind("daemon.toml: ", 0), 0U) << error_message;
  EXPECT_NE(error_message.find(GetParam().expected), std::string::npos) << error_message;
  EXPECT_EQ(error_message.find('\n'), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, BadSettingsTest,
    ::testing::Values(
        BadSettings{"UnknownKey", "zone =", "zoen = \"x\"\nzone =", "'daemon.zoen': is not known"},
        BadSettings{"UnknownSection", "[platform]", "[platfrom]\n[platform]", "'platfrom'"},
        BadSettings{"WrongType", "\"sapporo-hall\"", "7", "must be a string"},
        BadSettings{"BadAddress", "127.0.0.1:8101", "localhost:8101", "IPv4 address and a port"},
        BadSettings{"MissingKey", "key_value_url = \"http://127.0.0.1:2379\"", "",
                    "'platform.key_value_url': is required"},
        BadSettings{"EvenReplicas", "[platform]", "[cluster]\nreplicas = 2\n[platform]",
                    "must be 1, 3 or 5"},
        BadSettings{"OutOfRange", "[platform]", "[cluster]\ngroups = 0\n[platform]",
                    "from 1 to 65536"},
        BadSettings{"ShortElectionTimeout", "[platform]",
                    "[timing]\nelection_timeout_ms = 100\n[platform]", "3 times"},
        BadSettings{"BadChoice", "[platform]", "[scheduling]\nplacement = \"best\"\n[platform]",
                    "must be one of"},
        BadSettings{"BadPublicKey", "public_key = \"", "public_key = \"zz", "Ed25519"}),
    [](const auto& info) { return info.param.name; });

TEST(SettingsTest, MissingDataDirectoryIsReported) {
  Settings settings = *ParseSettings(ValidSettings(), "daemon.toml");
  settings.data_dir = "/nonexistent/folder";
  std::string error_message = Recover<SettingsError>(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(CheckMachine(settings, "daemon.toml"));
        return std::string();
      },
      [](const SettingsError& error) { return error.detail; });
  EXPECT_NE(error_message.find("/nonexistent/folder does not exist"), std::string::npos)
      << error_message;
}

TEST(SettingsTest, OperationsPageContainsTheReference) {
  std::ifstream page(std::string(MARTENYARD_SOURCES) + "/docs/OPERATIONS.md");
  std::ostringstream text;
  text << page.rdbuf();
  EXPECT_NE(text.str().find(SettingsReference()), std::string::npos)
      << "run 'martenyard settings reference' and put it into docs/OPERATIONS.md";
}

}  // namespace
}  // namespace martenyard::settings
