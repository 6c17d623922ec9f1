#include "async_http/field_syntax.h"

#include <algorithm>
#include <cstddef>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace martenyard::async_http {

namespace {

constexpr absl::string_view kOptionalWhitespace = " \t";
constexpr absl::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

bool IsTokenCharacter(char character) {
  return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
         absl::StrContains(kTokenMarks, character);
}

bool IsControl(char character) {
  return absl::ascii_iscntrl(static_cast<unsigned char>(character)) && character != '\t';
}

}  // namespace

bool IsFieldName(absl::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

absl::string_view StripOptionalWhitespace(absl::string_view text) {
  std::size_t first = text.find_first_not_of(kOptionalWhitespace);
  if (first == absl::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kOptionalWhitespace) - first + 1);
}

bool IsFieldValue(absl::string_view text) {
  return std::none_of(text.begin(), text.end(), IsControl) && StripOptionalWhitespace(text) == text;
}

}  // namespace martenyard::async_http
