// Base64 encoding of keys and values for the etcd JSON gateway.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace martenyard::clients {

std::string ToBase64(std::string_view bytes);
/// @return the decoded bytes, or nullopt if `text` is not valid Base64.
std::optional<std::string> FromBase64(std::string_view text);

}  // namespace martenyard::clients
