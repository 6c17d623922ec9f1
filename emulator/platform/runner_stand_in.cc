#include "emulator/platform/runner_stand_in.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace martenyard::emulator {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using async_http::kAwait;
using async_http::Task;

namespace {

constexpr char kForeignId[] = "foreign00foreign";
/// Longer than any connection lives whose peer acknowledges nothing.
constexpr absl::Duration kSilence = absl::Seconds(20);
constexpr std::uint64_t kBodyLimit = std::uint64_t{8} << 20;

Task<void> Write(async_http::Socket& socket, std::string bytes) {
  co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
}

std::string Head(unsigned status, const std::string& id, const std::string& extra,
                 const std::string& reason = "X") {
  std::string id_field = id.empty() ? "" : absl::StrCat("Attempt-Id: ", id, "\r\n");
  return absl::StrCat("HTTP/1.1 ", absl::Dec(status, absl::kZeroPad3), " ", reason, "\r\n",
                      id_field, extra);
}

std::string Whole(unsigned status, const std::string& id, const std::string& body,
                  const std::string& extra = "") {
  return absl::StrCat(
      Head(status, id, absl::StrCat(extra, "Content-Length: ", body.size(), "\r\n\r\n")), body);
}

bool HasNoBody(unsigned status) { return status == 204 || status == 304; }

std::string Event(int number, const std::string& suffix) {
  return absl::StrCat("id: ", number, "\ndata: event-", number, suffix, "\n\n");
}

std::string WithId(const std::string& text, const std::string& id) {
  return absl::StrReplaceAll(text, {{"@", id}});
}

std::string Chunk(const std::string& bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

void Reset(async_http::Socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

std::string RunnerEntry(const RunnerListing& listing) {
  nlohmann::json entry = {{"service", listing.service},
                          {"address", absl::StrCat("127.0.0.1:", listing.port)},
                          {"zone", listing.zone},
                          {"version", listing.version},
                          {"slots", listing.slots},
                          {"state", listing.state},
                          {"coldRemainingMs", listing.cold_ms},
                          {"sequence", 1}};
  if (listing.born > 0) {
    entry["born"] = listing.born;
  }
  return entry.dump();
}

RunnerStandIn::RunnerStandIn(asio::io_context& context, std::string id, std::uint16_t port)
    : context_(context),
      id_(std::move(id)),
      acceptor_(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port)) {
  asio::co_spawn(context, AcceptAll(), asio::detached);
}

RunnerStandIn::~RunnerStandIn() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void RunnerStandIn::LimitReceiveBuffer(int bytes) {
  acceptor_.set_option(asio::socket_base::receive_buffer_size(bytes));
}

std::uint16_t RunnerStandIn::port() const { return acceptor_.local_endpoint().port(); }

int RunnerStandIn::runs() const {
  return static_cast<int>(std::count_if(seen_.begin(), seen_.end(),
                                        [](const SeenRequest& request) { return request.ran; }));
}

RunnerBehavior RunnerStandIn::NextBehavior() {
  RunnerBehavior next = script_.front();
  if (script_.size() > 1) {
    script_.pop_front();
  }
  return next;
}

Task<void> RunnerStandIn::AcceptAll() {
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwait);
    if (error) {
      co_return;
    }
    asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
  }
}

Task<void> RunnerStandIn::Serve(async_http::Socket socket) {
  boost::beast::flat_buffer buffer;
  while (socket.is_open()) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kBodyLimit);
    auto [head_error, head_bytes] =
        co_await http::async_read_header(socket, buffer, parser, kAwait);
    if (head_error) {
      co_return;
    }
    RunnerBehavior behavior = NextBehavior();
    SeenRequest request;
    for (const auto& field : parser.get()) {
      std::string name = absl::AsciiStrToLower(std::string(field.name_string()));
      request.headers[name] = std::string(field.value());
      request.fields.emplace_back(field.name_string(), field.value());
    }
    request.id = request.headers["attempt-id"];
    request.method = std::string(parser.get().method_string());
    request.target = std::string(parser.get().target());
    if (behavior == RunnerBehavior::kEarly) {
      co_await Write(socket, Whole(503, request.id, "full", "Not-Executed: 1\r\n"));
    }
    if (behavior == RunnerBehavior::kRawEarly) {
      std::string id = request.id;
      request.ran = true;
      seen_.push_back(std::move(request));
      co_await RespondEarly(socket, id);
      co_return;
    }
    auto [error, bytes] = co_await http::async_read(socket, buffer, parser, kAwait);
    if (error) {
      co_return;
    }
    request.body = parser.get().body();
    if (behavior == RunnerBehavior::kEarly) {
      seen_.push_back(std::move(request));
      continue;
    }
    if (!co_await AnswerOne(socket, std::move(request), behavior)) {
      co_return;
    }
  }
}

