#include "unit/CellSim.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

/// Losses of an executor and of its owner on a store that is slow.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Resources Wide{.MilliCores = 4'000, .MemoryMb = 4'000};
constexpr const char *JobId = "00000000000000b1";
constexpr int64_t BoundMs = 9'000;
constexpr int64_t LimitMs = 30'000;
/// Until another entry acquires the service of an owner that was lost.
constexpr int64_t TakeoverMs = 1'700;

} // namespace

// clang-format off
TEST_GROUP(ALastingTaskOnASlowStore) {
  Simulation Sim;
  std::string Task = taskName({.Job = JobId});

  void setup() override {
    for (int I = 0; I < 6; ++I)
      Sim.addExecutor(Wide);
    Sim.RunTimeFor = [](const std::string &, int64_t) { return int64_t(1'000'000'000); };
    Sim.takeOver("e1/1");
    JobSpec Job = Simulation::makeJob(JobId, 1, Small, 1'000);
    Job.Steps[0].LongRunning = true;
    Sim.submit(Job);
    CHECK(Sim.runUntil([&] { return Sim.isOpen(Task); }, 5'000));
    Sim.runFor(8'000);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  std::string executorId() { return Sim.Started.back().Target.Id; }
  void checkRunsAgainWithin(TimePoint LostAt) {
    size_t Before = Sim.runsOf(Task);
    Sim.runUntil([&] { return Sim.runsOf(Task) > Before; }, LimitMs);
    int64_t Waited = toMillis(Sim.Now - LostAt);
    std::string Message = fmt::format("waited {} ms", Waited);
    CHECK_TEXT(Waited <= BoundMs, Message.c_str());
  }
  void loseOwnerAfter(int64_t Ms) {
    Sim.runFor(Ms);
    Sim.killOwner();
    Sim.runFor(TakeoverMs);
    Sim.takeOver("e2/1");
  }
};
// clang-format on

/// Guards against rows that don't list a silent executor as commits take 250
/// ms, so that the next owner counts leases from the last row.
TEST(ALastingTaskOnASlowStore, LostWithItsOwnerOnAStoreThatIsSlow) {
  Sim.CommitTimeMs = 250;
  Sim.runFor(3'000);
  TimePoint LostAt = Sim.Now;
  Sim.loseExecutor(executorId());
  loseOwnerAfter(4'000);
  checkRunsAgainWithin(LostAt);
}

/// Guards against one slow commit that takes a silent executor off the list.
TEST(ALastingTaskOnASlowStore, LostWithItsOwnerAfterOneSlowCommit) {
  TimePoint LostAt = Sim.Now;
  Sim.loseExecutor(executorId());
  Sim.runFor(2'700);
  CHECK_EQUAL(1U, Sim.ownerRow().SilentLeaseEnds.size());
  Sim.CommitTimeMs = 250;
  Sim.runFor(1'000);
  Sim.CommitTimeMs = 10;
  loseOwnerAfter(0);
  checkRunsAgainWithin(LostAt);
}

/// Guards against starts that are never sent as ownership is over when their
/// commit is confirmed.
TEST(ALastingTaskOnASlowStore,
     StartsThoughCommitsTakeLongerThanOwnershipLasts) {
  Sim.CommitTimeMs = 2'100;
  JobSpec Job = Simulation::makeJob("00000000000000b2", 1, Small, 500);
  Sim.submit(Job);
  CHECK(Sim.runUntil(
      [&] { return Sim.runsOf(taskName({.Job = "00000000000000b2"})) > 0; },
      LimitMs));
}

/// Guards against renewals that wait for ends while they carry no lease: the
/// lease comes a whole wait later.
TEST(ALastingTaskOnASlowStore, IsNotLeftWithoutALeaseWhileARenewalWaits) {
  OwnerRow Acquired{.Holder = "e9/1", .Epoch = 2, .LeasesEndMs = 10'000};
  TimePoint Now = SimulationStart;
  StoreClock Clock{.MinMs = 5'000, .MaxMs = 5'000};
  CellOwner Owner({.Service = "s",
                   .AcquiredRow = Acquired,
                   .RowVersion = 1,
                   .ClockAtCreation = Clock,
                   .CreatedAt = Now,
                   .Loading = true},
                  std::make_shared<const CellConfig>());
  JobSpec Job = Simulation::makeJob(JobId, 2, Small, 1'000);
  Job.Steps[0].LongRunning = true;
  JobProgress Progress;
  Progress.Phase = JobPhase::Running;
  for (uint32_t I = 0; I < 2; ++I) {
    TaskProgress &Stored = Progress.Tasks[{0, 0, I}];
    Stored.Phase = TaskPhase::Running;
    Stored.Run = 1;
    Stored.Executor = fmt::format("x{}", I);
    Stored.Address = "a:1";
  }
  Owner.restore(Job, Progress, false, Now, Now);
  Owner.finishLoading();
  Owner.advance(Now, 0);
  // The first executor answers at once, the other is lost.
  executor::RenewalAnswer Answer;
  Answer.Outcome = executor::OrderOutcome::Done;
  Answer.ClockMs = 100'000;
  Answer.Running.push_back({.Id = {taskName({.Job = JobId}), 1}});
  Owner.onRenewal(0, Answer, Now + Millis(5));
  for (int64_t Ms = 10; Ms < 300; Ms += 5) {
    TimePoint At = Now + Millis(Ms);
    Owner.nextCommit(At, {.MinMs = 5'000 + Ms, .MaxMs = 5'000 + Ms});
    for (const RenewalCommand &Command : Owner.advance(At, 0).Renewals) {
      if (Command.Executor != 0)
        continue;
      std::string Message =
          fmt::format("at {} ms: a renewal without a lease waits {} ms", Ms,
                      Command.Call.MaxWait.count());
      CHECK_TEXT(Command.Call.LeaseEndMs || Command.Call.MaxWait.count() == 0,
                 Message.c_str());
    }
  }
}
