#include "bundle/roll_manager.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "bundle/signature.h"

namespace martenyard::bundle {
namespace {

using clients::KeyValueReply;
using clients::KeyValueStatus;
using nlohmann::json;

constexpr char kBundlePrefix[] = "/martenyard/bundles/";
constexpr char kRollPrefix[] = "/martenyard/rolls/";
/// Maximum number of reads of the current roll per attempt; each failed write or read adds one.
constexpr int kMaxSteps = 8;

std::string BundleKey(const PartnerName& partner, const std::string& hash) {
  return kBundlePrefix + partner.value + "/" + hash;
}

std::string RollKey(const PartnerName& partner) { return kRollPrefix + partner.value; }

}  // namespace

struct RollManager::RollAttempt {
  SignedRoll roll;
  Callback on_answer;
  int steps = 0;
  bool wrote = false;  // The reply to a write was lost.
};

std::string RollToJson(const SignedRoll& roll) {
  json value = {{"partner", roll.statement.partner.value},
                {"epoch", roll.statement.epoch},
                {"bundle_hash", roll.statement.bundle_hash},
                {"signature", roll.statement_signature},
                {"bundle", roll.bundle_text},
                {"bundle_signature", roll.bundle_signature}};
  return value.dump();
}

std::optional<SignedRoll> RollFromJson(const std::string& text) {
  try {
    json value = json::parse(text);
    SignedRoll roll;
    roll.statement.partner = PartnerName(value.at("partner").get<std::string>());
    roll.statement.epoch = value.at("epoch").get<std::uint64_t>();
    roll.statement.bundle_hash = value.at("bundle_hash").get<std::string>();
    roll.statement_signature = value.at("signature").get<std::string>();
    roll.bundle_text = value.at("bundle").get<std::string>();
    roll.bundle_signature = value.at("bundle_signature").get<std::string>();
    return roll;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

RollManager::RollManager(clients::KeyValue& store, std::vector<PartnerKey> partners,
                         RollCallback on_roll)
    : store_(store), partners_(std::move(partners)), on_roll_(std::move(on_roll)) {}

// ---- Bundles ----

void RollManager::Submit(const std::string& text, const std::string& signature,
                         Callback on_answer) {
  OperatorAnswer refusal;
  std::optional<Bundle> bundle = Recover<BundleError>(
      [&]() -> Result<std::optional<Bundle>> {
        BOOST_LEAF_AUTO(verified, VerifyBundle(partners_, text, signature));
        return std::optional<Bundle>(std::move(verified));
      },
      [&](const BundleError& error) -> std::optional<Bundle> {
        refusal = {OperatorAnswer::Code::kRefused, error.detail, 0};
        return std::nullopt;
      });
  if (!bundle) {
    on_answer(refusal);
    return;
  }
  std::string hash = Sha256(text);
  json value = {{"bundle", text}, {"signature", signature}};
  store_.PutIf(BundleKey(bundle->partner, hash), 0, value.dump(),
               [hash, on_answer = std::move(on_answer)](const KeyValueReply& answer) {
                 OperatorAnswer told;
                 told.detail = hash;
                 switch (answer.status) {
                   case KeyValueStatus::kDone:
                     told.code = OperatorAnswer::Code::kAccepted;
                     break;
                   case KeyValueStatus::kConditionFailed:
                     // The key contains the content's hash, so the stored bundle is the same.
                     told.code = OperatorAnswer::Code::kUnchanged;
                     break;
                   case KeyValueStatus::kRefused:
                     told = {OperatorAnswer::Code::kUnavailable,
                             "the key-value service does not answer; nothing was changed", 0};
                     break;
                   case KeyValueStatus::kUncertain:
                     told = {OperatorAnswer::Code::kUnknown,
                             "the reply of the key-value service was lost; submit again", 0};
                     break;
                 }
                 on_answer(told);
               });
}

// ---- Rolls ----

void RollManager::Roll(const RollStatement& statement, const std::string& signature,
                       Callback on_answer) {
  auto attempt = std::make_shared<RollAttempt>();
  attempt->roll.statement = statement;
  attempt->roll.statement_signature = signature;
  attempt->on_answer = std::move(on_answer);
  const PartnerKey* key = nullptr;
  for (const PartnerKey& partner : partners_) {
    if (partner.name == statement.partner) {
      key = &partner;
    }
  }
  if (key == nullptr) {
    Finish(*attempt, OperatorAnswer::Code::kRefused,
           "partner '" + statement.partner.value + "' is not in this system's settings", 0);
    return;
  }
  if (!Verify(statement.SignedBytes(), signature, key->public_key)) {
    Finish(*attempt, OperatorAnswer::Code::kRefused,
           "the roll's signature is not one of partner '" + statement.partner.value + "'", 0);
    return;
  }
  LoadBundle(std::move(attempt));
}

void RollManager::Finish(const RollAttempt& attempt, OperatorAnswer::Code code,
                         const std::string& detail, std::uint64_t epoch) const {
  attempt.on_answer({code, detail, epoch});
}

void RollManager::LoadBundle(std::shared_ptr<RollAttempt> attempt) {
  const RollStatement& statement = attempt->roll.statement;
  store_.Get(BundleKey(statement.partner, statement.bundle_hash),
             [this, attempt](const KeyValueReply& answer) {
               if (answer.status != KeyValueStatus::kDone) {
                 Finish(*attempt, OperatorAnswer::Code::kUnavailable,
                        "the key-value service does not answer; nothing was changed", 0);
                 return;
               }
               json stored = answer.entries.empty()
                                 ? json()
                                 : json::parse(answer.entries[0].value, nullptr, false);
               if (!stored.is_object()) {
                 Finish(*attempt, OperatorAnswer::Code::kNotFound,
                        "no bundle with this hash was submitted", 0);
                 return;
               }
               attempt->roll.bundle_text = stored.value("bundle", "");
               attempt->roll.bundle_signature = stored.value("signature", "");
               ReadPresent(attempt);
             });
}

void RollManager::ReadPresent(std::shared_ptr<RollAttempt> attempt) {
  if (++attempt->steps > kMaxSteps) {
    auto code =
        attempt->wrote ? OperatorAnswer::Code::kUnknown : OperatorAnswer::Code::kUnavailable;
    Finish(*attempt, code, "the key-value service is unreachable", 0);
    return;
  }
  store_.Get(RollKey(attempt->roll.statement.partner), [this,
                                                        attempt](const KeyValueReply& answer) {
    if (answer.status != KeyValueStatus::kDone) {
      ReadPresent(attempt);
      return;
    }
    std::uint64_t present_epoch = 0;
    std::int64_t revision = 0;
    if (!answer.entries.empty()) {
      revision = answer.entries[0].revision;
      std::optional<SignedRoll> present = RollFromJson(answer.entries[0].value);
      if (!present) {
        Finish(*attempt, OperatorAnswer::Code::kRefused, "the stored roll is corrupt", 0);
        return;
      }
      present_epoch = present->statement.epoch;
      if (present->statement == attempt->roll.statement) {
        on_roll_(*present);
        Finish(*attempt,
               attempt->wrote ? OperatorAnswer::Code::kAccepted : OperatorAnswer::Code::kUnchanged,
               "in force", present_epoch);
        return;
      }
    }
    if (attempt->roll.statement.epoch != present_epoch + 1) {
      Finish(*attempt, OperatorAnswer::Code::kConflict,
             "the epoch in force is " + std::to_string(present_epoch) +
                 "; the next roll must say " + std::to_string(present_epoch + 1),
             present_epoch);
      return;
    }
    Write(attempt, revision);
  });
}

void RollManager::Write(std::shared_ptr<RollAttempt> attempt, std::int64_t revision) {
  // Reading the statement back after a lost reply tells whether this write took effect.
  store_.PutIf(RollKey(attempt->roll.statement.partner), revision, RollToJson(attempt->roll),
               [this, attempt](const KeyValueReply& answer) {
                 if (answer.status == KeyValueStatus::kDone) {
                   on_roll_(attempt->roll);
                   Finish(*attempt, OperatorAnswer::Code::kAccepted, "in force",
                          attempt->roll.statement.epoch);
                   return;
                 }
                 attempt->wrote = attempt->wrote || answer.status == KeyValueStatus::kUncertain;
                 ReadPresent(attempt);
               });
}

void RollManager::Poll(const std::function<void(bool answered)>& on_end) {
  store_.GetPrefix(kRollPrefix, [this, on_end](const KeyValueReply& answer) {
    on_end(answer.status == KeyValueStatus::kDone);
    if (answer.status != KeyValueStatus::kDone) {
      return;
    }
    for (const clients::KeyValueEntry& entry : answer.entries) {
      if (std::optional<SignedRoll> roll = RollFromJson(entry.value)) {
        on_roll_(*roll);
      }
    }
  });
}

}  // namespace martenyard::bundle
