#include "unit/CellSim.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr const char *GangId = "00000000000000a1";
constexpr const char *OtherId = "00000000000000b2";
constexpr const char *OtherTask = "00000000000000b2.0.0.0";
constexpr const char *BusyId = "00000000000000c3";
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
    Sim.submit(makeJob(BusyId, 1, Large, 5'000));
    Sim.runFor(100);
  }
  bool isGangStarted(int64_t LimitMs) {
    return Sim.runUntil([&] { return Sim.runsOf(std::string(GangId) + ".0.0.1") == 1; }, LimitMs);
  }
};

/// Three may be reserved, the first before others if all are idle. The gang has
/// least slack of all jobs, which are in time for as long as the tests take.
TEST_GROUP(AGangThatNeedsSixExecutorsWhole) {
  static constexpr uint32_t Members = 6;
  Simulation Sim;
  std::vector<std::string> Executors;

  void setup() override {
    Sim.changeConfig([](CellConfig &Config) {
      Config.Queues.front().TargetLatency = Millis(120'000);
    });
    for (const char *Rack : {"r1", "r1", "r1", "r2", "r2", "r2"})
      Executors.push_back(Sim.addExecutor(ExecutorSize, Rack));
    Sim.executor(Executors.front()).Info.Labels.push_back("first");
    Sim.executor(Executors.back()).Info.Labels.push_back("last");
    beforeTakeOver();
    Sim.takeOver();
    Sim.runFor(700);
  }
  virtual void beforeTakeOver() {}
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void submitGang() {
    JobSpec Gang = Simulation::makeJob(GangId, Members, ExecutorSize, 1'000);
    Gang.Steps[0].Gang = true;
    Sim.submit(Gang);
    Sim.runFor(50);
  }
  void submitAloneOn(const char *Label, const char *Id, int64_t RunMs) {
    JobSpec Job = Simulation::makeJob(Id, 1, ExecutorSize, RunMs);
    Job.Steps[0].Constraint = Label;
    Sim.submit(Job);
  }
  /// It suits only the first executor.
  void submitOther(int64_t RunMs, bool IsLasting = false) {
    JobSpec Other = Simulation::makeJob(OtherId, 1, Small, RunMs);
    Other.Steps[0].Constraint = "first";
    Other.Steps[0].LongRunning = IsLasting;
    Sim.submit(Other);
    Sim.runFor(500);
  }
  bool isGangStarted() { return Sim.runsOf(std::string(GangId) + ".0.0.5") == 1; }
};

/// The task is on the second rack.
TEST_GROUP_BASE(AndOneHasATaskForAMinute, TEST_GROUP_CppUTestGroupAGangThatNeedsSixExecutorsWhole) {
  TimePoint FreeAt{};

  void setup() override {
    TEST_GROUP_CppUTestGroupAGangThatNeedsSixExecutorsWhole::setup();
    submitAloneOn("r2", BusyId, 60'000);
    Sim.runFor(100);
    FreeAt = Sim.Now + Millis(60'000);
    submitGang();
  }
};

/// For less time than it takes to give an executor up.
TEST_GROUP_BASE(AndOneIsSilent, TEST_GROUP_CppUTestGroupAGangThatNeedsSixExecutorsWhole) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAGangThatNeedsSixExecutorsWhole::setup();
    Sim.executor(Executors.back()).Unreachable = true;
    Sim.runFor(3'000);
    submitGang();
  }
};

/// A more urgent task waits for the executor of the first, and then for a
/// ticket: a call takes 2 s.
TEST_GROUP_BASE(AndOneHasATaskThatWaitsForItsTicket, TEST_GROUP_CppUTestGroupAGangThatNeedsSixExecutorsWhole) {
  void beforeTakeOver() override {
    Sim.requireAdvice({.Settings = {.BaseMs = 2'000, .PerExecutorMs = 0, .Validity = Millis(700)}, .Entries = 4});
  }
  void setup() override {
    TEST_GROUP_CppUTestGroupAGangThatNeedsSixExecutorsWhole::setup();
    submitAloneOn("last", BusyId, 8'000);
    Sim.runFor(2'500);
    submitAloneOn("last", "00000000000000d4", 500);
    submitGang();
    Sim.runFor(2'500);
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

/// Guards against a gang that counts executors where it needs places: two of
/// its members share one, and both wait for the busy one.
TEST(AndWaitsForOneExecutor, KeepsLongerWorkOffIfMembersShareExecutors) {
  JobSpec Gang = makeJob(GangId, 4, {.MilliCores = 8'000}, 10'000);
  Gang.Steps[0].Gang = true;
  Sim.submit(Gang);
  Sim.runFor(50);
  submitOther(20'000);
  CHECK_TRUE(isGangStarted(6'000));
  LONGS_EQUAL(0, Sim.runsOf(OtherTask));
}

/// Guards against a gang that is starved by a stream of small tasks, which may
/// use its executors until it starts.
TEST(AndWaitsForOneExecutor, AStreamOfSmallTasksDoesNotDelayIt) {
  Sim.changeConfig([](CellConfig &Config) {
    Config.Queues.front().TargetLatency = Millis(60'000);
  });
  submitGang(2, 500);
  constexpr uint64_t Jobs = 55; // One in 100 ms.
  for (uint64_t I = 1; I <= Jobs; ++I) {
    Sim.submit(makeJob(fmt::format("{:016x}", I).c_str(), 1, Small, 1'000));
    Sim.runFor(100);
  }
  LONGS_EQUAL(1, Sim.runsOf("0000000000000001.0.0.0"));
  CHECK_TRUE(isGangStarted(0));
}

/// Guards against executors that are kept idle as those reserved are free,
/// while the gang has to wait for one that isn't among them.
TEST(AndOneHasATaskForAMinute, IdleOnesTakeWorkThatEndsBefore) {
  submitOther(35'000);
  LONGS_EQUAL(1, Sim.runsOf(OtherTask));
  CHECK_TRUE(Sim.runUntil([&] { return isGangStarted(); }, 61'000));
  CHECK_TRUE(Sim.Now < FreeAt + Millis(1'000));
}

/// Guards against a gang that is delayed by work that ends after its start.
TEST(AndOneHasATaskForAMinute, TheReservedOnesTakeNoLongerWork) {
  submitOther(65'000);
  CHECK_TRUE(Sim.runUntil([&] { return isGangStarted(); }, 61'000));
  LONGS_EQUAL(0, Sim.runsOf(OtherTask));
}

/// Guards against executors that are kept idle for a gang of which nobody knows
/// when it can start.
TEST(AndOneIsSilent, IdleOnesTakeWorkThatEnds) {
  submitOther(35'000);
  LONGS_EQUAL(1, Sim.runsOf(OtherTask));
}

/// Guards against a gang that finds lasting tasks on its executors once all
/// answer again.
TEST(AndOneIsSilent, TheReservedOnesTakeNoTaskThatLasts) {
  submitOther(600'000, true);
  LONGS_EQUAL(0, Sim.runsOf(OtherTask));
  Sim.executor(Executors.back()).Unreachable = false;
  CHECK_TRUE(Sim.runUntil([&] { return isGangStarted(); }, 6'000));
}

/// Guards against a start that is taken for unknown while another task has
/// reserved an executor, or is placed there and hasn't begun: longer work would
/// delay the gang.
TEST(AndOneHasATaskThatWaitsForItsTicket, TheReservedOnesTakeNoLongerWork) {
  submitOther(20'000);
  CHECK_TRUE(Sim.runUntil([&] { return isGangStarted(); }, 20'000));
  LONGS_EQUAL(0, Sim.runsOf(OtherTask));
}
