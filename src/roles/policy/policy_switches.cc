#include "roles/policy/policy_switches.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace martenyard::roles
{
namespace
{

struct named_mechanism
{
    mechanism m_mechanism;
    absl::string_view m_name;
};

constexpr std::array named_mechanisms = {
    named_mechanism{mechanism::zone_cost, "zone_cost"},
    named_mechanism{mechanism::home, "home"},
    named_mechanism{mechanism::kept_prompts, "kept_prompts"},
    named_mechanism{mechanism::waiting_cost, "waiting_cost"},
    named_mechanism{mechanism::active_cost, "active_cost"},
    named_mechanism{mechanism::loss_rates, "loss_rates"},
    named_mechanism{mechanism::avoidance, "avoidance"},
    named_mechanism{mechanism::peer_loads, "peer_loads"},
    named_mechanism{mechanism::turn_places, "turn_places"},
    named_mechanism{mechanism::silence_limit, "silence_limit"},
    named_mechanism{mechanism::chain_cache, "chain_cache"},
    named_mechanism{mechanism::replica_chains, "replica_chains"},
    named_mechanism{mechanism::readiness, "readiness"},
    named_mechanism{mechanism::relays, "relays"},
    named_mechanism{mechanism::peer_news, "peer_news"},
    named_mechanism{mechanism::silence_refusal, "silence_refusal"},
    named_mechanism{mechanism::overload_refusal, "overload_refusal"},
    named_mechanism{mechanism::program_admission, "program_admission"},
    named_mechanism{mechanism::hand_back, "hand_back"},
    named_mechanism{mechanism::zone_isolation, "zone_isolation"},
    named_mechanism{mechanism::zone_reachability, "zone_reachability"},
    named_mechanism{mechanism::rank_admission, "rank_admission"},
    named_mechanism{mechanism::adaptive_limit, "adaptive_limit"},
    named_mechanism{mechanism::waiting_programs, "waiting_programs"},
    named_mechanism{mechanism::runner_speeds, "runner_speeds"},
    named_mechanism{mechanism::memory_placement, "memory_placement"},
    named_mechanism{mechanism::load_bound, "load_bound"},
};

std::string join_names(const std::vector<absl::string_view>& names)
{
    return absl::StrJoin(names, ",");
}

}  // namespace

Result<policy_switches> policy_switches::parse(absl::string_view disabled)
{
    policy_switches switches;
    for (absl::string_view name : absl::StrSplit(disabled, ',', absl::SkipEmpty()))
    {
        auto found = std::find_if(named_mechanisms.begin(), named_mechanisms.end(),
                                  [name](const named_mechanism& known)
                                  {
                                      return known.m_name == name;
                                  });
        if (found == named_mechanisms.end())
        {
            std::vector<absl::string_view> names;
            std::transform(named_mechanisms.begin(), named_mechanisms.end(), std::back_inserter(names),
                           [](const named_mechanism& known)
                           {
                               return known.m_name;
                           });
            return leaf::new_error(policy_error{
                absl::StrCat("unknown mechanism '", name, "', must be one of ", join_names(names))});
        }
        switches.m_disabled.insert(found->m_mechanism);
    }
    return switches;
}

bool policy_switches::enabled(mechanism which) const
{
    return !m_disabled.contains(which);
}

std::string policy_switches::disabled_names() const
{
    std::vector<absl::string_view> names;
    for (const named_mechanism& known : named_mechanisms)
    {
        if (!enabled(known.m_mechanism))
        {
            names.push_back(known.m_name);
        }
    }
    return join_names(names);
}

}  // namespace martenyard::roles
