// Parses the headers of a request that are relevant to forwarding.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/ids.h"
#include "forwarding/header_names.h"

namespace martenyard::forwarding {

/// Id of one client attempt; each retry of the client has its own.
using RequestId = TypedId<struct RequestTag, std::string>;

/// A part of a prompt. Parts are shared between requests and cached by the runners' engines.
struct PromptPart {
  std::uint64_t id = 0;  ///< A hash of the part's name.
  std::uint32_t tokens = 0;
};

struct RequestInfo {
  RequestId id;
  std::optional<absl::Duration> deadline;  ///< Remaining time of the client.
  std::string affinity;                    ///< Empty without an affinity cookie.
  std::vector<PromptPart> prompt;          ///< In order; the last part is the request's own.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  ProgramId program;                          ///< Empty for requests outside of programs.
  std::string session;                        ///< The line of consecutive turns; may be empty.
  std::optional<std::uint64_t> token_budget;  ///< Output tokens allowed for the whole program.
  std::optional<RequestId> previous_turn;     ///< The turn that this one continues.
  std::optional<absl::Duration> program_deadline;
  std::string last_event_id;         ///< The last event that the client has received; may be empty.
  std::optional<RequestId> resumes;  ///< The request that delivered the first event of the stream.
};

/// Parses the headers. Malformed values are treated as absent.
RequestInfo ReadRequestInfo(const boost::beast::http::fields& fields, const HeaderNames& names);

/// @return the value of cookie `name` in the value of a Cookie header, or empty if absent.
absl::string_view FindCookie(absl::string_view cookies, absl::string_view name);

}  // namespace martenyard::forwarding
