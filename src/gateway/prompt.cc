#include "gateway/prompt.h"

#include <nlohmann/json.hpp>

namespace martenyard::gateway {
namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;

}  // namespace

ledger::Tokens EstimateTokens(std::string_view text) {
  return static_cast<ledger::Tokens>((text.size() + kBytesPerToken - 1) / kBytesPerToken);
}

std::string BuildMessages(const std::vector<ledger::CallRecord>& history, const std::string& turn) {
  json messages = json::array();
  auto append_turn = [&](const std::string& text) {
    for (json& message : json::parse(text)) {
      messages.push_back(std::move(message));
    }
  };
  for (const ledger::CallRecord& call : history) {
    if (call.kind != ledger::CallKind::kModel) {
      continue;  // Callers include tool results in their next turn themselves.
    }
    append_turn(call.turn);
    messages.push_back(json::parse(call.result).at("message"));
  }
  append_turn(turn);
  return messages.dump();
}

std::string BuildModelResult(const std::string& text, std::int64_t prompt_tokens,
                             std::int64_t cached_tokens, std::int64_t completion_tokens) {
  json result = {{"message", {{"role", "assistant"}, {"content", text}}},
                 {"usage",
                  {{"prompt_tokens", prompt_tokens},
                   {"cached_tokens", cached_tokens},
                   {"completion_tokens", completion_tokens}}}};
  return result.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace martenyard::gateway
