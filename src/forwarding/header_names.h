// The names of the HTTP headers of requests and responses. The defaults are listed here; a platform
// adapter provides its own.
#pragma once

#include <string>
#include <vector>

namespace martenyard::forwarding {

struct HeaderNames {
  std::string request_id = "Request-Id";
  std::string deadline_ms = "Deadline";       ///< Remaining time of the client in milliseconds.
  std::string affinity_cookie = "Affinity";   ///< Cookie shared by requests on the same object.
  std::string prompt_parts = "Prompt-Parts";  ///< Comma-separated list of ID:TOKENS.
  std::string last_event_id = "Last-Event-Id";
  /// Set by a client that resumes a stream: the id of the request whose response had its first
  /// event. Forwarded to runners like any other header.
  std::string resumes = "Resumes";
  std::string expected_runner = "Expected-Runner";
  std::string runner_id = "Runner-Id";
  std::string not_run = "Not-Run";  ///< Set by a runner that did not run the request.
  std::string retry_after = "Retry-After";
  std::string token_usage = "Tokens";  ///< "PROMPT_TOKENS,MAX_OUTPUT_TOKENS".
  std::string priority = "Priority-Rank";
  std::string program = "Program";
  std::string session = "Session";  ///< One for each line of consecutive turns of a program.
  std::string program_deadline_ms = "Program-Deadline";
  std::string token_budget = "Budget";
  std::string previous_turn = "Previous";
  std::string api_key = "Api-Key";  ///< Of a tenant; never forwarded to runners.
  std::string tenant = "Tenant";    ///< Name of the API key's tenant, sent to runners.
  /// Other headers that only this system may send to runners; they are removed from client
  /// requests.
  std::vector<std::string> internal = {"Hold", "Pin", "Copy-To", "Copy-From"};
};

}  // namespace martenyard::forwarding
