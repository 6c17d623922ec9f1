// A few runners of a plain service fail part of their requests with an error status of their own.
// The client gets a line that is no status line, without the body, beside the runner's signature.
// See claim.txt.
#include <set>

#include "common/stand_ins.h"

using namespace review;

namespace {

// The errors of the failing runner, by turns: 425 (Too Early, RFC 8470) and 529 (a service that is
// overloaded). Without the trouble it answers 500 and 503 with its own signature instead.
constexpr int kErrors[] = {425, 529};
constexpr int kUsualErrors[] = {500, 409};
constexpr int kRequests = 80;

struct Given {
  int status = 0;
  std::string signature;
  std::string body;
};

std::mutex mutex;
std::map<std::string, Given> given;  // What runners answered, by attempt.
std::atomic<int> served_by_first{0};

bool ServeCall(Runner& runner, Socket& socket, const Message& request) {
  std::string id = request.Header("Attempt-Id");
  // One runner of eight fails two of five requests.
  bool failing = runner.id == "i-0";
  int number = failing ? served_by_first++ % 5 : 0;
  bool fails = failing && number < 2;
  const int* errors = Troubled() ? kErrors : kUsualErrors;
  Given answer;
  answer.status = fails ? errors[number] : 200;
  answer.signature = "sig-" + runner.id + "-" + id;
  answer.body = std::string(fails ? "failed " : "done ") + id;
  {
    std::lock_guard<std::mutex> lock(mutex);
    given[id] = answer;
  }
  return socket.Send(
      Whole(answer.status, fails ? "Error" : "OK", id, answer.signature, answer.body));
}

json Route(const std::string& name, const std::string& prefix, const std::string& type) {
  return {{"name", name},  {"host", "bloom.example"}, {"pathPrefix", prefix},
          {"type", type},  {"timeoutMs", 2000},       {"targetLatencyMs", 400},
          {"priority", 2}, {"service", "shop"},       {"maxAttempts", 2}};
}

json Configuration() {
  json service = {{"name", "shop"}, {"healthPath", "/healthz"}, {"maxConnections", 110}};
  return {{"version", 7},
          {"routes", json::array({Route("r-route", "/route/", "idempotent"),
                                  Route("r-card", "/card/", "non_idempotent")})},
          {"services", json::array({service})},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

}  // namespace

int main(int count, char** arguments) {
  if (count != 4) {
    std::cerr << "usage: FOLDER PROGRAM RECORD\n";
    return 2;
  }
  Record record(arguments[3]);
  Store store("127.0.0.1");
  Runners runners(store, ServeCall);
  Deployment deployment(arguments[1], arguments[2], store, HalvorsenBloom());
  deployment.Plan(/*gateways=*/2, /*ledgers=*/3);
  for (int number = 0; number < 8; ++number) {
    runners.Add("i-" + std::to_string(number), "shop",
                HalvorsenBloom().zones[static_cast<std::size_t>(number % 3)], 6);
  }
  runners.Start();
  store.Put("op/config", Configuration().dump());
  deployment.StartAll();
  if (!deployment.AwaitReady(20)) {
    record.Line("the gateways did not become ready");
    return 2;
  }
  SleepMs(4000);
  record.Line(Troubled() ? "with the trouble" : "without the trouble");
  int mixed = 0;
  int failures = 0;
  for (int number = 0; number < kRequests; ++number) {
    std::string id = "call-" + std::to_string(number);
    bool card = number % 2 == 0;
    Machine& machine = deployment.gateway(number % 2);
    Socket socket = ConnectTo(machine.ip, deployment.frontend_port());
    std::string body = "message " + std::to_string(number);
    socket.Send(
        std::string(card ? "POST /card/" : "GET /route/") + "1 HTTP/1.1\r\nHost: " +
        "bloom.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 2000\r\n" +
        (card ? "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body : "\r\n"));
    Message answer = socket.Read(Clock::now() + Milliseconds(2200), true);
    Given expected;
    {
      std::lock_guard<std::mutex> lock(mutex);
      expected = given[id];
    }
    std::string signature = answer.Header("Server-Signature");
    bool failed = expected.status != 200;
    failures += failed ? 1 : 0;
    bool same = answer.Status() == expected.status && answer.body == expected.body;
    bool broken = !signature.empty() && signature == expected.signature && !same;
    mixed += broken ? 1 : 0;
    if (failed || broken) {
      record.Line(id + " at " + machine.name + ": the runner answered " +
                  std::to_string(expected.status) + " with " + expected.signature + " and '" +
                  expected.body + "'; the client got '" + answer.first_line + "' with " +
                  (signature.empty() ? "no signature" : signature) + " and '" + answer.body + "'" +
                  (answer.whole ? "" : ", which does not end before the deadline") +
                  (broken ? "  MIXED" : ""));
    }
  }
  bool processes_ran = true;
  for (auto& machine : deployment.machines()) {
    int status = 0;
    processes_ran = processes_ran && !Deployment::Ended(*machine, status);
    deployment.End(*machine, SIGKILL);
  }
  record.Line("requests: " + std::to_string(kRequests) +
              ", failed by their runner: " + std::to_string(failures) +
              ", with its signature and another status or body: " + std::to_string(mixed));
  int result = mixed > 0 ? 1 : processes_ran && failures > 0 ? 0 : 2;
  record.Line(result == 1 ? "the rule was broken" : result == 0 ? "the rule held" : "did not run");
  std::_Exit(result);
}
