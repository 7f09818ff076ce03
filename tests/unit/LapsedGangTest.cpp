#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

/// A gang that is done out of reach of its owner.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr const char *JobId = "00000000000000a1";
constexpr uint32_t Members = 3;
constexpr int64_t RunMs = 1'500;

} // namespace

// clang-format off
/// Each member has an executor of its own.
TEST_GROUP(AGangOutOfReach) {
  Simulation Sim;
  std::vector<std::string> Executors;

  void setup() override {
    constexpr Resources Size{.MilliCores = 4'000, .MemoryMb = 4'000};
    for (uint32_t I = 0; I < Members; ++I)
      Executors.push_back(Sim.addExecutor(Size));
    Sim.takeOver();
    JobSpec Job = Simulation::makeJob(JobId, Members, Size, RunMs);
    Job.Steps[0].Gang = true;
    Sim.submit(Job);
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == Members; }, 3'000));
    Sim.runFor(100);
    setReachable(false);
  }
  void setReachable(bool IsReachable) {
    for (const std::string &Id : Executors)
      Sim.executor(Id).Unreachable = !IsReachable;
  }
};
// clang-format on

/// Guards against a second run of a gang whose ends are heard after its leases
/// were taken to have expired.
TEST(AGangOutOfReach, IsNotStartedAgainOnceItsEndIsHeard) {
  CHECK(
      Sim.runUntil([&] { return Sim.Owner->counts().ExpiredRuns > 0; }, 8'000));
  setReachable(true);
  CHECK(Sim.runUntil(
      [&] { return Sim.storedPhase(JobId) == JobPhase::Completed; }, 2'000));
  LONGS_EQUAL(Members, Sim.Started.size());
}

/// Guards against ends of members that their executors forget before it is
/// stored that the gang is done: the next owner may hear only these.
TEST(AGangOutOfReach, KeepsTheEndsOfAllMembersUntilItsEndIsStored) {
  setReachable(true);
  Sim.CommitTimeMs = 400;
  CHECK(Sim.runUntil([&] { return Sim.executor(Executors[0]).EndCount > 0; },
                     3'000));
  size_t CommitsBefore = Sim.AppliedCommits.size();
  CHECK(Sim.runUntil([&] { return Sim.AppliedCommits.size() > CommitsBefore; },
                     1'000));
  Sim.runFor(150);
  CHECK(Sim.storedPhase(JobId) != JobPhase::Completed);
  for (const std::string &Id : Executors)
    CHECK_EQUAL(size_t{1}, Sim.executor(Id).Ended.size());
}

/// The next owner finds the leases expired before it has heard any executor.
TEST(AGangOutOfReach, IsDoneForTheNextOwnerToo) {
  Sim.killOwner();
  Sim.runFor(8'000);
  Sim.takeOver();
  setReachable(true);
  CHECK(Sim.runUntil(
      [&] { return Sim.storedPhase(JobId) == JobPhase::Completed; }, 2'000));
  LONGS_EQUAL(Members, Sim.Started.size());
}
