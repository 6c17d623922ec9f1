// Entries that other writers left among those of the runners: the gateway lives, serves, and
// follows the list.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "platform/support/platform_world.h"

namespace martenyard::testing {
namespace {

std::string Nested(std::size_t levels, bool closed) {
  return std::string(levels, '[') + (closed ? std::string(levels, ']') : "");
}

/// A runner's entry with one member replaced.
std::string EntryWith(const std::string& name, const std::string& value) {
  const std::vector<std::pair<std::string, std::string>> members = {
      {"service", "\"s\""}, {"address", "\"127.0.0.1:9\""},
      {"zone", "\"near\""}, {"version", "\"v1\""},
      {"slots", "8"},       {"state", "\"ready\""},
      {"sequence", "1"},    {"coldRemainingMs", "0"},
      {"born", "1"}};
  std::string entry;
  for (const auto& [member, usual] : members) {
    absl::StrAppend(&entry, entry.empty() ? "{" : ",", "\"", member,
                    "\":", member == name ? value : usual);
  }
  return entry + "}";
}

std::vector<std::string> OddEntries() {
  constexpr std::size_t kLevels = 60000;
  std::vector<std::string> entries = {
      "",
      "7",
      "null",
      "{",
      "[1,",
      "\xff\xfe",
      "{\"",
      "\"\\ud800\"",
      "1e999",
      Nested(kLevels, true),
      "[{}]",
      Nested(kLevels, false),
      "{\"a\":" + Nested(kLevels, true) + "}",
  };
  for (const char* number : {"1e999", "-1", "123456789012345678901234567890", "1e308"}) {
    entries.push_back(EntryWith("slots", number));
    entries.push_back(EntryWith("born", number));
  }
  for (const char* port : {"0", "65536", "70000", "4295032835", "-1", "", "8o", "1e3"}) {
    entries.push_back(EntryWith("address", absl::StrCat("\"127.0.0.1:", port, "\"")));
  }
  for (const char* member : {"service", "address", "zone", "version", "slots", "state", "sequence",
                             "coldRemainingMs", "born"}) {
    entries.push_back(EntryWith(member, Nested(kLevels, true)));
    entries.push_back(EntryWith(member, "{}"));
  }
  return entries;
}

unsigned StatusOf(PlatformWorld& world, const std::string& id) {
  ClientRequest request;
  request.id = id;
  return world.Ask(request).status;
}

// Guards against a gateway that ends, or stops following the list, over one entry.
TEST(OddEntryContractTest, GatewayServesAndFollowsTheListBesideOddEntries) {
  PlatformWorld world;
  const std::vector<std::string> entries = OddEntries();
  for (std::size_t number = 0; number < entries.size(); ++number) {
    world.store().Put(absl::StrCat("servers/first-", number), entries[number]);
  }
  world.Start();
  EXPECT_EQ(StatusOf(world, "first"), 200U);
  EXPECT_TRUE(absl::StrContains(world.Log(), "runner_unreadable"));
  bool draining = false;
  for (std::size_t number = 0; number < entries.size(); ++number) {
    SCOPED_TRACE(entries[number].substr(0, 100));
    world.store().Put(absl::StrCat("servers/later-", number), entries[number]);
    draining = !draining;
    world.ListRunner(world.b(), "far", draining ? "draining" : "ready");
    EXPECT_TRUE(world.RunUntil([&] {
      const auto* runner = world.gateway().state().runners.Find(discovery::RunnerId("i-far"));
      return runner != nullptr && runner->runner.draining == draining;
    })) << "a change behind the entry has no effect";
    EXPECT_EQ(world.gateway().state().runners.all().size(), 2U);
    EXPECT_EQ(StatusOf(world, absl::StrCat("later-", number)), 200U);
  }
  world.StartOtherGateway(/*first_start=*/false, /*runners=*/2);
  EXPECT_EQ(world.AskOther(ClientRequest()).status, 200U);
}

// Guards against a runner's id that adds a line to the head of the requests sent to it.
TEST(OddEntryContractTest, KeyOfAnEntryAddsNoHeaderField) {
  PlatformWorld world;
  world.Start();
  auto is_listed = [&world](const char* id) {
    const auto* runner = world.gateway().state().runners.Find(discovery::RunnerId(id));
    return runner != nullptr && !runner->gone;
  };
  for (const char* id : {"r-x\r\nEvil: 1", "r-x\nEvil: 1", "r-x\r\n\r\nGET /evil HTTP/1.1\r\n"}) {
    SCOPED_TRACE(id);
    std::string key = absl::StrCat("servers/", id);
    world.store().Put(key, emulator::RunnerEntry({.port = world.a().port(), .zone = "near"}));
    // The only entry that is left, so that the request goes to its runner if that one is known.
    world.store().Remove("servers/i-near");
    world.store().Remove("servers/i-far");
    EXPECT_TRUE(world.RunUntil([&] { return !is_listed("i-near") && !is_listed("i-far"); }));
    EXPECT_EQ(world.gateway().state().runners.Find(discovery::RunnerId(id)), nullptr);
    StatusOf(world, "attempt-evil");
    for (const auto& request : world.a().seen()) {
      EXPECT_EQ(request.headers.count("evil"), 0U);
      EXPECT_FALSE(absl::StrContains(request.target, "evil"));
    }
    world.store().Remove(key);
    world.ListRunner(world.a(), "near");
    world.ListRunner(world.b(), "far");
    EXPECT_TRUE(world.RunUntil([&] { return is_listed("i-near") && is_listed("i-far"); }));
    EXPECT_EQ(StatusOf(world, "attempt-after"), 200U);
  }
}

}  // namespace
}  // namespace martenyard::testing
