#include "Trial.h"

#include <thread>

/// Review case: an executor that starts again under its id after the time of
/// day of its machine has jumped back is never used again. Arguments: the
/// case's folder.
using namespace review;

namespace {

constexpr size_t EntryCount = 4;
constexpr size_t OtherExecutors = 7;
constexpr const char *ExecutorId = "x0";
constexpr const char *Label = "b";
constexpr uint32_t MilliCores = 16'000;
/// From the executor's start to its crash, and from there to its next start.
constexpr Millis CrashAfter{800};
constexpr Millis BackAfter{1'000};
/// By which the time of day of its machine jumps back in between.
constexpr Millis ClockStep{2'400};
/// From its next start to the jobs that need it.
constexpr Millis JobsAfter{3'000};
constexpr size_t JobCount = 3;
constexpr Millis WaitingTime{25'000};
constexpr Millis ReadyTimeout{15'000};

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    return CouldNotRun;
  bool Trouble = withTrouble();
  Trial Run(Arguments[1], EntryCount);
  if (!Run.startPlatform())
    return CouldNotRun;
  Run.configure();
  for (size_t I = 1; I <= OtherExecutors; ++I)
    Run.addExecutor({.Id = fmt::format("x{}", I),
                     .Label = "a",
                     .MilliCores = MilliCores,
                     .BornMs = wallMs()});
  Run.prepareExecutor(ExecutorId, MilliCores);
  for (size_t I = 0; I < EntryCount; ++I)
    Run.startEntry(I);
  if (!Run.waitUntilReady(ReadyTimeout))
    return CouldNotRun;
  std::this_thread::sleep_for(Millis(3'000));

  ExecutorEntry Executor{.Id = ExecutorId,
                         .Label = Label,
                         .MilliCores = MilliCores,
                         .BornMs = wallMs()};
  Run.beginLife(Executor);
  if (Trouble) {
    std::this_thread::sleep_for(CrashAfter);
    Run.Inner.killExecutor(ExecutorId);
    Run.Events.add("executor-crashed", {{"executor", ExecutorId}});
    std::this_thread::sleep_for(BackAfter);
    Executor.BornMs = wallMs() - ClockStep.count();
    Run.beginLife(Executor);
  }
  std::this_thread::sleep_for(JobsAfter);
  std::string Answer;
  for (size_t I = 1; I <= JobCount; ++I) {
    if (Run.call(I % EntryCount, "POST", jobId(I),
                 jobBody(1, 1'000, 700, Label), Answer) != http::StatusOk)
      return CouldNotRun;
  }
  TimePoint EndAt = monotonicNow() + WaitingTime;
  size_t Completed = 0;
  while (monotonicNow() < EndAt && Completed < JobCount) {
    std::this_thread::sleep_for(Millis(1'000));
    Completed = 0;
    for (size_t I = 1; I <= JobCount; ++I) {
      Run.call((I + 1) % EntryCount, "GET", jobId(I), "", Answer);
      Completed += Answer.find("completed") != std::string::npos ? 1 : 0;
    }
  }
  size_t Begun = Run.Platform.begunJobs().size();
  Run.Events.add("end", {{"begun", Begun}, {"completed", Completed}});
  fmt::print("jobs={} begun={} completed={}\n", JobCount, Begun, Completed);
  return Begun < JobCount ? Broken : Held;
}
