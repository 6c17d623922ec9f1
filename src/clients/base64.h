// Base64, as the etcd JSON gateway writes keys and values.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace martenyard::clients {

std::string ToBase64(std::string_view bytes);
/// @return the bytes, or nothing if `text` is not base64.
std::optional<std::string> FromBase64(std::string_view text);

}  // namespace martenyard::clients
