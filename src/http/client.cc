#include "http/client.h"

#include <curl/curl.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"
#include "async_http/field_syntax.h"

namespace martenyard::http {
namespace {

constexpr int kPollMilliseconds = 1000;
constexpr long kMaxIdleConnections = 256;
constexpr absl::string_view kStatusLineStart = "HTTP/";
constexpr std::size_t kVersionSize = sizeof("HTTP/1.1") - 1;
constexpr std::size_t kStatusDigits = 3;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr absl::string_view kLengthHeader = "content-length:";
constexpr absl::string_view kChunksHeader = "transfer-encoding:";

/// State of one transfer; owned by the client's thread once started.
struct Transfer {
  TransferId id = 0;
  ClientRequest request;
  DataCallback on_data;
  DoneCallback on_done;
  ClientResult result;
  std::size_t header_bytes = 0;
  int latest_status = 0;    ///< Of the latest status line; interim responses have one, too.
  bool head_ended = false;  ///< The header section of the final response is complete.
  std::string failure;      ///< Set by the callback that fails the transfer.
  CURL* handle = nullptr;
  curl_slist* headers = nullptr;

  ~Transfer() {
    if (handle != nullptr) {
      curl_easy_cleanup(handle);
    }
    curl_slist_free_all(headers);
  }
};

bool IsSuccess(int status) { return status >= 200 && status < 300; }

/// @param line without its end.
/// @return the status; 0 if the line is not a valid status line of HTTP/1.0 or HTTP/1.1.
int ReadStatusLine(absl::string_view line) {
  absl::string_view version = line.substr(0, kVersionSize);
  absl::string_view rest = line.substr(version.size());
  if ((version != "HTTP/1.0" && version != "HTTP/1.1") || !absl::ConsumePrefix(&rest, " ")) {
    return 0;
  }
  absl::string_view digits = rest.substr(0, kStatusDigits);
  absl::string_view reason = rest.substr(digits.size());
  int status = 0;
  bool valid = digits.size() == kStatusDigits &&
               std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit) &&
               absl::SimpleAtoi(digits, &status) && status >= kFirstStatus &&
               (reason.empty() || reason.front() == ' ') &&
               async_http::IsFieldValue(async_http::StripOptionalWhitespace(reason));
  return valid ? status : 0;
}

/// @param line without its end.
bool IsFieldLine(absl::string_view line) {
  std::size_t colon = line.find(':');
  return colon != absl::string_view::npos && async_http::IsFieldName(line.substr(0, colon)) &&
         async_http::IsFieldValue(async_http::StripOptionalWhitespace(line.substr(colon + 1)));
}

/// Follows the header sections of a transfer's responses, line by line.
/// @param line without its end.
/// @return false if the line is invalid.
bool AcceptHeaderLine(Transfer& transfer, absl::string_view line) {
  if (line.empty()) {
    transfer.head_ended = transfer.latest_status >= kFirstFinalStatus;
    return true;
  }
  if (transfer.head_ended || !absl::StartsWith(line, kStatusLineStart)) {
    return IsFieldLine(line);
  }
  transfer.latest_status = ReadStatusLine(line);
  transfer.result.framed = false;  // A status line starts a new response.
  return transfer.latest_status != 0;
}

std::size_t ReceiveBody(char* data, std::size_t size, std::size_t count, void* context) {
  auto& transfer = *static_cast<Transfer*>(context);
  std::string_view chunk(data, size * count);
  long status = 0;
  curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
  if (transfer.on_data && IsSuccess(static_cast<int>(status))) {
    transfer.on_data(chunk);
  } else if (chunk.size() > transfer.request.max_body_bytes - transfer.result.body.size()) {
    transfer.result.body = std::string();
    transfer.failure =
        absl::StrCat("the response body exceeds ", transfer.request.max_body_bytes, " bytes");
    return 0;
  } else {
    transfer.result.body.append(chunk);
  }
  return chunk.size();
}

/// Called for each header line, including those of interim (1xx) responses and trailers.
std::size_t ReceiveHeader(char* data, std::size_t size, std::size_t count, void* context) {
  auto& transfer = *static_cast<Transfer*>(context);
  absl::string_view line(data, size * count);
  if (line.size() > transfer.request.max_header_bytes - transfer.header_bytes) {
    transfer.failure = absl::StrCat("the response's header lines exceed ",
                                    transfer.request.max_header_bytes, " bytes");
    return 0;
  }
  transfer.header_bytes += line.size();
  // libcurl accepts much that is no header line, such as blanks in names, and ignores or joins it.
  if (!AcceptHeaderLine(transfer, absl::StripSuffix(absl::StripSuffix(line, "\n"), "\r"))) {
    transfer.failure = "the response has an invalid header line";
    return 0;
  }
  for (absl::string_view name : {kLengthHeader, kChunksHeader}) {
    transfer.result.framed = transfer.result.framed || absl::StartsWithIgnoreCase(line, name);
  }
  return line.size();
}

void Configure(Transfer& transfer) {
  const ClientRequest& request = transfer.request;
  CURL* handle = curl_easy_init();
  transfer.handle = handle;
  for (const std::string& line : request.headers) {
    transfer.headers = curl_slist_append(transfer.headers, line.c_str());
  }
  transfer.headers = curl_slist_append(transfer.headers, "Expect:");
  curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headers);
  if (!request.body.empty() || request.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.c_str());
  }
  if (request.timeout != absl::InfiniteDuration()) {
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(absl::ToInt64Milliseconds(request.timeout)));
  }
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(absl::ToInt64Milliseconds(request.connect_timeout)));
  if (request.send_once) {
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE,
                     1L);  // The connection must not return to the pool.
  }
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &ReceiveBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &ReceiveHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
}

