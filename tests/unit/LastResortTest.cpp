#include "unit/CellSim.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr const char *LastingId = "00000000000000a1";
constexpr const char *LastingTask = "00000000000000a1.0.0.0";
constexpr const char *BatchId = "00000000000000b2";
constexpr Resources ExecutorSize{.MilliCores = 16'000, .MemoryMb = 16'000};
constexpr Resources TaskSize{.MilliCores = 500, .MemoryMb = 100};
constexpr uint32_t BatchTasks = 10;

} // namespace

// clang-format off
/// One executor of several alone suits the tasks. All runs there fail together,
/// 1 s after their start.
TEST_GROUP(TheOnlySuitableExecutorFailsRuns) {
  Simulation Sim;
  bool FailsRuns = true;

  void setup() override {
    Sim.EndKindFor = [this](const std::string &) {
      return FailsRuns ? executor::EndKind::Failed : executor::EndKind::Done;
    };
    Sim.RunTimeFor = [this](const std::string &, int64_t) {
      return FailsRuns ? int64_t{1'000} : int64_t{600'000};
    };
    Sim.addExecutor(ExecutorSize, "r1");
    for (size_t I = 0; I < 5; ++I)
      Sim.addExecutor(ExecutorSize, "r2");
    Sim.takeOver();
    Sim.runFor(700);
    JobSpec Lasting = Simulation::makeJob(LastingId, 1, TaskSize, 1'000);
    Lasting.Steps[0].LongRunning = true;
    Lasting.Steps[0].Constraint = "r1";
    JobSpec Batch = Simulation::makeJob(BatchId, BatchTasks, TaskSize, 1'000);
    Batch.Steps[0].Constraint = "r1";
    Sim.submit(Lasting);
    Sim.submit(Batch);
    CHECK_TRUE(Sim.runUntil([&] { return Sim.Started.size() == 1 + BatchTasks; }, 500));
    FailsRuns = false;
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void failTheirRuns() {
    FailsRuns = true;
    CHECK_TRUE(Sim.runUntil([&] { return !Sim.isOpen(LastingTask); }, 2'000));
    Sim.runFor(20);
    FailsRuns = false;
  }
};

/// Two of three executors suit the tasks.
TEST_GROUP(APoolOfWhichTwoSuit) {
  static constexpr TimePoint Now{Millis(20'000)};
  ExecutorPool Pool{LeaseOptions{}};
  std::vector<ExecutorLoad> Loads{3};
  StepSpec Step{.Count = 1, .Size = TaskSize, .Constraint = "a"};

  void setup() override {
    std::vector<executor::ExecutorInfo> List;
    List.reserve(Loads.size());
    for (int I = 0; I < 3; ++I)
      List.push_back({.Id = fmt::format("i-{}", I),
                      .Service = "s",
                      .Address = "x:1",
                      .AvailabilityZone = "z",
                      .Rack = "r",
                      .Labels = {I < 2 ? "a" : "b"},
                      .Capacity = ExecutorSize});
    Pool.update(List, Now);
    for (ExecutorIndex I = 0; I < 3; ++I) {
      Pool.recordAnswer(I, 1'000, Now);
      Pool[I].TokenConfirmed = true;
    }
  }
  std::optional<ExecutorIndex> chooseOne() {
    return chooseExecutor(Pool, Loads, {.Step = &Step}, Now);
  }
};
// clang-format on

/// Guards against a lasting task that waits for its only executor for as long
/// as this one is ejected: 12 s after several failures.
TEST(TheOnlySuitableExecutorFailsRuns, ALastingTaskIsStartedThereAgainSoon) {
  failTheirRuns();
  size_t RunsBefore = Sim.runsOf(LastingTask);
  CHECK_TRUE(Sim.runUntil([&] { return Sim.runsOf(LastingTask) > RunsBefore; },
                          2'500));
}

/// Guards against a task that is failed for good by attempts in quick
/// succession on an executor that fails all.
TEST(TheOnlySuitableExecutorFailsRuns, ItIsLeftAloneForAWhileFirst) {
  failTheirRuns();
  size_t RunsBefore = Sim.Started.size();
  Sim.runFor(1'000);
  LONGS_EQUAL(RunsBefore, Sim.Started.size());
}

/// Guards against tasks that wait while all executors that suit are slow.
TEST(APoolOfWhichTwoSuit, ASlowExecutorIsChosenIfBothAreSlow) {
  Loads[0].Slowness = 5;
  Loads[1].Slowness = 4;
  LONGS_EQUAL(1, *chooseOne());
}

/// Guards against slow or ejected executors that get work as soon as others are
/// full.
TEST(APoolOfWhichTwoSuit, ASlowExecutorIsNotChosenWhileAnotherIsFull) {
  Loads[0].Slowness = 5;
  Pool.reserve(1, ExecutorSize);
  CHECK_FALSE(chooseOne().has_value());
}

/// Guards against gangs that wait for executors which can't hold them without
/// the slow ones.
TEST(APoolOfWhichTwoSuit, AGangUsesBothIfOneAloneCannotHoldIt) {
  Loads[0].Slowness = 5;
  Step.AntiAffinity = 1;
  TaskCounts NoTasks;
  auto Chosen = chooseGangExecutors(
      Pool, Loads, {.Step = &Step, .TasksByExecutor = &NoTasks}, 2, Now);
  CHECK_TRUE(Chosen.has_value());
  LONGS_EQUAL(2, Chosen->size());
}
