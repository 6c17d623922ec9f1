#include "forwarding/forwarder.h"

#include <utility>

#include "forwarding/request_handler.h"

namespace martenyard::forwarding {

async_http::Task<void> Forward(std::shared_ptr<GatewayState> state,
                               std::shared_ptr<async_http::Exchange> exchange) {
  RequestHandler handler(std::move(state), std::move(exchange));
  co_await handler.Run();
}

}  // namespace martenyard::forwarding
