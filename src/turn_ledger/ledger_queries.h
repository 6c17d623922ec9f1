// Questions that accompany an operation of the ledger, answered once that is committed.
#pragma once

#include <optional>

#include "base/ids.h"
#include "turn_ledger/streams/origin_query.h"

namespace martenyard::turn_ledger {

struct LedgerQueries {
  /// Where a stream began.
  std::optional<origin_query> origin;
  /// Which runners ended under a request: the account with their records.
  std::optional<ProgramId> crash_account;
};

}  // namespace martenyard::turn_ledger
