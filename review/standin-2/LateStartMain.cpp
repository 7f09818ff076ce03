#include "Trial.h"

#include <thread>

/// Review case: a start without an answer is carried out late, by the next life
/// of its executor behind a cut, beside the task's next run. Arguments: the
/// case's folder.
using namespace review;

namespace {

constexpr size_t EntryCount = 4;
constexpr size_t ExecutorCount = 8;
constexpr uint32_t MilliCores = 16'000;
constexpr Millis RunTime{8'000};
/// All from the start that gets no answer.
constexpr Millis CrashAfter{1'000};
constexpr Millis BackAfter{2'000};
constexpr Millis CarriedOutAfter{4'000};
constexpr Millis UnlistedAfter{4'500}; ///< Three heartbeat intervals.
constexpr Millis CutTime{5'500};
constexpr Millis ObservedTime{9'000};
/// Other jobs, so that one late start is within the share of late orders.
constexpr size_t OtherJobs = 24;
constexpr Millis OtherJobsAfter{700};
constexpr double MaxLateShare = 0.055;
constexpr Millis MaxHold{10'000};
constexpr Millis ReadyTimeout{15'000};
constexpr Millis Never{3'600'000};

void sleepUntil(TimePoint At) {
  Micros Left(At - monotonicNow());
  if (Left > Micros(0))
    std::this_thread::sleep_for(Left);
}

/// Returns how many were accepted.
size_t submitOthers(Trial &Run) {
  size_t Accepted = 0;
  std::string Answer;
  for (size_t I = 0; I < OtherJobs; ++I)
    Accepted += Run.call(I % EntryCount, "POST", jobId(100 + I),
                         jobBody(1, 500, RunTime.count(), ""),
                         Answer) == http::StatusOk;
  return Accepted;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    return CouldNotRun;
  bool Trouble = withTrouble();
  Trial Run(Arguments[1], EntryCount);
  if (!Run.startPlatform())
    return CouldNotRun;
  Run.Inner.setRunTimes(
      {.RunDuration = RunTime, .MaxRenewalWait = Millis(2'000)});
  Run.configure(false);
  std::map<std::string, ExecutorEntry> Executors;
  for (size_t I = 0; I < ExecutorCount; ++I) {
    ExecutorEntry Entry{.Id = fmt::format("x{}", I),
                        .Label = "a",
                        .MilliCores = MilliCores,
                        .BornMs = wallMs()};
    Run.addExecutor(Entry);
    Executors[Entry.Id] = Entry;
  }
  for (size_t I = 0; I < EntryCount; ++I)
    Run.startEntry(I);
  if (!Run.waitUntilReady(ReadyTimeout))
    return CouldNotRun;
  std::this_thread::sleep_for(Millis(8'000));

  if (Trouble)
    Run.Platform.keepNextStart();
  std::string Answer;
  if (Run.call(0, "POST", jobId(1), jobBody(1, 1'000, RunTime.count(), ""),
               Answer) != http::StatusOk)
    return CouldNotRun;
  TimePoint BeganAt = monotonicNow();
  if (Trouble) {
    while (Run.Platform.cutExecutor().empty()) {
      if (monotonicNow() > BeganAt + Millis(3'000))
        return CouldNotRun;
      std::this_thread::sleep_for(Millis(1));
    }
    BeganAt = monotonicNow();
    std::string Id = Run.Platform.cutExecutor();
    sleepUntil(BeganAt + OtherJobsAfter);
    submitOthers(Run);
    sleepUntil(BeganAt + CrashAfter);
    Run.Inner.killExecutor(Id);
    Run.Events.add("executor-crashed", {{"executor", Id}});
    sleepUntil(BeganAt + BackAfter);
    TimePoint BornAt = monotonicNow();
    ExecutorEntry Reborn = Executors.at(Id);
    Reborn.BornMs = wallMs();
    Run.Platform.setBorn(Id, Reborn.BornMs);
    Run.Inner.restartExecutor(Id, Never);
    Run.Events.add("executor-back", {{"executor", Id}});
    sleepUntil(BeganAt + CarriedOutAfter);
    Run.Platform.carryOutKeptStart(toMillis(monotonicNow() - BornAt), MaxHold);
    sleepUntil(BeganAt + UnlistedAfter);
    Run.unlistExecutor(Id);
    sleepUntil(BeganAt + CutTime);
    Run.Platform.endCut();
    Run.listExecutor(Reborn);
  }
  if (!Trouble)
    submitOthers(Run);
  sleepUntil(BeganAt + ObservedTime);
  size_t Twice = 0;
  for (const std::string &Violation : Run.Inner.violations()) {
    Run.Events.add("violation", {{"what", Violation}});
    Twice += Violation.find("twice at the same time") != std::string::npos;
  }
  size_t Starts = 0;
  for (const auto &[Task, Number] : Run.Platform.starts())
    Starts += static_cast<size_t>(Number);
  Run.Events.add("end", {{"starts", Starts}, {"twice", Twice}});
  // Besides these, stops and renewals are orders, too.
  double LateShare = Trouble ? 1.0 / static_cast<double>(Starts) : 0;
  fmt::print("starts={} twice={} late_share={:.3f}\n", Starts, Twice,
             LateShare);
  if (LateShare > MaxLateShare)
    return CouldNotRun;
  return Twice > 0 ? Broken : Held;
}
