#include "forwarding/headers/end_to_end.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"
#include "async_http/reason_phrase.h"

namespace martenyard::forwarding
{
namespace
{

namespace http = boost::beast::http;

absl::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

bool is_hop_header(const std::string& lower_name)
{
    static constexpr absl::string_view hop_headers[] = {
        "connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "te",
        "trailer",    "upgrade",    "expect",
    };
    return std::find(std::begin(hop_headers), std::end(hop_headers), lower_name) != std::end(hop_headers);
}

/// @return the header names that a Connection header lists, in lower case
std::set<std::string> listed_by_connection(const http::fields& fields)
{
    std::set<std::string> listed;
    auto range = fields.equal_range(http::field::connection);
    for (auto field = range.first; field != range.second; ++field)
    {
        for (absl::string_view item : absl::StrSplit(view(field->value()), ','))
        {
            listed.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(item)));
        }
    }
    return listed;
}

}  // namespace

void copy_end_to_end(const http::fields& from, http::fields& to)
{
    std::set<std::string> listed = listed_by_connection(from);
    for (const auto& field : from)
    {
        std::string name = absl::AsciiStrToLower(view(field.name_string()));
        if (!is_hop_header(name) && !listed.contains(name))
        {
            to.insert(field.name_string(), field.value());
        }
    }
}

http::response_header<> forwarded_head(const http::response_header<>& head)
{
    http::response_header<> forwarded;
    // The number: Boost.Beast's enumerator is `unknown` (0) for every number that it does not define.
    forwarded.result(head.result_int());
    absl::string_view reason = async_http::ReasonPhrase(head);
    forwarded.reason({reason.data(), reason.size()});
    copy_end_to_end(head, forwarded);
    return forwarded;
}

void copy_length_without_body(const http::response_header<>& from, bool is_head, http::response_header<>& to)
{
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    unsigned status = from.result_int();
    bool tells_length = status == not_modified || (is_head && status != no_content);
    auto length = from.find(http::field::content_length);
    if (tells_length && length != from.end())
    {
        to.set(http::field::content_length, length->value());
    }
}

void remove_internal(const HeaderNames& names, http::fields& fields)
{
    for (const std::string& name : names.internal)
    {
        fields.erase(name);
    }
    fields.erase(names.tenant);
    fields.erase(names.api_key);
    fields.erase(names.priority);
    fields.erase(names.expected_runner);
}

std::vector<absl::string_view> values_of(const http::fields& fields, absl::string_view name)
{
    std::vector<absl::string_view> values;
    auto range = fields.equal_range(boost::beast::string_view(name.data(), name.size()));
    for (auto field = range.first; field != range.second; ++field)
    {
        values.push_back(absl::StripAsciiWhitespace(view(field->value())));
    }
    return values;
}

}  // namespace martenyard::forwarding
