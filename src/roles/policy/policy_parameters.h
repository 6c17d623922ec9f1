// Tuning parameters of the forwarding policies, set as name=value pairs.
#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "base/errors.h"
#include "forwarding/gateway_state.h"
#include "roles/policy/policy_switches.h"

namespace martenyard::roles
{

/// @brief sets the parameters in the options
/// @param[in] text  comma-separated pairs, such as "most_load=0.8,home_ms=12"; may be empty
/// Errors: policy_error names the unknown parameter or the invalid value.
Result<void> set_policy_parameters(absl::string_view text, forwarding::ForwardingOptions& options);

}  // namespace martenyard::roles
