#include "forwarding/crashes/request_fingerprint.h"

#include <sodium.h>

#include "absl/strings/escaping.h"

namespace martenyard::forwarding
{

namespace
{

/// @brief adds a field to the hash
///
/// The length in front keeps fields apart: "ab" and "c" differ from "a" and "bc".
void add(crypto_generichash_state& state, absl::string_view field)
{
    std::uint64_t length = field.size();
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&length), sizeof(length));
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(field.data()), field.size());
}

}  // namespace

std::string request_fingerprint::hex() const
{
    return absl::BytesToHexString(
        absl::string_view(reinterpret_cast<const char*>(m_bytes.data()), m_bytes.size()));
}

fingerprint_hasher::fingerprint_hasher(absl::string_view secret)
{
    crypto_generichash(m_key.data(), m_key.size(), reinterpret_cast<const unsigned char*>(secret.data()),
                       secret.size(), nullptr, 0);
}

std::optional<request_fingerprint> fingerprint_hasher::fingerprint(const request_identity& identity) const
{
    if (!identity.is_distinctive())
    {
        return std::nullopt;
    }
    request_fingerprint result;
    crypto_generichash_state state;
    crypto_generichash_init(&state, m_key.data(), m_key.size(), result.m_bytes.size());
    add(state, identity.m_tenant);
    add(state, identity.m_method);
    add(state, identity.m_host);
    add(state, identity.m_target);
    add(state, identity.m_program);
    add(state, identity.m_session);
    add(state, identity.m_previous_turn);
    add(state, {reinterpret_cast<const char*>(&identity.m_prompt_part), sizeof(identity.m_prompt_part)});
    add(state, identity.m_prompt_part == 0 ? identity.m_body : absl::string_view());
    crypto_generichash_final(&state, result.m_bytes.data(), result.m_bytes.size());
    return result;
}

}  // namespace martenyard::forwarding
