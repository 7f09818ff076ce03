#include "config/Fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

namespace daisylanding::config {

using nlohmann::json;

namespace {

constexpr size_t MaxNameBytes = 128;
constexpr std::string_view AllowedNameForm =
    "1 to 128 letters, digits, '.', '_' or '-'";

bool isNameCharacter(char Character) {
  return std::isalnum(static_cast<unsigned char>(Character)) ||
         Character == '.' || Character == '_' || Character == '-';
}

} // namespace

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

FieldReader::FieldReader(const json &Object, InputProblem &Problem)
    : Object(Object), Problem(Problem) {
  if (!Object.is_object())
    report(Errc::Malformed, "(body)", "a JSON object");
}

void FieldReader::report(Errc Code, std::string_view Key, std::string Allowed) {
  if (failed())
    return;
  Problem = {Code, std::string(Key), std::move(Allowed)};
}

const json *FieldReader::find(std::string_view Key) {
  KnownKeys.emplace(Key);
  if (failed())
    return nullptr;
  auto It = Object.find(Key);
  return It == Object.end() ? nullptr : &*It;
}

std::string FieldReader::name(std::string_view Key) {
  const json *Value = find(Key);
  if (Value && Value->is_string() && isName(Value->get<std::string>()))
    return *Value;
  report(Value ? Errc::OutOfRange : Errc::NotFound, Key,
         std::string(AllowedNameForm));
  return {};
}

std::string FieldReader::optionalName(std::string_view Key) {
  const json *Value = find(Key);
  if (!Value || *Value == "")
    return {};
  return name(Key);
}

std::string FieldReader::text(std::string_view Key, size_t MaxBytes) {
  const json *Value = find(Key);
  if (!Value)
    return {};
  if (Value->is_string() &&
      Value->get_ref<const std::string &>().size() <= MaxBytes)
    return *Value;
  report(Errc::OutOfRange, Key,
         fmt::format("text of at most {} bytes", MaxBytes));
  return {};
}

int64_t FieldReader::integer(std::string_view Key, int64_t Default, int64_t Min,
                             int64_t Max) {
  const json *Value = find(Key);
  if (!Value)
    return Default;
  bool IsInteger = Value->is_number_integer();
  bool ExceedsInt64 = Value->is_number_unsigned() &&
                      Value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
  if (IsInteger && !ExceedsInt64) {
    int64_t Number = *Value;
    if (Number >= Min && Number <= Max)
      return Number;
  }
  report(Errc::OutOfRange, Key,
         fmt::format("a whole number from {} to {}", Min, Max));
  return Default;
}

double FieldReader::fraction(std::string_view Key, double Default) {
  const json *Value = find(Key);
  if (!Value)
    return Default;
  if (Value->is_number()) {
    double Number = *Value;
    if (Number >= 0 && Number <= 1)
      return Number;
  }
  report(Errc::OutOfRange, Key, "a number from 0 to 1");
  return Default;
}

size_t FieldReader::choice(std::string_view Key,
                           std::vector<std::string_view> Choices,
                           bool Required) {
  const json *Value = find(Key);
  if (!Value && !Required)
    return 0;
  if (Value && Value->is_string()) {
    auto It = std::find(Choices.begin(), Choices.end(),
                        Value->get_ref<const std::string &>());
    if (It != Choices.end())
      return It - Choices.begin();
  }
  report(Value ? Errc::OutOfRange : Errc::NotFound, Key,
         fmt::format("one of {}", fmt::join(Choices, ", ")));
  return 0;
}

void FieldReader::finish() {
  if (failed())
    return;
  for (const auto &Field : Object.items()) {
    if (!KnownKeys.count(Field.key()))
      report(Errc::UnknownKey, Field.key(),
             fmt::format("one of {}", fmt::join(KnownKeys, ", ")));
  }
}

table::Resources readResources(FieldReader &Fields, int64_t MaxAmount) {
  auto ReadAmount = [&](std::string_view Key) {
    return static_cast<uint32_t>(Fields.integer(Key, 0, 0, MaxAmount));
  };
  return {.MilliCores = ReadAmount("milli_cores"),
          .MemoryMb = ReadAmount("memory_mb"),
          .Accelerators = ReadAmount("accelerators")};
}

} // namespace daisylanding::config
