// The platform's back ends: the machine list, model engines, tool and application services.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "clients/key_value.h"
#include "http/client.h"

namespace martenyard::clients {

enum class BackendKind { kEngine, kTool, kApplication };

/// One machine of the platform's list, which lags behind the truth.
struct Backend {
  BackendName name;
  BackendKind kind = BackendKind::kEngine;
  std::string service;  ///< The model, tool or application that it serves.
  PartnerName owner;
  ZoneName zone;
  std::string url;
  int slots = 1;  ///< Engines: requests batched at once.
  bool leaving = false;

  friend bool operator==(const Backend&, const Backend&) = default;
};

/// @return the machines, or nothing when the service did not answer properly.
using MachineListCallback = std::function<void(std::optional<std::vector<Backend>>)>;

/// One model call, or the rest of one.
struct ModelRequest {
  std::string url;
  std::string request_id;  ///< Names program, call and attempt; in the engine's records.
  std::string context_id;  ///< The program: whose prefix the engine may keep.
  std::string model;
  std::string messages;  ///< JSON array, chat-completions form.
  /// What an earlier engine had generated already. An engine that goes on behind it says so by
  /// `"resumed_bytes": <its size>` in a chunk before the first text; of one that does not, the text
  /// must begin with this again.
  std::string resume_text;
  std::int64_t max_tokens = 0;
  int priority = 0;
  absl::Duration timeout = absl::Seconds(120);
};

/// Tokens that an engine reports.
struct ModelUsage {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;  ///< Of the prompt, found in the engine's cache.
  std::int64_t completion_tokens = 0;
};

struct ModelOutcome {
  enum class Status {
    kFinished,
    kLeaving,   ///< The engine takes no new work; nothing ran.
    kRefused,   ///< The engine refused or could not be reached; nothing ran.
    kRejected,  ///< The engine calls the request invalid; no other would take it.
    kBroken,    ///< The stream ended early or can't be relied on; callbacks gave what is sure.
  };
  Status status = Status::kBroken;
  ModelUsage usage;
  std::string detail;
};

/// One tool or application call.
struct ServiceRequest {
  std::string url;
  std::string request_key;  ///< Sent along, so that the service can tell repeats.
  std::string arguments;    ///< JSON.
  absl::Duration timeout = absl::Seconds(30);
};

struct ServiceOutcome {
  enum class Status { kRan, kNotRun, kUnknown };
  Status status = Status::kUnknown;
  std::string result;  ///< JSON.
  std::string detail;
};

/// A context that an engine holds.
struct HeldContext {
  std::string id;
  std::int64_t tokens = 0;
};

/// Talks to back ends. Callbacks run through the maker's executor; none after `Cancel`'s return
/// when both are on the executor's thread.
class BackendClient {
 public:
  using Handle = std::uint64_t;
  virtual ~BackendClient() = default;
  virtual void FetchMachines(MachineListCallback on_list) = 0;
  virtual Handle StartModel(const ModelRequest& request, std::function<void(std::string)> on_text,
                            std::function<void(ModelOutcome)> on_done) = 0;
  virtual Handle StartService(const ServiceRequest& request,
                              std::function<void(ServiceOutcome)> on_done) = 0;
  virtual void Cancel(Handle handle) = 0;
  /// @param on_done true when the engine holds the context no longer.
  virtual void ReleaseContext(const std::string& engine_url, const std::string& context_id,
                              std::function<void(bool)> on_done) = 0;
  virtual void ListContexts(
      const std::string& engine_url,
      std::function<void(std::optional<std::vector<HeldContext>>)> on_list) = 0;
};

std::unique_ptr<BackendClient> CreateHttpBackendClient(http::Client& client,
                                                       std::string machine_list_url,
                                                       Executor executor);

}  // namespace martenyard::clients
