// Named figures of the policies that an operator, or a trial, may set: name=value pairs.
#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "base/errors.h"
#include "forwarding/gateway_state.h"
#include "roles/policy/policy_switches.h"

namespace martenyard::roles
{

/// @brief puts the figures into the options
/// @param[in] text  pairs with commas between them, such as "most_load=0.8,home_ms=12"; may be empty
/// Errors: policy_error names the unknown or unreadable one.
Result<void> set_knobs(absl::string_view text, forwarding::ForwardingOptions& options);

}  // namespace martenyard::roles
