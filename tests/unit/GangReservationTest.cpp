#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr const char *GangId = "00000000000000a1";
constexpr const char *OtherId = "00000000000000b2";
constexpr const char *OtherTask = "00000000000000b2.0.0.0";
constexpr Resources ExecutorSize{.MilliCores = 16'000, .MemoryMb = 16'000};
constexpr Resources Large{.MilliCores = 9'000, .MemoryMb = 100};
constexpr Resources Small{.MilliCores = 500, .MemoryMb = 100};

} // namespace

// clang-format off
/// A gang that waits, ahead of less urgent work. Two of four executors suit
/// both, and may be reserved.
TEST_GROUP(AGangThatFindsNoPlaces) {
  Simulation Sim;

  void setup() override {
    for (const char *Rack : {"r1", "r1", "r2", "r2"})
      Sim.addExecutor(ExecutorSize, Rack);
    Sim.takeOver();
    Sim.runFor(700);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  static JobSpec makeJob(const char *Id, uint32_t Tasks, Resources Size, int64_t RunMs) {
    JobSpec Job = Simulation::makeJob(Id, Tasks, Size, RunMs);
    Job.Steps[0].Constraint = "r1";
    return Job;
  }
  void submitGang(uint32_t Members, int64_t RunMs = 2'000) {
    JobSpec Gang = makeJob(GangId, Members, Large, RunMs);
    Gang.Steps[0].Gang = true;
    Sim.submit(Gang);
    Sim.runFor(50);
  }
  /// Less urgent than the gang: it has more slack.
  void submitOther(int64_t RunMs) {
    Sim.submit(makeJob(OtherId, 1, Small, RunMs));
  }
};

/// An executor has work for 5 s, the other one for the gang is idle.
TEST_GROUP_BASE(AndWaitsForOneExecutor, TEST_GROUP_CppUTestGroupAGangThatFindsNoPlaces) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAGangThatFindsNoPlaces::setup();
    Sim.submit(makeJob("00000000000000c3", 1, Large, 5'000));
    Sim.runFor(100);
  }
  bool isGangStarted(int64_t LimitMs) {
    return Sim.runUntil([&] { return Sim.runsOf(std::string(GangId) + ".0.0.1") == 1; }, LimitMs);
  }
};
// clang-format on

/// Guards against a gang that the executors can't hold, even empty, and that
/// keeps them from others.
TEST(AGangThatFindsNoPlaces, ReservesNothingIfItCanNeverBePlaced) {
  submitGang(3);
  submitOther(6'000);
  Sim.runFor(500);
  LONGS_EQUAL(1, Sim.runsOf(OtherTask));
}

/// The same for a gang whose anti-affinity allows too few places.
TEST(AGangThatFindsNoPlaces, ReservesNothingIfItsAntiAffinityForbidsPlaces) {
  JobSpec Gang = makeJob(GangId, 3, Small, 2'000);
  Gang.Steps[0].Gang = true;
  Gang.Steps[0].AntiAffinity = 1;
  Sim.submit(Gang);
  Sim.runFor(50);
  submitOther(6'000);
  Sim.runFor(500);
  LONGS_EQUAL(1, Sim.runsOf(OtherTask));
}

/// Guards against an idle executor that is kept for a gang which must wait for
/// another one.
TEST(AndWaitsForOneExecutor, LeavesTheIdleOneToWorkThatEndsBefore) {
  submitGang(2, 500);
  JobSpec Short = makeJob(OtherId, 1, Large, 1'000);
  Sim.submit(Short);
  Sim.runFor(500);
  LONGS_EQUAL(1, Sim.runsOf(OtherTask));
  CHECK_TRUE(isGangStarted(5'500));
}

/// Guards against a gang that is starved by less urgent work.
TEST(AndWaitsForOneExecutor, KeepsLongerWorkOffTheIdleOne) {
  submitGang(2, 10'000);
  JobSpec Long = makeJob(OtherId, 1, Large, 20'000);
  Sim.submit(Long);
  CHECK_TRUE(isGangStarted(6'000));
  LONGS_EQUAL(0, Sim.runsOf(OtherTask));
}
