// Roll statements: "from epoch n on, this bundle is in force", signed by the partner; and the book
// of the bundles in force, which only ever moves to higher epochs.
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

/// The signed sentence.
struct RollStatement {
  PartnerName partner;
  std::uint64_t epoch = 0;  ///< One more than the roll before; the first is 1.
  std::string bundle_hash;  ///< SHA-256 of the bundle's exact bytes.

  /// @return the bytes that are signed.
  std::string SignedBytes() const;
  friend bool operator==(const RollStatement&, const RollStatement&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(partner, epoch, bundle_hash);
  }
};

/// A statement with all that is needed to verify it anywhere.
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

/// A partner as the settings name it.
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

/// Checks a bundle's text, signature and partner.
/// Errors: BundleError::kMalformed, kUnknownPartner, kBadSignature.
Result<Bundle> VerifyBundle(const std::vector<PartnerKey>& partners, const std::string& text,
                            const std::string& signature);

/// Checks all of a roll. Errors: as VerifyBundle's, and kUnknownBundle when the hash differs.
Result<Bundle> VerifyRoll(const std::vector<PartnerKey>& partners, const SignedRoll& roll);

/// The bundles in force at one daemon. Not thread-safe.
class BundleBook {
 public:
  explicit BundleBook(std::vector<PartnerKey> partners) : partners_(std::move(partners)) {}

  /// Puts a verified roll in force if its epoch is higher than the present one.
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
