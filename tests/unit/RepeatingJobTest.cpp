#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr const char *JobId = "00000000000000c1";
constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr int64_t RunMs = 200;
constexpr int64_t IntervalMs = 2'000;

std::string taskOf(uint32_t Occurrence) {
  return taskName({.Job = JobId, .Occurrence = Occurrence});
}

} // namespace

// clang-format off
TEST_GROUP(AJobThatRepeats) {
  Simulation Sim;

  void setup() override {
    Sim.addExecutor(Small);
    Sim.takeOver();
    Sim.runFor(500);
    JobSpec Job = Simulation::makeJob(JobId, 1, Small, RunMs);
    Job.RepeatCount = 2;
    Job.FirstRunMs = toMillis(Sim.Now.time_since_epoch());
    Job.IntervalMs = IntervalMs;
    Sim.submit(Job);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
};

TEST_GROUP_BASE(WhenItsFirstOccurrenceIsDone, TEST_GROUP_CppUTestGroupAJobThatRepeats) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAJobThatRepeats::setup();
    Sim.runFor(IntervalMs / 2);
    CHECK_EQUAL(1, Sim.runsOf(taskOf(0)));
    CHECK_FALSE(Sim.isOpen(taskOf(0)));
  }
};
// clang-format on

/// Guards against a job that planning passes over because nothing of it has
/// changed since its last occurrence.
TEST(WhenItsFirstOccurrenceIsDone, StartsTheNextOneAtItsTime) {
  Sim.runFor(IntervalMs / 2 + RunMs);
  CHECK_EQUAL(1, Sim.runsOf(taskOf(1)));
  CHECK(Sim.runUntil(
      [&] { return Sim.storedPhase(JobId) == JobPhase::Completed; }, 1'000));
}
