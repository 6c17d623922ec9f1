#include "turn_ledger/crashes/crash_record.h"

#include "absl/strings/str_cat.h"

namespace martenyard::turn_ledger
{

namespace
{

/// can't be in a header, hence in no id that a client chose
constexpr char separator = '\x1f';

}  // namespace

ProgramId crash_account(absl::string_view fingerprint)
{
    const absl::string_view mark(&separator, 1);
    // The ids of tenants' programs begin with the tenant's name, which is not empty.
    return ProgramId(absl::StrCat(mark, "crashes", mark, fingerprint));
}

TurnId crash_record(absl::string_view runner, absl::string_view request)
{
    return TurnId(absl::StrCat(runner, absl::string_view(&separator, 1), request));
}

std::string runner_of(const TurnId& record)
{
    return record.value.substr(0, record.value.find(separator));
}

std::string try_of_record(const TurnId& record)
{
    return record.value.substr(record.value.find(separator) + 1);
}

std::set<std::string> runners_of(const crash_records& records)
{
    std::set<std::string> runners;
    for (const TurnId& record : records)
    {
        runners.insert(runner_of(record));
    }
    return runners;
}

}  // namespace martenyard::turn_ledger
