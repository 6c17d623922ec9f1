// A partner's bundle: its programs with their services and limits, parsed and validated from TOML.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/errors.h"
#include "base/ids.h"
#include "ledger/types.h"

namespace martenyard::bundle {

/// Why a bundle, signature or roll was rejected; nothing was changed.
struct BundleError {
  enum class Code { kMalformed, kBadSignature, kUnknownPartner, kWrongEpoch, kUnknownBundle };
  Code code = Code::kMalformed;
  std::string detail;  ///< One sentence for the operator, naming the key and what is allowed.
};

/// One kind of program and its limits.
struct ProgramSpec {
  std::string name;
  int priority = 5;  ///< 0 (lowest) to 9.
  ledger::ProgramLimits limits;
  std::vector<std::string> models;  ///< Services its calls may use.
  std::vector<std::string> tools;
  std::vector<std::string> applications;

  bool MayCall(ledger::CallKind kind, const std::string& service) const;
};

struct ModelSpec {
  std::string name;
  std::string version;
};

struct AdapterSpec {
  std::string name;
  std::string model;
  std::string version;
};

struct CallerSpec {
  std::string name;
  std::string token_hash;  ///< SHA-256 of the bearer token, 64 hexadecimal digits.
};

/// What other partners may use of this partner's engines while they are idle.
struct LendSpec {
  bool idle_engines = false;
  double max_share = 0.0;  ///< Of each engine's slots, 0 to 1.
};

struct Bundle {
  PartnerName partner;
  std::string version;
  std::vector<ProgramSpec> programs;
  std::vector<ModelSpec> models;
  std::vector<AdapterSpec> adapters;
  std::vector<CallerSpec> callers;
  LendSpec lend;

  const ProgramSpec* FindProgram(const std::string& name) const;
  /// @return true if a listed caller's token hashes to `token_hash`.
  bool KnowsCaller(const std::string& token_hash) const;
};

/// Parses and validates a bundle. Errors: BundleError::kMalformed.
Result<Bundle> ParseBundle(std::string_view text);

}  // namespace martenyard::bundle
