#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>
#include <string>

#include "ryefold/settings/catalog.h"

namespace ryefold::settings {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

std::string HashKey(std::string_view salt, std::string_view key) {
  std::string salted(salt);
  salted += key;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(salted.data(), salted.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    hex += kHexDigits[digest[i] >> 4U];
    hex += kHexDigits[digest[i] & 0xFU];
  }
  return hex;
}

bool KeysEqual(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace ryefold::settings
