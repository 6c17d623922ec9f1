// Syntax of HTTP header fields (RFC 9110, section 5).
#pragma once

#include "absl/strings/string_view.h"

namespace martenyard::async_http {

/// @return whether the text is a field name (a token).
bool IsFieldName(absl::string_view text);

/// @return the text without the spaces and tabs around it.
absl::string_view StripOptionalWhitespace(absl::string_view text);

/// @return whether the text is a field value: it has no control characters other than tabs, and
/// neither begins nor ends with a space or tab. It may be empty.
bool IsFieldValue(absl::string_view text);

}  // namespace martenyard::async_http
