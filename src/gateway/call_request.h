// Validates a call request and converts it to a CallSpec.
#pragma once

#include <optional>
#include <string>

#include "absl/time/time.h"
#include "bundle/roll.h"
#include "gateway/call_types.h"
#include "http/server.h"

namespace martenyard::gateway {

/// What is needed to validate a request, apart from the request itself.
struct CallRequestContext {
  PartnerName partner;
  ProgramId program;
  const bundle::ActiveBundle* active = nullptr;
  absl::Time now;
  absl::Duration default_deadline;
};

/// A validated request, or the reason why it is invalid.
struct CallRequest {
  std::optional<CallSpec> spec;
  bool stream = false;
  int status = 400;     ///< When `spec` is empty.
  std::string problem;  ///< When `spec` is empty.
};

CallRequest ReadCallRequest(const http::Request& request, const CallRequestContext& context);

}  // namespace martenyard::gateway
