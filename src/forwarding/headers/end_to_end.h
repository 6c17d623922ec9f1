// Which headers pass through this hop. Pure functions.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <vector>

#include "absl/strings/string_view.h"
#include "forwarding/header_names.h"

namespace martenyard::forwarding
{

/// @brief copies the headers that concern more than one connection: all but those of RFC 9110, section
///        7.6.1, and those that a Connection header lists
void copy_end_to_end(const boost::beast::http::fields& from, boost::beast::http::fields& to);

/// @brief removes what only this system may say to a runner, and the client's API key
///
/// Whatever a client sends under these names, in any case and however often, never reaches a runner.
void remove_internal(const HeaderNames& names, boost::beast::http::fields& fields);

/// @return the values of all headers of this name, without white space around them
std::vector<absl::string_view> values_of(const boost::beast::http::fields& fields, absl::string_view name);

}  // namespace martenyard::forwarding
