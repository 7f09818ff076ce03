#include "common/Base64.h"

#include <array>
#include <cstdint>

namespace daisylanding {

namespace {

constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr uint8_t Invalid = 0xff;
constexpr char Padding = '=';
constexpr size_t BytesPerGroup = 3;
constexpr size_t DigitsPerGroup = 4;
constexpr unsigned BitsPerDigit = 6;
constexpr uint32_t DigitMask = 0x3f;

constexpr std::array<uint8_t, 256> makeDigitValues() {
  std::array<uint8_t, 256> Values{};
  for (uint8_t &Value : Values)
    Value = Invalid;
  for (size_t I = 0; I < Alphabet.size(); ++I)
    Values[static_cast<uint8_t>(Alphabet[I])] = static_cast<uint8_t>(I);
  return Values;
}

constexpr std::array<uint8_t, 256> DigitValues = makeDigitValues();

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  std::string Encoded;
  Encoded.reserve((Bytes.size() + 2) / BytesPerGroup * DigitsPerGroup);
  for (size_t Offset = 0; Offset < Bytes.size(); Offset += BytesPerGroup) {
    size_t ByteCount = std::min(BytesPerGroup, Bytes.size() - Offset);
    uint32_t Group = 0;
    for (size_t I = 0; I < BytesPerGroup; ++I)
      Group = Group << 8 |
              (I < ByteCount ? static_cast<uint8_t>(Bytes[Offset + I]) : 0);
    for (size_t I = 0; I < DigitsPerGroup; ++I) {
      unsigned Shift = BitsPerDigit * (DigitsPerGroup - 1 - I);
      Encoded +=
          I <= ByteCount ? Alphabet[Group >> Shift & DigitMask] : Padding;
    }
  }
  return Encoded;
}

Result<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % DigitsPerGroup != 0)
    return Errc::Malformed;
  size_t PaddingCount = 0;
  while (PaddingCount < 2 && !Text.empty() && Text.back() == Padding) {
    Text.remove_suffix(1);
    ++PaddingCount;
  }
  std::string Decoded;
  Decoded.reserve(Text.size() * BytesPerGroup / DigitsPerGroup);
  uint32_t Bits = 0;
  unsigned BitCount = 0;
  for (char Character : Text) {
    uint8_t Digit = DigitValues[static_cast<uint8_t>(Character)];
    if (Digit == Invalid)
      return Errc::Malformed;
    Bits = Bits << BitsPerDigit | Digit;
    BitCount += BitsPerDigit;
    if (BitCount >= 8) {
      BitCount -= 8;
      Decoded += static_cast<char>(Bits >> BitCount & 0xff);
    }
  }
  return Decoded;
}

} // namespace daisylanding
