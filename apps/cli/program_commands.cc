// Commands of callers, and the status of the system.
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "absl/flags/flag.h"
#include "base/random.h"
#include "cli.h"
#include "clients/sse.h"

ABSL_FLAG(std::string, partner, "", "program create: the partner's name.");
ABSL_FLAG(std::string, program, "", "program create: the program's name in the bundle.");
ABSL_FLAG(std::string, id, "", "program create: the id to use; else one is made.");
ABSL_FLAG(std::string, parent, "", "program create: the program this one is a sub-agent of.");
ABSL_FLAG(std::string, kind, "model", "program call: model, tool or application.");
ABSL_FLAG(std::string, service, "", "program call: the model, tool or application.");
ABSL_FLAG(std::string, message, "", "program call: the user's message, for a model.");
ABSL_FLAG(std::string, arguments, "{}", "program call: JSON, for a tool or application.");
ABSL_FLAG(std::int64_t, max_tokens, 0, "program call: most tokens to generate.");
ABSL_FLAG(std::int64_t, deadline_ms, 0, "program call: milliseconds until it is given up.");
ABSL_FLAG(bool, stream, false, "program call: print a model's answer as it comes.");

namespace martenyard::cli {
namespace {

using nlohmann::json;

int Create(const Arguments& /*arguments*/) {
  json body = {{"partner", absl::GetFlag(FLAGS_partner)},
               {"program", absl::GetFlag(FLAGS_program)}};
  if (!absl::GetFlag(FLAGS_id).empty()) {
    body["program_id"] = absl::GetFlag(FLAGS_id);
  }
  if (!absl::GetFlag(FLAGS_parent).empty()) {
    body["parent_id"] = absl::GetFlag(FLAGS_parent);
  }
  return Report(Send("POST", "/v1/programs", body.dump()));
}

json CallBody() {
  json body = {{"kind", absl::GetFlag(FLAGS_kind)}, {"service", absl::GetFlag(FLAGS_service)}};
  if (absl::GetFlag(FLAGS_kind) == "model") {
    body["messages"] = json::array({{{"role", "user"}, {"content", absl::GetFlag(FLAGS_message)}}});
  } else {
    body["arguments"] = json::parse(absl::GetFlag(FLAGS_arguments), nullptr, false);
  }
  if (absl::GetFlag(FLAGS_max_tokens) > 0) {
    body["max_tokens"] = absl::GetFlag(FLAGS_max_tokens);
  }
  if (absl::GetFlag(FLAGS_deadline_ms) > 0) {
    body["deadline_ms"] = absl::GetFlag(FLAGS_deadline_ms);
  }
  if (absl::GetFlag(FLAGS_stream)) {
    body["stream"] = true;
  }
  return body;
}

/// Prints a stream's text as it comes. @return the exit code its last event calls for.
int Stream(const std::string& path, const json& body, const std::string& key) {
  CommonFlags flags = ReadCommonFlags();
  int code = kExitUnknown;
  std::string raw;
  clients::SseParser parser([&](const std::string& event, const std::string& data) {
    json value = json::parse(data, nullptr, false);
    if (event.empty()) {
      std::cout << value.value("text", "") << std::flush;
    } else if (event == "done") {
      std::cout << std::endl;
      code = kExitOk;
    } else {
      std::cout << std::endl;
      code = Complain(kExitUnavailable, value.value("title", "the call failed"));
    }
  });
  http::ClientRequest request;
  request.method = "POST";
  request.url = flags.server + path;
  request.body = body.dump();
  request.headers = {"Idempotency-Key: " + key, "Authorization: Bearer " + flags.token};
  request.timeout = absl::InfiniteDuration();
  std::unique_ptr<http::Client> client = http::Client::Create();
  http::ClientResult ended =
      client->FetchStreaming(std::move(request), [&](std::string_view bytes) {
        raw.append(bytes);
        parser.Feed(bytes);
      });
  if (!ended.ok()) {
    if (ended.body.empty()) {
      ended.body = raw;  // What came of a successful answer before it broke off.
    }
    return Report(ended);
  }
  return code;
}

int Call(const Arguments& arguments) {
  std::string key = ReadCommonFlags().key;
  if (key.empty()) {
    key = "cli-" + std::to_string(Random(SystemSeed()).NextId());
  }
  json body = CallBody();
  if (body.contains("arguments") && body["arguments"].is_discarded()) {
    return Complain(kExitUsage, "--arguments must be JSON");
  }
  std::string path = "/v1/programs/" + arguments[0] + "/calls";
  if (absl::GetFlag(FLAGS_stream)) {
    return Stream(path, body, key);
  }
  return Report(Send("POST", path, body.dump(), {"Idempotency-Key: " + key}));
}

int Show(const Arguments& arguments) { return Report(Send("GET", "/v1/programs/" + arguments[0])); }

int History(const Arguments& arguments) {
  return Report(Send("GET", "/v1/programs/" + arguments[0] + "/history"));
}

int End(const Arguments& arguments) {
  return Report(Send("DELETE", "/v1/programs/" + arguments[0]));
}

int Status(const Arguments& /*arguments*/) { return Report(Send("GET", "/v1/operator/status")); }

}  // namespace

std::vector<Command> ProgramCommands() {
  return {
      {"program create", "--partner P --program NAME [--id ID] [--parent ID]", "Starts a program.",
       0, Create},
      {"program call", "ID --service S [--kind K] [--message TEXT | --arguments JSON] [--key KEY]",
       "Makes one call of a program; the same key again gives the same answer.", 1, Call},
      {"program show", "ID", "Shows a program's state and budget.", 1, Show},
      {"program history", "ID", "Shows a program's turns.", 1, History},
      {"program end", "ID", "Ends a program.", 1, End},
      {"status", "[--server URL]", "Shows members, groups, bundles and back ends.", 0, Status},
  };
}

}  // namespace martenyard::cli
