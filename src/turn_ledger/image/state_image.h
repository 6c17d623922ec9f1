// The turn ledger's data as a snapshot holds it, encoded piece by piece.
//
// A replica must go on answering while it takes a snapshot: a leader that encodes its whole state at
// one go misses its heartbeats, and since all replicas have the same log, all of them do so at once.
// So the state is captured in one step (texts are shared, not copied) and encoded in small parts.
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

/// @brief a program's tokens
struct account
{
    std::uint64_t m_spent = 0;
    std::map<TurnId, std::uint64_t> m_reserved;
    /// turns that must not be reserved (again)
    std::map<TurnId, bool> m_settled;
    LedgerMillis m_expires = 0;

    /// @return what is reserved and not settled yet, over all turns
    std::uint64_t reserved_tokens() const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_spent, m_reserved, m_settled, m_expires);
    }
};

/// @brief a turn that later turns may go on from
///
/// What it added to its chain stays where the log has it, on the disk: its entry's place stands for it.
struct kept_turn
{
    std::optional<TurnId> m_previous;
    /// the log's entry that settled the turn and brought its texts
    consensus::EntryId m_entry;
    /// of its texts
    std::uint32_t m_bytes = 0;
    TurnPlace m_place;
    LedgerMillis m_expires = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_previous, m_entry, m_bytes, m_place, m_expires);
    }
};

/// @brief the whole state at one point of the log
///
/// Sorted by id: equal states have equal images.
struct state_image
{
    LedgerMillis m_now = 0;
    /// part of the state: all replicas must expire at the same command
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

    /// @param[in] max_bytes  about how large the part may be; its last record may exceed it
    /// @return the next part; all parts joined in order are what @ref decode_state_image reads
    std::string next(std::size_t max_bytes);

    /// @return whether all parts were taken; an empty image has one part too
    bool done() const;

  private:
    state_image m_image;
    bool m_started = false;
    std::size_t m_accounts_encoded = 0;
    std::size_t m_turns_encoded = 0;
};

/// @return the entries of the log that the image's turns have their texts in, in rising order
std::vector<consensus::EntryId> entries_of(const state_image& image);

/// @return the image that the joined parts hold, or nothing when they are no image
std::optional<state_image> decode_state_image(const std::string& parts);

}  // namespace martenyard::turn_ledger
