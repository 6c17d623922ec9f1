// Signed roll statements, which put a bundle in force from an epoch on, and the table of bundles in
// force, whose epochs never decrease.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/errors.h"
#include "base/ids.h"
#include "bundle/bundle.h"

namespace martenyard::bundle {

/// The content that the partner signs.
struct RollStatement {
  PartnerName partner;
  std::uint64_t epoch = 0;  ///< Previous epoch plus one; the first is 1.
  std::string bundle_hash;  ///< SHA-256 of the bundle's exact bytes.

  /// @return the bytes that are signed.
  std::string SignedBytes() const;
  friend bool operator==(const RollStatement&, const RollStatement&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(partner, epoch, bundle_hash);
  }
};

/// A statement with everything needed to verify it.
struct SignedRoll {
  RollStatement statement;
  std::string statement_signature;
  std::string bundle_text;
  std::string bundle_signature;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(statement, statement_signature, bundle_text, bundle_signature);
  }
};

/// A partner's name and public key, from the settings.
struct PartnerKey {
  PartnerName name;
  std::string public_key;
};

/// A bundle in force.
struct ActiveBundle {
  std::uint64_t epoch = 0;
  std::string hash;
  std::shared_ptr<const Bundle> bundle;
};

/// Verifies a bundle's text, signature and partner.
/// Errors: BundleError::kMalformed, kUnknownPartner, kBadSignature.
Result<Bundle> VerifyBundle(const std::vector<PartnerKey>& partners, const std::string& text,
                            const std::string& signature);

/// Verifies a roll and its bundle. Errors: as VerifyBundle's, and kUnknownBundle when the hash
/// differs.
Result<Bundle> VerifyRoll(const std::vector<PartnerKey>& partners, const SignedRoll& roll);

/// The bundles in force at one daemon. Not thread-safe.
class BundleBook {
 public:
  explicit BundleBook(std::vector<PartnerKey> partners) : partners_(std::move(partners)) {}

  /// Verifies a roll and puts it in force if its epoch is higher than the current one.
  /// @return true if it is now in force. Errors: VerifyRoll's.
  Result<bool> Accept(const SignedRoll& roll);
  /// @return the partner's bundle in force, or null.
  const ActiveBundle* Find(const PartnerName& partner) const;
  const std::map<PartnerName, ActiveBundle>& all() const { return active_; }
  const std::vector<PartnerKey>& partners() const { return partners_; }

 private:
  std::vector<PartnerKey> partners_;
  std::map<PartnerName, ActiveBundle> active_;
};

}  // namespace martenyard::bundle
