#include "bundle/signature.h"

#include <sodium.h>

#include <array>
#include <vector>

namespace martenyard::bundle {
namespace {

using Bytes = std::vector<unsigned char>;

bool SodiumReady() {
  static const bool ready = sodium_init() >= 0;
  return ready;
}

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  std::string text(size * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes, size);
  text.pop_back();
  return text;
}

std::optional<Bytes> FromHex(const std::string& text, std::size_t size) {
  Bytes bytes(size);
  std::size_t written = 0;
  const char* end = nullptr;
  int status =
      sodium_hex2bin(bytes.data(), size, text.data(), text.size(), nullptr, &written, &end);
  bool whole = status == 0 && written == size && end == text.data() + text.size();
  return whole ? std::optional(bytes) : std::nullopt;
}

const unsigned char* Data(std::string_view bytes) {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

}  // namespace

KeyPair GenerateKeyPair() {
  SodiumReady();
  std::array<unsigned char, crypto_sign_PUBLICKEYBYTES> public_key{};
  std::array<unsigned char, crypto_sign_SECRETKEYBYTES> private_key{};
  crypto_sign_keypair(public_key.data(), private_key.data());
  return {ToHex(public_key.data(), public_key.size()),
          ToHex(private_key.data(), private_key.size())};
}

std::optional<std::string> Sign(std::string_view bytes, const std::string& private_key) {
  std::optional<Bytes> key = FromHex(private_key, crypto_sign_SECRETKEYBYTES);
  if (!SodiumReady() || !key) {
    return std::nullopt;
  }
  std::array<unsigned char, crypto_sign_BYTES> signature{};
  crypto_sign_detached(signature.data(), nullptr, Data(bytes), bytes.size(), key->data());
  return ToHex(signature.data(), signature.size());
}

bool Verify(std::string_view bytes, const std::string& signature, const std::string& public_key) {
  std::optional<Bytes> key = FromHex(public_key, crypto_sign_PUBLICKEYBYTES);
  std::optional<Bytes> signed_bytes = FromHex(signature, crypto_sign_BYTES);
  if (!SodiumReady() || !key || !signed_bytes) {
    return false;
  }
  return crypto_sign_verify_detached(signed_bytes->data(), Data(bytes), bytes.size(),
                                     key->data()) == 0;
}

bool IsPublicKey(const std::string& text) {
  return FromHex(text, crypto_sign_PUBLICKEYBYTES).has_value();
}

std::string Sha256(std::string_view bytes) {
  SodiumReady();
  std::array<unsigned char, crypto_hash_sha256_BYTES> hash{};
  crypto_hash_sha256(hash.data(), Data(bytes), bytes.size());
  return ToHex(hash.data(), hash.size());
}

}  // namespace martenyard::bundle
