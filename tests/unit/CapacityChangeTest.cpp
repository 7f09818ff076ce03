#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

/// Executors whose capacity shrinks and grows while they run.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources Full{.MilliCores = 8'000, .MemoryMb = 32'000};
constexpr Resources Half{.MilliCores = 4'000, .MemoryMb = 16'000};
constexpr Resources TaskSize{.MilliCores = 2'000, .MemoryMb = 4'000};
constexpr int64_t Forever = 1'000'000'000; ///< In ms.
constexpr const char *LastingId = "00000000000000a1";
constexpr const char *LaterId = "00000000000000a2";

} // namespace

// clang-format off
/// It runs two tasks, and has room for two more.
TEST_GROUP(AnExecutorInUse) {
  Simulation Sim;
  std::string Id = Sim.addExecutor(Full);
  JobSpec Later = Simulation::makeJob(LaterId, 2, TaskSize, 500);

  void setup() override {
    Sim.RunTimeFor = [](const std::string &Task, int64_t Estimate) { return Task.starts_with(LastingId) ? Forever : Estimate; };
    Sim.takeOver();
    JobSpec Lasting = Simulation::makeJob(LastingId, 2, TaskSize, 1'000);
    Lasting.Steps[0].LongRunning = true;
    Sim.submit(Lasting);
    Sim.runUntil([&] { return Sim.Started.size() == 2; }, 1'000);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void setCapacity(const Resources &Capacity) {
    Sim.executor(Id).Info.Capacity = Capacity;
    Sim.setListed(Id, true);
  }
  bool laterJobCompletes() {
    return Sim.runUntil([&] { return Sim.storedPhase(LaterId) == JobPhase::Completed; }, 10'000);
  }
};

TEST_GROUP_BASE(WhenItsCapacityHasShrunk, TEST_GROUP_CppUTestGroupAnExecutorInUse) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnExecutorInUse::setup();
    setCapacity(Half);
  }
};

TEST_GROUP_BASE(WhenItsEntryNamesItNoLonger, TEST_GROUP_CppUTestGroupAnExecutorInUse) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnExecutorInUse::setup();
    Sim.setListed(Id, false);
  }
};

TEST_GROUP_BASE(WhenItShrinksBeforeAStart, TEST_GROUP_CppUTestGroupAnExecutorInUse) {};
// clang-format on

TEST(WhenItsCapacityHasShrunk, ItGetsNoFurtherTasksUntilItGrows) {
  Sim.submit(Later);
  Sim.runFor(5'000);
  LONGS_EQUAL(2, Sim.Started.size());
  setCapacity(Full);
  CHECK(laterJobCompletes());
}

TEST(WhenItsCapacityHasShrunk, WhatRunsThereGoesOn) {
  setCapacity(TaskSize);
  Sim.runFor(5'000);
  LONGS_EQUAL(2, Sim.Started.size());
  CHECK(Sim.isOpen(taskName({.Job = LastingId, .Index = 0})));
  CHECK(Sim.isOpen(taskName({.Job = LastingId, .Index = 1})));
}

/// Guards against starts that bring an executor over its capacity.
TEST(WhenItShrinksBeforeAStart, AStartWithoutAnAnswerIsNotSentAgain) {
  Sim.executor(Id).Unreachable = true;
  Sim.submit(Later);
  Sim.runFor(700);
  setCapacity(Half);
  Sim.executor(Id).Unreachable = false;
  Sim.runFor(3'000);
  LONGS_EQUAL(2, Sim.Started.size());
  setCapacity(Full);
  CHECK(laterJobCompletes());
}

TEST(WhenItShrinksBeforeAStart, AStartThatIsBeingRecordedIsNotSent) {
  Sim.CommitTimeMs = 300;
  Sim.submit(Later);
  Sim.runFor(100);
  setCapacity(Half);
  Sim.runFor(3'000);
  LONGS_EQUAL(2, Sim.Started.size());
  setCapacity(Full);
  CHECK(laterJobCompletes());
}

TEST(WhenItShrinksBeforeAStart, OneOfTwoIsSentIfItFits) {
  constexpr Resources ForThree{.MilliCores = 6'000, .MemoryMb = 24'000};
  Sim.CommitTimeMs = 300;
  Sim.submit(Later);
  Sim.runFor(100);
  setCapacity(ForThree);
  CHECK(laterJobCompletes());
}

TEST(WhenItShrinksBeforeAStart, AGangThatIsBeingRecordedIsNotSent) {
  Later.Steps[0].Gang = true;
  Sim.CommitTimeMs = 300;
  Sim.submit(Later);
  Sim.runFor(100);
  setCapacity({.MilliCores = 6'000, .MemoryMb = 24'000});
  Sim.runFor(3'000);
  LONGS_EQUAL(2, Sim.Started.size());
  setCapacity(Full);
  CHECK(laterJobCompletes());
}

/// Guards against runs taken for lost because another writer left an odd entry
/// of their executor.
TEST(WhenItsEntryNamesItNoLonger, WhatRunsThereGoesOn) {
  constexpr int64_t PastAllLeases = 30'000;
  Sim.runFor(PastAllLeases);
  LONGS_EQUAL(2, Sim.Started.size());
  CHECK(Sim.isOpen(taskName({.Job = LastingId, .Index = 0})));
  CHECK(Sim.isOpen(taskName({.Job = LastingId, .Index = 1})));
}

TEST(WhenItsEntryNamesItNoLonger, ItGetsNoFurtherTasksUntilItDoesAgain) {
  Sim.submit(Later);
  Sim.runFor(5'000);
  LONGS_EQUAL(2, Sim.Started.size());
  Sim.setListed(Id, true);
  CHECK(laterJobCompletes());
}
