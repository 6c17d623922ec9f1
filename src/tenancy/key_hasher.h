// Hashes of API keys. A key is hashed as soon as it is read, from a configuration or a request, and only
// the hash is kept and compared.
#pragma once

#include <array>
#include <cstdint>
#include <cstring>

#include "absl/strings/string_view.h"

namespace martenyard::tenancy
{

/// @brief a keyed BLAKE2b hash of an API key, of use in the process that made it only
struct key_hash
{
    std::array<std::uint8_t, 32> m_bytes{};

    friend bool operator==(const key_hash&, const key_hash&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const key_hash& hash)  // NOLINT(readability-identifier-naming)
    {
        // The bytes are uniform already.
        std::uint64_t word = 0;
        std::memcpy(&word, hash.m_bytes.data(), sizeof(word));
        return H::combine(std::move(state), word);
    }
};

/// @brief makes hashes with a random secret of this process
///
/// Since the secret is unknown to clients, the time that a look-up by hash takes tells them nothing about
/// how much of a guessed key is right.
class key_hasher
{
  public:
    /// draws the secret
    key_hasher();

    key_hash hash(absl::string_view key) const;

  private:
    std::array<std::uint8_t, 32> m_secret{};
};

}  // namespace martenyard::tenancy
