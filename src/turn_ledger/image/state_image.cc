#include "turn_ledger/image/state_image.h"

#include <algorithm>
#include <iterator>

#include "wire/codec.h"

namespace martenyard::turn_ledger
{
namespace
{

/// size of the little-endian length prefix of a part
constexpr std::size_t length_bytes = 8;
constexpr unsigned bits_per_byte = 8;
/// approximate size of a record's fixed members
constexpr std::size_t record_bytes = 64;
constexpr std::size_t account_turn_bytes = 40;

std::string encode_length(std::size_t length)
{
    std::string bytes;
    for (std::size_t index = 0; index < length_bytes; ++index)
    {
        bytes.push_back(static_cast<char>((length >> (index * bits_per_byte)) & 0xFFU));
    }
    return bytes;
}

std::size_t decode_length(const std::string& bytes, std::size_t offset)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < length_bytes; ++index)
    {
        auto byte = static_cast<unsigned char>(bytes[offset + index]);
        length |= static_cast<std::size_t>(byte) << (index * bits_per_byte);
    }
    return length;
}

std::size_t approximate_size(const account& tokens)
{
    return record_bytes + account_turn_bytes * (tokens.m_reserved.size() + tokens.m_settled.size());
}

std::size_t approximate_size(const kept_turn& /*turn*/)
{
    return record_bytes;
}

/// Moves records from `from`, starting at `position`, until `max_bytes` are used. Moving frees the memory of
/// encoded records.
template <typename Record>
void move_records(std::vector<Record>& from, std::size_t& position, std::size_t max_bytes, std::size_t& bytes,
                  std::vector<Record>& to)
{
    while (position < from.size() && bytes < max_bytes)
    {
        bytes += approximate_size(from[position].second);
        to.push_back(std::move(from[position]));
        ++position;
    }
}

template <typename Record>
void append(std::vector<Record>& to, std::vector<Record>&& more)
{
    to.insert(to.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

}  // namespace

std::uint64_t account::reserved_tokens() const
{
    std::uint64_t total = 0;
    for (const auto& [turn, tokens] : m_reserved)
    {
        total += tokens;
    }
    return total;
}

state_image_encoder::state_image_encoder(state_image image) : m_image(std::move(image))
{
}

std::string state_image_encoder::next(std::size_t max_bytes)
{
    m_started = true;
    state_image part;
    part.m_now = m_image.m_now;
    part.m_next_expiry = m_image.m_next_expiry;
    std::size_t bytes = 0;
    move_records(m_image.m_accounts, m_accounts_encoded, max_bytes, bytes, part.m_accounts);
    move_records(m_image.m_turns, m_turns_encoded, max_bytes, bytes, part.m_turns);
    std::string encoded = wire::Encode(part);
    return encode_length(encoded.size()) + encoded;
}

bool state_image_encoder::done() const
{
    return m_started && m_accounts_encoded == m_image.m_accounts.size() &&
           m_turns_encoded == m_image.m_turns.size();
}

std::vector<consensus::EntryId> entries_of(const state_image& image)
{
    std::vector<consensus::EntryId> entries;
    entries.reserve(image.m_turns.size());
    for (const auto& [id, turn] : image.m_turns)
    {
        entries.push_back(turn.m_entry);
    }
    std::sort(entries.begin(), entries.end());
    return entries;
}

std::optional<state_image> decode_state_image(const std::string& parts)
{
    state_image image;
    std::size_t offset = 0;
    while (offset < parts.size())
    {
        if (parts.size() - offset < length_bytes)
        {
            return std::nullopt;
        }
        std::size_t length = decode_length(parts, offset);
        offset += length_bytes;
        if (parts.size() - offset < length)
        {
            return std::nullopt;
        }
        auto part = wire::Decode<state_image>(parts.substr(offset, length));
        if (!part)
        {
            return std::nullopt;
        }
        offset += length;
        image.m_now = part->m_now;
        image.m_next_expiry = part->m_next_expiry;
        append(image.m_accounts, std::move(part->m_accounts));
        append(image.m_turns, std::move(part->m_turns));
    }
    return offset > 0 ? std::make_optional(std::move(image)) : std::nullopt;
}

}  // namespace martenyard::turn_ledger
