// What the call coordinator needs of the daemon around it.
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

/// A ledger's answer, or why there is none.
struct LedgerAnswer {
  enum class Status {
    kAnswered,
    kNotProposed,  ///< No leader took the request: it surely has no effect.
    kUncertain,    ///< It may have taken effect, or may yet.
  };
  Status status = Status::kUncertain;
  ledger::LedgerReply reply;
};

using LedgerCallback = std::function<void(const LedgerAnswer&)>;

/// An engine that could take a call.
struct EngineCandidate {
  clients::Backend backend;
  scheduling::EngineView view;
};

class CallHost {
 public:
  virtual ~CallHost() = default;
  virtual NodeId Self() const = 0;
  /// @return the time of this very moment: after a freeze no earlier reading may be used.
  virtual absl::Time Now() const = 0;
  virtual GroupId GroupOf(const ProgramId& program) const = 0;
  /// Asks the group's leader, following it as it moves, until `deadline`.
  virtual void AskLedger(GroupId group, ledger::RequestBody body, absl::Time deadline,
                         LedgerCallback on_answer) = 0;
  /// Sends wishes to the engines' dispatchers; answers come by `CallCoordinator::OnPermitUpdate`.
  virtual void SendPermitRequests(const std::vector<dispatch::PermitAsk>& asks) = 0;
  virtual void SendPermitRelease(const dispatch::PermitRelease& release) = 0;
  /// @return engines of the model service that the partner may use now, leaving ones left out.
  virtual std::vector<EngineCandidate> EnginesFor(const PartnerName& partner,
                                                  const std::string& service) = 0;
  /// @return tool or application back ends of the service, leaving ones left out.
  virtual std::vector<clients::Backend> ServicesFor(const PartnerName& partner,
                                                    clients::BackendKind kind,
                                                    const std::string& service) = 0;
  virtual int PriorityOf(const PartnerName& partner, const std::string& program_kind) = 0;
  virtual clients::BackendClient& Backends() = 0;
};

}  // namespace martenyard::gateway
