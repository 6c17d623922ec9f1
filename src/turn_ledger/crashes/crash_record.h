// Records of the runners that ended under a request, kept as reservations of an account of the request.
//
// Each runner is one reserved token. A budget bounds how many runners a request may be sent to, and settling
// a reservation clears the suspicion. So the layout of log entries and snapshots stays as it was: builds that
// don't know of these records replicate them like any other account.
#pragma once

#include <set>
#include <string>

#include "absl/strings/string_view.h"
#include "turn_ledger/types.h"

namespace martenyard::turn_ledger
{

/// @return the account with the records of a request; no client can name it as its program
ProgramId crash_account(absl::string_view fingerprint);

/// @param[in] runner   names one process of a runner
/// @param[in] request  the id of the client's try that was sent to it
TurnId crash_record(absl::string_view runner, absl::string_view request);

/// @return the runner that a record names
std::string runner_of(const TurnId& record);

/// @return the id of the client's try that a record names
std::string try_of_record(const TurnId& record);

/// the records of one request, over all its tries
using crash_records = std::set<TurnId>;

/// @return the runners that the records name; one counts once, however many tries it ended under
std::set<std::string> runners_of(const crash_records& records);

}  // namespace martenyard::turn_ledger
