#include "unit/CellSim.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

/// Lasting tasks on executors that announce that they leave.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

/// Four tasks fit on it.
constexpr Resources ExecutorSize{.MilliCores = 4'000, .MemoryMb = 4'000};
constexpr Resources TaskSize{.MilliCores = 1'000, .MemoryMb = 1'000};
constexpr const char *LastingJobId = "00000000000000a1";
constexpr const char *BatchJobId = "00000000000000b1";
constexpr int64_t Forever = 1'000'000'000; ///< In ms.
/// From the announcement until the executor has left.
constexpr int64_t LeaveAfterMs = 6'000;
/// The longest that a stop takes.
constexpr int64_t StopTimeMs = 900;
/// From the listed end of a run to the next one, if its place is prepared:
/// renewal, commit and start.
constexpr int64_t RestartMs = 200;
/// Until all tasks of a lost executor run again.
constexpr int64_t LossLimitMs = 9'000;
const std::string Leaving = "i-0";

std::string lastingTask(uint32_t Index) {
  return taskName({.Job = LastingJobId, .Index = Index});
}

JobSpec makeLastingJob(uint32_t Tasks) {
  JobSpec Job = Simulation::makeJob(LastingJobId, Tasks, TaskSize, 1'000);
  Job.Steps[0].LongRunning = true;
  return Job;
}

/// Has its answers arrive in less than a ticket's validity, but not by much.
SimPolicy slowPolicy() {
  return {.Settings = {.BaseMs = 730,
                       .PerExecutorMs = 10,
                       .Validity = Millis(2'000)},
          .Entries = 4};
}

/// How long the task had no run, so far.
class IdleTime {
public:
  void update(const Simulation &Sim, const std::string &Task) {
    if (!Sim.isOpen(Task))
      Total += Sim.Now - LastUpdate;
    LastUpdate = Sim.Now;
  }
  void begin(TimePoint Now) { LastUpdate = Now; }
  int64_t ms() const { return toMillis(Total); }

private:
  TimePoint LastUpdate{};
  Micros Total{0};
};

} // namespace

// clang-format off
/// All tasks of the job run on the executor that will leave.
TEST_GROUP(AnOwnerOfLastingTasksOnOneExecutor) {
  Simulation Sim;
  IdleTime Idle; ///< Of the first task.

  virtual uint32_t taskCount() const { return 1; }
  virtual bool isGang() const { return false; }
  virtual void prepare() {}
  virtual void addOtherExecutors() {
    Sim.addExecutor(ExecutorSize);
    Sim.addExecutor(ExecutorSize);
  }
  void setup() override {
    Sim.RunTimeFor = [](const std::string &, int64_t) { return Forever; };
    Sim.StopTimeMs = StopTimeMs;
    prepare();
    Sim.addExecutor(ExecutorSize);
    Sim.takeOver();
    JobSpec Job = makeLastingJob(taskCount());
    Job.Steps[0].Gang = isGang();
    Sim.submit(Job);
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == taskCount(); }, 3'000));
    addOtherExecutors();
    // No lease of an earlier owner and no ticket is left.
    play(8'000);
    Idle = {};
    Idle.begin(Sim.Now);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void play(int64_t Ms) {
    for (TimePoint End = Sim.Now + Millis(Ms); Sim.Now < End;)
      step();
  }
  bool playUntil(const std::function<bool()> &IsDone, int64_t LimitMs) {
    for (TimePoint End = Sim.Now + Millis(LimitMs); Sim.Now < End && !IsDone();)
      step();
    return IsDone();
  }
  void step() {
    Sim.runFor(5);
    Idle.update(Sim, lastingTask(0));
  }
  void announce() { Sim.leaveExecutor(Leaving, LeaveAfterMs); }
  bool runsOn(const std::string &Id, uint32_t Index = 0) {
    return Sim.executor(Id).Running.count(lastingTask(Index)) > 0;
  }
  bool hasMoved(uint32_t Index = 0) { return Sim.isOpen(lastingTask(Index)) && !runsOn(Leaving, Index); }
  TaskPhase phase() {
    TaskPhase Phase = TaskPhase::Waiting;
    Sim.Owner->forEachJob([&](const LiveJob &Job) { Phase = Job.Occurrences.at(0).Steps[0].Tasks[0].Phase; });
    return Phase;
  }
  void checkMovedInTime() {
    CHECK(playUntil([&] { return hasMoved(); }, LeaveAfterMs));
    CHECK_FALSE(Sim.executor(Leaving).Dead);
    play(LeaveAfterMs + LossLimitMs);
    LONGS_EQUAL(2, Sim.runsOf(lastingTask(0)));
    CHECK_TRUE_TEXT(Idle.ms() <= RestartMs, fmt::format("no run for {} ms", Idle.ms()).c_str());
  }
  void checkStaysUntilItHasLeft() {
    announce();
    play(LeaveAfterMs - 10);
    CHECK(runsOn(Leaving));
    LONGS_EQUAL(1, Sim.runsOf(lastingTask(0)));
  }
};

TEST_GROUP_BASE(WhereStartsNeedTicketsOfASlowPolicy, TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasksOnOneExecutor) {
  void prepare() override { Sim.requireAdvice(slowPolicy()); }
};

TEST_GROUP_BASE(WhereTicketsAreShorterThanAStop, TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasksOnOneExecutor) {
  void prepare() override {
    Sim.requireAdvice({.Settings = {.BaseMs = 100, .PerExecutorMs = 5, .Validity = Millis(700)}, .Entries = 4});
  }
};

TEST_GROUP_BASE(WhereNoOtherExecutorHasRoom, TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasksOnOneExecutor) {
  void addOtherExecutors() override {
    Sim.addExecutor(ExecutorSize);
    Sim.submit(Simulation::makeJob(BatchJobId, 1, ExecutorSize, 1'000));
  }
};

TEST_GROUP_BASE(WhereOneOfThreeTasksFindsNoRoom, TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasksOnOneExecutor) {
  uint32_t taskCount() const override { return 3; }
  void addOtherExecutors() override {
    Sim.addExecutor({.MilliCores = 2'000, .MemoryMb = 2'000});
  }
};

TEST_GROUP_BASE(WhereTheTasksAreAGang, TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasksOnOneExecutor) {
  uint32_t taskCount() const override { return 2; }
  bool isGang() const override { return true; }
};
// clang-format on

/// Guards against runs that go on until their executor has left, and are known
/// to be over only once its lease has expired.
TEST(AnOwnerOfLastingTasksOnOneExecutor, MovesThemBeforeItHasLeft) {
  announce();
  checkMovedInTime();
}

TEST(WhereStartsNeedTicketsOfASlowPolicy, TheTaskIsMovedBeforeItHasLeft) {
  announce();
  checkMovedInTime();
}

/// Guards against a run that is stopped before its next start has a ticket.
TEST(WhereStartsNeedTicketsOfASlowPolicy, TheTaskRunsOnUntilItHasATicket) {
  announce();
  play(700);
  CHECK(phase() == TaskPhase::Running);
}

/// Guards against a wait for a ticket that outlasts the stop, which none does.
TEST(WhereTicketsAreShorterThanAStop, TheTaskIsMovedBeforeItHasLeft) {
  announce();
  checkMovedInTime();
}

TEST(WhereNoOtherExecutorHasRoom, TheTaskRunsOnUntilItHasLeft) {
  checkStaysUntilItHasLeft();
}

/// Guards against a place that is given to other work between the stop and the
/// next start.
TEST(AnOwnerOfLastingTasksOnOneExecutor, KeepsThePlaceOfAStoppedTask) {
  announce();
  CHECK(playUntil([&] { return phase() == TaskPhase::Stopping; }, 1'000));
  // Fits on the others only as long as no place is held there.
  Sim.submit(Simulation::makeJob(BatchJobId, 8, TaskSize, Forever));
  checkMovedInTime();
  LONGS_EQUAL(7 + 2, Sim.Started.size());
}

/// Guards against more stopped runs than places.
TEST(WhereOneOfThreeTasksFindsNoRoom, ItRunsOnUntilItHasLeft) {
  announce();
  play(LeaveAfterMs - 10);
  uint32_t Moved = 0;
  for (uint32_t I = 0; I < taskCount(); ++I) {
    CHECK(Sim.isOpen(lastingTask(I)));
    Moved += hasMoved(I) ? 1 : 0;
  }
  LONGS_EQUAL(2, Moved);
  LONGS_EQUAL(taskCount() + 2, Sim.Started.size());
}

TEST(WhereTheTasksAreAGang, TheyRunOnUntilItHasLeft) {
  checkStaysUntilItHasLeft();
}

/// Guards against stops of an owner that can't record the next start.
TEST(AnOwnerOfLastingTasksOnOneExecutor, LeavesThemWhereTheyAreWithoutAStore) {
  Sim.FeedsSilent = true;
  Sim.StoreSilent = true;
  play(1'000);
  announce();
  play(1'500);
  CHECK(phase() == TaskPhase::Running);
}

TEST(AnOwnerOfLastingTasksOnOneExecutor, DoesNotMoveTasksOfACancelledJob) {
  announce();
  CHECK(playUntil([&] { return phase() == TaskPhase::Stopping; }, 1'000));
  Sim.cancel(LastingJobId);
  Sim.Owner->cancel(LastingJobId, Sim.Now);
  play(LeaveAfterMs);
  LONGS_EQUAL(1, Sim.runsOf(lastingTask(0)));
}

/// Guards against a stop that follows an announcement of the past.
TEST(WhereStartsNeedTicketsOfASlowPolicy, TheTaskStaysIfTheExecutorDoes) {
  Sim.setDraining(Leaving, true);
  play(300);
  Sim.setDraining(Leaving, false);
  play(LeaveAfterMs);
  LONGS_EQUAL(1, Sim.runsOf(lastingTask(0)));
  CHECK(runsOn(Leaving));
}

/// Guards against a task that waits because its executor is listed no more.
TEST(WhereStartsNeedTicketsOfASlowPolicy, TheTaskIsMovedAlsoOnceUnlisted) {
  announce();
  play(300);
  Sim.setListed(Leaving, false);
  checkMovedInTime();
}

/// Guards against a second run beside one that may go on out of reach.
TEST(AnOwnerOfLastingTasksOnOneExecutor, WaitsForTheLeaseIfItFallsSilent) {
  Sim.executor(Leaving).Unreachable = true;
  play(LeaseOptions{}.BusyRenewalWait.count());
  Sim.setDraining(Leaving, true);
  CHECK(playUntil([&] { return hasMoved(); }, LossLimitMs));
  play(LossLimitMs);
  LONGS_EQUAL(2, Sim.runsOf(lastingTask(0)));
}

/// The same with a stop that is not answered.
TEST(AnOwnerOfLastingTasksOnOneExecutor, WaitsForTheLeaseIfTheStopIsLost) {
  announce();
  CHECK(playUntil([&] { return phase() == TaskPhase::Stopping; }, 1'000));
  Sim.executor(Leaving).Unreachable = true;
  CHECK(playUntil([&] { return hasMoved(); }, LossLimitMs));
  play(LossLimitMs);
  LONGS_EQUAL(2, Sim.runsOf(lastingTask(0)));
}

/// A run that ends by itself meanwhile is started again once.
TEST(WhereStartsNeedTicketsOfASlowPolicy, ATaskThatEndsMeanwhileRunsAgain) {
  Sim.EndKindFor = [](const std::string &) {
    return executor::EndKind::Failed;
  };
  announce();
  play(300);
  Sim.executor(Leaving).Running.at(lastingTask(0)).EndsAt = Sim.Now;
  CHECK(playUntil([&] { return hasMoved(); }, 2'000));
  play(LeaveAfterMs);
  LONGS_EQUAL(2, Sim.runsOf(lastingTask(0)));
}

/// An owner that takes over before the stop.
TEST(WhereStartsNeedTicketsOfASlowPolicy, TheNextOwnerMovesTheTask) {
  announce();
  play(300);
  Sim.takeOver();
  checkMovedInTime();
}

TEST(WhereStartsNeedTicketsOfASlowPolicy, TheNextOwnerStartsAStoppedTask) {
  announce();
  CHECK(playUntil([&] { return phase() == TaskPhase::Stopping; }, 3'000));
  play(100);
  Sim.takeOver();
  CHECK(playUntil([&] { return hasMoved(); }, LeaveAfterMs));
  play(LossLimitMs);
  LONGS_EQUAL(2, Sim.runsOf(lastingTask(0)));
}

TEST(WhereStartsNeedTicketsOfASlowPolicy, TheNextOwnerStartsAnEndedTask) {
  announce();
  CHECK(playUntil([&] { return !Sim.isOpen(lastingTask(0)); }, LeaveAfterMs));
  Sim.takeOver();
  CHECK(playUntil([&] { return hasMoved(); }, LeaveAfterMs));
  CHECK_FALSE(Sim.executor(Leaving).Dead);
  play(LossLimitMs);
  LONGS_EQUAL(2, Sim.runsOf(lastingTask(0)));
}

/// Guards against two runs, or none, whenever the service is handed over.
TEST(WhereStartsNeedTicketsOfASlowPolicy, ItIsMovedOnceWheneverOwnersChange) {
  constexpr int64_t HandOverEachMs = 1'100;
  constexpr int64_t LastOffsetMs = 1'000;
  for (int64_t OffsetMs = 5; OffsetMs <= LastOffsetMs; OffsetMs += 35) {
    size_t RunsBefore = Sim.runsOf(lastingTask(0));
    std::string From = runsOn("i-0") ? "i-0" : runsOn("i-1") ? "i-1" : "i-2";
    Sim.setDraining(From, true);
    play(OffsetMs);
    Sim.Owner->release();
    Sim.runUntil([&] { return Sim.Owner->released(); }, 500);
    Sim.takeOver();
    play(HandOverEachMs);
    Sim.takeOver();
    CHECK(playUntil([&] { return Sim.isOpen(lastingTask(0)) && !runsOn(From); },
                    LeaveAfterMs));
    Sim.setDraining(From, false);
    play(2'000);
    LONGS_EQUAL(RunsBefore + 1, Sim.runsOf(lastingTask(0)));
  }
}
