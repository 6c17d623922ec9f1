// The state of the turn ledger as stored in a snapshot, encoded in parts.
//
// Encoding the whole state at once would make a leader miss its heartbeats, and all replicas reach the same
// log index at about the same time. So the state is captured in one step and encoded in small parts, between
// which the replica serves requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/types.h"
#include "turn_ledger/types.h"

namespace martenyard::turn_ledger
{

/// @brief token account of a program
struct account
{
    std::uint64_t m_spent = 0;
    std::map<TurnId, std::uint64_t> m_reserved;
    /// settled turns, which must not be reserved (again)
    std::map<TurnId, bool> m_settled;
    LedgerMillis m_expires = 0;

    /// @return the sum of reserved tokens that are not settled yet
    std::uint64_t reserved_tokens() const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_spent, m_reserved, m_settled, m_expires);
    }
};

/// @brief a stored turn that later turns may continue
///
/// The texts stay in the log entry that settled the turn; only the entry's id is part of the state.
struct kept_turn
{
    std::optional<TurnId> m_previous;
    /// the log entry that settled the turn and contains its texts
    consensus::EntryId m_entry;
    /// size of the texts
    std::uint32_t m_bytes = 0;
    TurnPlace m_place;
    LedgerMillis m_expires = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_previous, m_entry, m_bytes, m_place, m_expires);
    }
};

/// @brief the complete state at one log index
///
/// Sorted by id, so that equal states have equal images.
struct state_image
{
    LedgerMillis m_now = 0;
    /// part of the state, since all replicas must expire records at the same command
    LedgerMillis m_next_expiry = 0;
    std::vector<std::pair<ProgramId, account>> m_accounts;
    std::vector<std::pair<TurnId, kept_turn>> m_turns;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_now, m_next_expiry, m_accounts, m_turns);
    }
};

/// @brief encodes an image in parts
class state_image_encoder
{
  public:
    explicit state_image_encoder(state_image image);

    /// @param[in] max_bytes  approximate size of the part; its last record may exceed it
    /// @return the next part; @ref decode_state_image reads the concatenated parts
    std::string next(std::size_t max_bytes);

    /// @return whether all parts were returned; an empty image has one part
    bool done() const;

  private:
    state_image m_image;
    bool m_started = false;
    std::size_t m_accounts_encoded = 0;
    std::size_t m_turns_encoded = 0;
};

/// @return the log entries that contain the texts of the image's turns, in ascending order
std::vector<consensus::EntryId> entries_of(const state_image& image);

/// @return the image, or nothing if the concatenated parts can't be decoded
std::optional<state_image> decode_state_image(const std::string& parts);

}  // namespace martenyard::turn_ledger
