// Frames between gateways and storage machines as bytes, in each layout that some build writes.
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

/// @brief a message as a frame brought it
struct decoded_message
{
    Envelope m_envelope;
    /// of the frame's bytes: an answer goes back in it
    wire::Layout m_layout = wire::kOldestLayout;
    /// the newest layout that the sender is known to read by this frame; nothing where builds of several
    /// layouts write the same bytes
    std::optional<wire::Layout> m_sender_reads;
};

/// @brief a frame that is no message of any layout known here
struct unreadable_frame
{
    /// as the frame says it; 0: it has no mark
    std::uint16_t m_layout = 0;
    std::uint16_t m_newest = 0;
    /// the sender's name, if that could be read
    std::string m_from;
};

/// @brief a process says who it is, and may ask that of the receiver
struct greeting_frame
{
    wire::Greeting m_greeting;
    /// the newest layout that the sender reads, which may have no name here
    std::uint16_t m_newest = 0;
};

using decoded_frame = std::variant<decoded_message, greeting_frame, unreadable_frame>;

/// @return the layout to write to a process in that reads up to `newest`
wire::Layout common_layout(std::uint16_t newest);

/// @brief reads the payload of a frame
decoded_frame decode_frame(const std::string& payload);

/// @return the frame's payload, or nothing when the layout does not have the message: whoever reads it
///         doesn't know the operation
std::optional<std::string> encode_frame(const Envelope& envelope, wire::Layout layout);

/// @return whether messages of this kind have the same bytes in all layouts
bool same_in_all_layouts(const Body& body);

}  // namespace martenyard::turn_ledger
