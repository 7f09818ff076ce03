#include "cell/Progress.h"

#include "cell/JsonProgress.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <span>
#include <utility>

/// The stored text: a version, the phase, the time of the end, the occurrences
/// that are done, the executors of open runs with their addresses, and the
/// tasks of each step:
///
///   2;running;0;0,1;3:i-111:10.0.0.7:803:i-211:10.0.0.8:80;2.0=_*3d1*8o1e0
///
/// Each name has its length before it. A task is `_` before its first run, or
/// else `w`aiting, `o`pen or `d`one with the number of its newest run, and then
/// what is not 0: `e` the executor's place in the list, `f` failures, `c`
/// crashes, `k` the checkpoint. `*` counts equal tasks in a row.
///
/// If occurrences have rows of their own, the done ones are `@` and ranges, as
/// in `@0-17,19`. Versions that don't know such rows take the progress for
/// unreadable, and leave the job alone: they would start its tasks once more.
///
/// The list of executors may end with one without a name, whose address holds
/// the start times of those before it, in their order: `0:3:7,8`. Versions that
/// don't know these read an executor that no task names.
namespace daisylanding::cell {

namespace {

constexpr std::array<std::string_view, 5> PhaseNames = {
    "queued", "running", "completed", "failed", "cancelled"};
constexpr std::string_view VersionPrefix = "2;";
constexpr char FieldEnd = ';';
constexpr char SplitMark = '@';

std::string withLength(std::string_view Bytes) {
  return fmt::format("{}:{}", Bytes.size(), Bytes);
}

/// Numbers the executors of open runs in the order of their first use.
class ExecutorTable {
public:
  size_t indexOf(const TaskProgress &Task) {
    auto [It, IsNew] =
        Indexes.try_emplace({Task.Executor, Task.Born}, Indexes.size());
    if (!IsNew)
      return It->second;
    Text += withLength(Task.Executor) + withLength(Task.Address);
    StartTimes.push_back(Task.Born);
    return It->second;
  }
  std::string text() const {
    bool AnyStated =
        std::any_of(StartTimes.begin(), StartTimes.end(),
                    [](int64_t StartTime) { return StartTime != 0; });
    if (!AnyStated)
      return Text;
    return Text + withLength("") +
           withLength(fmt::format("{}", fmt::join(StartTimes, ",")));
  }

private:
  std::map<std::pair<std::string_view, int64_t>, size_t> Indexes;
  std::string Text;
  std::vector<int64_t> StartTimes;
};

std::string encodeTask(const TaskProgress &Task, ExecutorTable &Executors) {
  char PhaseCode = 'w';
  if (Task.Phase == TaskPhase::Done)
    PhaseCode = 'd';
  else if (isOpen(Task.Phase))
    PhaseCode = 'o';
  std::string Code = fmt::format("{}{}", PhaseCode, Task.Run);
  if (!Task.Executor.empty())
    Code += fmt::format("e{}", Executors.indexOf(Task));
  if (Task.Failures > 0)
    Code += fmt::format("f{}", Task.Failures);
  if (Task.Crashes > 0)
    Code += fmt::format("c{}", Task.Crashes);
  if (!Task.Checkpoint.empty())
    Code += 'k' + withLength(Task.Checkpoint);
  return Code;
}

/// Joins the codes of a step's tasks, equal ones in a row as one.
class StepWriter {
public:
  void add(const std::string &Code, uint32_t Count = 1) {
    if (Code == Last) {
      Repeats += Count;
      return;
    }
    finish();
    Last = Code;
    Repeats = Count;
  }
  void finish() {
    if (Repeats > 1)
      Text += fmt::format("{}*{}", Last, Repeats);
    else if (Repeats == 1)
      Text += Last;
    Repeats = 0;
    Last.clear();
  }
  void begin(const TaskPosition &Position) {
    finish();
    Text += fmt::format("{}{}.{}=", Text.empty() ? "" : " ",
                        Position.Occurrence, Position.Step);
  }
  const std::string &text() const { return Text; }

private:
  std::string Text;
  std::string Last;
  uint32_t Repeats = 0;
};

std::string encodeSteps(const std::map<TaskPosition, TaskProgress> &Tasks,
                        ExecutorTable &Executors) {
  StepWriter Writer;
  std::optional<TaskPosition> Step;
  uint32_t Next = 0;
  for (const auto &[Position, Task] : Tasks) {
    if (Task.Run == 0)
      continue;
    TaskPosition ThisStep{.Occurrence = Position.Occurrence,
                          .Step = Position.Step};
    if (Step != ThisStep) {
      Writer.begin(ThisStep);
      Step = ThisStep;
      Next = 0;
    }
    if (Position.Index > Next)
      Writer.add("_", Position.Index - Next);
    Writer.add(encodeTask(Task, Executors));
    Next = Position.Index + 1;
  }
  Writer.finish();
  return Writer.text();
}

/// Reads a stored text from its front; fails for good at the first text that is
/// not as expected.
class Scanner {
public:
  explicit Scanner(std::string_view Text) : Rest(Text) {}

