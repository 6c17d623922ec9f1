// Commands that need no server: keys, tokens, settings.
#include <iostream>

#include "absl/flags/flag.h"
#include "base/random.h"
#include "bundle/signature.h"
#include "cli.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, out, "partner", "keygen: writes OUT.key (private) and OUT.pub.");

namespace martenyard::cli {
namespace {

int Keygen(const Arguments& /*arguments*/) {
  std::string prefix = absl::GetFlag(FLAGS_out);
  bundle::KeyPair keys = bundle::GenerateKeyPair();
  if (ReadFile(prefix + ".key")) {
    return Complain(kExitUsage, prefix + ".key exists; a key is never overwritten");
  }
  bool written = WriteFile(prefix + ".key", keys.private_key + "\n", /*secret=*/true) &&
                 WriteFile(prefix + ".pub", keys.public_key + "\n", /*secret=*/false);
  if (!written) {
    return Complain(kExitUsage, "can't write " + prefix + ".key and " + prefix + ".pub");
  }
  Print({{"public_key", keys.public_key}, {"private_key_file", prefix + ".key"}});
  return kExitOk;
}

int NewToken(const Arguments& /*arguments*/) {
  // The second half of a fresh private key: 32 bytes from the system's generator.
  std::string token = bundle::GenerateKeyPair().private_key.substr(0, 64);
  Print({{"token", token}, {"token_hash", bundle::Sha256(token)}});
  return kExitOk;
}

int SettingsCheck(const Arguments& arguments) {
  return Recover<settings::SettingsError>(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(read, settings::LoadSettings(arguments[0]));
        BOOST_LEAF_CHECK(settings::CheckMachine(read, arguments[0]));
        Print({{"file", arguments[0]}, {"settings", "good"}});
        return kExitOk;
      },
      [](const settings::SettingsError& error) -> int {
        return Complain(kExitUsage, error.detail);
      });
}

int SettingsReference(const Arguments& /*arguments*/) {
  std::cout << settings::SettingsReference();
  return kExitOk;
}

}  // namespace

std::vector<Command> LocalCommands() {
  return {
      {"keygen", "--out PREFIX", "Makes an Ed25519 key pair: PREFIX.key and PREFIX.pub.", 0,
       Keygen},
      {"token new", "", "Makes a bearer token and the hash that the bundle lists.", 0, NewToken},
      {"settings check", "FILE", "Checks a daemon's settings file, here.", 1, SettingsCheck},
      {"settings reference", "", "Prints every settings key as a Markdown table.", 0,
       SettingsReference},
  };
}

}  // namespace martenyard::cli
