// Filters the headers forwarded by this proxy. Pure functions.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <vector>

#include "absl/strings/string_view.h"
#include "forwarding/header_names.h"

namespace martenyard::forwarding
{

/// @brief copies the end-to-end headers: all except the hop-by-hop headers of RFC 9110, section 7.6.1, and
///        those listed in a Connection header
void copy_end_to_end(const boost::beast::http::fields& from, boost::beast::http::fields& to);

/// @return the head that the client gets for a runner's response: its status code and reason phrase,
/// unchanged, and
///         its end-to-end headers
boost::beast::http::response_header<> forwarded_head(const boost::beast::http::response_header<>& head);

/// @brief copies the Content-Length of a response without a body, which is that of the response to a GET
/// request
/// @param[in] is_head whether the request is HEAD
void copy_length_without_body(const boost::beast::http::response_header<>& from, bool is_head,
                              boost::beast::http::response_header<>& to);

/// @brief removes the API key and the headers that only this system may send to runners
void remove_internal(const HeaderNames& names, boost::beast::http::fields& fields);

/// @return the values of all headers of this name, without surrounding white space
std::vector<absl::string_view> values_of(const boost::beast::http::fields& fields, absl::string_view name);

}  // namespace martenyard::forwarding
