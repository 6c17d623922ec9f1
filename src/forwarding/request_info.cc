#include "forwarding/request_info.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "base/hash.h"

namespace martenyard::forwarding {
namespace {

namespace http = boost::beast::http;

absl::string_view Find(const http::fields& fields, const std::string& name) {
  auto found = fields.find(name);
  if (found == fields.end()) {
    return {};
  }
  return {found->value().data(), found->value().size()};
}

template <typename Number>
std::optional<Number> ReadNumber(absl::string_view text) {
  Number value = 0;
  if (!absl::SimpleAtoi(text, &value)) {
    return std::nullopt;
  }
  return value;
}

std::optional<absl::Duration> ReadMilliseconds(absl::string_view text) {
  double milliseconds = 0;
  if (!absl::SimpleAtod(text, &milliseconds) || milliseconds < 0) {
    return std::nullopt;
  }
  return absl::Milliseconds(milliseconds);
}

std::vector<PromptPart> ReadPrompt(absl::string_view text) {
  std::vector<PromptPart> parts;
  for (absl::string_view item : absl::StrSplit(text, ',', absl::SkipWhitespace())) {
    std::size_t colon = item.find(':');
    if (colon == absl::string_view::npos) {
      return {};
    }
    PromptPart part;
    part.id = StableHash(std::string(absl::StripAsciiWhitespace(item.substr(0, colon))));
    part.tokens = ReadNumber<std::uint32_t>(item.substr(colon + 1)).value_or(0);
    parts.push_back(part);
  }
  return parts;
}

}  // namespace

absl::string_view FindCookie(absl::string_view cookies, absl::string_view name) {
  for (absl::string_view pair : absl::StrSplit(cookies, ';')) {
    pair = absl::StripAsciiWhitespace(pair);
    if (absl::ConsumePrefix(&pair, name) && absl::ConsumePrefix(&pair, "=")) {
      return pair;
    }
  }
  return {};
}

RequestInfo ReadRequestInfo(const http::fields& fields, const HeaderNames& names) {
  RequestInfo info;
  info.id = RequestId(std::string(Find(fields, names.request_id)));
  info.deadline = ReadMilliseconds(Find(fields, names.deadline_ms));
  info.affinity = std::string(FindCookie(Find(fields, "Cookie"), names.affinity_cookie));
  info.prompt = ReadPrompt(Find(fields, names.prompt_parts));
  absl::string_view usage = Find(fields, names.token_usage);
  std::size_t comma = usage.find(',');
  if (comma != absl::string_view::npos) {
    info.prompt_tokens = ReadNumber<std::uint32_t>(usage.substr(0, comma)).value_or(0);
    info.max_output_tokens = ReadNumber<std::uint32_t>(usage.substr(comma + 1)).value_or(0);
  }
  info.program = ProgramId(std::string(Find(fields, names.program)));
  info.session = std::string(Find(fields, names.session));
  info.token_budget = ReadNumber<std::uint64_t>(Find(fields, names.token_budget));
  info.program_deadline = ReadMilliseconds(Find(fields, names.program_deadline_ms));
  absl::string_view previous = Find(fields, names.previous_turn);
  if (!previous.empty()) {
    info.previous_turn = RequestId(std::string(previous));
  }
  info.last_event_id = std::string(Find(fields, names.last_event_id));
  absl::string_view resumes = Find(fields, names.resumes);
  if (!resumes.empty()) {
    info.resumes = RequestId(std::string(resumes));
  }
  return info;
}

}  // namespace martenyard::forwarding
