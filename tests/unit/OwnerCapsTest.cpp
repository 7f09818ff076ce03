#include "cell/WideTask.h"
#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources ExecutorSize{.MilliCores = 16'000, .MemoryMb = 64'000};
constexpr Resources TaskSize{.MilliCores = 1'000, .MemoryMb = 1'000};
constexpr const char *JobId = "00000000000000a1";
constexpr const char *OtherJobId = "00000000000000b2";

} // namespace

// clang-format off
TEST_GROUP(AWorkspaceWithACap) {
  Simulation Sim;

  void setup() override {
    for (size_t I = 0; I < 4; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.changeConfig([](CellConfig &Config) {
      Config.Workspaces.push_back({.Name = "w", .Cap = {.MilliCores = 8'000}});
    });
    Sim.takeOver();
    Sim.runFor(500);
  }
  static JobSpec job(const std::string &Id, uint32_t Tasks) {
    JobSpec Job = Simulation::makeJob(Id, Tasks, TaskSize, 2'000);
    Job.Workspace = "w";
    return Job;
  }
  size_t running() {
    size_t Count = 0;
    for (size_t I = 0; I < 4; ++I)
      Count += Sim.executor("i-" + std::to_string(I)).Running.size();
    return Count;
  }
};

TEST_GROUP_BASE(SharedWithAnotherService, TEST_GROUP_CppUTestGroupAWorkspaceWithACap) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAWorkspaceWithACap::setup();
    Sim.changeConfig([](CellConfig &Config) { Config.Services = {"s", "t"}; });
  }
};
// clang-format on

TEST(AWorkspaceWithACap, HasNoMoreRunningThanThat) {
  Sim.submit(job(JobId, 20));
  for (size_t I = 0; I < 40; ++I) {
    Sim.runFor(50);
    CHECK(running() <= 8);
  }
  LONGS_EQUAL(8, running());
}

TEST(AWorkspaceWithACap, HasAllItsTasksDoneInTheEnd) {
  Sim.submit(job(JobId, 20));
  CHECK(Sim.runUntil(
      [&] { return Sim.storedPhase(JobId) == JobPhase::Completed; }, 20'000));
}

TEST(AWorkspaceWithACap, DoesNotHoldUpOthers) {
  Sim.submit(job(JobId, 20));
  Sim.submit(Simulation::makeJob(OtherJobId, 20, TaskSize, 500));
  CHECK(Sim.runUntil(
      [&] { return Sim.storedPhase(OtherJobId) == JobPhase::Completed; },
      2'000));
}

TEST(AWorkspaceWithACap, KeepsItOverATakeover) {
  Sim.submit(job(JobId, 20));
  Sim.runFor(500);
  Sim.takeOver();
  for (size_t I = 0; I < 30; ++I) {
    Sim.runFor(50);
    CHECK(running() <= 8);
  }
}

TEST(AWorkspaceWithACap, StartsAGangOnlyAsAWhole) {
  Sim.submit(job(JobId, 4));
  Sim.runFor(300);
  JobSpec Gang = job(OtherJobId, 6);
  Gang.Steps.front().Gang = true;
  Sim.submit(Gang);
  Sim.runFor(1'000);
  LONGS_EQUAL(4, running());
  CHECK(Sim.runUntil([&] { return running() == 6; }, 4'000));
}

TEST(AWorkspaceWithACap, RunsALastingTaskAgainAfterItsExecutorIsLost) {
  JobSpec Lasting = job(JobId, 8);
  Lasting.Steps.front().LongRunning = true;
  Sim.RunTimeFor = [](const std::string &, int64_t) { return 1'000'000; };
  Sim.submit(Lasting);
  Sim.runFor(500);
  Sim.submit(job(OtherJobId, 8));
  std::string Lost = "i-0";
  for (size_t I = 0; Sim.executor(Lost).Running.empty(); ++I)
    Lost = "i-" + std::to_string(I);
  Sim.loseExecutor(Lost);
  CHECK(Sim.runUntil(
      [&] { return running() - Sim.executor(Lost).Running.size() == 8; },
      30'000));
}

TEST(SharedWithAnotherService, StartsNothingBeforeTheOwnRowIsRead) {
  Sim.submit(job(JobId, 20));
  Sim.runFor(500);
  LONGS_EQUAL(0, running());
}

TEST(SharedWithAnotherService, StartsItsHalfOnceItsOwnRowIsStored) {
  Sim.submit(job(JobId, 20));
  Sim.Owner->restoreCaps(std::nullopt);
  Sim.runFor(500);
  LONGS_EQUAL(4, running());
  LONGS_EQUAL(1, Sim.rowsOf(CapTable).size());
}

TEST(SharedWithAnotherService, StartsMoreOnceItReadsAGrant) {
  Sim.submit(job(JobId, 20));
  Sim.Owner->restoreCaps(std::nullopt);
  Sim.runFor(300);
  CapRow Row{.Service = "t", .ConfigVersion = 3};
  Row.Workspaces["w"].Granted["s"] = {WholeCap / 4, 0, 0};
  Sim.Owner->addCapRow("t", Row, 1);
  Sim.runFor(300);
  LONGS_EQUAL(6, running());
}

TEST_GROUP(ATaskWiderThanItsWorkspacesCap){};

TEST(ATaskWiderThanItsWorkspacesCap, IsFoundWithItsStep) {
  JobSpec Job = Simulation::makeJob(JobId, 20, TaskSize, 100);
  Workspace Owner{.Name = "w", .Cap = {.MilliCores = 8'000}};
  CHECK_FALSE(findWideTask(Job, Owner).has_value());
  Job.Steps.front().Gang = true;
  auto Wide = findWideTask(Job, Owner);
  CHECK(Wide && Wide->Step == 0 && Wide->IsGang);
  LONGS_EQUAL(20'000, Wide->Needed);
  LONGS_EQUAL(8'000, Wide->Cap);
}

TEST(ATaskWiderThanItsWorkspacesCap, IsAllowedWithoutALimit) {
  JobSpec Job = Simulation::makeJob(JobId, 1, {.MilliCores = 90'000}, 100);
  CHECK_FALSE(findWideTask(Job, {.Name = "w"}).has_value());
}
