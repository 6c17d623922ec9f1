// martenyard-platform-emulator: the platform's store and two runners in one process, for the demo.
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "emulator/platform/runner_stand_in.h"
#include "emulator/platform/store_stand_in.h"
#include "wire/event_loop.h"

ABSL_FLAG(std::uint16_t, store_port, 18142, "Where the store listens on 127.0.0.1.");

namespace {

constexpr char kConfiguration[] = R"({"version":1,"routes":[
  {"name":"bequest","host":"demo.example","pathPrefix":"/streamkept/","type":"streaming",
   "timeoutMs":4000,"targetLatencyMs":200,"service":"models","maxAttempts":2,"resumable":false,
   "retentionEnabled":true,"retentionS":60},
  {"name":"notice","host":"demo.example","pathPrefix":"/notice/","type":"non_idempotent",
   "timeoutMs":2000,"targetLatencyMs":100,"service":"models","maxAttempts":2}],
  "services":[{"name":"models","maxConnections":64,"engine":{"slots":8,"tokensPerEvent":25}}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
            "idleTimeoutMs":15000}})";

}  // namespace

int main(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage("The platform's store and two runners, for the demo.");
  absl::ParseCommandLine(argument_count, arguments);
  martenyard::wire::EventLoop loop;
  martenyard::emulator::StoreStandIn store(loop.context());
  martenyard::emulator::RunnerStandIn first(loop.context(), "i-first");
  martenyard::emulator::RunnerStandIn second(loop.context(), "i-second");
  store.Listen(absl::GetFlag(FLAGS_store_port));
  for (const auto* runner : {&first, &second}) {
    store.Put("servers/" + runner->id(),
              martenyard::emulator::RunnerEntry(
                  {.port = runner->port(), .zone = "z1", .service = "models"}));
  }
  store.Put("op/config", kConfiguration);
  boost::asio::signal_set signals(loop.context(), SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { loop.Stop(); });
  std::cout << "store on 127.0.0.1:" << store.port() << ", two runners listed" << std::endl;
  loop.Run();
  std::_Exit(EXIT_SUCCESS);
}
