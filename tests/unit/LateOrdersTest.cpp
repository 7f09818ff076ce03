#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

/// Orders that an executor carries out late, in a life after the one that they
/// were meant for.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Resources Wide{.MilliCores = 8'000, .MemoryMb = 4'000};
constexpr const char *EarlierId = "00000000000000a1";
constexpr const char *LaterId = "00000000000000a2";
constexpr const char *ServingId = "00000000000000a3";
constexpr const char *BestEffortId = "00000000000000a4";
constexpr int64_t ShortRunMs = 300;
constexpr int64_t LongRunMs = 60'000;
/// No lease lasts longer.
constexpr int64_t LeaseLimitMs = 14'000;
constexpr uint32_t LowPace = 10;

std::string taskOf(const char *JobId, uint32_t Index = 0) {
  return taskName({.Job = JobId, .Index = Index});
}

bool isFenced(const executor::OrderAnswer &Answer) {
  return Answer.Outcome == executor::OrderOutcome::Fenced;
}

} // namespace

// clang-format off
/// Its clock has run for 15 s and its runs have ended, so that what it was sent
/// names late times and high numbers. Copies of that may still come.
TEST_GROUP(AnExecutorWithLateOrders) {
  Simulation Sim;
  std::string Id = Sim.addExecutor(Wide);
  executor::StartOrder Start;
  executor::RenewalCall Renewal;

  void setup() override {
    Sim.takeOver("e1/1");
    Sim.runFor(15'000);
    Sim.submit(Simulation::makeJob(EarlierId, 3, Small, ShortRunMs));
    CHECK(Sim.runUntil([&] { return Sim.executor(Id).EndCount == 3 && Sim.executor(Id).Ended.empty(); }, 3'000));
    Sim.runFor(500);
    Start = Sim.Started.back();
    CHECK(Sim.runUntil([&] { return Sim.Renewals.back().LeaseEndMs.has_value(); }, 1'000));
    Renewal = Sim.Renewals.back();
    CHECK_EQUAL(3U, Renewal.AcknowledgedEnd);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  bool runsHere(const char *JobId) { return Sim.executor(Id).Running.count(taskOf(JobId)) > 0; }
  int64_t leaseLeftMs() { return Sim.executor(Id).LeaseEndMs - Sim.executor(Id).clockMs(Sim.Now); }
  void startHere(const char *JobId, int64_t RunMs) {
    Sim.RunTimeFor = [RunMs](const std::string &, int64_t) { return RunMs; };
    Sim.submit(Simulation::makeJob(JobId, 1, Small, RunMs));
    CHECK(Sim.runUntil([&] { return runsHere(JobId); }, 5'000));
  }
  /// The run is lost to the owner, which starts it on another executor.
  void cutOff() {
    Sim.addExecutor(Wide);
    Sim.runFor(500);
    Sim.executor(Id).Unreachable = true;
    Sim.runFor(LeaseLimitMs);
    LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
  }
};

/// The owner has heard of the restart.
TEST_GROUP_BASE(WhichHasRestarted, TEST_GROUP_CppUTestGroupAnExecutorWithLateOrders) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnExecutorWithLateOrders::setup();
    Sim.restartExecutor(Id, 50, 100);
    Sim.runFor(1'000);
  }
};
// clang-format on

/// Guards against a late start that runs a task again.
TEST(WhichHasRestarted, RefusesALateStart) {
  CHECK_TRUE(isFenced(Sim.carryOutAgain(Start)));
  CHECK_TRUE(Sim.executor(Id).Running.empty());
}

/// Guards against a lease by the clock of the earlier life.
TEST(WhichHasRestarted, RefusesALateRenewal) {
  startHere(LaterId, LongRunMs);
  Sim.runFor(5'000);
  CHECK(Sim.carryOutAgain(Renewal).Outcome == executor::OrderOutcome::Fenced);
  CHECK(leaseLeftMs() < 6'000);
  cutOff();
}

/// Guards against an acknowledgement by the numbers of the earlier life, which
/// makes the executor forget an end that nobody has heard.
TEST(WhichHasRestarted, KeepsItsEndsAfterALateRenewal) {
  startHere(LaterId, ShortRunMs);
  CHECK(Sim.runUntil([&] { return Sim.executor(Id).EndCount == 1; }, 1'000));
  Sim.carryOutAgain(Renewal);
  LONGS_EQUAL(1, Sim.executor(Id).Ended.size());
  CHECK(Sim.runUntil(
      [&] { return Sim.storedPhase(LaterId) == JobPhase::Completed; }, 3'000));
  LONGS_EQUAL(1, Sim.runsOf(taskOf(LaterId)));
}

/// Guards against a late order that paces a run of the same number down.
TEST(WhichHasRestarted, RefusesALatePace) {
  startHere(LaterId, LongRunMs);
  executor::PaceOrder Pace{.Target = Renewal.Target,
                           .Id = {taskOf(LaterId), 1},
                           .Percent = LowPace,
                           .FencingToken = Renewal.FencingToken};
  CHECK_TRUE(isFenced(Sim.carryOutAgain(Pace)));
  LONGS_EQUAL(100, Sim.executor(Id).Running.begin()->second.PacePercent);
}

/// Guards against a successor whose token is lower than one of the last owner.
TEST(WhichHasRestarted, RefusesAllOfAnEarlierOwner) {
  for (int Restart = 0; Restart < 3; ++Restart) {
    Sim.restartExecutor(Id, 50, 100);
    Sim.runFor(1'000);
  }
  executor::RenewalCall Last = Sim.Renewals.back();
  Sim.takeOver("e2/1");
  startHere(LaterId, LongRunMs);
  CHECK(Sim.carryOutAgain(Last).Outcome == executor::OrderOutcome::Fenced);
  CHECK_FALSE(Sim.Owner->deposed());
}

TEST(WhichHasRestarted, RefusesAllOfTheSameOwnerBeforeItCameBack) {
  executor::RenewalCall Last = Sim.Renewals.back();
  Sim.takeOver("e1/1");
  startHere(LaterId, LongRunMs);
  CHECK(Sim.carryOutAgain(Last).Outcome == executor::OrderOutcome::Fenced);
}

/// Guards against an owner that takes a refusal of its own earlier token for
/// that of another owner.
TEST(WhichHasRestarted, RefusesOwnOrdersOfALowerTokenWithoutDeposing) {
  constexpr ExecutorIndex EarlierLife = 0;
  using executor::OrderOutcome;
  Sim.Owner->onStart(Start.Id, EarlierLife, {.Outcome = OrderOutcome::Fenced},
                     Sim.Now);
  Sim.Owner->onStop(Start.Id, EarlierLife, {.Outcome = OrderOutcome::Fenced},
                    Sim.Now);
  Sim.Owner->onRenewal(EarlierLife, {.Outcome = OrderOutcome::Fenced}, Sim.Now);
  CHECK_FALSE(Sim.Owner->deposed());
  startHere(LaterId, LongRunMs);
}

TEST(WhichHasRestarted, DeposesAnOwnerByRefusingItsNewestToken) {
  constexpr ExecutorIndex LaterLife = 1;
  Sim.Owner->onRenewal(LaterLife, {.Outcome = executor::OrderOutcome::Fenced},
                       Sim.Now);
  CHECK_TRUE(Sim.Owner->deposed());
}

/// Guards against an owner that is deposed, or drops a start, as a call without
/// an answer has raised its token beside the start.
TEST(AnExecutorWithLateOrders, GetsAStartAgainThatItRefusedForItsToken) {
  size_t Refusals = 0;
  Sim.RefusalFor = [&](const executor::StartOrder &) {
    return Refusals++ == 0 ? std::optional(executor::OrderOutcome::Fenced)
                           : std::nullopt;
  };
  Sim.executor(Id).AnswersLost = true;
  Sim.runFor(100);
  Sim.executor(Id).AnswersLost = false;
  startHere(LaterId, LongRunMs);
  CHECK_FALSE(Sim.Owner->deposed());
  LONGS_EQUAL(1, Sim.runsOf(taskOf(LaterId)));
}

/// Guards against a second run beside one on an executor that is cut off, whose
/// lease a late renewal granted before the first call to its new life. Renewals
/// were answered in between.
TEST(AnExecutorWithLateOrders, HoldsALeaseThatWasGrantedBeforeItsFirstCall) {
  Sim.restartExecutor(Id, 0, 100);
  Sim.runFor(5);
  Sim.carryOutAgain(Renewal);
  CHECK(leaseLeftMs() > 9'000);
  Sim.runFor(300);
  startHere(LaterId, LongRunMs);
  cutOff();
}

/// Guards against the same with a successor, which knows nothing of the
/// restart.
TEST(AnExecutorWithLateOrders, HoldsALeaseThatItsNextOwnerIsNotTold) {
  Sim.killOwner();
  Sim.restartExecutor(Id, 0, 100);
  Sim.runFor(1'500);
  Sim.carryOutAgain(Renewal);
  Sim.takeOver("e2/1");
  startHere(LaterId, LongRunMs);
  cutOff();
}

/// Guards against a successor that doesn't know of a long lease that the last
/// owner knew of.
TEST(AnExecutorWithLateOrders, HoldsALeaseThatTheRowTellsOf) {
  Sim.restartExecutor(Id, 0, 100);
  Sim.runFor(5);
  Sim.carryOutAgain(Renewal);
  Sim.runFor(1'000);
  startHere(LaterId, LongRunMs);
  Sim.runFor(500);
  CHECK_FALSE(Sim.ownerRow().LongLeaseEnds.empty());
  Sim.executor(Id).Unreachable = true;
  Sim.takeOver("e2/1");
  Sim.addExecutor(Wide);
  Sim.runFor(LeaseLimitMs);
  LONGS_EQUAL(2, Sim.runsOf(taskOf(LaterId)));
}

// clang-format off
/// Beside a task that serves users too slowly, a best-effort task is paced down.
TEST_GROUP(ABestEffortTaskThatWasPacedDown) {
  static constexpr double TargetMs = 100;
  Simulation Sim;
  std::string Id = Sim.addExecutor(Wide);
  double TailMs = 2 * TargetMs;

  void setup() override {
    Sim.RunTimeFor = [](const std::string &, int64_t) { return LongRunMs; };
    Sim.UsageFor = [&](const std::string &Task) { return Task.starts_with(ServingId) ? TailMs : 0; };
    Sim.takeOver("e1/1");
    JobSpec Serving = Simulation::makeJob(ServingId, 1, Small, LongRunMs);
    Serving.Steps[0].LongRunning = true;
    Serving.Steps[0].TailLatencyTarget = Millis(static_cast<int64_t>(TargetMs));
    Sim.submit(Serving);
    JobSpec BestEffort = Simulation::makeJob(BestEffortId, 1, Small, LongRunMs);
    BestEffort.Steps[0].BestEffort = true;
    Sim.submit(BestEffort);
    CHECK(Sim.runUntil([&] { return Sim.isOpen(taskOf(ServingId)) && Sim.isOpen(taskOf(BestEffortId)); }, 3'000));
    CHECK(Sim.runUntil([&] { return pace() < LowPace; }, 5'000));
  }
  uint32_t pace() { return Sim.executor(Id).Running.at(taskOf(BestEffortId)).PacePercent; }
  bool isAtFullSpeedWithin(int64_t Ms) { return Sim.runUntil([&] { return pace() == 100; }, Ms); }
};
// clang-format on

/// Guards against a run that is left paced down: its next owner took it for
/// running at full speed.
TEST(ABestEffortTaskThatWasPacedDown, GetsItsPaceBackFromTheNextOwner) {
  TailMs = 0;
  Sim.takeOver("e2/1");
  CHECK_TRUE(isAtFullSpeedWithin(3'000));
}

/// Guards against a run that is left paced down by a late copy of an order.
TEST(ABestEffortTaskThatWasPacedDown, GetsItsPaceBackAfterALateCopy) {
  constexpr ExecutorIndex OnlyOne = 0;
  executor::PaceOrder Down = Sim.Paces.back();
  Sim.Owner->onPace(Down.Id, OnlyOne, {}, Sim.Now);
  TailMs = 0;
  CHECK_TRUE(isAtFullSpeedWithin(8'000));
  Sim.carryOutAgain(Down);
  CHECK(pace() < LowPace);
  CHECK_TRUE(isAtFullSpeedWithin(toMillis(MaxOrderDelay)));
}
