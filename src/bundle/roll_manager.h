// Takes bundles and rolls from operators into the key-value service, by conditional writes, and
// finds rolls that other daemons accepted. Decision code over an asynchronous KeyValue.
#pragma once

#include <functional>
#include <string>

#include "absl/time/time.h"
#include "bundle/roll.h"
#include "clients/key_value.h"

namespace martenyard::bundle {

/// What an operator is told.
struct OperatorAnswer {
  enum class Code {
    kAccepted,
    kUnchanged,  ///< The same was accepted before.
    kRefused,    ///< `detail` says why; nothing was changed.
    kConflict,   ///< Another roll has this epoch; nothing was changed.
    kNotFound,
    kUnavailable,  ///< The key-value service did not take it; nothing was changed.
    kUnknown,      ///< Lost answers only: it may have been accepted; ask for the status.
  };
  Code code = Code::kUnknown;
  std::string detail;
  std::uint64_t epoch = 0;  ///< The partner's epoch in force, where known.
};

class RollManager {
 public:
  using Callback = std::function<void(const OperatorAnswer&)>;
  /// Called with every roll found or accepted, newest or not.
  using RollCallback = std::function<void(const SignedRoll&)>;

  RollManager(clients::KeyValue& store, std::vector<PartnerKey> partners, RollCallback on_roll);

  /// Checks and stores a bundle, so that it can be rolled.
  void Submit(const std::string& text, const std::string& signature, Callback on_answer);
  /// Puts a submitted bundle in force at the next epoch.
  void Roll(const RollStatement& statement, const std::string& signature, Callback on_answer);
  /// Reads all rolls; `on_roll` gets each. `on_end` is told whether the service answered.
  void Poll(const std::function<void(bool answered)>& on_end);

 private:
  struct RollAttempt;
  void LoadBundle(std::shared_ptr<RollAttempt> attempt);
  void ReadPresent(std::shared_ptr<RollAttempt> attempt);
  void Write(std::shared_ptr<RollAttempt> attempt, std::int64_t revision);
  void Finish(const RollAttempt& attempt, OperatorAnswer::Code code, const std::string& detail,
              std::uint64_t epoch) const;

  clients::KeyValue& store_;
  std::vector<PartnerKey> partners_;
  RollCallback on_roll_;
};

/// @return the roll as it is stored in the key-value service, JSON.
std::string RollToJson(const SignedRoll& roll);
/// @return the roll, or nothing if `text` is not one.
std::optional<SignedRoll> RollFromJson(const std::string& text);

}  // namespace martenyard::bundle
