#include "config/Fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

namespace daisylanding::config {

using nlohmann::json;

namespace {

constexpr size_t MaxNameBytes = 128;
constexpr std::string_view NameForm =
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

FieldReader::FieldReader(const json &Source, InputProblem &Problem)
    : Source(Source), Problem(Problem) {
  if (!Source.is_object())
    report(Errc::Malformed, "(body)", "a JSON object");
}

void FieldReader::report(Errc Code, std::string_view Key, std::string Allowed) {
  if (failed())
    return;
  Problem = {Code, std::string(Key), std::move(Allowed)};
}

const json *FieldReader::find(std::string_view Key) {
  Known.emplace(Key);
  if (failed())
    return nullptr;
  auto Found = Source.find(Key);
  return Found == Source.end() ? nullptr : &*Found;
}

std::string FieldReader::name(std::string_view Key) {
  const json *Value = find(Key);
  if (Value && Value->is_string() && isName(Value->get<std::string>()))
    return *Value;
  report(Value ? Errc::OutOfRange : Errc::NotFound, Key, std::string(NameForm));
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

int64_t FieldReader::integer(std::string_view Key, int64_t Default,
                             int64_t Lowest, int64_t Highest) {
  const json *Value = find(Key);
  if (!Value)
    return Default;
  bool Whole = Value->is_number_integer();
  bool TooLarge = Value->is_number_unsigned() &&
                  Value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
  if (Whole && !TooLarge) {
    int64_t Number = *Value;
    if (Number >= Lowest && Number <= Highest)
      return Number;
  }
  report(Errc::OutOfRange, Key,
         fmt::format("a whole number from {} to {}", Lowest, Highest));
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
    auto Found = std::find(Choices.begin(), Choices.end(),
                           Value->get_ref<const std::string &>());
    if (Found != Choices.end())
      return Found - Choices.begin();
  }
  report(Value ? Errc::OutOfRange : Errc::NotFound, Key,
         fmt::format("one of {}", fmt::join(Choices, ", ")));
  return 0;
}

void FieldReader::finish() {
  if (failed())
    return;
  for (const auto &Each : Source.items()) {
    if (!Known.count(Each.key()))
      report(Errc::UnknownKey, Each.key(),
             fmt::format("one of {}", fmt::join(Known, ", ")));
  }
}

table::Resources readResources(FieldReader &Fields, int64_t MaxAmount) {
  auto Amount = [&](std::string_view Key) {
    return static_cast<uint32_t>(Fields.integer(Key, 0, 0, MaxAmount));
  };
  return {.MilliCores = Amount("milli_cores"),
          .MemoryMb = Amount("memory_mb"),
          .Accelerators = Amount("accelerators")};
}

} // namespace daisylanding::config
