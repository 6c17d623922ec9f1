// Builds what an engine is asked from a program's history, and estimates tokens.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "ledger/types.h"

namespace martenyard::gateway {

/// @return about how many tokens `text` has; used where no engine has counted.
ledger::Tokens EstimateTokens(std::string_view text);

/// @return the chat messages (JSON array) of the program's earlier model calls and of `turn`.
std::string BuildMessages(const std::vector<ledger::CallRecord>& history, const std::string& turn);

/// @return a model call's stored result: the assistant's message and the usage, JSON.
std::string BuildModelResult(const std::string& text, std::int64_t prompt_tokens,
                             std::int64_t cached_tokens, std::int64_t completion_tokens);

}  // namespace martenyard::gateway
