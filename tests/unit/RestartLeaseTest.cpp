#include "unit/CellSim.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

/// Leases and late orders of an executor that has started again under its id.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Resources Wide{.MilliCores = 8'000, .MemoryMb = 4'000};
constexpr const char *LastingJobId = "00000000000000a1";
constexpr const char *ShortJobId = "00000000000000a2";
constexpr int64_t LongRunMs = 60'000;
/// No lease lasts longer.
constexpr int64_t LeaseLimitMs = 14'000;
/// Until a lasting task of a lost executor runs again.
constexpr int64_t RestartLimitMs = 9'000;
const std::string LastingTask = taskName({.Job = LastingJobId});

} // namespace

// clang-format off
/// Its clock has run for 15 s, so that a lease by it outlasts all others on the
/// clock of the next incarnation.
TEST_GROUP(AnExecutorWithAnAdvancedClock) {
  Simulation Sim;
  std::string Id = Sim.addExecutor(Wide);

  void setup() override {
    Sim.RunTimeFor = [](const std::string &, int64_t) { return LongRunMs; };
    Sim.takeOver();
    Sim.runFor(15'000);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void submitLastingTask() {
    JobSpec Job = Simulation::makeJob(LastingJobId, 1, Small, 1'000);
    Job.Steps[0].LongRunning = true;
    Sim.submit(Job);
  }
  bool runsHere() { return Sim.executor(Id).Running.count(LastingTask) > 0; }
  void restartUnderARenewal() {
    Sim.restartExecutor(Id, 0, 600);
    Sim.executor(Id).AnswersLost = true;
    Sim.runFor(150);
    Sim.executor(Id).AnswersLost = false;
    Sim.runFor(900);
  }
};
// clang-format on

/// Guards against a second run beside one on an executor that is cut off, whose
/// lease was granted by the clock of its earlier incarnation.
TEST(AnExecutorWithAnAdvancedClock, HoldsTheLeaseOfARenewalWithoutAnAnswer) {
  restartUnderARenewal();
  submitLastingTask();
  CHECK(Sim.runUntil([&] { return runsHere(); }, 14'000));
  Sim.addExecutor(Wide);
  Sim.runFor(500);
  Sim.executor(Id).Unreachable = true;
  Sim.runFor(LeaseLimitMs);
}

/// Guards against a lasting task on an executor whose loss would be known only
/// after a long lease.
TEST(AnExecutorWithAnAdvancedClock, GetsNoLastingTaskUntilItsLeaseIsShort) {
  restartUnderARenewal();
  submitLastingTask();
  CHECK(Sim.runUntil([&] { return runsHere(); }, 14'000));
  Sim.addExecutor(Wide);
  Sim.runFor(200);
  Sim.executor(Id).Dead = true;
  Sim.executor(Id).Running.clear();
  CHECK(Sim.runUntil([&] { return Sim.isOpen(LastingTask); }, RestartLimitMs));
}

/// Guards against an acknowledgement by the numbers of an earlier incarnation:
/// what it names has not been seen.
TEST(AnExecutorWithAnAdvancedClock, AcknowledgesNothingAfterASilence) {
  Sim.RunTimeFor = [](const std::string &, int64_t) { return 300; };
  Sim.submit(Simulation::makeJob(ShortJobId, 3, Small, 300));
  CHECK(Sim.runUntil(
      [&] {
        return Sim.storedPhase(ShortJobId) == JobPhase::Completed &&
               Sim.executor(Id).Ended.empty();
      },
      5'000));
  Sim.executor(Id).AnswersLost = true;
  Sim.runFor(800);
  CHECK_EQUAL(0U, Sim.Renewals.back().AcknowledgedEnd);
  CHECK_FALSE(Sim.Renewals.back().LeaseEndMs.has_value());
}

/// Guards against a late start of a task that is done, after the stop that
/// makes the executor refuse it was lost.
TEST(AnExecutorWithAnAdvancedClock, IsToldAgainWhichStartsToRefuse) {
  Sim.RunTimeFor = [](const std::string &, int64_t) { return 800; };
  Sim.executor(Id).AnswersLost = true;
  Sim.submit(Simulation::makeJob(ShortJobId, 1, Small, 300));
  CHECK(Sim.runUntil([&] { return !Sim.Started.empty(); }, 1'000));
  executor::StartOrder Copy = Sim.Started.back();
  Sim.runFor(700);
  Sim.executor(Id).AnswersLost = false;
  CHECK(Sim.runUntil(
      [&] {
        return Sim.storedPhase(ShortJobId) == JobPhase::Completed &&
               Sim.executor(Id).Ended.empty();
      },
      5'000));
  Sim.executor(Id).Unreachable = true;
  Sim.restartExecutor(Id, 0, 5);
  Sim.runFor(600);
  Sim.executor(Id).Unreachable = false;
  Sim.runFor(1'500);
  Sim.carryOutAgain(Copy);
  Sim.runFor(500);
}

// clang-format off
/// Short work that only one of them suits, which is full.
TEST_GROUP(AFleetWithShortWorkForOneExecutor) {
  static constexpr size_t FleetSize = 40;
  Simulation Sim;
  uint64_t NextId = 0x100;

  void setup() override {
    constexpr Resources Size{.MilliCores = 16'000, .MemoryMb = 64'000};
    Sim.requireAdvice({.Settings = {.BaseMs = 25, .PerExecutorMs = 0.35, .Validity = Millis(2'000)},
                       .Entries = 40});
    for (size_t I = 0; I < FleetSize; ++I)
      Sim.addExecutor(Size, fmt::format("r{}", I / 6));
    std::string Only = Sim.addExecutor(Size, "rx");
    Sim.executor(Only).Info.Labels.push_back("only");
    Sim.CommitTimeMs = 20;
    Sim.takeOver();
    Sim.runFor(500);
    load(3'000);
  }
  static JobSpec makeWork(const std::string &Id, int64_t RunMs) {
    return Simulation::makeJob(Id, 30, {.MilliCores = 2'600, .MemoryMb = 9'000}, RunMs);
  }
  void load(int64_t Ms) {
    constexpr int64_t BetweenMs = 100;
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += BetweenMs) {
      JobSpec Job = makeWork(fmt::format("{:016x}", NextId++), 400);
      Job.Steps[0].Constraint = "only";
      Sim.submit(std::move(Job));
      Sim.runFor(BetweenMs);
    }
  }
};
// clang-format on

/// Guards against room that is kept for work that can't use it.
TEST(AFleetWithShortWorkForOneExecutor, StartsLongWorkOnTheOthersAtOnce) {
  Sim.submit(makeWork(LastingJobId, 20'000));
  load(1'000);
  for (uint32_t I = 0; I < 30; ++I)
    LONGS_EQUAL(1, Sim.runsOf(taskName({.Job = LastingJobId, .Index = I})));
}
