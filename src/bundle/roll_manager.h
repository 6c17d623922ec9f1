// Stores bundles and rolls from operators in the key-value service by conditional writes, and polls
// for rolls accepted by other daemons. Decision logic over an asynchronous KeyValue.
#pragma once

#include <functional>
#include <string>

#include "absl/time/time.h"
#include "bundle/roll.h"
#include "clients/key_value.h"

namespace martenyard::bundle {

/// Result of an operator's request.
struct OperatorAnswer {
  enum class Code {
    kAccepted,
    kUnchanged,  ///< Already accepted before.
    kRefused,    ///< Rejected for the reason in `detail`; nothing was changed.
    kConflict,   ///< The epoch is not the next one; nothing was changed.
    kNotFound,
    kUnavailable,  ///< The key-value service is unreachable; nothing was changed.
    kUnknown,      ///< The reply was lost: it may have been accepted; query the status.
  };
  Code code = Code::kUnknown;
  std::string detail;
  std::uint64_t epoch = 0;  ///< The partner's epoch in force, if known.
};

class RollManager {
 public:
  using Callback = std::function<void(const OperatorAnswer&)>;
  /// Called for every roll found or accepted, including old ones.
  using RollCallback = std::function<void(const SignedRoll&)>;

  RollManager(clients::KeyValue& store, std::vector<PartnerKey> partners, RollCallback on_roll);

  /// Verifies and stores a bundle for a later roll.
  void Submit(const std::string& text, const std::string& signature, Callback on_answer);
  /// Puts a submitted bundle in force at the next epoch.
  void Roll(const RollStatement& statement, const std::string& signature, Callback on_answer);
  /// Reads all rolls and passes each to the roll callback. `on_end` receives whether the service
  /// replied.
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

/// @return the roll as JSON, the form stored in the key-value service.
std::string RollToJson(const SignedRoll& roll);
/// @return the roll, or nothing if `text` is not a valid roll.
std::optional<SignedRoll> RollFromJson(const std::string& text);

}  // namespace martenyard::bundle
