// What a request says of itself in its headers, typed.
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

/// One client attempt's id; a client's retry carries another.
using RequestId = TypedId<struct RequestTag, std::string>;

/// A piece of a prompt. Requests share pieces; a runner that kept one needn't read it again.
struct PromptPart {
  std::uint64_t id = 0;  ///< A hash of the part's name.
  std::uint32_t tokens = 0;
};

struct RequestInfo {
  RequestId id;
  std::optional<absl::Duration> deadline;  ///< How long the client still waits.
  std::string affinity;                    ///< Empty when the request names no object.
  std::vector<PromptPart> prompt;          ///< In order; the last is the request's own.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t most_output_tokens = 0;
  ProgramId program;                          ///< Empty outside programs.
  std::optional<std::uint64_t> token_budget;  ///< What the program may generate in all.
  std::optional<RequestId> previous_turn;     ///< The turn that this one goes on from.
  std::optional<absl::Duration> program_deadline;
  std::string last_event_id;  ///< Of the last event that the client has; empty: none.
};

/// Reads the headers. Unreadable values count as absent.
RequestInfo ReadRequestInfo(const boost::beast::http::fields& fields, const HeaderNames& names);

/// @return the value of cookie `name` in a Cookie header's text; empty when it is not there.
absl::string_view FindCookie(absl::string_view cookies, absl::string_view name);

}  // namespace martenyard::forwarding
