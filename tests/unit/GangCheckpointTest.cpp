#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr const char *JobId = "00000000000000a1";
constexpr uint32_t Members = 3;

} // namespace

// clang-format off
/// Each member has an executor of its own, and another checkpoint at its end.
TEST_GROUP(AGangThatSavesCheckpoints) {
  Simulation Sim;
  std::vector<std::string> Executors;

  void setup() override {
    constexpr Resources Size{.MilliCores = 4'000, .MemoryMb = 4'000};
    constexpr size_t Spares = 3;
    Sim.EndCheckpointFor = [](const std::string &Task) { return "saved-by-" + Task; };
    for (size_t I = 0; I < Members + Spares; ++I)
      Executors.push_back(Sim.addExecutor(Size));
    Sim.takeOver();
    JobSpec Job = Simulation::makeJob(JobId, Members, Size, 3'000);
    Job.Steps[0].Gang = true;
    Job.Steps[0].Checkpointing = true;
    Sim.submit(Job);
    CHECK_TRUE(Sim.runUntil([&] { return Sim.Started.size() == Members; }, 3'000));
    Sim.runFor(1'000);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void crashExecutorOfAMember() { Sim.crashExecutor(Sim.Started[0].Target.Id, 2'000); }
  std::set<std::string> checkpointsOfSecondRun() const {
    std::set<std::string> Checkpoints;
    for (const executor::StartOrder &Order : Sim.Started) {
      if (Order.Id.Run == 2)
        Checkpoints.insert(Order.Checkpoint);
    }
    return Checkpoints;
  }
};
// clang-format on

/// Guards against members of a gang that resume from different points after a
/// crash.
TEST(AGangThatSavesCheckpoints, ResumesFromOneOfThem) {
  crashExecutorOfAMember();
  CHECK_TRUE(Sim.runUntil(
      [&] { return Sim.Started.size() == size_t{2} * Members; }, 12'000));
  LONGS_EQUAL(1, checkpointsOfSecondRun().size());
  CHECK_FALSE(checkpointsOfSecondRun().contains(""));
}

/// Guards against a successor that loads another checkpoint for each member, as
/// earlier versions have stored them.
TEST(AGangThatSavesCheckpoints, ResumesFromOneOfThemUnderTheNextOwner) {
  JobProgress Progress{.Phase = JobPhase::Running};
  for (uint32_t I = 0; I < Members; ++I)
    Progress.Tasks[{0, 0, I}] = {.Phase = TaskPhase::Waiting,
                                 .Run = 1,
                                 .Checkpoint = "saved-by-" + std::to_string(I)};
  constexpr const char *LoadedId = "00000000000000b2";
  JobSpec Job = Simulation::makeJob(
      LoadedId, Members, {.MilliCores = 1'000, .MemoryMb = 100}, 500);
  Job.Steps[0].Gang = true;
  Sim.registerJob(Job);
  Sim.Owner->restore(Job, Progress, false, Sim.Now, Sim.Now);
  size_t StartsBefore = Sim.Started.size();
  CHECK_TRUE(Sim.runUntil(
      [&] { return Sim.Started.size() == StartsBefore + Members; }, 5'000));
  LONGS_EQUAL(1, checkpointsOfSecondRun().size());
}
