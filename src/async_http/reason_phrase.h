// Access to the reason phrase of a response as it was received or set.
#pragma once

#include <boost/beast/http/fields.hpp>

#include "absl/strings/string_view.h"

namespace martenyard::async_http {

namespace detail {

struct ReasonAccess : boost::beast::http::fields {
  static boost::beast::string_view Get(const boost::beast::http::fields& fields) {
    return (fields.*&ReasonAccess::get_reason_impl)();
  }
};

}  // namespace detail

/// @return the reason phrase, which may be empty. Beast's `reason()` returns another phrase in
/// place of an empty one.
inline absl::string_view ReasonPhrase(const boost::beast::http::fields& fields) {
  boost::beast::string_view reason = detail::ReasonAccess::Get(fields);
  return {reason.data(), reason.size()};
}

}  // namespace martenyard::async_http
