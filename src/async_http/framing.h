// Checks that the length of a message's body is unambiguous (RFC 9112, section 6). Other messages
// are rejected: two recipients may disagree on where the next message begins (request smuggling).
#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/fields.hpp>

#include "absl/strings/string_view.h"

namespace martenyard::async_http {

/// Why the length of a message's body is ambiguous.
enum class FramingError {
  kNone,
  kUnsupportedCoding,  ///< A transfer coding other than a single `chunked`.
  kLengthAndCoding,    ///< Both Content-Length and Transfer-Encoding.
  kCodingInHttp10,     ///< Transfer-Encoding in a message of HTTP/1.0.
  kLineFolding,        ///< A field value continued on a second line.
  kInvalidLength,      ///< A Content-Length that isn't a number, or several that differ.
};

/// @return the error's name for logs
absl::string_view NameOf(FramingError error);

/// Checks the fields of a parsed header section.
/// @param version ten times the HTTP version: 10 or 11.
FramingError CheckFraming(const boost::beast::http::fields& fields, unsigned version);

/// Checks bytes that begin with a header section, before it is parsed: Beast's parser unfolds
/// lines.
/// @return `kLineFolding` or `kNone`.
FramingError CheckLines(absl::string_view bytes);

/// @return the framing error that Beast's parser has found; `kNone` for its other errors.
FramingError FramingErrorOf(const boost::beast::error_code& error);

}  // namespace martenyard::async_http
