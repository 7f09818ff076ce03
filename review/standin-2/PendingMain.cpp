#include "Trial.h"

#include <csignal>
#include <thread>

/// Review case: after the owner is killed, the number of waiting jobs leaves
/// out those whose first start was refused. Arguments: the case's folder.
using namespace review;

namespace {

constexpr size_t EntryCount = 4;
constexpr size_t ExecutorCount = 24;
/// A twelfth of the executors refuse all starts.
constexpr size_t UnhealthyCount = 2;
constexpr Millis UnhealthyTime{6'500};
constexpr size_t JobCount = 24;
constexpr Millis KillAfter{1'000};
constexpr Millis EntryBackAfter{3'500};
/// `visible_ms` and 2 s: jobs accepted before that are to be counted.
constexpr Millis CountedAfter{5'000};
constexpr Millis ReadyTimeout{15'000};

struct AcceptedJob {
  std::string Id;
  TimePoint At{};
};

bool isUnhealthyExecutor(size_t Index) { return Index < UnhealthyCount; }
std::string executorId(size_t Index) { return fmt::format("x{}", Index); }

/// Jobs that were accepted long enough ago and that have not begun.
size_t countWaiting(const std::vector<AcceptedJob> &Jobs,
                    const std::set<std::string> &Begun, TimePoint AskedAt) {
  return static_cast<size_t>(
      std::count_if(Jobs.begin(), Jobs.end(), [&](const AcceptedJob &Job) {
        return Job.At + CountedAfter < AskedAt && !Begun.count(Job.Id);
      }));
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    return CouldNotRun;
  bool Trouble = withTrouble();
  Trial Run(Arguments[1], EntryCount);
  if (!Run.startPlatform())
    return CouldNotRun;
  Run.configure();
  for (size_t I = 0; I < ExecutorCount; ++I)
    Run.addExecutor({.Id = executorId(I),
                     .Label = isUnhealthyExecutor(I) ? "b" : "a",
                     .MilliCores = 16'000,
                     .BornMs = wallMs()});
  for (size_t I = 0; I < EntryCount; ++I)
    Run.startEntry(I);
  if (!Run.waitUntilReady(ReadyTimeout))
    return CouldNotRun;
  std::this_thread::sleep_for(Millis(3'000));
  auto Owner = Run.ownerIndex();
  if (!Owner)
    return CouldNotRun;

  TimePoint BeganAt = monotonicNow();
  if (Trouble) {
    for (size_t I = 0; I < UnhealthyCount; ++I)
      Run.Platform.setUnhealthy(executorId(I), true);
    Run.Events.add("executors-unhealthy", {{"count", UnhealthyCount}});
  }
  std::vector<AcceptedJob> Jobs;
  std::string Answer;
  for (size_t I = 1; I <= JobCount; ++I) {
    std::string Id = jobId(I);
    if (Run.call(I % EntryCount, "POST", Id, jobBody(1, 1'000, 880, "b"),
                 Answer) == http::StatusOk)
      Jobs.push_back({.Id = Id, .At = monotonicNow()});
  }
  if (Jobs.size() < JobCount)
    return CouldNotRun;
  std::this_thread::sleep_until(
      std::chrono::steady_clock::now() +
      std::max(Micros(0), Micros(BeganAt + KillAfter - monotonicNow())));
  if (Trouble) {
    Run.entry(*Owner).signal(SIGKILL);
    Run.Events.add("owner-killed", {{"entry", *Owner}});
  }
  TimePoint BackAt = monotonicNow() + EntryBackAfter;
  TimePoint HealthyAt = BeganAt + UnhealthyTime;
  TimePoint EndAt = HealthyAt + Millis(2'000);
  size_t Checks = 0;
  size_t Wrong = 0;
  bool IsBack = false;
  bool IsHealthy = false;
  while (monotonicNow() < EndAt) {
    TimePoint Now = monotonicNow();
    if (Trouble && !IsBack && Now >= BackAt) {
      IsBack = true;
      Run.startEntry(*Owner);
    }
    if (!IsHealthy && Now >= HealthyAt) {
      IsHealthy = true;
      for (size_t I = 0; I < UnhealthyCount; ++I)
        Run.Platform.setUnhealthy(executorId(I), false);
      Run.Events.add("executors-healthy", {});
    }
    for (size_t Entry = 0; Entry < EntryCount; ++Entry) {
      if (Entry == *Owner)
        continue; // The others were undisturbed all the while.
      TimePoint AskedAt = monotonicNow();
      if (Run.call(Entry, "GET", "", "", Answer) != http::StatusOk)
        continue;
      uint64_t Pending = json::parse(Answer).at("pending");
      // What has begun meanwhile counts as begun.
      size_t Waiting = countWaiting(Jobs, Run.Platform.begunJobs(), AskedAt);
      ++Checks;
      if (2 * Pending >= Waiting)
        continue;
      ++Wrong;
      Run.Events.add(
          "pending-wrong",
          {{"entry", Entry}, {"pending", Pending}, {"waiting", Waiting}});
    }
    std::this_thread::sleep_for(Millis(100));
  }
  Run.Events.add("end", {{"checks", Checks}, {"wrong", Wrong}});
  fmt::print("checks={} wrong={}\n", Checks, Wrong);
  return Wrong > 0 ? Broken : Held;
}
