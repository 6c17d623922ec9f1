// The names of the headers that requests and answers carry, as data: the adapter of a platform
// gives its own, the product's defaults stand here.
#pragma once

#include <string>
#include <vector>

namespace martenyard::forwarding {

struct HeaderNames {
  std::string request_id = "Request-Id";
  std::string deadline_ms = "Deadline";       ///< Milliseconds the client still waits.
  std::string affinity_cookie = "Affinity";   ///< A cookie: requests on the same object.
  std::string prompt_parts = "Prompt-Parts";  ///< ID:TOKENS, separated by commas.
  std::string last_event_id = "Last-Event-Id";
  std::string expected_runner = "Expected-Runner";
  std::string runner_id = "Runner-Id";
  std::string not_run = "Not-Run";  ///< The runner did not run the request.
  std::string retry_after = "Retry-After";
  std::string token_usage = "Tokens";  ///< "PROMPT,MOST OUT".
  std::string priority = "Priority-Rank";
  std::string program = "Program";
  std::string program_deadline_ms = "Program-Deadline";
  std::string token_budget = "Budget";
  std::string previous_turn = "Previous";
  std::string api_key = "Api-Key";  ///< Of a tenant; never passed on.
  std::string tenant = "Tenant";    ///< Names the key's tenant to the runner.
  /// Further headers that only this system may send to a runner: what a client sends under such a
  /// name is dropped, whatever it says.
  std::vector<std::string> internal = {"Hold", "Pin", "Copy-To", "Copy-From"};
};

}  // namespace martenyard::forwarding
