// Hashes of API keys. A key from a configuration or a request is hashed as soon as it is read; only hashes
// are stored and compared.
#pragma once

#include <array>
#include <cstdint>
#include <cstring>

#include "absl/strings/string_view.h"

namespace martenyard::tenancy
{

/// @brief a keyed BLAKE2b hash of an API key, comparable only within the process that computed it
struct key_hash
{
    std::array<std::uint8_t, 32> m_bytes{};

    friend bool operator==(const key_hash&, const key_hash&) = default;

    template <typename H>
    friend H AbslHashValue(H state, const key_hash& hash)  // NOLINT(readability-identifier-naming)
    {
        // The bytes are uniformly distributed.
        std::uint64_t word = 0;
        std::memcpy(&word, hash.m_bytes.data(), sizeof(word));
        return H::combine(std::move(state), word);
    }
};

/// @brief hashes API keys with a random secret of this process
///
/// Since clients don't know the secret, the time of a lookup by hash does not reveal how much of a guessed
/// key is right.
class key_hasher
{
  public:
    /// generates the secret
    key_hasher();

    key_hash hash(absl::string_view key) const;

  private:
    std::array<std::uint8_t, 32> m_secret{};
};

}  // namespace martenyard::tenancy
