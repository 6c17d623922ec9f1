#include "bundle/roll.h"

#include <algorithm>
#include <utility>

#include "bundle/signature.h"

namespace martenyard::bundle {
namespace {

/// Domain separator: a roll's signature is not valid for other content.
constexpr char kRollContext[] = "martenyard-roll-v1";

leaf::error_id Refused(BundleError::Code code, std::string detail) {
  return leaf::new_error(BundleError{code, std::move(detail)});
}

const PartnerKey* FindKey(const std::vector<PartnerKey>& partners, const PartnerName& name) {
  auto found = std::find_if(partners.begin(), partners.end(),
                            [&](const PartnerKey& key) { return key.name == name; });
  return found == partners.end() ? nullptr : &*found;
}

}  // namespace

std::string RollStatement::SignedBytes() const {
  return std::string(kRollContext) + "\n" + partner.value + "\n" + std::to_string(epoch) + "\n" +
         bundle_hash + "\n";
}

Result<Bundle> VerifyBundle(const std::vector<PartnerKey>& partners, const std::string& text,
                            const std::string& signature) {
  BOOST_LEAF_AUTO(parsed, ParseBundle(text));
  const PartnerKey* key = FindKey(partners, parsed.partner);
  if (key == nullptr) {
    return Refused(BundleError::Code::kUnknownPartner,
                   "partner '" + parsed.partner.value + "' is not in this system's settings");
  }
  if (!Verify(text, signature, key->public_key)) {
    return Refused(
        BundleError::Code::kBadSignature,
        "the bundle's signature is not valid for partner '" + parsed.partner.value + "'");
  }
  return parsed;
}

Result<Bundle> VerifyRoll(const std::vector<PartnerKey>& partners, const SignedRoll& roll) {
  BOOST_LEAF_AUTO(parsed, VerifyBundle(partners, roll.bundle_text, roll.bundle_signature));
  const RollStatement& statement = roll.statement;
  if (parsed.partner != statement.partner) {
    return Refused(BundleError::Code::kUnknownBundle, "the bundle belongs to another partner");
  }
  if (Sha256(roll.bundle_text) != statement.bundle_hash) {
    return Refused(BundleError::Code::kUnknownBundle,
                   "the bundle does not match the hash in the statement");
  }
  const PartnerKey* key = FindKey(partners, statement.partner);
  if (!Verify(statement.SignedBytes(), roll.statement_signature, key->public_key)) {
    return Refused(
        BundleError::Code::kBadSignature,
        "the roll's signature is not valid for partner '" + statement.partner.value + "'");
  }
  return parsed;
}

Result<bool> BundleBook::Accept(const SignedRoll& roll) {
  const ActiveBundle* present = Find(roll.statement.partner);
  if (present != nullptr && present->epoch >= roll.statement.epoch) {
    return false;
  }
  BOOST_LEAF_AUTO(parsed, VerifyRoll(partners_, roll));
  ActiveBundle next;
  next.epoch = roll.statement.epoch;
  next.hash = roll.statement.bundle_hash;
  next.bundle = std::make_shared<const Bundle>(std::move(parsed));
  active_[roll.statement.partner] = std::move(next);
  return true;
}

const ActiveBundle* BundleBook::Find(const PartnerName& partner) const {
  auto found = active_.find(partner);
  return found == active_.end() ? nullptr : &found->second;
}

}  // namespace martenyard::bundle
