#include "unit/CellSim.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

/// Runs that an executor lists and its owner doesn't have open: they are
/// stopped, and use capacity until they have ended.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Resources Whole{.MilliCores = 8'000, .MemoryMb = 4'000};
constexpr const char *DoneId = "00000000000000a1";
constexpr const char *NextId = "00000000000000a2";
constexpr int64_t RunMs = 300;
constexpr int64_t StopTimeMs = 600;

std::string taskOf(const char *JobId) {
  return taskName({.Job = JobId, .Index = 0});
}

} // namespace

// clang-format off
/// The start of a task that is done since.
TEST_GROUP(AnExecutorThatCarriesOutAStartLate) {
  Simulation Sim;
  std::string Id = Sim.addExecutor(Whole);

  void setup() override {
    Sim.StopTimeMs = StopTimeMs;
    Sim.takeOver();
    Sim.submit(Simulation::makeJob(DoneId, 1, Small, RunMs));
    CHECK_TRUE(Sim.runUntil([&] { return Sim.storedPhase(DoneId) == JobPhase::Completed; }, 3'000));
    Sim.runFor(100);
    Sim.restartExecutor(Id, 0, 0);
    Sim.runFor(5);
    Sim.RunTimeFor = [](const std::string &, int64_t) { return 20'000; };
    executor::StartOrder Late = Sim.Started.front();
    Sim.carryOutAgain(Late);
    CHECK_TRUE(Sim.isOpen(taskOf(DoneId)));
  }
  /// As the late start itself breaks other invariants.
  size_t capacityViolations() const {
    const std::vector<std::string> &All = Sim.violations();
    return static_cast<size_t>(std::count_if(All.begin(), All.end(), [](const std::string &Violation) { return Violation.starts_with("capacity exceeded"); }));
  }
};
// clang-format on

/// Guards against starts in the room of a run that is being stopped.
TEST(AnExecutorThatCarriesOutAStartLate, GetsNoOtherUntilThatRunIsGone) {
  Sim.submit(Simulation::makeJob(NextId, 1, Whole, RunMs));
  Sim.runFor(StopTimeMs / 2);
  CHECK_FALSE(Sim.isOpen(taskOf(NextId)));
  CHECK_TRUE(Sim.runUntil([&] { return Sim.isOpen(taskOf(NextId)); }, 3'000));
  CHECK_FALSE(Sim.isOpen(taskOf(DoneId)));
  LONGS_EQUAL(0, capacityViolations());
}

/// Guards against an executor that is never used again for what can't be
/// stopped there.
TEST(AnExecutorThatCarriesOutAStartLate, IsUsedAgainThoughAStopHasNoEffect) {
  constexpr int64_t NeverMs = 1'000'000;
  constexpr int64_t LongestStopMs = 3'000;
  Sim.StopTimeMs = NeverMs;
  Sim.submit(Simulation::makeJob(NextId, 1, Small, RunMs));
  CHECK_TRUE(Sim.runUntil([&] { return Sim.isOpen(taskOf(NextId)); },
                          LongestStopMs + 500));
}
