// Classes of status codes, by number: Boost.Beast's enumerator is `unknown` for every number that it
// does not define, whatever its class.
#pragma once

namespace martenyard::forwarding
{

/// @return whether the status code is of the class 2xx
constexpr bool is_success(unsigned status)
{
    return status / 100 == 2;
}

/// @return whether the server failed: 5xx, and the numbers from 600 on, which clients treat as 5xx (RFC 9110,
///         section 15)
constexpr bool is_server_error(unsigned status)
{
    return status >= 500;
}

}  // namespace martenyard::forwarding
