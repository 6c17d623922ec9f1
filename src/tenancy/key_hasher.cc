#include "tenancy/key_hasher.h"

#include <sodium.h>

namespace martenyard::tenancy
{

key_hasher::key_hasher()
{
    // Fails only without a source of random numbers; libsodium then aborts in randombytes_buf.
    if (sodium_init() >= 0)
    {
        randombytes_buf(m_secret.data(), m_secret.size());
    }
}

key_hash key_hasher::hash(absl::string_view key) const
{
    key_hash result;
    crypto_generichash(result.m_bytes.data(), result.m_bytes.size(),
                       reinterpret_cast<const unsigned char*>(key.data()), key.size(), m_secret.data(),
                       m_secret.size());
    return result;
}

}  // namespace martenyard::tenancy
