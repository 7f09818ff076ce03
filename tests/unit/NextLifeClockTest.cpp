#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

/// Executors that start again under their ids, with clocks that begin at any
/// time: what an order by the clock of the life before grants the next one.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Resources Wide{.MilliCores = 8'000, .MemoryMb = 4'000};
constexpr const char *RefusedId = "00000000000000a2";
constexpr const char *LongId = "00000000000000a3";
constexpr int64_t LongRunMs = 60'000;
/// No lease lasts longer.
constexpr int64_t LeaseLimitMs = 14'000;
/// The clock of the life before reads 1,015 s and more.
constexpr int64_t LesserClockMs = 500'000;
constexpr int64_t GreaterClockMs = 2'000'000;

std::string taskOf(const char *JobId) { return taskName({.Job = JobId}); }

} // namespace

// clang-format off
/// Its clock has run for 15 s, and its owner renews its lease.
TEST_GROUP(AnExecutorWhoseNextClockReadsLess) {
  Simulation Sim;
  std::string Id = Sim.addExecutor(Wide);
  executor::RenewalCall Renewal;

  void setup() override {
    Sim.ClockAtRestart = [] { return LesserClockMs; };
    Sim.RunTimeFor = [](const std::string &Task, int64_t Ms) { return Task == taskOf(LongId) ? LongRunMs : Ms; };
    prepare();
    Sim.takeOver("e1/1");
    Sim.runFor(15'000);
    CHECK(Sim.runUntil([&] { return Sim.Renewals.back().LeaseEndMs.has_value(); }, 1'000));
    Renewal = Sim.Renewals.back();
  }
  virtual void prepare() {}
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  int64_t leaseLeftMs() { return Sim.executor(Id).LeaseEndMs - Sim.executor(Id).clockMs(Sim.Now); }
  bool runsHere() { return Sim.executor(Id).Running.count(taskOf(LongId)) > 0; }
  void startLongRun() {
    Sim.submit(Simulation::makeJob(LongId, 1, Small, LongRunMs));
    CHECK(Sim.runUntil([&] { return runsHere(); }, 5'000));
  }
  /// The run is lost to the owner, which starts it on another executor.
  void cutOff() {
    Sim.addExecutor(Wide);
    Sim.runFor(500);
    Sim.executor(Id).Unreachable = true;
    Sim.runFor(LeaseLimitMs);
    LONGS_EQUAL(2, Sim.runsOf(taskOf(LongId)));
  }
};
// clang-format on

/// Guards against a second run beside one on an executor that is cut off soon
/// after a restart: a late renewal by the earlier clock had granted its lease.
TEST(AnExecutorWhoseNextClockReadsLess, HoldsTheLeaseOfALateRenewal) {
  Sim.restartExecutor(Id, 0, 100);
  Sim.runFor(5);
  Sim.carryOutAgain(Renewal);
  CHECK(leaseLeftMs() > 9'000);
  Sim.runFor(300);
  startLongRun();
  cutOff();
}

/// Guards against the same with a successor, which knows nothing of the
/// restart.
TEST(AnExecutorWhoseNextClockReadsLess, HoldsALeaseItsNextOwnerIsNotTold) {
  Sim.killOwner();
  Sim.restartExecutor(Id, 0, 100);
  Sim.runFor(1'500);
  Sim.carryOutAgain(Renewal);
  Sim.takeOver("e2/1");
  startLongRun();
  cutOff();
}

/// Guards against a successor that hears nothing of the executor, as the row of
/// the last owner doesn't tell of the lease.
TEST(AnExecutorWhoseNextClockReadsLess, HoldsALeaseThatTheRowTellsOf) {
  Sim.restartExecutor(Id, 0, 100);
  Sim.runFor(5);
  Sim.carryOutAgain(Renewal);
  Sim.runFor(300);
  startLongRun();
  Sim.runFor(500);
  Sim.executor(Id).Unreachable = true;
  Sim.takeOver("e2/1");
  Sim.addExecutor(Wide);
  Sim.runFor(LeaseLimitMs);
  LONGS_EQUAL(2, Sim.runsOf(taskOf(LongId)));
}

// clang-format off
/// Starts need a ticket, which is of one life. What is sent to the life before is
/// refused by the next one, and grants its lease all the same.
TEST_GROUP_BASE(WhichRefusesAStartForItsTicket, TEST_GROUP_CppUTestGroupAnExecutorWhoseNextClockReadsLess) {
  void prepare() override {
    Sim.requireAdvice({.Settings = {.BaseMs = 5, .PerExecutorMs = 0.1, .Validity = Millis(2'000)}});
  }
};
// clang-format on

/// Guards against the same where a start that was under way at the restart, and
/// was answered by the next life, had granted the lease.
TEST(WhichRefusesAStartForItsTicket, HoldsTheLeaseOfThatStart) {
  Sim.submit(Simulation::makeJob(RefusedId, 1, Small, 300));
  size_t Before = Sim.Owner->counts().Starts;
  CHECK(
      Sim.runUntil([&] { return Sim.Owner->counts().Starts > Before; }, 1'000));
  Sim.restartExecutor(Id, 0, 30);
  CHECK(Sim.runUntil([&] { return Sim.Owner->counts().TicketRefusals == 1; },
                     1'000));
  CHECK(leaseLeftMs() > 9'000);
  Sim.runFor(200);
  startLongRun();
  cutOff();
}

// clang-format off
/// The end of a lease by the earlier clock has passed on this one.
TEST_GROUP_BASE(AnExecutorWhoseNextClockReadsMore, TEST_GROUP_CppUTestGroupAnExecutorWhoseNextClockReadsLess) {
  void prepare() override { Sim.ClockAtRestart = [] { return GreaterClockMs; }; }
};
// clang-format on

/// Guards against lasting tasks that wait for a lease which nobody has granted.
TEST(AnExecutorWhoseNextClockReadsMore, GetsALastingTaskAtOnce) {
  Sim.restartExecutor(Id, 0, 100);
  Sim.runFor(5);
  Sim.carryOutAgain(Renewal);
  Sim.runFor(300);
  JobSpec Job = Simulation::makeJob(LongId, 1, Small, LongRunMs);
  Job.Steps[0].LongRunning = true;
  Sim.submit(Job);
  CHECK(Sim.runUntil([&] { return runsHere(); }, 500));
}
