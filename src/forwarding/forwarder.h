// Forwards client requests to runners: admits, chooses, sends, and passes answers on.
#pragma once

#include <memory>

#include "async_http/server.h"
#include "forwarding/gateway_state.h"

namespace martenyard::forwarding {

/// Handles one exchange from its request to its final answer.
async_http::Task<void> Forward(std::shared_ptr<GatewayState> state,
                               std::shared_ptr<async_http::Exchange> exchange);

}  // namespace martenyard::forwarding
