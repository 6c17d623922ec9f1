// The interface that the call coordinator requires of its daemon.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "clients/backends.h"
#include "dispatch/messages.h"
#include "ledger/messages.h"
#include "scheduling/placement.h"

namespace martenyard::gateway {

/// A ledger's reply, or why there is none.
struct LedgerResult {
  enum class Status {
    kAnswered,
    kNotProposed,  ///< No leader accepted the request: it has no effect.
    kUncertain,    ///< The request may have taken effect, or may still do so.
  };
  Status status = Status::kUncertain;
  ledger::LedgerReply reply;
};

using LedgerCallback = std::function<void(const LedgerResult&)>;

/// An engine that can run a call.
struct EngineCandidate {
  clients::Backend backend;
  scheduling::EngineView view;
};

class CallHost {
 public:
  virtual ~CallHost() = default;
  virtual NodeId Self() const = 0;
  /// @return the current time, read on each call: a cached time is stale after a process
  /// suspension.
  virtual absl::Time Now() const = 0;
  virtual GroupId GroupOf(const ProgramId& program) const = 0;
  /// Sends a request to the group's leader, following changes of leader, until `deadline`.
  virtual void SendLedgerRequest(GroupId group, ledger::RequestBody body, absl::Time deadline,
                                 LedgerCallback on_result) = 0;
  /// Sends requests to the engines' dispatchers, which reply to `CallCoordinator::OnPermitUpdate`.
  virtual void SendPermitRequests(const std::vector<dispatch::PermitAsk>& requests) = 0;
  virtual void SendPermitRelease(const dispatch::PermitRelease& release) = 0;
  /// @return the engines of the model service that the partner may use, without draining ones.
  virtual std::vector<EngineCandidate> EnginesFor(const PartnerName& partner,
                                                  const std::string& service) = 0;
  /// @return the tool or application back ends of the service, without draining ones.
  virtual std::vector<clients::Backend> ServicesFor(const PartnerName& partner,
                                                    clients::BackendKind kind,
                                                    const std::string& service) = 0;
  virtual int PriorityOf(const PartnerName& partner, const std::string& program_kind) = 0;
  virtual clients::BackendClient& Backends() = 0;
};

}  // namespace martenyard::gateway
