#include "cell/EndedJob.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

/// The stored text: a version, the phase, the time of the end, the hash in
/// hexadecimal digits, and in version 2 the queue, as in
/// `2;completed;81234;5c0e7a21d94b36f8;batch`.
namespace daisylanding::cell {

namespace {

constexpr std::string_view PrefixWithoutQueue = "1;";
constexpr std::string_view PrefixWithQueue = "2;";
constexpr int HexBase = 16;

/// Takes the number that \p Text consists of.
template <typename Number>
bool parseWhole(std::string_view Text, Number &Value, int Base) {
  const char *TextEnd = Text.data() + Text.size();
  auto [End, Code] = std::from_chars(Text.data(), TextEnd, Value, Base);
  return Code == std::errc() && End == TextEnd;
}

/// Cuts the text before the next semicolon off \p Text, or all of it.
std::string_view takeField(std::string_view &Text) {
  std::string_view Field = Text.substr(0, Text.find(';'));
  Text.remove_prefix(std::min(Field.size() + 1, Text.size()));
  return Field;
}

} // namespace

std::string encodeEndedJob(const EndedJob &Job) {
  if (Job.Queue.empty())
    return fmt::format("{}{};{};{:x}", PrefixWithoutQueue, phaseName(Job.Phase),
                       Job.EndedMs, Job.WorkHash);
  return fmt::format("{}{};{};{:x};{}", PrefixWithQueue, phaseName(Job.Phase),
                     Job.EndedMs, Job.WorkHash, Job.Queue);
}

Result<EndedJob> decodeEndedJob(std::string_view Text) {
  constexpr int DecimalBase = 10;
  bool HasQueue = Text.starts_with(PrefixWithQueue);
  if (!HasQueue && !Text.starts_with(PrefixWithoutQueue))
    return Errc::Malformed;
  Text.remove_prefix(PrefixWithQueue.size());
  EndedJob Job;
  auto Phase = phaseOf(takeField(Text));
  bool IsWhole = Phase && isFinal(*Phase) &&
                 parseWhole(takeField(Text), Job.EndedMs, DecimalBase);
  std::string_view Hash = HasQueue ? takeField(Text) : Text;
  if (!IsWhole || !parseWhole(Hash, Job.WorkHash, HexBase))
    return Errc::Malformed;
  Job.Phase = *Phase;
  if (HasQueue)
    Job.Queue = Text;
  if (HasQueue && Job.Queue.empty())
    return Errc::Malformed;
  return Job;
}

} // namespace daisylanding::cell
