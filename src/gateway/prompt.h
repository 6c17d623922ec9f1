// Builds the messages of a model call from a program's history, and estimates token counts.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "ledger/types.h"

namespace martenyard::gateway {

/// @return an estimate of the tokens in `text`, for texts whose tokens no engine has counted.
ledger::Tokens EstimateTokens(std::string_view text);

/// @return the chat messages (a JSON array) of the program's earlier model calls and of `turn`.
std::string BuildMessages(const std::vector<ledger::CallRecord>& history, const std::string& turn);

/// @return the result stored for a model call: the assistant's message and the usage, as JSON.
std::string BuildModelResult(const std::string& text, std::int64_t prompt_tokens,
                             std::int64_t cached_tokens, std::int64_t completion_tokens);

}  // namespace martenyard::gateway
