#include "roles/exchange/slot_records.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"
#include "roles/directory_keys.h"
#include "wire/codec.h"

namespace martenyard::roles
{

std::string slot_key(const std::string& zone, std::size_t number)
{
    return absl::StrCat(kAggregatorsPrefix, zone, "/", number);
}

aggregation::slot_table read_slots(const std::map<std::string, store::StoreItem>& items,
                                   event_log::EventLog& log)
{
    aggregation::slot_table table;
    for (const auto& [key, item] : items)
    {
        absl::string_view rest = key;
        absl::ConsumePrefix(&rest, kAggregatorsPrefix);
        std::size_t slash = rest.rfind('/');
        std::size_t number = 0;
        bool named = slash != absl::string_view::npos && absl::SimpleAtoi(rest.substr(slash + 1), &number);
        auto holder = wire::Decode<aggregation::contact>(item.value);
        if (!named || !holder)
        {
            log.Write(event_log::Line("slot_unreadable").Text("key", key));
        }
        if (named)
        {
            table[std::string(rest.substr(0, slash))][number] = {holder, item.revision};
        }
    }
    return table;
}

}  // namespace martenyard::roles
