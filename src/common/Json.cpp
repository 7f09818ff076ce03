#include "common/Json.h"

#include <cmath>

namespace daisylanding {

using nlohmann::json;

namespace {

/// Whether an odd number of backslashes precedes \p Position.
bool isEscaped(std::string_view Text, size_t Position) {
  size_t Backslashes = 0;
  while (Position > Backslashes && Text[Position - Backslashes - 1] == '\\')
    ++Backslashes;
  return Backslashes % 2 == 1;
}

/// The position of the quote that ends the string begun at \p Begin.
size_t endOfString(std::string_view Text, size_t Begin) {
  size_t End = Text.find('"', Begin + 1);
  while (End != std::string_view::npos && isEscaped(Text, End))
    End = Text.find('"', End + 1);
  return End;
}

bool isTooDeep(std::string_view Text) {
  size_t Depth = 0;
  for (size_t I = 0; I < Text.size(); ++I) {
    char Character = Text[I];
    if (Character == '"') {
      I = endOfString(Text, I);
      if (I == std::string_view::npos)
        return false;
    } else if (Character == '[' || Character == '{') {
      if (++Depth > MaxJsonDepth)
        return true;
    } else if ((Character == ']' || Character == '}') && Depth > 0) {
      --Depth;
    }
  }
  return false;
}

} // namespace

json parseJson(std::string_view Text) {
  if (isTooDeep(Text))
    return json(json::value_t::discarded);
  return json::parse(Text, nullptr, false);
}

std::optional<int64_t> wholeNumber(const json &Value, int64_t Min,
                                   int64_t Max) {
  int64_t Number = 0;
  if (Value.is_number_unsigned()) {
    auto Unsigned = Value.get<uint64_t>();
    if (!std::in_range<int64_t>(Unsigned))
      return std::nullopt;
    Number = static_cast<int64_t>(Unsigned);
  } else if (Value.is_number_integer()) {
    Number = Value.get<int64_t>();
  } else {
    constexpr auto MaxExact = static_cast<double>(MaxExactInteger);
    auto Real = realNumber(Value, -MaxExact, MaxExact);
    if (!Real || std::trunc(*Real) != *Real)
      return std::nullopt;
    Number = static_cast<int64_t>(*Real);
  }
  if (Number < Min || Number > Max)
    return std::nullopt;
  return Number;
}

std::optional<double> realNumber(const json &Value, double Min, double Max) {
  if (!Value.is_number())
    return std::nullopt;
  auto Number = Value.get<double>();
  // False for NaN too.
  if (Number >= Min && Number <= Max)
    return Number;
  return std::nullopt;
}

double NumberReader::realField(const json &Object, const char *Key,
                               double Default, double Min, double Max) {
  auto It = Object.find(Key);
  if (It == Object.end())
    return Default;
  auto Number = realNumber(*It, Min, Max);
  Failed |= !Number;
  return Number.value_or(Default);
}

} // namespace daisylanding
