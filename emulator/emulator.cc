#include "emulator/emulator.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_split.h"
#include "base/clock.h"

namespace martenyard::emulator {
namespace {

using Json = nlohmann::json;

http::Response Answer(int status, const Json& body) {
  http::Response response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = body.dump();
  return response;
}

http::Response NotFound() { return Answer(404, {{"error", "not found"}}); }

Json ParseBody(const std::string& text) {
  Json body = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  return body.is_discarded() ? Json() : body;
}

}  // namespace

Emulator::Emulator(Config config)
    : config_(std::move(config)), key_value_(config_.key_value_requests_per_second) {
  for (const BackendConfig& backend : config_.backends) {
    listed_[backend.name] = {};
    if (backend.kind == "engine") {
      engines_[backend.name] = std::make_unique<Engine>(loop_, backend, config_.load_report_lag,
                                                        config_.cache_event_lag);
    } else {
      services_[backend.name].config = backend;
    }
  }
}

Result<std::unique_ptr<Emulator>> Emulator::Start(const Config& config) {
  std::unique_ptr<Emulator> emulator(new Emulator(config));
  BOOST_LEAF_CHECK(emulator->Listen());
  return emulator;
}

Result<void> Emulator::Listen() {
  http::ServerOptions options;
  options.address = config_.address;
  options.port = config_.port;
  options.max_body_bytes = std::size_t{256} << 20;
  BOOST_LEAF_ASSIGN(
      server_, http::Server::Start(options, [this](http::Request request, ResponderPtr responder) {
        loop_.Post([this, request = std::move(request), responder] { Handle(request, responder); });
      }));
  thread_ = std::thread([this] { loop_.Run(); });
  return {};
}

Emulator::~Emulator() {
  if (server_) {
    server_->Stop();
  }
  if (thread_.joinable()) {
    loop_.Stop();
    thread_.join();
  }
}

std::string Emulator::url() const {
  return "http://" + config_.address + ":" + std::to_string(server_->port());
}

void Emulator::Handle(const http::Request& request, const ResponderPtr& responder) {
  std::vector<std::string> parts = absl::StrSplit(request.path, '/', absl::SkipEmpty());
  std::string first = parts.empty() ? "" : parts[0];
  if (first == "engines" && parts.size() >= 3) {
    HandleEngine(request, parts, responder);
  } else if (first == "services" && parts.size() == 3 && parts[2] == "invoke") {
    HandleService(request, parts[1], responder);
  } else if (first == "v3") {
    HandleKeyValue(request, responder);
  } else if (first == "machines" && parts.size() == 1) {
    if (machine_list_faults_.refuse) {
      responder->Send(Answer(503, {{"error", "unavailable"}}));
      return;
    }
    responder->Send(Answer(200, Machines()));
  } else if (first == "machines" && parts.size() == 2) {
    HandleMachineChange(parts[1], ParseBody(request.body), responder);
  } else if (first == "faults") {
    HandleFaults(ParseBody(request.body), responder);
  } else if (first == "records") {
    responder->Send(Answer(200, Records()));
  } else {
    responder->Send(NotFound());
  }
}

// ---- Engines and services ----

void Emulator::HandleEngine(const http::Request& request, const std::vector<std::string>& parts,
                            const ResponderPtr& responder) {
  auto found = engines_.find(parts[1]);
  if (found == engines_.end() || listed_[parts[1]].removed) {
    responder->Send(NotFound());
    return;
  }
  Engine& engine = *found->second;
  const std::string& action = parts[2];
  if (action == "v1" && request.method == "POST") {
    engine.Complete(ParseBody(request.body), responder);
  } else if (action == "contexts" && request.method == "GET") {
    responder->Send(Answer(200, engine.Contexts()));
  } else if (action == "contexts" && request.method == "DELETE" && parts.size() == 4) {
    bool released = engine.Release(parts[3]);
    responder->Send(released ? Answer(200, {{"released", true}}) : NotFound());
  } else if (action == "load") {
    responder->Send(Answer(200, engine.LoadReport()));
  } else if (action == "events") {
    auto after = request.query.find("after");
    std::int64_t number = after == request.query.end() ? 0 : std::atoll(after->second.c_str());
    responder->Send(Answer(200, engine.CacheEvents(number)));
  } else {
    responder->Send(NotFound());
  }
}

void Emulator::HandleService(const http::Request& request, const std::string& name,
                             const ResponderPtr& responder) {
  auto found = services_.find(name);
  if (found == services_.end()) {
    responder->Send(NotFound());
    return;
  }
  Service& service = found->second;
  if (service.faults.refuse) {
    responder->Send(Answer(503, {{"error", "unavailable"}}));
    return;
  }
  std::string key = request.Header("idempotency-key");
  Json arguments = ParseBody(request.body);
  loop_.After(service.config.service_time + service.faults.delay,
              [this, &service, key, arguments, responder] {
                RunService(service, key, arguments, responder);
              });
}

void Emulator::RunService(Service& service, const std::string& key, const Json& arguments,
                          const ResponderPtr& responder) {
  int run = ++service.ran[key];
  if (service.faults.hang) {
    return;
  }
  if (service.faults.lose_answers > 0) {
    --service.faults.lose_answers;
    responder->Cut();
    return;
  }
  responder->Send(Answer(
      200,
      {{"service", service.config.service}, {"key", key}, {"run", run}, {"arguments", arguments}}));
}

// ---- Key-value service ----

void Emulator::HandleKeyValue(const http::Request& request, const ResponderPtr& responder) {
  absl::Time now = SteadyNow();
  if (key_value_faults_.hang) {
    return;
  }
  if (key_value_faults_.refuse) {
    responder->Cut();
    return;
  }
  if (!key_value_.TakeToken(now)) {
    responder->Send(Answer(429, {{"error", "rate limit"}}));
    return;
  }
  std::string path = request.path.substr(std::string("/v3").size());
  Json body = ParseBody(request.body);
  if (path == "/watch") {
    responder->StartStream(200, {{"Content-Type", "application/json"}});
    responder->Write(Json{{"result", {{"created", true}}}}.dump() + "\n");
    key_value_.Watch(body.value("create_request", Json::object()), [responder](const Json& event) {
      responder->Write(Json{{"result", {{"events", Json::array({event})}}}}.dump() + "\n");
      return true;
    });
    return;
  }
  Json answer = body.is_object() ? key_value_.Handle(path, body, now) : Json();
  if (answer.is_null()) {
    responder->Send(Answer(400, {{"error", "bad request"}}));
    return;
  }
  loop_.After(key_value_faults_.delay, [this, answer, responder] {
    if (key_value_faults_.lose_answers > 0) {
      --key_value_faults_.lose_answers;
      responder->Cut();
      return;
    }
    responder->Send(Answer(200, answer));
  });
}

// ---- Machine list, faults, records ----

Json Emulator::Machines() const {
  Json machines = Json::array();
  for (const BackendConfig& backend : config_.backends) {
    const Listed& listed = listed_.at(backend.name);
    if (listed.listed_removed) {
      continue;
    }
    std::string folder = backend.kind == "engine" ? "/engines/" : "/services/";
    machines.push_back({{"name", backend.name},
                        {"kind", backend.kind},
                        {"service", backend.service},
                        {"owner", backend.owner},
                        {"zone", backend.zone},
                        {"slots", backend.slots},
                        {"state", listed.listed_leaving ? "leaving" : "live"},
                        {"url", url() + folder + backend.name}});
  }
  return {{"machines", std::move(machines)}};
}

void Emulator::HandleMachineChange(const std::string& name, const Json& body,
                                   const ResponderPtr& responder) {
  auto found = listed_.find(name);
  if (found == listed_.end() || !body.is_object()) {
    responder->Send(NotFound());
    return;
  }
  Listed& listed = found->second;
  std::string state = body.value("state", "");
  listed.leaving = state == "leaving";
  listed.removed = state == "removed";
  if (engines_.contains(name)) {
    engines_[name]->faults().leaving = listed.leaving;
  }
  loop_.After(config_.machine_list_lag, [&listed] {
    listed.listed_leaving = listed.leaving;
    listed.listed_removed = listed.removed;
  });
  responder->Send(Answer(200, {{"state", state}}));
}

void Emulator::HandleFaults(const Json& body, const ResponderPtr& responder) {
  std::string target = body.is_object() ? body.value("target", "") : "";
  Faults* faults = nullptr;
  if (target == "key_value") {
    faults = &key_value_faults_;
  } else if (target == "machine_list") {
    faults = &machine_list_faults_;
  } else if (engines_.contains(target)) {
    faults = &engines_[target]->faults();
  } else if (services_.contains(target)) {
    faults = &services_[target].faults;
  }
  if (faults == nullptr || !SetFaults(body, *faults)) {
    responder->Send(Answer(400, {{"error", "unknown target or fault"}}));
    return;
  }
  responder->Send(Answer(200, {{"target", target}}));
}

Json Emulator::Records() const {
  Json engines = Json::object();
  for (const auto& [name, engine] : engines_) {
    engines[name] = engine->Records();
  }
  Json services = Json::object();
  for (const auto& [name, service] : services_) {
    services[name] = {{"ran", service.ran}};
  }
  return {{"engines", std::move(engines)}, {"services", std::move(services)}};
}

}  // namespace martenyard::emulator
