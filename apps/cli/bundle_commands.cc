// Commands of a partner's operators: check, sign, submit and roll a bundle.
#include <nlohmann/json.hpp>

#include "absl/flags/flag.h"
#include "absl/strings/ascii.h"
#include "bundle/roll.h"
#include "bundle/signature.h"
#include "cli.h"

ABSL_FLAG(std::int64_t, epoch, 0, "bundle roll: the epoch to roll to; 0 asks for the next one.");

namespace martenyard::cli {
namespace {

using nlohmann::json;

/// Reads and checks the bundle file; on failure complains and returns nothing.
std::optional<std::string> ReadBundle(const std::string& path, bundle::Bundle* parsed) {
  std::optional<std::string> text = ReadFile(path);
  if (!text) {
    Complain(kExitUsage, "can't read " + path);
    return std::nullopt;
  }
  bool good = Recover<bundle::BundleError>(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(*parsed, bundle::ParseBundle(*text));
        return true;
      },
      [&](const bundle::BundleError& error) {
        Complain(kExitUsage, path + ": " + error.detail);
        return false;
      });
  return good ? text : std::nullopt;
}

std::optional<std::string> ReadPrivateKey() {
  std::string path = ReadCommonFlags().key;
  std::optional<std::string> text = ReadFile(path);
  if (!text) {
    Complain(kExitUsage, "can't read the private key; name its file with --key");
    return std::nullopt;
  }
  return std::string(absl::StripAsciiWhitespace(*text));
}

std::optional<std::string> SignWithKey(const std::string& bytes) {
  std::optional<std::string> key = ReadPrivateKey();
  if (!key) {
    return std::nullopt;
  }
  std::optional<std::string> signature = bundle::Sign(bytes, *key);
  if (!signature) {
    Complain(kExitUsage, "the file named with --key holds no private key");
  }
  return signature;
}

int Check(const Arguments& arguments) {
  bundle::Bundle parsed;
  std::optional<std::string> text = ReadBundle(arguments[0], &parsed);
  if (!text) {
    return kExitUsage;
  }
  Print({{"partner", parsed.partner.value},
         {"version", parsed.version},
         {"programs", parsed.programs.size()},
         {"callers", parsed.callers.size()},
         {"bundle_hash", bundle::Sha256(*text)}});
  return kExitOk;
}

int SignFile(const Arguments& arguments) {
  bundle::Bundle parsed;
  std::optional<std::string> text = ReadBundle(arguments[0], &parsed);
  std::optional<std::string> signature = text ? SignWithKey(*text) : std::nullopt;
  if (!signature) {
    return kExitUsage;
  }
  std::string path = arguments[0] + ".sig";
  if (!WriteFile(path, *signature + "\n", /*secret=*/false)) {
    return Complain(kExitUsage, "can't write " + path);
  }
  Print({{"signature_file", path}, {"bundle_hash", bundle::Sha256(*text)}});
  return kExitOk;
}

int Submit(const Arguments& arguments) {
  bundle::Bundle parsed;
  std::optional<std::string> text = ReadBundle(arguments[0], &parsed);
  if (!text) {
    return kExitUsage;
  }
  std::optional<std::string> signature = ReadFile(arguments[0] + ".sig");
  if (!signature) {
    return Complain(kExitUsage, "no " + arguments[0] + ".sig; run 'bundle sign' first");
  }
  json body = {{"bundle", *text},
               {"signature", std::string(absl::StripAsciiWhitespace(*signature))}};
  return Report(Send("POST", "/v1/operator/bundles", body.dump()));
}

/// @return the partner's next epoch as the server tells it, or nothing.
std::optional<std::uint64_t> NextEpoch(const PartnerName& partner) {
  http::ClientResult result = Send("GET", "/v1/operator/status");
  json status = json::parse(result.body, nullptr, false);
  if (!result.ok() || !status.is_object()) {
    Report(result);
    return std::nullopt;
  }
  for (const json& active : status.value("bundles", json::array())) {
    if (active.value("partner", "") == partner.value) {
      return active.value("epoch", std::uint64_t{0}) + 1;
    }
  }
  return 1;
}

int Roll(const Arguments& arguments) {
  bundle::Bundle parsed;
  std::optional<std::string> text = ReadBundle(arguments[0], &parsed);
  if (!text) {
    return kExitUsage;
  }
  bundle::RollStatement statement;
  statement.partner = parsed.partner;
  statement.bundle_hash = bundle::Sha256(*text);
  statement.epoch = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_epoch));
  if (statement.epoch == 0) {
    std::optional<std::uint64_t> next = NextEpoch(statement.partner);
    if (!next) {
      return kExitUnavailable;
    }
    statement.epoch = *next;
  }
  std::optional<std::string> signature = SignWithKey(statement.SignedBytes());
  if (!signature) {
    return kExitUsage;
  }
  json body = {{"partner", statement.partner.value},
               {"epoch", statement.epoch},
               {"bundle_hash", statement.bundle_hash},
               {"signature", *signature}};
  return Report(Send("POST", "/v1/operator/rolls", body.dump()));
}

int Status(const Arguments& /*arguments*/) {
  http::ClientResult result = Send("GET", "/v1/operator/status");
  json status = json::parse(result.body, nullptr, false);
  if (!result.ok() || !status.is_object()) {
    return Report(result);
  }
  Print({{"bundles", status.value("bundles", json::array())}});
  return kExitOk;
}

}  // namespace

std::vector<Command> BundleCommands() {
  return {
      {"bundle check", "FILE", "Checks a bundle file, here.", 1, Check},
      {"bundle sign", "FILE --key KEYFILE", "Signs the file's exact bytes into FILE.sig.", 1,
       SignFile},
      {"bundle submit", "FILE [--server URL]", "Hands in a signed bundle; it is not yet in force.",
       1, Submit},
      {"bundle roll", "FILE --key KEYFILE [--epoch N] [--server URL]",
       "Puts a submitted bundle in force at the next epoch.", 1, Roll},
      {"bundle status", "[--server URL]", "Shows the bundles in force.", 0, Status},
  };
}

}  // namespace martenyard::cli