Task<bool> RunnerStandIn::AnswerOne(async_http::Socket& socket, SeenRequest request,
                                    RunnerBehavior behavior) {
  bool turned_away = behavior == RunnerBehavior::kShed ||
                     behavior == RunnerBehavior::kWrongInstance ||
                     behavior == RunnerBehavior::kRefuseRequest;
  request.ran = !turned_away;
  seen_.push_back(request);
  std::string signature = absl::StrCat("Server-Signature: ", Signature(request), "\r\n");
  std::string body = absl::StrCat("answer to ", request.id);
  bool streams = request.target.find("/stream") != std::string::npos;
  switch (behavior) {
    case RunnerBehavior::kServe:
      if (streams && status / 100 == 2 && !HasNoBody(status)) {
        co_await SendStream(socket, request, behavior);
      } else {
        co_await ServeWhole(socket, request, body);
      }
      co_return true;
    case RunnerBehavior::kServeUnframed:
      co_await Write(socket, Head(200, request.id, absl::StrCat(signature, "\r\n", body)));
      co_return false;
    case RunnerBehavior::kServeThenSurplus:
      co_await Write(socket, absl::StrCat(Whole(200, request.id, body, signature),
                                          Whole(200, kForeignId, "surplus")));
      co_return true;
    case RunnerBehavior::kForeignFirst:
      co_await Write(socket, absl::StrCat(Whole(200, kForeignId, "foreign"),
                                          Whole(200, request.id, body, signature)));
      co_return true;
    case RunnerBehavior::kShed:
      co_await Write(socket, Whole(503, request.id, "full", "Not-Executed: 1\r\n"));
      co_return true;
    case RunnerBehavior::kWrongInstance:
      co_await Write(socket, Whole(421, request.id, "", "Instance-Id: another\r\n"));
      co_return true;
    case RunnerBehavior::kFail:
      co_await Write(socket, Whole(500, request.id, "failed", signature));
      co_return true;
    case RunnerBehavior::kRefuseRequest:
      co_await Write(socket, Whole(400, request.id, "faulty", "Not-Executed: 1\r\n"));
      co_return true;
    case RunnerBehavior::kReset:
      Reset(socket);
      co_return false;
    case RunnerBehavior::kClose:
      co_return false;
    case RunnerBehavior::kCutAnswer:
      co_await Write(socket, Head(200, request.id,
                                  absl::StrCat(signature, "Content-Length: 1000\r\n\r\nhalf")));
      co_return false;
    case RunnerBehavior::kGarbage:
      co_await Write(socket, "\x01\x02 this is no answer\r\n\r\n");
      co_return false;
    case RunnerBehavior::kNoId:
      co_await Write(socket, Whole(200, "", "whose?"));
      co_return true;
    case RunnerBehavior::kHang:
      co_await WaitForClose(socket);
      co_return false;
    case RunnerBehavior::kStreamFromStart:
    case RunnerBehavior::kSkipEvent:
      co_await SendStream(socket, request, behavior);
      co_return true;
    case RunnerBehavior::kBreakMidEvent:
    case RunnerBehavior::kBreakInFirst:
    case RunnerBehavior::kStreamUnframed:
    case RunnerBehavior::kUnframedMidEvent:
      co_await SendStream(socket, request, behavior);
      co_return false;
    case RunnerBehavior::kResetUnframed:
      co_await Write(socket, Head(200, request.id, absl::StrCat(signature, "\r\npart")));
      co_await async_http::Sleep(context_, absl::Milliseconds(5));
      Reset(socket);
      co_return false;
    case RunnerBehavior::kRaw:
      co_await Write(socket, WithId(raw, request.id));
      co_return false;
    case RunnerBehavior::kEarly:
    case RunnerBehavior::kRawEarly:
      co_return true;  // Handled before the body was read.
  }
  co_return false;
}

