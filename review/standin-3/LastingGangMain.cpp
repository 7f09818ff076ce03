#include "review/standin-3/Rig.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <string_view>

/// The tasks of two lasting jobs end: of a gang, and of a job of single tasks.
/// Both must be started again.
namespace {

using namespace daisylanding;

constexpr Millis WorkTime{4'000};
/// A task that lasts must run again 6 s after its last run, 3 s late at most.
constexpr Millis MaxIdleTime{9'000};
constexpr Millis WatchTime{30'000};
constexpr Millis StartTime{15'000};
constexpr Millis PollInterval{50};
constexpr size_t TasksPerJob = 2;

const std::string GangId = "00000000000000a1";
const std::string SinglesId = "00000000000000a2";

std::string lastingJob(bool IsGang) {
  return fmt::format(
      R"({{"spec":"serve","steps":[{{"count":{},"cpu":1000,"mem-mb":100,{})"
      R"("est-runtime-ms":1000,"long-running":true}}]}})",
      TasksPerJob, IsGang ? R"("gang":true,)" : "");
}

template <typename Condition> bool waitFor(Condition IsMet, Millis Limit) {
  TimePoint Deadline = monotonicNow() + Limit;
  while (!IsMet() && monotonicNow() < Deadline)
    std::this_thread::sleep_for(PollInterval);
  return IsMet();
}

enum CaseResult { Held = 0, Broken = 1, NotRun = 2 };

CaseResult play(review::Rig &Rig, review::RecordFile &Record, bool HasTrouble) {
  if (!Rig.start())
    return NotRun;
  if (Rig.call("POST", "/q/" + GangId, lastingJob(true)) != http::StatusOk ||
      Rig.call("POST", "/q/" + SinglesId, lastingJob(false)) != http::StatusOk)
    return NotRun;
  review::ExecutorFarm &Farm = Rig.executors();
  auto AllAtWork = [&] {
    return Farm.openRuns(GangId) == TasksPerJob &&
           Farm.openRuns(SinglesId) == TasksPerJob;
  };
  if (!waitFor(AllAtWork, StartTime)) {
    Record.write("the jobs don't start");
    return NotRun;
  }
  std::this_thread::sleep_for(WorkTime);
  if (HasTrouble) {
    Record.write("the tasks of both jobs end as done");
    Farm.endRuns(GangId, "done");
    Farm.endRuns(SinglesId, "done");
  }
  Millis GangIdle{0};
  Millis SinglesIdle{0};
  TimePoint End = monotonicNow() + WatchTime;
  while (monotonicNow() < End) {
    GangIdle = std::max(GangIdle, Farm.idleTime(GangId));
    SinglesIdle = std::max(SinglesIdle, Farm.idleTime(SinglesId));
    std::this_thread::sleep_for(PollInterval);
  }
  std::string GangState = Rig.stateOf(GangId);
  Rig.stateOf(SinglesId);
  Record.write(fmt::format("longest time without a run: gang {} ms, single "
                           "tasks {} ms; allowed {} ms",
                           GangIdle.count(), SinglesIdle.count(),
                           MaxIdleTime.count()));
  if (SinglesIdle > MaxIdleTime)
    return NotRun;
  return GangIdle > MaxIdleTime ? Broken : Held;
}

} // namespace

/// Arguments: the folder of the record, a temporary folder, the entry's
/// program.
int main(int ArgCount, char **ArgValues) {
  if (ArgCount != 4)
    return NotRun;
  const char *Trouble = std::getenv("TROUBLE");
  bool HasTrouble = !Trouble || std::string_view(Trouble) != "0";
  review::RecordFile Record(std::string(ArgValues[1]) + "/record.txt");
  constexpr int Executors = 4;
  constexpr int Entries = 2;
  review::Rig Rig(Record, ArgValues[2], ArgValues[3], Executors, Entries);
  CaseResult Outcome = play(Rig, Record, HasTrouble);
  Record.write(fmt::format("result {}", static_cast<int>(Outcome)));
  return Outcome;
}
