// Recognizes the tries of one client request. Each try has an id of its own and may reach another gateway,
// so they are matched by what stays the same between them.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace martenyard::forwarding
{

/// @brief what the tries of a request have in common
///
/// `Last-Event-Id`, the deadline and the length's encoding are left out: they differ between tries.
struct request_identity
{
    absl::string_view m_tenant;
    absl::string_view m_method;
    absl::string_view m_host;
    absl::string_view m_target;
    /// as sent by the client; empty outside of programs
    absl::string_view m_program;
    /// tells the parallel branches of a program apart
    absl::string_view m_session;
    absl::string_view m_previous_turn;
    /// hash of the last part of the prompt, which is the request's own; 0 without a prompt
    std::uint64_t m_prompt_part = 0;
    /// without the history that the gateway prepends; not hashed if the prompt's part identifies it
    absl::string_view m_body;

    /// @return whether equal requests of other clients can be told apart from this one's tries
    bool is_distinctive() const
    {
        return !m_program.empty() || m_prompt_part != 0 || !m_body.empty();
    }
};

/// @brief a keyed hash of a request's identity, from which the request can't be guessed without the key
struct request_fingerprint
{
    std::array<std::uint8_t, 16> m_bytes{};

    friend auto operator<=>(const request_fingerprint&, const request_fingerprint&) = default;

    /// @return the fingerprint in hexadecimal
    std::string hex() const;
};

/// @brief computes the same fingerprints at all gateways of a deployment
class fingerprint_hasher
{
  public:
    /// @param[in] secret  of the deployment; must not change while requests are tried again
    explicit fingerprint_hasher(absl::string_view secret);

    /// @return nothing if the request can't be told apart from equal ones of other clients
    std::optional<request_fingerprint> fingerprint(const request_identity& identity) const;

  private:
    std::array<std::uint8_t, 32> m_key{};
};

}  // namespace martenyard::forwarding