std::string RunnerStandIn::Signature(const SeenRequest& request) const {
  return absl::StrCat("sig-", id_, "-", request.id);
}

Task<void> RunnerStandIn::ServeWhole(async_http::Socket& socket, const SeenRequest& request,
                                     const std::string& body) {
  std::string fields = absl::StrCat("Server-Signature: ", Signature(request),
                                    "\r\nContent-Length: ", body.size(), "\r\n\r\n");
  std::string text = Head(status, request.id, fields, reason);
  if (request.method != "HEAD" && !HasNoBody(status)) {
    text.append(body);
  }
  co_await Write(socket, std::move(text));
}

Task<void> RunnerStandIn::SendStream(async_http::Socket& socket, const SeenRequest& request,
                                     RunnerBehavior behavior) {
  int first = 1;
  auto last = request.headers.find("last-event-id");
  bool resumes = last != request.headers.end() && absl::SimpleAtoi(last->second, &first);
  if (resumes) {
    ++first;
  }
  if (behavior == RunnerBehavior::kStreamFromStart) {
    first = 1;
  } else if (behavior == RunnerBehavior::kSkipEvent) {
    ++first;
  }
  bool unframed =
      behavior == RunnerBehavior::kStreamUnframed || behavior == RunnerBehavior::kUnframedMidEvent;
  bool breaks = behavior == RunnerBehavior::kBreakMidEvent ||
                behavior == RunnerBehavior::kBreakInFirst ||
                behavior == RunnerBehavior::kUnframedMidEvent;
  auto framed = [unframed](const std::string& bytes) { return unframed ? bytes : Chunk(bytes); };
  co_await Write(socket,
                 Head(status, request.id,
                      absl::StrCat("Server-Signature: ", Signature(request),
                                   "\r\nContent-Type: text/event-stream\r\n",
                                   unframed ? "" : "Transfer-Encoding: chunked\r\n", "\r\n"),
                      reason));
  int end = events;
  if (behavior == RunnerBehavior::kBreakInFirst) {
    end = first - 1;
  } else if (breaks) {
    end = std::min(first + 1, events);
  }
  std::string suffix = events_name_version ? absl::StrCat(" of ", version) : "";
  for (int number = first; number <= end; ++number) {
    co_await Write(socket, framed(Event(number, suffix)));
    if (event_gap > absl::ZeroDuration()) {
      co_await async_http::Sleep(context_, event_gap);
    }
  }
  std::string tail = unframed ? "" : "0\r\n\r\n";
  if (breaks) {
    tail = framed(absl::StrCat("id: ", end + 1, "\nda"));
  }
  co_await Write(socket, std::move(tail));
}

Task<void> RunnerStandIn::RespondEarly(async_http::Socket& socket, const std::string& id) {
  EarlyEnd end = early_end;
  co_await Write(socket, WithId(raw, id));
  boost::system::error_code ignored;
  if (end.finishes) {
    socket.shutdown(asio::socket_base::shutdown_send, ignored);
  }
  if (end.after > absl::ZeroDuration()) {
    co_await async_http::Sleep(context_, end.after);
  }
  if (end.kind == EarlyEnd::Kind::kReset) {
    Reset(socket);
  } else if (end.kind == EarlyEnd::Kind::kSilence) {
    co_await async_http::Sleep(context_, kSilence);
  }
}

Task<void> RunnerStandIn::WaitForClose(async_http::Socket& socket) {
  char byte = 0;
  co_await socket.async_read_some(asio::buffer(&byte, 1), kAwait);
  ++abandoned_;
}

}  // namespace martenyard::emulator
