#include <gtest/gtest.h>

#include <fstream>

#include "bench/local_system.h"
#include "support/scripted_server.h"

namespace martenyard::testing {
namespace {

using bench::LocalSystem;
using bench::LocalSystemOptions;
using bench::RunCommand;
using bench::TemporaryFolder;
using bench::WaitUntil;

using nlohmann::json;

class CliTest : public ::testing::Test {
 protected:
  int Run(std::vector<std::string> words) {
    words.insert(words.begin(), bench::ProgramPath("martenyard"));
    return RunCommand(words, &output_);
  }
  std::string Write(const std::string& name, const std::string& text) {
    std::string path = folder_.path() + "/" + name;
    std::ofstream(path) << text;
    return path;
  }
  TemporaryFolder folder_;
  std::string output_;
};

TEST_F(CliTest, HelpIsPrintedForTheProgramAndForEachCommand) {
  EXPECT_EQ(Run({"--help"}), 0);
  EXPECT_NE(output_.find("bundle roll"), std::string::npos);
  for (const char* command : {"check", "sign", "submit", "roll", "status"}) {
    EXPECT_EQ(Run({"bundle", command, "--help"}), 0);
    EXPECT_NE(output_.find(std::string("martenyard bundle ") + command), std::string::npos);
  }
}

TEST_F(CliTest, WrongUsageExitsWithTwo) {
  EXPECT_EQ(Run({}), 2);
  EXPECT_EQ(Run({"bundle", "frobnicate"}), 2);
  EXPECT_EQ(Run({"bundle", "check"}), 2);
  EXPECT_EQ(Run({"bundle", "check", "/nonexistent"}), 2);
  EXPECT_EQ(Run({"settings", "check", Write("bad.toml", "[daemon]\nzone = 1\n")}), 2);
  EXPECT_NE(output_.find("bad.toml: key 'daemon.zone'"), std::string::npos) << output_;
}

TEST_F(CliTest, UnreachableServerExitsWithThree) {
  EXPECT_EQ(Run({"status", "--server=http://127.0.0.1:1"}), 3);
}

// Guards against reporting a request as refused, or as done, by a response that was cut or
// malformed.
TEST_F(CliTest, BrokenResponseExitsWithFour) {
  for (const char* bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"cut\":",
                            "HTTP/1.1 200 OK\r\nX-Field: a\r\n", "HTTP/1.1 000 OK\r\n\r\n{}",
                            "HTTP/1.1 200 OK\r\nX Field: a\r\n\r\n{}"}) {
    ScriptedServer server({{bytes, true}});
    EXPECT_EQ(Run({"program", "end", "p", "--server=" + server.url(), "--token=t"}), 4)
        << bytes << output_;
  }
}

TEST_F(CliTest, KeyIsNeverOverwritten) {
  std::string prefix = folder_.path() + "/partner";
  EXPECT_EQ(Run({"keygen", "--out=" + prefix}), 0);
  EXPECT_EQ(Run({"keygen", "--out=" + prefix}), 2);
}

TEST_F(CliTest, OperatorAndCallerSessionEndToEnd) {
  LocalSystem system(LocalSystemOptions{});
  ASSERT_TRUE(system.Start());
  std::string server = "--server=" + system.Url(1);
  std::string token = "--token=" + system.Token();
  std::string key = "--key=" + Write("partner.key", system.keys().private_key + "\n");
  std::string bundle = Write("bundle.toml", system.BundleText("second"));
  EXPECT_EQ(Run({"bundle", "check", bundle}), 0) << output_;
  EXPECT_EQ(Run({"bundle", "submit", bundle, server}), 2) << "not signed yet: " << output_;
  EXPECT_EQ(Run({"bundle", "sign", bundle, key}), 0) << output_;
  EXPECT_EQ(Run({"bundle", "roll", bundle, key, server}), 1) << "not submitted: " << output_;
  EXPECT_EQ(Run({"bundle", "submit", bundle, server}), 0) << output_;
  EXPECT_EQ(Run({"bundle", "roll", bundle, key, server, "--epoch=7"}), 1) << output_;
  EXPECT_NE(output_.find("the next roll must say 2"), std::string::npos) << output_;
  EXPECT_EQ(Run({"bundle", "roll", bundle, key, server}), 0) << output_;
  EXPECT_EQ(Run({"bundle", "status", server, "--output=json"}), 0);
  EXPECT_EQ(json::parse(output_)["bundles"][0]["version"], "second");
  EXPECT_EQ(Run({"program", "create", "--partner=tournament", "--program=ruling", "--id=p", server,
                 token}),
            0)
      << output_;
  EXPECT_EQ(Run({"program", "call", "p", "--service=judge-models", "--message=hello", "--stream",
                 server, token}),
            0)
      << output_;
  EXPECT_EQ(Run({"program", "call", "p", "--kind=tool", "--service=none", server, token}), 1);
  EXPECT_EQ(Run({"program", "history", "p", server, token, "--output=json"}), 0) << output_;
  EXPECT_EQ(json::parse(output_)["turns"][0]["outcome"], "ran");
  EXPECT_EQ(Run({"program", "show", "p", server, "--token=wrong"}), 1);
  EXPECT_EQ(Run({"program", "end", "p", server, token}), 0) << output_;
}

}  // namespace
}  // namespace martenyard::testing
