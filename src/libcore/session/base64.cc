#include "base64.h"

namespace ryefold::core::session {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr uint32_t kDigitBits = 6;
constexpr uint32_t kByteBits = 8;
constexpr uint32_t kDigitMask = 63;
constexpr uint32_t kByteMask = 255;

}  // namespace

std::string ToBase64(const std::vector<uint8_t>& bytes) {
  std::string text;
  text.reserve((bytes.size() * 4 + 2) / 3);
  uint32_t pending = 0;
  uint32_t bits = 0;
  for (const uint8_t byte : bytes) {
    pending = (pending << kByteBits) | byte;
    bits += kByteBits;
    while (bits >= kDigitBits) {
      bits -= kDigitBits;
      text += kAlphabet[(pending >> bits) & kDigitMask];
    }
  }
  if (bits > 0) {
    text += kAlphabet[(pending << (kDigitBits - bits)) & kDigitMask];
  }
  return text;
}

std::optional<std::vector<uint8_t>> FromBase64(std::string_view text) {
  std::vector<uint8_t> bytes;
  bytes.reserve(text.size() * 3 / 4);
  uint32_t pending = 0;
  uint32_t bits = 0;
  for (const char c : text) {
    const size_t digit = kAlphabet.find(c);
    if (digit == std::string_view::npos) return std::nullopt;
    pending = (pending << kDigitBits) | static_cast<uint32_t>(digit);
    bits += kDigitBits;
    if (bits < kByteBits) continue;
    bits -= kByteBits;
    bytes.push_back(static_cast<uint8_t>((pending >> bits) & kByteMask));
  }
  const uint32_t trailing_bits = pending & ((1U << bits) - 1);
  if (bits >= kDigitBits || trailing_bits != 0) return std::nullopt;
  return bytes;
}

}  // namespace ryefold::core::session
