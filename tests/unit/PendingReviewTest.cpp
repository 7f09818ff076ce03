#include "unit/CellSim.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources ExecutorSize{.MilliCores = 8'000, .MemoryMb = 8'000};
constexpr Resources TaskSize{.MilliCores = 1'000, .MemoryMb = 100};
constexpr size_t JobCount = 6;
constexpr int64_t RunMs = 60'000;

} // namespace

// clang-format off
/// What the owner's row and the jobs' rows tell of jobs that may have begun.
TEST_GROUP(AnOwnerThatTellsWhichJobsHaveBegun) {
  Simulation Sim;

  void setup() override {
    for (int I = 0; I < 2; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.takeOver();
    Sim.runFor(500);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }

  static std::string jobId(size_t Number) { return fmt::format("{:016x}", Number); }
  void submitJobs(uint32_t Tasks, bool Gang) {
    for (size_t I = 1; I <= JobCount; ++I) {
      JobSpec Job = Simulation::makeJob(jobId(I), Tasks, TaskSize, RunMs);
      Job.Steps[0].Gang = Gang;
      Sim.submit(std::move(Job));
    }
  }
  uint64_t pending() const { return Sim.ownerRow().Pending.ByQueue["q"]; }
  size_t queued() const {
    size_t Count = 0;
    for (size_t I = 1; I <= JobCount; ++I)
      Count += Sim.storedPhase(jobId(I)) == JobPhase::Queued ? 1 : 0;
    return Count;
  }
  static std::optional<executor::OrderOutcome> refuse(const executor::StartOrder &) {
    return executor::OrderOutcome::Unhealthy;
  }
};

TEST_GROUP_BASE(WhoseSuccessorFindsTheExecutorsLost, TEST_GROUP_CppUTestGroupAnOwnerThatTellsWhichJobsHaveBegun) {
  static constexpr int64_t LeasesLapseMs = 30'000;

  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerThatTellsWhichJobsHaveBegun::setup();
    submitJobs(1, false);
    Sim.runFor(1'000);
    LONGS_EQUAL(JobCount, Sim.Started.size());
    LONGS_EQUAL(0, pending());
    LONGS_EQUAL(0, queued());
    Sim.RefusalFor = refuse;
    for (const executor::StartOrder &Start : std::vector(Sim.Started)) {
      if (!Sim.executor(Start.Target.Id).Dead)
        Sim.loseExecutor(Start.Target.Id);
    }
    Sim.addExecutor(ExecutorSize);
    Sim.takeOver();
  }
};

TEST_GROUP_BASE(WhoseGangsHaveAMemberThatIsRefused, TEST_GROUP_CppUTestGroupAnOwnerThatTellsWhichJobsHaveBegun) {
  static constexpr int64_t LateByMs = 150;
  static bool isFirst(const executor::StartOrder &Order) { return Order.Id.Task.ends_with(".0"); }
};
// clang-format on

/// Guards against a job that has run and is shown as queued again since its
/// executor is lost with its owner.
IGNORE_TEST(WhoseSuccessorFindsTheExecutorsLost, ShowsNoneOfThemAsQueued) {
  CHECK_FALSE(Sim.runUntil([&] { return queued() > 0; }, LeasesLapseMs));
}

/// Guards against a job that has run and counts as pending once more.
IGNORE_TEST(WhoseSuccessorFindsTheExecutorsLost,
            CountsNoneOnceTheirLeasesHaveLapsed) {
  Sim.runFor(LeasesLapseMs);
  LONGS_EQUAL(0, pending());
}

/// Guards against a start that arrives after the stop of its run, and is
/// refused for that, but counts as one that was carried out.
TEST(WhoseGangsHaveAMemberThatIsRefused, CountsThoseWhoseStopOvertookTheStart) {
  Sim.RefusalFor = [](const executor::StartOrder &Order) {
    return std::optional(isFirst(Order) ? executor::OrderOutcome::RunTooLow
                                        : executor::OrderOutcome::Unhealthy);
  };
  Sim.StartAnswerDelayFor = [](const executor::StartOrder &Order) {
    return isFirst(Order) ? LateByMs : 0;
  };
  submitJobs(2, true);
  Sim.runFor(1'500);
  LONGS_EQUAL(0, Sim.Started.size());
  LONGS_EQUAL(JobCount, pending());
}

/// Guards against a gang that counts as begun since one member waits for the
/// others: its tasks start once all are there.
IGNORE_TEST(WhoseGangsHaveAMemberThatIsRefused,
            CountsThoseOfWhichOneMemberWaits) {
  Sim.RefusalFor = [](const executor::StartOrder &Order) {
    return isFirst(Order) ? std::nullopt : refuse(Order);
  };
  submitJobs(2, true);
  Sim.runFor(1'500);
  LONGS_EQUAL(JobCount, pending());
}