  bool failed() const { return Failed; }
  bool atEnd() const { return Rest.empty(); }
  bool accept(char Expected) {
    if (Failed || Rest.empty() || Rest.front() != Expected)
      return false;
    Rest.remove_prefix(1);
    return true;
  }
  void fail() { Failed = true; }
  void expect(char Expected) { Failed = Failed || !accept(Expected); }
  template <typename Number> Number number() {
    Number Value = 0;
    auto [End, Code] =
        std::from_chars(Rest.data(), Rest.data() + Rest.size(), Value);
    Failed = Failed || Code != std::errc();
    Rest.remove_prefix(static_cast<size_t>(End - Rest.data()));
    return Value;
  }
  std::string_view bytes(size_t Count) {
    Failed = Failed || Count > Rest.size();
    if (Failed)
      return {};
    std::string_view Bytes = Rest.substr(0, Count);
    Rest.remove_prefix(Count);
    return Bytes;
  }
  /// Up to \p End, which is skipped.
  std::string_view until(char End) {
    std::string_view Field = bytes(Rest.find(End));
    expect(End);
    return Field;
  }
  std::string_view withLength() {
    auto Length = number<size_t>();
    expect(':');
    return bytes(Length);
  }

private:
  std::string_view Rest;
  bool Failed = false;
};

struct NamedExecutor {
  std::string_view Id;
  std::string_view Address;
  int64_t Born = 0;
};

/// Returns false if the text is no list of times.
bool decodeStartTimes(std::string_view Text,
                      std::vector<NamedExecutor> &Executors) {
  Scanner Source(Text);
  for (NamedExecutor &Named : Executors) {
    Named.Born = Source.number<int64_t>();
    Source.accept(',');
  }
  return !Source.failed() && Source.atEnd();
}

std::vector<NamedExecutor> decodeExecutors(Scanner &Source) {
  std::vector<NamedExecutor> Executors;
  while (!Source.failed() && !Source.accept(FieldEnd)) {
    std::string_view Id = Source.withLength();
    std::string_view Address = Source.withLength();
    if (!Id.empty())
      Executors.push_back({.Id = Id, .Address = Address});
    else if (!decodeStartTimes(Address, Executors))
      Source.fail();
  }
  return Executors;
}

/// What follows the phase of a task. Returns false if it is not as expected.
bool decodeTask(Scanner &Source, std::span<const NamedExecutor> Executors,
                TaskProgress &Task) {
  Task.Run = Source.number<uint32_t>();
  if (Source.accept('e')) {
    auto Index = Source.number<size_t>();
    if (Source.failed() || Index >= Executors.size())
      return false;
    Task.Executor = Executors[Index].Id;
    Task.Address = Executors[Index].Address;
    Task.Born = Executors[Index].Born;
  }
  if (Source.accept('f'))
    Task.Failures = Source.number<uint32_t>();
  if (Source.accept('c'))
    Task.Crashes = Source.number<uint32_t>();
  if (Source.accept('k'))
    Task.Checkpoint = Source.withLength();
  bool IsWhole = Task.Phase != TaskPhase::Starting || !Task.Executor.empty();
  return !Source.failed() && Task.Run > 0 && IsWhole;
}

bool decodeStep(Scanner &Source, std::span<const NamedExecutor> Executors,
                JobProgress &Progress) {
  TaskPosition Position;
  Position.Occurrence = Source.number<uint32_t>();
  Source.expect('.');
  Position.Step = Source.number<uint32_t>();
  Source.expect('=');
  while (!Source.failed() && !Source.atEnd() && !Source.accept(' ')) {
    TaskProgress Task;
    bool HasRun = !Source.accept('_');
    if (HasRun && Source.accept('o'))
      Task.Phase = TaskPhase::Starting;
    else if (HasRun && Source.accept('d'))
      Task.Phase = TaskPhase::Done;
    else if (HasRun)
      Source.expect('w');
    if (HasRun && !decodeTask(Source, Executors, Task))
      return false;
    uint32_t Repeats = Source.accept('*') ? Source.number<uint32_t>() : 1;
    if (Source.failed() || Repeats > MaxTasks - Position.Index)
      return false;
    for (uint32_t I = 0; I < Repeats; ++I, ++Position.Index) {
      if (HasRun)
        Progress.Tasks.emplace(Position, Task);
    }
  }
  return !Source.failed();
}

std::string encodeEach(const OccurrenceSet &Occurrences) {
  std::string Text;
  for (const auto &[First, Last] : Occurrences.ranges()) {
    for (uint64_t Number = First; Number <= Last; ++Number)
      Text += fmt::format("{}{}", Text.empty() ? "" : ",", Number);
  }
  return Text;
}

std::string encodeRanges(const OccurrenceSet &Occurrences) {
  std::string Text;
  for (const auto &[First, Last] : Occurrences.ranges()) {
    Text += fmt::format("{}{}", Text.empty() ? "" : ",", First);
    if (Last != First)
      Text += fmt::format("-{}", Last);
  }
  return Text;
}

OccurrenceSet decodeOccurrences(Scanner &Source, bool AsRanges) {
  OccurrenceSet Occurrences;
  while (!Source.failed() && !Source.accept(FieldEnd)) {
    auto First = Source.number<uint32_t>();
    bool IsRange = AsRanges && Source.accept('-');
    uint32_t Last = IsRange ? Source.number<uint32_t>() : First;
    if (Last < First)
      Source.fail();
    if (!Source.failed())
      Occurrences.insertRange(First, Last);
    Source.accept(',');
  }
  return Occurrences;
}

} // namespace

std::string_view phaseName(JobPhase Phase) {
  return PhaseNames[static_cast<size_t>(Phase)];
}

std::string_view phaseName(TaskPhase Phase) {
  constexpr std::array<std::string_view, 7> Names = {
      "waiting", "placed",   "recording", "starting",
      "running", "stopping", "done"};
  return Names[static_cast<size_t>(Phase)];
}

std::optional<JobPhase> phaseOf(std::string_view Name) {
  for (size_t I = 0; I < PhaseNames.size(); ++I) {
    if (PhaseNames[I] == Name)
      return static_cast<JobPhase>(I);
  }
  return std::nullopt;
}

bool hasBegun(const JobProgress &Progress) {
  if (Progress.Phase == JobPhase::Queued)
    return false;
  const auto &Tasks = Progress.Tasks;
  bool HasOpenRun =
      std::any_of(Tasks.begin(), Tasks.end(),
                  [](const auto &Entry) { return isOpen(Entry.second.Phase); });
  bool HasEnded =
      std::any_of(Tasks.begin(), Tasks.end(), [](const auto &Entry) {
        return Entry.second.Phase == TaskPhase::Done ||
               Entry.second.Failures > 0;
      });
  return HasEnded || !HasOpenRun;
}

std::string encodeProgress(const JobProgress &Progress) {
  return encodeProgressHead(Progress) + encodeTasks(Progress.Tasks);
}

std::string encodeProgressHead(const JobProgress &Progress) {
  std::string Done = Progress.IsSplit
                         ? SplitMark + encodeRanges(Progress.DoneOccurrences)
                         : encodeEach(Progress.DoneOccurrences);
  return fmt::format("{}{};{};{};", VersionPrefix, phaseName(Progress.Phase),
                     Progress.EndedMs, Done);
}

std::string encodeTasks(const std::map<TaskPosition, TaskProgress> &Tasks) {
  ExecutorTable Executors;
  std::string Steps = encodeSteps(Tasks, Executors);
  return Executors.text() + FieldEnd + Steps;
}

Result<JobPhase> decodePhase(std::string_view Text) {
  if (!Text.starts_with(VersionPrefix))
    return decodeJsonPhase(Text);
  Scanner Source(Text.substr(VersionPrefix.size()));
  auto Phase = phaseOf(Source.until(FieldEnd));
  if (!Phase)
    return Errc::Malformed;
  return *Phase;
}

Result<JobProgress> decodeProgress(std::string_view Text) {
  if (!Text.starts_with(VersionPrefix))
    return decodeJsonProgress(Text);
  Scanner Source(Text.substr(VersionPrefix.size()));
  auto Phase = phaseOf(Source.until(FieldEnd));
  if (!Phase)
    return Errc::Malformed;
  JobProgress Progress{.Phase = *Phase};
  Progress.EndedMs = Source.number<int64_t>();
  Source.expect(FieldEnd);
  Progress.IsSplit = Source.accept(SplitMark);
  Progress.DoneOccurrences = decodeOccurrences(Source, Progress.IsSplit);
  std::vector<NamedExecutor> Executors = decodeExecutors(Source);
  while (!Source.failed() && !Source.atEnd()) {
    if (!decodeStep(Source, Executors, Progress))
      return Errc::Malformed;
  }
  if (Source.failed())
    return Errc::Malformed;
  return Progress;
}

bool fitsJob(const JobProgress &Progress, const JobSpec &Job) {
  uint32_t Occurrences = std::max(Job.RepeatCount, 1U);
  return std::all_of(Progress.Tasks.begin(), Progress.Tasks.end(),
                     [&](const auto &Entry) {
                       const TaskPosition &Position = Entry.first;
                       return Position.Occurrence < Occurrences &&
                              Position.Step < Job.Steps.size() &&
                              Position.Index < Job.Steps[Position.Step].Count;
                     });
}

} // namespace daisylanding::cell
