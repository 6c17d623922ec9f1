#include "emulator/platform/store_stand_in.h"

#include <boost/beast/http/message.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "base/clock.h"

namespace martenyard::emulator {

using async_http::Task;
using nlohmann::json;

namespace {

constexpr std::size_t kPage = 50;
constexpr absl::Duration kForever = absl::Seconds(3600);

std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      plain.push_back(static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16)));
      at += 2;
    } else {
      plain.push_back(text[at]);
    }
  }
  return plain;
}

std::map<std::string, std::string> ReadQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return query;
  }
  std::vector<std::string> pairs = absl::StrSplit(target.substr(mark + 1), '&');
  for (const std::string& pair : pairs) {
    std::pair<std::string, std::string> both = absl::StrSplit(pair, absl::MaxSplits('=', 1));
    query[both.first] = Unescape(both.second);
  }
  return query;
}

std::uint64_t ReadNumber(const std::string& text) {
  std::uint64_t value = 0;
  return absl::SimpleAtoi(text, &value) ? value : 0;
}

Task<void> Reply(async_http::Exchange& exchange, unsigned status, std::string body) {
  async_http::HttpHead head = async_http::MakeHead(status);
  head.set("Content-Type", "application/json");
  co_await exchange.Send(std::move(head), std::move(body));
}

void ListenOn(async_http::Server& server, std::uint16_t port) {
  Recover<async_http::ServerError>(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(server.Listen({"127.0.0.1", port}));
        return 0;
      },
      [](const async_http::ServerError&) { return 1; });
}

}  // namespace

StoreStandIn::Door::Door(async_http::asio::io_context& context, StoreStandIn& store)
    : server_(context, [this, &store](std::shared_ptr<async_http::Exchange> exchange) {
        return store.Answer(std::move(exchange), faults_);
      }) {
  ListenOn(server_, 0);
}

StoreStandIn::StoreStandIn(async_http::asio::io_context& context)
    : context_(context),
      server_(context,
              [this](std::shared_ptr<async_http::Exchange> exchange) {
                return Answer(std::move(exchange), faults_);
              }),
      changed_(context) {}

StoreStandIn::Door& StoreStandIn::OpenDoor() {
  return *doors_.emplace_back(std::make_unique<Door>(context_, *this));
}

void StoreStandIn::Listen(std::uint16_t port) { ListenOn(server_, port); }

std::uint64_t StoreStandIn::Put(const std::string& key, const std::string& value) {
  Record& record = records_[key];
  record.value = value;
  record.revision = ++revision_;
  record.created = record.created == 0 ? revision_ : record.created;
  history_.push_back({key, revision_, false, value});
  changed_.Notify();
  return revision_;
}

void StoreStandIn::Remove(const std::string& key) {
  if (records_.erase(key) == 0) {
    return;
  }
  history_.push_back({key, ++revision_, true, ""});
  changed_.Notify();
}

void StoreStandIn::Compact() {
  history_.clear();
  forgotten_ = revision_;
  changed_.Notify();
}

void StoreStandIn::EndWaiting(Waiting end) {
  waiting_end_ = end;
  ++waiting_ended_;
  changed_.Notify();
}

std::string StoreStandIn::Value(const std::string& key) const {
  auto found = records_.find(key);
  return found == records_.end() ? "" : found->second.value;
}

Task<void> StoreStandIn::Answer(std::shared_ptr<async_http::Exchange> exchange,
                                const StoreFaults& own) {
  ++calls_;
  if (faults_.silent || own.silent) {
    co_await async_http::Sleep(context_, kForever);
  }
  if (faults_.reset || own.reset) {
    exchange->Break();
    co_return;
  }
  if (faults_.delay > absl::ZeroDuration()) {
    co_await async_http::Sleep(context_, faults_.delay);
  }
  if (faults_.down || own.down) {
    co_await Reply(*exchange, 503, "{}");
    co_return;
  }
  if (faults_.throttle || own.throttle) {
    co_await Reply(*exchange, 429, "{}");
    co_return;
  }
  if (faults_.garble) {
    co_await Reply(*exchange, 200, "not a document");
    co_return;
  }
  std::string target(exchange->request().target());
  std::string path = target.substr(0, target.find('?'));
  auto query = ReadQuery(target);
  unsigned status = 200;
  std::string body;
  if (path == "/kv-watch") {
    co_await Watch(*exchange, std::move(query), own);
    co_return;
  }
  if (path == "/kv-key") {
    body = Get(query["privateKey"], &status);
  } else if (path == "/kv-range") {
    body = Range(query["pathPrefix"], query["after"]);
  } else if (path == "/kv-txn") {
    body = Commit(exchange->request().body(), &status);
  } else {
    status = 404;
  }
  if (faults_.lose_answers) {
    exchange->Break();
    co_return;
  }
  co_await Reply(*exchange, status, body);
}

