// The emulated platform in one process behind one HTTP port:
//   /engines/NAME/...   model engines          /services/NAME/invoke  tools and applications
//   /v3/...             key-value service      /machines              the lagging machine list
//   /faults             switches faults on     /records               what really ran and is held
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "emulator/config.h"
#include "emulator/engine.h"
#include "emulator/faults.h"
#include "emulator/key_value_store.h"
#include "http/server.h"
#include "wire/event_loop.h"

namespace martenyard::emulator {

class Emulator {
 public:
  /// Errors: http::HttpError.
  static Result<std::unique_ptr<Emulator>> Start(const Config& config);
  ~Emulator();
  Emulator(const Emulator&) = delete;
  Emulator& operator=(const Emulator&) = delete;

  std::string url() const;

 private:
  using Json = nlohmann::json;
  using ResponderPtr = std::shared_ptr<http::Responder>;

  struct Service {
    BackendConfig config;
    Faults faults;
    std::map<std::string, int> ran;  // By request key.
  };
  struct Listed {
    bool leaving = false;
    bool listed_leaving = false;
    bool removed = false;
    bool listed_removed = false;
  };

  explicit Emulator(Config config);
  Result<void> Listen();
  void Handle(const http::Request& request, const ResponderPtr& responder);
  void HandleEngine(const http::Request& request, const std::vector<std::string>& parts,
                    const ResponderPtr& responder);
  void HandleService(const http::Request& request, const std::string& name,
                     const ResponderPtr& responder);
  void RunService(Service& service, const std::string& key, const Json& arguments,
                  const ResponderPtr& responder);
  void HandleKeyValue(const http::Request& request, const ResponderPtr& responder);
  void HandleFaults(const Json& body, const ResponderPtr& responder);
  void HandleMachineChange(const std::string& name, const Json& body,
                           const ResponderPtr& responder);
  Json Machines() const;
  Json Records() const;

  Config config_;
  wire::EventLoop loop_;
  std::map<std::string, std::unique_ptr<Engine>> engines_;
  std::map<std::string, Service> services_;
  std::map<std::string, Listed> listed_;
  KeyValueStore key_value_;
  Faults key_value_faults_;
  Faults machine_list_faults_;
  std::unique_ptr<http::Server> server_;
  std::thread thread_;
};

}  // namespace martenyard::emulator
