#include "unit/CellSim.h"

#include <fmt/format.h>

#include <string>

#include <CppUTest/TestHarness.h>

/// Which starts the commits hold while more jobs change than a commit has
/// entries for.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr size_t ExecutorCount = 60;
constexpr Resources ExecutorSize{.MilliCores = 64'000, .MemoryMb = 64'000};
constexpr Resources TaskSize{.MilliCores = 1'000, .MemoryMb = 100};
constexpr int64_t CommitMs = 100;
constexpr int64_t TurnMs = 10;
/// Jobs with a start take two entries of a hundred, one has the owner's row.
constexpr size_t StartsPerCommit = 48;
/// Can wait for 0.9 s, as the simulation's queue allows twice the work and
/// 0.5 s.
constexpr int64_t UrgentRunMs = 400;
/// Can wait for 10.5 s.
constexpr int64_t PatientRunMs = 10'000;

} // namespace

// clang-format off
TEST_GROUP(AnOwnerWhoseCommitsAreFull) {
  Simulation Sim;
  uint64_t NextId = 0;

  void setup() override {
    for (size_t I = 0; I < ExecutorCount; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.CommitTimeMs = CommitMs;
    Sim.OwnerTurnMs = TurnMs;
    Sim.takeOver();
    Sim.runFor(1'000);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  /// Returns the name of its task.
  std::string submit(int64_t RunMs) {
    std::string Id = fmt::format("{:016x}", ++NextId);
    Sim.submit(Simulation::makeJob(Id, 1, TaskSize, RunMs));
    return taskName({.Job = Id});
  }
  void submitMany(size_t Count, int64_t RunMs) {
    for (size_t I = 0; I < Count; ++I)
      submit(RunMs);
  }
  /// Until the task is started, with the commits in between at \p PerCommit more
  /// urgent starts each.
  int64_t startedAfterMs(const std::string &Task, size_t PerCommit) {
    constexpr int64_t LimitMs = 5'000;
    int64_t Elapsed = 0;
    for (; Sim.runsOf(Task) == 0 && Elapsed < LimitMs; Elapsed += TurnMs) {
      if (Elapsed % CommitMs == 0)
        submitMany(PerCommit, UrgentRunMs);
      Sim.runFor(TurnMs);
    }
    return Elapsed;
  }
};
// clang-format on

/// Guards against short jobs that are late because the starts of jobs with
/// seconds of slack are recorded before theirs.
TEST(AnOwnerWhoseCommitsAreFull, RecordsUrgentStartsBeforePatientOnes) {
  submitMany(5 * StartsPerCommit, PatientRunMs);
  Sim.runFor(TurnMs);
  std::string Urgent = submit(UrgentRunMs);
  // One commit is in flight, the next one has the start.
  CHECK(startedAfterMs(Urgent, 0) <= 2 * CommitMs + 4 * TurnMs);
}

/// Guards against patient starts that never get into a commit, and hold their
/// places all the while.
TEST(AnOwnerWhoseCommitsAreFull, RecordsPatientStartsSoonWhileUrgentOnesCome) {
  submitMany(StartsPerCommit, UrgentRunMs);
  Sim.runFor(TurnMs);
  std::string Patient = submit(PatientRunMs);
  CHECK(startedAfterMs(Patient, StartsPerCommit) <= 5 * CommitMs);
}
