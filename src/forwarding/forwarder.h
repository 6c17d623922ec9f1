// Forwards client requests to runners and their responses to the clients.
#pragma once

#include <memory>

#include "async_http/server.h"
#include "forwarding/gateway_state.h"

namespace martenyard::forwarding {

/// Handles one exchange, from the request to the final response.
async_http::Task<void> Forward(std::shared_ptr<GatewayState> state,
                               std::shared_ptr<async_http::Exchange> exchange);

}  // namespace martenyard::forwarding
