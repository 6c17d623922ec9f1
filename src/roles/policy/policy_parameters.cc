#include "roles/policy/policy_parameters.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace martenyard::roles
{

Result<void> set_policy_parameters(absl::string_view text, forwarding::ForwardingOptions& options)
{
    const std::map<absl::string_view, double*> parameters = {
        {"most_load", &options.admission.m_max_load},
        {"pause_share", &options.admission.m_retry_delay_share},
        {"tokens_per_ms", &options.choice.tokens_per_ms},
        {"active_cost_ms", &options.choice.active_cost_ms},
        {"engine_wait_ms", &options.choice.engine_wait_ms},
        {"home_ms", &options.choice.home_ms},
        {"other_zone_ms", &options.choice.other_zone_ms},
        {"read_stall_share", &options.choice.read_stall_share},
    };
    for (absl::string_view pair : absl::StrSplit(text, ',', absl::SkipEmpty()))
    {
        std::pair<absl::string_view, absl::string_view> parts = absl::StrSplit(pair, absl::MaxSplits('=', 1));
        auto parameter = parameters.find(parts.first);
        double value = 0;
        if (parameter == parameters.end())
        {
            std::vector<absl::string_view> names;
            for (const auto& [name, target] : parameters)
            {
                names.push_back(name);
            }
            return leaf::new_error(policy_error{absl::StrCat(
                "unknown policy parameter '", parts.first, "', must be one of ", absl::StrJoin(names, ","))});
        }
        if (!absl::SimpleAtod(parts.second, &value) || value < 0)
        {
            return leaf::new_error(policy_error{
                absl::StrCat(parts.first, " must be a non-negative number, got '", parts.second, "'")});
        }
        *parameter->second = value;
    }
    return {};
}

}  // namespace martenyard::roles
