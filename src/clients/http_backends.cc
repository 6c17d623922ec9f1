#include <exception>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>

#include "base/logging.h"
#include "clients/backends.h"
#include "clients/model_stream.h"

namespace martenyard::clients {
namespace {

using nlohmann::json;

constexpr char kLog[] = "backends";
constexpr absl::Duration kControlTimeout = absl::Seconds(2);
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
/// Of one machine; far beyond any.
constexpr std::int64_t kMaxSlots = 1000000;
/// Of one context; far beyond any.
constexpr std::int64_t kMaxContextTokens = std::int64_t{1} << 40;
/// Limits how much of an error body is copied into `detail`.
constexpr std::size_t kMaxDetailBytes = 4096;

std::optional<BackendKind> ReadKind(const std::string& text) {
  if (text == "engine") {
    return BackendKind::kEngine;
  }
  if (text == "tool") {
    return BackendKind::kTool;
  }
  if (text == "application") {
    return BackendKind::kApplication;
  }
  return std::nullopt;
}

/// Reads an optional count. Throws if it is not a number from 0 to `max`.
std::int64_t ReadCount(const json& item, const char* name, std::int64_t fallback,
                       std::int64_t max) {
  auto found = item.find(name);
  if (found == item.end()) {
    return fallback;
  }
  double count = found->is_number() ? found->get<double>() : -1;
  if (count < 0 || count > static_cast<double>(max)) {
    throw std::out_of_range(name);
  }
  return static_cast<std::int64_t>(count);
}

/// @return nothing for a kind of a later platform version. Throws if the item is invalid.
std::optional<Backend> ReadMachine(const json& item) {
  std::optional<BackendKind> kind = ReadKind(item.at("kind").get<std::string>());
  if (!kind) {
    return std::nullopt;
  }
  Backend backend;
  backend.name = BackendName(item.at("name").get<std::string>());
  backend.kind = *kind;
  backend.service = item.at("service").get<std::string>();
  backend.owner = PartnerName(item.at("owner").get<std::string>());
  backend.zone = ZoneName(item.at("zone").get<std::string>());
  backend.url = item.at("url").get<std::string>();
  backend.slots = static_cast<int>(ReadCount(item, "slots", 1, kMaxSlots));
  backend.draining = item.value("state", "live") != "live";
  return backend;
}

/// Throws if the item is invalid.
std::optional<CachedContext> ReadContext(const json& item) {
  return CachedContext{item.at("id").get<std::string>(),
                       ReadCount(item, "tokens", 0, kMaxContextTokens)};
}

/// Reads the items of a list one by one, so that an invalid one does not hide the others.
/// @param name the member of the document that is the list.
/// @param read returns nothing for an item to be ignored; throws if the item is invalid.
/// @return nullopt if the document has no such list.
template <typename Item>
std::optional<std::vector<Item>> ReadList(const std::string& body, const char* name,
                                          std::optional<Item> (*read)(const json&)) {
  const json document = json::parse(body, nullptr, /*allow_exceptions=*/false);
  auto list = document.find(name);
  if (list == document.end() || !list->is_array()) {
    return std::nullopt;
  }
  std::vector<Item> items;
  int invalid = 0;
  for (const json& entry : *list) {
    try {
      if (std::optional<Item> item = read(entry)) {
        items.push_back(std::move(*item));
      }
    } catch (const std::exception&) {
      ++invalid;
    }
  }
  if (invalid > 0) {
    MARTENYARD_LOG_WARN(kLog, "Ignored " << invalid << " invalid items of \"" << name << "\".");
  }
  return items;
}

ModelOutcome ReadModelOutcome(const http::ClientResult& result, const ModelStream& stream) {
  ModelOutcome outcome;
  outcome.usage = stream.usage();
  outcome.detail = stream.failure().empty() ? result.error : stream.failure();
  if (result.ok() && stream.finished()) {
    outcome.status = ModelOutcome::Status::kFinished;
  } else if (result.status == kServiceUnavailable &&
             result.body.find("leaving") != std::string::npos) {
    outcome.status = ModelOutcome::Status::kDraining;
  } else if (!result.connected || result.status == kServiceUnavailable ||
             result.status == kTooManyRequests) {
    outcome.status = ModelOutcome::Status::kRefused;
  } else if (result.status >= 400 && result.status < 500) {
    outcome.status = ModelOutcome::Status::kRejected;
    outcome.detail = result.body.substr(0, kMaxDetailBytes);
  }
  if (outcome.detail.empty()) {
    outcome.detail =
        result.ok() ? "the stream ended without [DONE]" : "status " + std::to_string(result.status);
  }
  return outcome;
}

/// @return true if the body is complete JSON. Without framing, a truncated number is still a valid
/// number; any other truncated JSON value fails to parse.
bool IsCompleteResult(const http::ClientResult& result) {
  json value = json::parse(result.body, nullptr, /*allow_exceptions=*/false);
  return !value.is_discarded() && (result.framed || !value.is_number());
}

ServiceOutcome ReadServiceOutcome(const http::ClientResult& result) {
  ServiceOutcome outcome;
  outcome.result = result.body;
  outcome.detail = result.error.empty() ? "status " + std::to_string(result.status) : result.error;
  if (result.ok() && IsCompleteResult(result)) {
    outcome.status = ServiceOutcome::Status::kRan;
  } else if (result.ok()) {
    outcome.detail = "the result is not complete JSON";
  } else if (!result.connected || result.status == kServiceUnavailable ||
             result.status == kTooManyRequests) {
    outcome.status = ServiceOutcome::Status::kNotRun;
  }
  return outcome;
}

class HttpBackendClient : public BackendClient {
 public:
  HttpBackendClient(http::Client& client, std::string machine_list_url, Executor executor)
      : client_(client),
        machine_list_url_(std::move(machine_list_url)),
        executor_(std::move(executor)),
        active_(std::make_shared<std::set<Handle>>()) {}

