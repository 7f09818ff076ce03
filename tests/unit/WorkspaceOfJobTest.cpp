#include "cell/JobSpec.h"
#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr const char *JobId = "00000000000000a1";
constexpr Resources OneCore{.MilliCores = 1'000, .MemoryMb = 10};

JobSpec jobOf(const std::string &Workspace) {
  JobSpec Job = Simulation::makeJob(JobId, 3, OneCore, 1'000);
  Job.Workspace = Workspace;
  return Job;
}

} // namespace

// clang-format off
TEST_GROUP(AJobHandedInWithAKey) {
  Simulation Sim;

  void setup() override {
    Sim.addExecutor({.MilliCores = 4'000, .MemoryMb = 4'000});
    Sim.takeOver();
    Sim.runFor(500);
  }
  std::string workspaceAsKnown() const {
    std::string Workspace = "no job";
    Sim.Owner->forEachJob([&](const LiveJob &Job) { Workspace = Job.Spec.Workspace; });
    return Workspace;
  }
};

TEST_GROUP(ACopyOfARequest) {};
// clang-format on

TEST(AJobHandedInWithAKey, IsOfItsWorkspaceForEachSuccessor) {
  Sim.submit(jobOf("a"));
  Sim.runFor(300);
  STRCMP_EQUAL("a", workspaceAsKnown().c_str());
  Sim.killOwner();
  Sim.takeOver("other");
  Sim.runFor(300);
  STRCMP_EQUAL("a", workspaceAsKnown().c_str());
  CHECK(Sim.runUntil(
      [&] { return Sim.storedPhase(JobId) == JobPhase::Completed; }, 20'000));
  CHECK(Sim.violations().empty());
}

/// Guards against jobs that an earlier version has stored and nobody serves.
TEST(AJobHandedInWithAKey, OrWithoutOneToAnEarlierVersionIsServed) {
  Sim.changeConfig([](CellConfig &Config) {
    Config.Workspaces.push_back({.Name = "a", .Cap = OneCore});
  });
  CHECK(encodeJob(jobOf("")).find("workspace") == std::string::npos);
  Sim.registerJob(jobOf(""));
  Sim.storeOnly(jobOf(""));
  Sim.killOwner();
  Sim.takeOver("other");
  CHECK(Sim.runUntil(
      [&] { return Sim.storedPhase(JobId) == JobPhase::Completed; }, 20'000));
  LONGS_EQUAL(3, Sim.Started.size());
}

TEST(ACopyOfARequest, IsTheSameJobForAnyEntry) {
  auto Stored = decodeJob(encodeJob(jobOf("a")));
  STRCMP_EQUAL("a", Stored->Workspace.c_str());
  CHECK(isSameRequest(*Stored, jobOf("a")));
}

TEST(ACopyOfARequest, WithAnotherWorkspacesKeyIsOtherWork) {
  CHECK_FALSE(isSameRequest(jobOf("a"), jobOf("b")));
}

/// One entry has read a version with workspaces, the other has not yet.
TEST(ACopyOfARequest, AtAnEntryWithoutWorkspacesIsTheSameJob) {
  CHECK(isSameRequest(jobOf("a"), jobOf("")));
  CHECK(isSameRequest(jobOf(""), jobOf("a")));
}
