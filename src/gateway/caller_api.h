// The HTTP API for callers: programs, their calls and histories.
#pragma once

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "bundle/roll.h"
#include "gateway/call_coordinator.h"
#include "http/server.h"

namespace martenyard::gateway {

struct CallerApiOptions {
  absl::Duration default_deadline = absl::Seconds(120);
  absl::Duration ledger_timeout = absl::Seconds(5);  ///< For requests other than calls.
};

/// Handles requests on the coordinator's thread.
class CallerApi {
 public:
  CallerApi(CallHost& host, CallCoordinator& coordinator, const bundle::BundleBook& bundles,
            const CallerApiOptions& options, std::uint64_t seed);

  /// @return false if the path is not part of this API; the responder is then unused.
  bool Handle(absl::Time now, const http::Request& request,
              const std::shared_ptr<http::Responder>& responder);

 private:
  /// One request and what was resolved for it.
  struct Exchange {
    http::Request request;
    std::shared_ptr<http::Responder> responder;
    PartnerName partner;
    ProgramId program;
    absl::Time now;
  };
  using ProgramCallback = std::function<void(const ledger::ProgramRecord&)>;

  const bundle::ActiveBundle* Authenticate(const std::string& token, PartnerName* partner) const;
  void Route(const Exchange& exchange, const bundle::ActiveBundle& active,
             const std::vector<std::string>& parts);
  void CreateProgram(const Exchange& exchange, const bundle::ActiveBundle& active);
  void SendCreate(const Exchange& exchange, ledger::CreateProgram command);
  void StartCall(const Exchange& exchange, const bundle::ActiveBundle& active);
  void EndProgram(const Exchange& exchange);
  /// Reads the program and passes it to `then` if it is the caller's partner's; else responds with
  /// an error.
  void WithProgram(const Exchange& exchange, const ProgramId& program, ProgramCallback then);

  CallHost& host_;
  CallCoordinator& coordinator_;
  const bundle::BundleBook& bundles_;
  CallerApiOptions options_;
  Random random_;
};

}  // namespace martenyard::gateway