void Complete(Transfer& transfer, CURLcode code) {
  long status = 0;
  long request_bytes = 0;
  curl_off_t retry_after = 0;
  curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(transfer.handle, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo(transfer.handle, CURLINFO_RETRY_AFTER, &retry_after);
  transfer.result.status = transfer.head_ended ? static_cast<int>(status) : 0;
  transfer.result.connected = request_bytes > 0;
  if (retry_after > 0) {
    transfer.result.retry_after_seconds = static_cast<int>(retry_after);
  }
  if (code != CURLE_OK) {
    transfer.result.error = transfer.failure.empty() ? curl_easy_strerror(code) : transfer.failure;
  } else if (!transfer.head_ended) {
    // libcurl reports success if the connection ends within the header section.
    transfer.result.error = "the response ended within its header section";
  }
  transfer.on_done(std::move(transfer.result));
}

class CurlClient : public Client {
 public:
  CurlClient() {
    static const bool initialised = curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK;
    (void)initialised;
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    thread_ = std::thread([this] { Run(); });
  }

  ~CurlClient() override {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    curl_multi_wakeup(multi_);
    thread_.join();
    curl_multi_cleanup(multi_);
  }

  TransferId Start(ClientRequest request, DataCallback on_data, DoneCallback on_done) override {
    auto transfer = std::make_unique<Transfer>();
    transfer->request = std::move(request);
    transfer->on_data = std::move(on_data);
    transfer->on_done = std::move(on_done);
    TransferId id = 0;
    {
      std::lock_guard lock(mutex_);
      id = ++last_id_;
      transfer->id = id;
      starting_.push_back(std::move(transfer));
    }
    curl_multi_wakeup(multi_);
    return id;
  }

  void Cancel(TransferId id) override {
    {
      std::lock_guard lock(mutex_);
      cancelling_.push_back(id);
    }
    curl_multi_wakeup(multi_);
  }

 private:
  void Run() {
    while (ProcessPending()) {
      int running = 0;
      curl_multi_perform(multi_, &running);
      FinishTransfers();
      curl_multi_poll(multi_, nullptr, 0, kPollMilliseconds, nullptr);
    }
    for (auto& [id, transfer] : running_) {
      curl_multi_remove_handle(multi_, transfer->handle);
    }
    running_.clear();
  }

  /// Processes requests of other threads. @return false when the client stops.
  bool ProcessPending() {
    std::deque<std::unique_ptr<Transfer>> starting;
    std::deque<TransferId> cancelling;
    {
      std::lock_guard lock(mutex_);
      if (stopping_) {
        return false;
      }
      starting.swap(starting_);
      cancelling.swap(cancelling_);
    }
    for (auto& transfer : starting) {
      Configure(*transfer);
      curl_multi_add_handle(multi_, transfer->handle);
      running_.emplace(transfer->id, std::move(transfer));
    }
    for (TransferId id : cancelling) {
      auto found = running_.find(id);
      if (found != running_.end()) {
        curl_multi_remove_handle(multi_, found->second->handle);
        running_.erase(found);
      }
    }
    return true;
  }

  void FinishTransfers() {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Transfer* transfer = nullptr;
      CURLcode code = message->data.result;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      curl_multi_remove_handle(multi_, transfer->handle);
      auto node = running_.extract(transfer->id);
      Complete(*node.mapped(), code);
    }
  }

  CURLM* multi_;
  std::mutex mutex_;
  bool stopping_ = false;
  TransferId last_id_ = 0;
  std::deque<std::unique_ptr<Transfer>> starting_;
  std::deque<TransferId> cancelling_;
  std::map<TransferId, std::unique_ptr<Transfer>>
      running_;  // Accessed by the client's thread only.
  std::thread thread_;
};

}  // namespace

ClientResult Client::Fetch(ClientRequest request) {
  return FetchStreaming(std::move(request), nullptr);
}

ClientResult Client::FetchStreaming(ClientRequest request, DataCallback on_data) {
  struct Waiter {
    std::mutex mutex;
    std::condition_variable ended;
    std::optional<ClientResult> result;
  };
  auto waiter = std::make_shared<Waiter>();
  Start(std::move(request), std::move(on_data), [waiter](ClientResult result) {
    std::lock_guard lock(waiter->mutex);
    waiter->result = std::move(result);
    waiter->ended.notify_all();
  });
  std::unique_lock lock(waiter->mutex);
  waiter->ended.wait(lock, [&] { return waiter->result.has_value(); });
  return std::move(*waiter->result);
}

std::unique_ptr<Client> Client::Create() { return std::make_unique<CurlClient>(); }

}  // namespace martenyard::http
