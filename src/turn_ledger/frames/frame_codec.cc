#include "turn_ledger/frames/frame_codec.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace martenyard::turn_ledger
{

using wire::Layout;

namespace
{

/// Layouts without a mark, newest first.
constexpr Layout unmarked_layouts[] = {Layout::kUnmarked2, Layout::kUnmarked1};

constexpr Layout first_marked = Layout::kMarked3;

decoded_frame unreadable(const wire::FrameMark& mark, absl::string_view message)
{
    unreadable_frame unreadable_message{mark.layout, mark.newest, {}};
    // Every message begins with its sender, in the same format in all layouts.
    if (auto from = wire::DecodePrefix<Machine>(message))
    {
        unreadable_message.m_from = from->name;
    }
    return unreadable_message;
}

decoded_frame decode_marked(const wire::FrameMark& mark, absl::string_view message)
{
    if (mark.layout == wire::kGreetingLayout)
    {
        auto greeting = wire::DecodeGreeting(message);
        return greeting ? decoded_frame(greeting_frame{*std::move(greeting), mark.newest})
                        : unreadable(mark, message);
    }
    auto layout = static_cast<Layout>(mark.layout);
    if (layout < first_marked || layout > wire::kNewestLayout)
    {
        return unreadable(mark, message);
    }
    auto envelope = wire::Decode<Envelope>(std::string(message), layout);
    if (!envelope)
    {
        return unreadable(mark, message);
    }
    return decoded_message{*std::move(envelope), layout, common_layout(mark.newest)};
}

decoded_frame decode_unmarked(const std::string& payload)
{
    // No payload is valid in both layouts: the later one appends bytes, and decoding fails unless it consumes
    // the payload exactly.
    for (Layout layout : unmarked_layouts)
    {
        if (auto envelope = wire::Decode<Envelope>(payload, layout))
        {
            bool same_bytes = same_in_all_layouts(envelope->body);
            return decoded_message{*std::move(envelope), layout,
                                   same_bytes ? std::nullopt : std::make_optional(layout)};
        }
    }
    return unreadable({}, payload);
}

bool supports_operation(const Body& body, Layout layout)
{
    const auto* request = std::get_if<LedgerRequest>(&body);
    bool quota = request != nullptr && std::holds_alternative<TakeQuota>(request->operation);
    return !quota || layout >= Layout::kUnmarked2;
}

}  // namespace

Layout common_layout(std::uint16_t newest)
{
    return static_cast<Layout>(std::min(newest, static_cast<std::uint16_t>(wire::kNewestLayout)));
}

decoded_frame decode_frame(const std::string& payload)
{
    absl::string_view message = payload;
    if (auto mark = wire::TakeMark(message))
    {
        return decode_marked(*mark, message);
    }
    return decode_unmarked(payload);
}

std::optional<std::string> encode_frame(const Envelope& envelope, Layout layout)
{
    if (!supports_operation(envelope.body, layout))
    {
        return std::nullopt;
    }
    std::string message = wire::Encode(envelope, layout);
    if (layout < first_marked)
    {
        return message;
    }
    wire::FrameMark mark{static_cast<std::uint16_t>(layout), static_cast<std::uint16_t>(wire::kNewestLayout)};
    return wire::Mark(mark, message);
}

bool same_in_all_layouts(const Body& body)
{
    return !std::holds_alternative<LedgerRequest>(body) && !std::holds_alternative<LedgerReply>(body);
}

}  // namespace martenyard::turn_ledger
