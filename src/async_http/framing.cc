#include "async_http/framing.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <cstdint>
#include <iterator>
#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace martenyard::async_http {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp10 = 10;
constexpr absl::string_view kHeaderEnd = "\r\n\r\n";

/// @return whether every Content-Length, of which there may be none, is the same number.
bool HasValidLengths(const http::fields& fields) {
  std::optional<std::uint64_t> known;
  auto range = fields.equal_range(http::field::content_length);
  for (auto field = range.first; field != range.second; ++field) {
    absl::string_view values(field->value().data(), field->value().size());
    for (absl::string_view text : absl::StrSplit(values, ',')) {
      text = absl::StripAsciiWhitespace(text);
      std::uint64_t length = 0;
      bool digits = !text.empty() && std::all_of(text.begin(), text.end(), absl::ascii_isdigit);
      if (!digits || !absl::SimpleAtoi(text, &length) || known.value_or(length) != length) {
        return false;
      }
      known = length;
    }
  }
  return true;
}

}  // namespace

absl::string_view NameOf(FramingError error) {
  switch (error) {
    case FramingError::kNone:
      return "none";
    case FramingError::kUnsupportedCoding:
      return "unsupported transfer coding";
    case FramingError::kLengthAndCoding:
      return "both a length and a transfer coding";
    case FramingError::kCodingInHttp10:
      return "a transfer coding in HTTP/1.0";
    case FramingError::kLineFolding:
      return "a folded header line";
    case FramingError::kInvalidLength:
      return "invalid or differing lengths";
  }
  return "unknown";
}

FramingError CheckFraming(const http::fields& fields, unsigned version) {
  auto codings = fields.equal_range(http::field::transfer_encoding);
  if (codings.first == codings.second) {
    return HasValidLengths(fields) ? FramingError::kNone : FramingError::kInvalidLength;
  }
  if (fields.find(http::field::content_length) != fields.end()) {
    return FramingError::kLengthAndCoding;
  }
  if (version <= kHttp10) {
    return FramingError::kCodingInHttp10;
  }
  auto value = codings.first->value();
  bool one_field = std::next(codings.first) == codings.second;
  bool chunked = absl::EqualsIgnoreCase(
      absl::StripAsciiWhitespace(absl::string_view(value.data(), value.size())), "chunked");
  return one_field && chunked ? FramingError::kNone : FramingError::kUnsupportedCoding;
}

FramingError CheckLines(absl::string_view bytes) {
  absl::string_view header = bytes.substr(0, bytes.find(kHeaderEnd));
  bool folded = absl::StrContains(header, "\r\n ") || absl::StrContains(header, "\r\n\t");
  return folded ? FramingError::kLineFolding : FramingError::kNone;
}

FramingError FramingErrorOf(const boost::beast::error_code& error) {
  if (error == http::error::bad_transfer_encoding) {
    return FramingError::kUnsupportedCoding;
  }
  if (error == http::error::bad_content_length || error == http::error::multiple_content_length) {
    return FramingError::kInvalidLength;
  }
  return FramingError::kNone;
}

}  // namespace martenyard::async_http