std::string StoreStandIn::ChangesAfter(std::uint64_t after, const std::string& prefix,
                                       bool* any) const {
  json events = json::array();
  for (const Change& change : history_) {
    if (change.revision <= after || !absl::StartsWith(change.key, prefix)) {
      continue;
    }
    json event = {{"privateKey", change.key}, {"revision", change.revision}};
    if (change.removed) {
      event["compacted"] = true;
    } else {
      event["value"] = absl::Base64Escape(change.value);
    }
    events.push_back(std::move(event));
  }
  *any = !events.empty();
  return json{{"events", events}, {"timestamp", revision_}}.dump();
}

Task<void> StoreStandIn::Watch(async_http::Exchange& exchange,
                               std::map<std::string, std::string> query, const StoreFaults& own) {
  std::uint64_t after = ReadNumber(query["after"]);
  absl::Time end = SteadyNow() + absl::Milliseconds(ReadNumber(query["waitMs"]));
  std::string body = "{}";
  unsigned status = 200;
  bool any = false;
  std::uint64_t ended = waiting_ended_;
  while (true) {
    bool reset = ended != waiting_ended_ && waiting_end_ == Waiting::kReset;
    if (reset || own.reset) {
      exchange.Break();
      co_return;
    }
    if (ended != waiting_ended_) {
      co_await async_http::Sleep(context_, kForever);
    }
    if (after < forgotten_) {
      status = 410;
      break;
    }
    body = ChangesAfter(after, query["pathPrefix"], &any);
    if (any || faults_.hasty || SteadyNow() >= end) {
      break;
    }
    co_await changed_.Wait(end - SteadyNow());
  }
  co_await Reply(exchange, status, body);
}

std::string StoreStandIn::Get(const std::string& key, unsigned* status) const {
  auto found = records_.find(key);
  if (found == records_.end()) {
    *status = 404;
    return "{}";
  }
  return json{{"privateKey", key},
              {"value", absl::Base64Escape(found->second.value)},
              {"revision", found->second.revision},
              {"timestamp", revision_}}
      .dump();
}

std::string StoreStandIn::Range(const std::string& prefix, const std::string& after) const {
  json items = json::array();
  bool more = false;
  for (const auto& [key, record] : records_) {
    if (!absl::StartsWith(key, prefix) || key <= after) {
      continue;
    }
    if (items.size() == kPage) {
      more = true;
      break;
    }
    items.push_back({{"privateKey", key},
                     {"value", absl::Base64Escape(record.value)},
                     {"revision", record.revision}});
  }
  return json{{"items", items}, {"hasMore", more}, {"timestamp", revision_}}.dump();
}

std::string StoreStandIn::Commit(const std::string& body, unsigned* status) {
  json request = json::parse(body, nullptr, /*allow_exceptions=*/false);
  for (const json& condition : request["expectedRevision"]) {
    auto found = records_.find(condition["privateKey"].get<std::string>());
    std::uint64_t present = found == records_.end() ? 0 : found->second.revision;
    if (present != condition["revision"].get<std::uint64_t>()) {
      *status = 412;
      return "{}";
    }
  }
  for (const json& put : request["put"]) {
    std::string value;
    absl::Base64Unescape(put["value"].get<std::string>(), &value);
    Put(put["privateKey"].get<std::string>(), value);
  }
  for (const json& key : request["remove"]) {
    Remove(key.get<std::string>());
  }
  return json{{"revision", revision_}}.dump();
}

}  // namespace martenyard::emulator
