// Ed25519 signatures and SHA-256 by libsodium, as hexadecimal text.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace martenyard::bundle {

/// A signing key pair; both halves in lower-case hexadecimal digits.
struct KeyPair {
  std::string public_key;   ///< 64 digits.
  std::string private_key;  ///< 128 digits. Never logged.
};

KeyPair GenerateKeyPair();
/// @return the signature over exactly these bytes, or nothing if the key is malformed.
std::optional<std::string> Sign(std::string_view bytes, const std::string& private_key);
/// @return true if `signature` over exactly these bytes was made with the key's private half.
bool Verify(std::string_view bytes, const std::string& signature, const std::string& public_key);
/// @return true if `text` could be a public key.
bool IsPublicKey(const std::string& text);
/// @return the SHA-256 of `bytes`, 64 digits.
std::string Sha256(std::string_view bytes);

}  // namespace martenyard::bundle
