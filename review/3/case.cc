// A client sends a request whose body holds the bytes of another request. Its framing field names a
// coding that is not the last one known, so that the length of the body can't be told. See
// claim.txt.
#include "common/stand_ins.h"

using namespace review;

namespace {

std::mutex mutex;
std::map<std::string, std::string> ran;  // The first line of what a runner ran, by attempt.

bool ServeCall(Runner& runner, Socket& socket, const Message& request) {
  std::string id = request.Header("Attempt-Id");
  {
    std::lock_guard<std::mutex> lock(mutex);
    ran[id] = request.first_line + ", body of " + std::to_string(request.body.size()) + " bytes";
  }
  return socket.Send(Whole(200, "OK", id, "sig-" + runner.id + "-" + id, "done " + id));
}

std::string RunOf(const std::string& id) {
  std::lock_guard<std::mutex> lock(mutex);
  auto found = ran.find(id);
  return found == ran.end() ? "" : found->second;
}

json Configuration() {
  json route = {{"name", "r-card"},       {"host", "bloom.example"},
                {"pathPrefix", "/card/"}, {"type", "non_idempotent"},
                {"timeoutMs", 2000},      {"targetLatencyMs", 400},
                {"priority", 2},          {"service", "shop"},
                {"maxAttempts", 1}};
  json service = {{"name", "shop"}, {"healthPath", "/healthz"}, {"maxConnections", 110}};
  return {{"version", 7},
          {"routes", json::array({route})},
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
  for (int number = 0; number < 4; ++number) {
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
  bool troubled = Troubled();
  record.Line(troubled ? "with the trouble" : "without the trouble");
  int smuggled = 0;
  int changed = 0;
  int served = 0;
  const char* codings[] = {"identity", "chunked, identity", "gzip"};
  for (int number = 0; number < 6; ++number) {
    std::string outer = "outer-" + std::to_string(number);
    std::string inner = "inner-" + std::to_string(number);
    std::string body = "POST /card/refund HTTP/1.1\r\nHost: bloom.example\r\nAttempt-Id: " + inner +
                       "\r\nContent-Length: 0\r\n\r\n";
    std::string coding = codings[number % 3];
    std::string framing = troubled ? "Transfer-Encoding: " + coding
                                   : "Content-Length: " + std::to_string(body.size());
    Machine& machine = deployment.gateway(number % 2);
    Socket socket = ConnectTo(machine.ip, deployment.frontend_port());
    socket.Send("POST /card/1 HTTP/1.1\r\nHost: bloom.example\r\nAttempt-Id: " + outer +
                "\r\nDeadline-Ms: 2000\r\n" + framing + "\r\n\r\n" + body);
    Message answer = socket.Read(Clock::now() + Milliseconds(2500), true);
    SleepMs(500);
    std::string outer_run = RunOf(outer);
    std::string inner_run = RunOf(inner);
    std::string sent_as = ", body of " + std::to_string(body.size()) + " bytes";
    served += answer.Status() == 200 ? 1 : 0;
    smuggled += inner_run.empty() ? 0 : 1;
    changed += !outer_run.empty() && outer_run.find(sent_as) == std::string::npos ? 1 : 0;
    record.Line("sent " + outer + " at " + machine.name + " with '" + framing + "' and a body of " +
                std::to_string(body.size()) + " bytes that holds " + inner + ": answered '" +
                answer.first_line + "'; a runner ran the outer one as: " +
                (outer_run.empty() ? "(not run)" : outer_run) + "; the inner one as: " +
                (inner_run.empty() ? "(not run)" : inner_run + "  UNASKED"));
  }
  bool processes_ran = true;
  for (auto& machine : deployment.machines()) {
    int status = 0;
    processes_ran = processes_ran && !Deployment::Ended(*machine, status);
    deployment.End(*machine, SIGKILL);
  }
  record.Line("requests that ran though they were only bytes of another one's body: " +
              std::to_string(smuggled) +
              "; outer ones that ran with another body: " + std::to_string(changed));
  int result = smuggled > 0 ? 1 : processes_ran && (troubled || served == 6) ? 0 : 2;
  record.Line(result == 1 ? "the rule was broken" : result == 0 ? "the rule held" : "did not run");
  std::_Exit(result);
}
