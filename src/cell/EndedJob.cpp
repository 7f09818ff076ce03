#include "cell/EndedJob.h"

#include <fmt/format.h>

#include <charconv>

/// The stored text: a version, the phase, the time of the end and the hash in
/// hexadecimal digits, as in `1;completed;81234;5c0e7a21d94b36f8`. Version 2
/// adds the tasks that ran again, as in
/// `2;completed;81234;5c0e7a21d94b36f8;0.1.7.2,`: occurrence, step, index and
/// run.
namespace daisylanding::cell {

namespace {

constexpr std::string_view VersionPrefix = "1;";
constexpr std::string_view RerunsVersionPrefix = "2;";
constexpr int DecimalBase = 10;
constexpr int HexBase = 16;

/// Takes the number that \p Text consists of.
template <typename Number>
bool parseWhole(std::string_view Text, Number &Value, int Base) {
  const char *TextEnd = Text.data() + Text.size();
  auto [End, Code] = std::from_chars(Text.data(), TextEnd, Value, Base);
  return Code == std::errc() && End == TextEnd;
}

/// Takes the part of \p Text before the next \p Separator, and both off it.
std::string_view takeField(std::string_view &Text, char Separator) {
  size_t End = Text.find(Separator);
  std::string_view Field = Text.substr(0, End);
  Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  return Field;
}

bool parseReruns(std::string_view Text, EndedJob &Job) {
  while (!Text.empty()) {
    std::string_view Item = takeField(Text, ',');
    TaskPosition Position;
    uint32_t Run = 0;
    bool IsWhole =
        parseWhole(takeField(Item, '.'), Position.Occurrence, DecimalBase) &&
        parseWhole(takeField(Item, '.'), Position.Step, DecimalBase) &&
        parseWhole(takeField(Item, '.'), Position.Index, DecimalBase) &&
        parseWhole(Item, Run, DecimalBase);
    if (!IsWhole)
      return false;
    Job.Reruns[Position] = Run;
  }
  return true;
}

} // namespace

std::string encodeEndedJob(const EndedJob &Job) {
  std::string Text = fmt::format(
      "{}{};{};{:x}", Job.Reruns.empty() ? VersionPrefix : RerunsVersionPrefix,
      phaseName(Job.Phase), Job.EndedMs, Job.WorkHash);
  if (!Job.Reruns.empty())
    Text += ';';
  for (const auto &[Position, Run] : Job.Reruns)
    Text += fmt::format("{}.{}.{}.{},", Position.Occurrence, Position.Step,
                        Position.Index, Run);
  return Text;
}

Result<EndedJob> decodeEndedJob(std::string_view Text) {
  bool HasReruns = Text.starts_with(RerunsVersionPrefix);
  if (!HasReruns && !Text.starts_with(VersionPrefix))
    return Errc::Malformed;
  Text.remove_prefix(VersionPrefix.size());
  EndedJob Job;
  auto Phase = phaseOf(takeField(Text, ';'));
  bool IsWhole = Phase && isFinal(*Phase) &&
                 parseWhole(takeField(Text, ';'), Job.EndedMs, DecimalBase);
  if (!IsWhole)
    return Errc::Malformed;
  std::string_view Hash = HasReruns ? takeField(Text, ';') : Text;
  if (!parseWhole(Hash, Job.WorkHash, HexBase))
    return Errc::Malformed;
  if (HasReruns && (Text.empty() || !parseReruns(Text, Job)))
    return Errc::Malformed;
  Job.Phase = *Phase;
  return Job;
}

} // namespace daisylanding::cell
