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
        absl::string_view path = key;
        absl::ConsumePrefix(&path, kAggregatorsPrefix);
        std::size_t slash = path.rfind('/');
        std::size_t number = 0;
        bool valid_key =
            slash != absl::string_view::npos && absl::SimpleAtoi(path.substr(slash + 1), &number);
        auto holder = wire::Decode<aggregation::contact>(item.value);
        if (!valid_key || !holder)
        {
            log.Write(event_log::Line("slot_unreadable").Text("key", key));
        }
        if (valid_key)
        {
            table[std::string(path.substr(0, slash))][number] = {holder, item.revision};
        }
    }
    return table;
}

}  // namespace martenyard::roles
