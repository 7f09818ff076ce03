#include "common/Base64.h"

#include <array>
#include <cstdint>

namespace daisylanding {

namespace {

constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr uint8_t Invalid = 0xff;
constexpr char Padding = '=';
constexpr size_t BytesInGroup = 3;
constexpr size_t DigitsInGroup = 4;
constexpr unsigned BitsInDigit = 6;
constexpr uint32_t DigitMask = 0x3f;

constexpr std::array<uint8_t, 256> makeDigits() {
  std::array<uint8_t, 256> Out{};
  for (uint8_t &Each : Out)
    Each = Invalid;
  for (size_t I = 0; I < Alphabet.size(); ++I)
    Out[static_cast<uint8_t>(Alphabet[I])] = static_cast<uint8_t>(I);
  return Out;
}

constexpr std::array<uint8_t, 256> Digits = makeDigits();

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  std::string Out;
  Out.reserve((Bytes.size() + 2) / BytesInGroup * DigitsInGroup);
  for (size_t At = 0; At < Bytes.size(); At += BytesInGroup) {
    size_t Count = std::min(BytesInGroup, Bytes.size() - At);
    uint32_t Group = 0;
    for (size_t I = 0; I < BytesInGroup; ++I)
      Group =
          Group << 8 | (I < Count ? static_cast<uint8_t>(Bytes[At + I]) : 0);
    for (size_t I = 0; I < DigitsInGroup; ++I) {
      unsigned Shift = BitsInDigit * (DigitsInGroup - 1 - I);
      Out += I <= Count ? Alphabet[Group >> Shift & DigitMask] : Padding;
    }
  }
  return Out;
}

Result<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % DigitsInGroup != 0)
    return Errc::Malformed;
  size_t Padded = 0;
  while (Padded < 2 && !Text.empty() && Text.back() == Padding) {
    Text.remove_suffix(1);
    ++Padded;
  }
  std::string Out;
  Out.reserve(Text.size() * BytesInGroup / DigitsInGroup);
  uint32_t Bits = 0;
  unsigned Count = 0;
  for (char Each : Text) {
    uint8_t Digit = Digits[static_cast<uint8_t>(Each)];
    if (Digit == Invalid)
      return Errc::Malformed;
    Bits = Bits << BitsInDigit | Digit;
    Count += BitsInDigit;
    if (Count >= 8) {
      Count -= 8;
      Out += static_cast<char>(Bits >> Count & 0xff);
    }
  }
  return Out;
}

} // namespace daisylanding
