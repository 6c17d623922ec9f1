// Encodes and decodes frames between gateways and storage machines, in each layout that some build writes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "turn_ledger/messages.h"
#include "wire/layout.h"
#include "wire/marked_frame.h"

namespace martenyard::turn_ledger
{

/// @brief a message decoded from a frame
struct decoded_message
{
    Envelope m_envelope;
    /// layout of the frame; the reply uses the same one
    wire::Layout m_layout = wire::kOldestLayout;
    /// the newest layout that the sender reads, as far as this frame tells; nothing if builds of several
    /// layouts write the same bytes
    std::optional<wire::Layout> m_sender_reads;
};

/// @brief a frame that can't be decoded in any known layout
struct unreadable_frame
{
    /// layout named by the frame's mark; 0 without a mark
    std::uint16_t m_layout = 0;
    std::uint16_t m_newest = 0;
    /// the sender's name, if it could be decoded
    std::string m_from;
};

/// @brief a greeting, which identifies the sender and may ask for the receiver's greeting
struct greeting_frame
{
    wire::Greeting m_greeting;
    /// the newest layout that the sender reads; may be unknown to this build
    std::uint16_t m_newest = 0;
};

using decoded_frame = std::variant<decoded_message, greeting_frame, unreadable_frame>;

/// @return the newest layout supported both by this build and by a process that reads up to `newest`
wire::Layout common_layout(std::uint16_t newest);

/// @brief decodes the payload of a frame
decoded_frame decode_frame(const std::string& payload);

/// @return the frame's payload, or nothing if the layout does not support the message's operation
std::optional<std::string> encode_frame(const Envelope& envelope, wire::Layout layout);

/// @return whether messages of this kind have the same bytes in all layouts
bool same_in_all_layouts(const Body& body);

}  // namespace martenyard::turn_ledger
