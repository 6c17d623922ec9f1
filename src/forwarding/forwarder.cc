#include "forwarding/forwarder.h"

#include <utility>

#include "forwarding/request_run.h"

namespace martenyard::forwarding {

async_http::Task<void> Forward(std::shared_ptr<GatewayState> state,
                               std::shared_ptr<async_http::Exchange> exchange) {
  RequestRun run(std::move(state), std::move(exchange));
  co_await run.Run();
}

}  // namespace martenyard::forwarding
