#include "cell/EndedJob.h"

#include <fmt/format.h>

#include <charconv>

/// The stored text: a version, the phase, the time of the end and the hash in
/// hexadecimal digits, as in `1;completed;81234;5c0e7a21d94b36f8`.
namespace daisylanding::cell {

namespace {

constexpr std::string_view VersionPrefix = "1;";
constexpr int HexBase = 16;

/// Takes the number that \p Text consists of.
template <typename Number>
bool parseWhole(std::string_view Text, Number &Value, int Base) {
  const char *TextEnd = Text.data() + Text.size();
  auto [End, Code] = std::from_chars(Text.data(), TextEnd, Value, Base);
  return Code == std::errc() && End == TextEnd;
}

} // namespace

std::string encodeEndedJob(const EndedJob &Job) {
  return fmt::format("{}{};{};{:x}", VersionPrefix, phaseName(Job.Phase),
                     Job.EndedMs, Job.WorkHash);
}

Result<EndedJob> decodeEndedJob(std::string_view Text) {
  constexpr int DecimalBase = 10;
  if (!Text.starts_with(VersionPrefix))
    return Errc::Malformed;
  Text.remove_prefix(VersionPrefix.size());
  size_t PhaseEnd = Text.find(';');
  size_t TimeEnd = Text.rfind(';');
  if (PhaseEnd == std::string_view::npos || TimeEnd == PhaseEnd)
    return Errc::Malformed;
  EndedJob Job;
  auto Phase = phaseOf(Text.substr(0, PhaseEnd));
  bool IsWhole = Phase && isFinal(*Phase) &&
                 parseWhole(Text.substr(PhaseEnd + 1, TimeEnd - PhaseEnd - 1),
                            Job.EndedMs, DecimalBase) &&
                 parseWhole(Text.substr(TimeEnd + 1), Job.WorkHash, HexBase);
  if (!IsWhole)
    return Errc::Malformed;
  Job.Phase = *Phase;
  return Job;
}

} // namespace daisylanding::cell