  void FetchMachines(MachineListCallback on_list) override {
    http::ClientRequest request;
    request.url = machine_list_url_ + "/machines";
    request.timeout = kControlTimeout;
    client_.Start(std::move(request), nullptr,
                  [executor = executor_, on_list = std::move(on_list)](http::ClientResult result) {
                    std::optional<std::vector<Backend>> machines;
                    if (result.ok()) {
                      machines = ReadList(result.body, "machines", &ReadMachine);
                      if (!machines) {
                        MARTENYARD_LOG_WARN(kLog, "Failed to parse the machine list.");
                      }
                    }
                    executor([machines, on_list] { on_list(machines); });
                  });
  }

  // `messages` and `arguments` are JSON serialized by the gateway, so parsing cannot fail.

  Handle StartModel(const ModelRequest& request, std::function<void(std::string)> on_text,
                    std::function<void(ModelOutcome)> on_done) override {
    json body = {{"model", request.model},
                 {"messages", json::parse(request.messages, nullptr, false)},
                 {"max_tokens", request.max_tokens},
                 {"stream", true},
                 {"priority", request.priority},
                 {"request_id", request.request_id},
                 {"context_id", request.context_id}};
    if (!request.resume_text.empty()) {
      body["resume_text"] = request.resume_text;
    }
    http::ClientRequest post = Post(request.url + "/v1/chat/completions", body, request.timeout);
    Handle handle = ++last_handle_;
    active_->insert(handle);
    auto text_on_loop = [this, handle, on_text = std::move(on_text)](std::string text) {
      RunIfActive(handle, [on_text, text = std::move(text)] { on_text(text); });
    };
    auto stream = std::make_shared<ModelStream>(request.resume_text, std::move(text_on_loop));
    auto on_data = [this, handle, stream, on_done, url = request.url](std::string_view bytes) {
      bool was_valid = stream->failure().empty();
      stream->Feed(bytes);
      if (was_valid && !stream->failure().empty()) {
        MARTENYARD_LOG_WARN(kLog,
                            "Canceled a model call at " << url << ": " << stream->failure() << ".");
        ModelOutcome outcome;
        outcome.detail = stream->failure();
        RunIfActive(handle, [this, handle, on_done, outcome] {
          Cancel(handle);  // Its remaining output would be discarded.
          on_done(outcome);
        });
      }
    };
    auto on_end = [this, handle, stream, on_done](http::ClientResult result) {
      ModelOutcome outcome = ReadModelOutcome(result, *stream);
      RunIfActive(handle, [this, handle, on_done, outcome] {
        Erase(handle);
        on_done(outcome);
      });
    };
    transfers_[handle] = client_.Start(std::move(post), on_data, on_end);
    return handle;
  }

  Handle StartService(const ServiceRequest& request,
                      std::function<void(ServiceOutcome)> on_done) override {
    json body = json::parse(request.arguments, nullptr, false);
    http::ClientRequest post = Post(request.url + "/invoke", body, request.timeout);
    post.headers.push_back("Idempotency-Key: " + request.request_key);
    Handle handle = ++last_handle_;
    active_->insert(handle);
    auto on_end = [this, handle, on_done = std::move(on_done)](http::ClientResult result) {
      ServiceOutcome outcome = ReadServiceOutcome(result);
      RunIfActive(handle, [this, handle, on_done, outcome] {
        Erase(handle);
        on_done(outcome);
      });
    };
    transfers_[handle] = client_.Start(std::move(post), nullptr, on_end);
    return handle;
  }

  void Cancel(Handle handle) override {
    auto found = transfers_.find(handle);
    if (found != transfers_.end()) {
      client_.Cancel(found->second);
    }
    Erase(handle);
  }

  void ReleaseContext(const std::string& engine_url, const std::string& context_id,
                      std::function<void(bool)> on_done) override {
    http::ClientRequest request;
    request.method = "DELETE";
    request.url = engine_url + "/contexts/" + context_id;
    request.timeout = kControlTimeout;
    client_.Start(std::move(request), nullptr,
                  [executor = executor_, on_done = std::move(on_done)](http::ClientResult result) {
                    bool released = result.ok() || result.status == kNotFound;
                    executor([released, on_done] { on_done(released); });
                  });
  }

  void ListContexts(
      const std::string& engine_url,
      std::function<void(std::optional<std::vector<CachedContext>>)> on_list) override {
    http::ClientRequest request;
    request.url = engine_url + "/contexts";
    request.timeout = kControlTimeout;
    client_.Start(std::move(request), nullptr,
                  [executor = executor_, on_list = std::move(on_list)](http::ClientResult result) {
                    std::optional<std::vector<CachedContext>> contexts;
                    if (result.ok()) {
                      contexts = ReadList(result.body, "contexts", &ReadContext);
                      if (!contexts) {
                        MARTENYARD_LOG_WARN(kLog, "Failed to parse an engine's list of contexts.");
                      }
                    }
                    executor([contexts, on_list] { on_list(contexts); });
                  });
  }

 private:
  static http::ClientRequest Post(const std::string& url, const json& body,
                                  absl::Duration timeout) {
    http::ClientRequest request;
    request.method = "POST";
    request.url = url;
    request.headers = {"Content-Type: application/json"};
    request.body = body.dump();
    request.timeout = timeout;
    request.send_once = true;  // Not idempotent.
    return request;
  }

  void Erase(Handle handle) {
    active_->erase(handle);
    transfers_.erase(handle);
  }

  void RunIfActive(Handle handle, std::function<void()> task) {
    executor_([active = active_, handle, task = std::move(task)] {
      if (active->contains(handle)) {
        task();
      }
    });
  }

  http::Client& client_;
  std::string machine_list_url_;
  Executor executor_;
  Handle last_handle_ = 0;
  // Both are accessed only on the executor's thread.
  std::shared_ptr<std::set<Handle>> active_;
  std::map<Handle, http::TransferId> transfers_;
};

}  // namespace

std::unique_ptr<BackendClient> CreateHttpBackendClient(http::Client& client,
                                                       std::string machine_list_url,
                                                       Executor executor) {
  return std::make_unique<HttpBackendClient>(client, std::move(machine_list_url),
                                             std::move(executor));
}

}  // namespace martenyard::clients
