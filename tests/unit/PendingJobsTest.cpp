#include "unit/CellSim.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources ExecutorSize{.MilliCores = 8'000, .MemoryMb = 8'000};
constexpr Resources TaskSize{.MilliCores = 1'000, .MemoryMb = 100};
constexpr size_t JobCount = 6;

} // namespace

// clang-format off
/// How many jobs the owner's row says are pending.
TEST_GROUP(AnOwnerThatCountsItsPendingJobs) {
  Simulation Sim;

  void setup() override {
    for (int I = 0; I < 2; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.takeOver();
    Sim.runFor(500);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }

  static std::string jobId(size_t Number) { return fmt::format("{:016x}", Number); }
  void submitJobs(uint32_t Tasks = 1, int64_t RunMs = 60'000) {
    for (size_t I = 1; I <= JobCount; ++I)
      Sim.submit(Simulation::makeJob(jobId(I), Tasks, TaskSize, RunMs));
  }
  uint64_t pending() const { return Sim.ownerRow().Pending.ByQueue["q"]; }
  void takeOver() {
    Sim.takeOver();
    Sim.runFor(700);
  }
};

TEST_GROUP_BASE(WhoseStartsAreAllRefused, TEST_GROUP_CppUTestGroupAnOwnerThatCountsItsPendingJobs) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerThatCountsItsPendingJobs::setup();
    Sim.RefusalFor = [](const executor::StartOrder &) { return executor::OrderOutcome::Unhealthy; };
    submitJobs();
    Sim.runFor(1'500);
    LONGS_EQUAL(JobCount, pending());
    LONGS_EQUAL(0, Sim.Started.size());
  }
};
// clang-format on

/// Guards against an owner that takes a job for started because a start of it
/// was recorded, though it was refused.
TEST(WhoseStartsAreAllRefused, IsFollowedByOneThatCountsThemToo) {
  takeOver();
  LONGS_EQUAL(JobCount, pending());
}

/// Guards against a loss of what is known with the second takeover.
TEST(WhoseStartsAreAllRefused, IsFollowedByMoreOwnersThatCountThemToo) {
  constexpr int64_t Takeovers = 6;
  for (int64_t I = 0; I < Takeovers; ++I) {
    takeOver();
    LONGS_EQUAL(JobCount, pending());
    Sim.runFor(130 * I);
  }
}

/// Guards against a run number that is used again, as the executor may know it.
TEST(WhoseStartsAreAllRefused, IsFollowedByOneThatStartsThemAsLaterRuns) {
  takeOver();
  Sim.RefusalFor = nullptr;
  Sim.runFor(3'000);
  LONGS_EQUAL(0, pending());
  LONGS_EQUAL(JobCount, Sim.Started.size());
  for (const executor::StartOrder &Start : Sim.Started)
    CHECK(Start.Id.Run > 1);
}

/// Guards against a caller who is told that a job runs of which no start was
/// taken.
TEST(WhoseStartsAreAllRefused, ShowsTheJobsAsQueued) {
  // The row of a job is read while no start of it is under way.
  for (size_t I = 1; I <= JobCount; ++I)
    CHECK(Sim.runUntil(
        [&] { return Sim.storedPhase(jobId(I)) == JobPhase::Queued; }, 2'000));
}

/// Guards against a row that a version before can't keep: it would acknowledge
/// the late end of a run of a queued job, and store nothing.
TEST(AnOwnerThatCountsItsPendingJobs, BesideAnOlderVersionQueuesNoJobAgain) {
  Sim.QueuesAgain = false;
  takeOver();
  Sim.RefusalFor = [](const executor::StartOrder &) {
    return executor::OrderOutcome::Unhealthy;
  };
  submitJobs();
  auto IsAnyQueuedAgain = [&] {
    for (size_t I = 1; I <= JobCount; ++I) {
      auto Progress = Sim.storedProgress(jobId(I));
      if (Progress && !Progress->Tasks.empty() &&
          Progress->Phase == JobPhase::Queued)
        return true;
    }
    return false;
  };
  CHECK_FALSE(Sim.runUntil(IsAnyQueuedAgain, 3'000));
}

/// Guards against starts that are recorded, and dropped as their tickets end
/// before they may be sent.
TEST(AnOwnerThatCountsItsPendingJobs,
     WhoseStartsAreNotSentIsFollowedByOneThatCountsThemToo) {
  Sim.requireAdvice(
      {.Settings = {.BaseMs = 20, .PerExecutorMs = 1, .Validity = Millis(700)},
       .AllowedShare = 1,
       .Entries = 8});
  takeOver();
  Sim.CommitTimeMs = 900;
  submitJobs();
  Sim.runFor(6'000);
  LONGS_EQUAL(0, Sim.Started.size());
  Sim.CommitTimeMs = 10;
  Sim.FeedsSilent = true;
  takeOver();
  LONGS_EQUAL(JobCount, pending());
}

/// Guards against a job that counts as pending once more since its only run was
/// lost with its executor.
TEST(AnOwnerThatCountsItsPendingJobs, ThatHaveBegunAndWaitAgainAreNotCounted) {
  submitJobs();
  Sim.runFor(1'000);
  LONGS_EQUAL(0, pending());
  LONGS_EQUAL(JobCount, Sim.Started.size());
  Sim.RefusalFor = [](const executor::StartOrder &) {
    return executor::OrderOutcome::Unhealthy;
  };
  for (const executor::StartOrder &Start : std::vector(Sim.Started)) {
    if (Sim.hasExecutor(Start.Target.Id) && !Sim.executor(Start.Target.Id).Dead)
      Sim.loseExecutor(Start.Target.Id);
  }
  Sim.addExecutor(ExecutorSize);
  Sim.runFor(12'000);
  LONGS_EQUAL(0, pending());
  takeOver();
  LONGS_EQUAL(0, pending());
}

/// Guards against a job that counts as pending since some of its tasks were
/// refused while others run.
TEST(AnOwnerThatCountsItsPendingJobs, OfWhichSomeTasksRunAreNotCounted) {
  Sim.RefusalFor = [](const executor::StartOrder &Order)
      -> std::optional<executor::OrderOutcome> {
    if (Order.Id.Task.ends_with(".0"))
      return std::nullopt;
    return executor::OrderOutcome::Unhealthy;
  };
  submitJobs(2);
  Sim.runFor(2'000);
  LONGS_EQUAL(JobCount, Sim.Started.size());
  LONGS_EQUAL(0, pending());
  takeOver();
  LONGS_EQUAL(0, pending());
}

/// Guards against a count of jobs that are offered, and may never be accepted.
TEST(AnOwnerThatCountsItsPendingJobs, OffersThatAreNotStoredAreNotCounted) {
  constexpr size_t Offers = 80; // More than one commit has room for.
  Sim.RefusalFor = [](const executor::StartOrder &) {
    return executor::OrderOutcome::Unhealthy;
  };
  Sim.CommitTimeMs = 200;
  size_t Accepted = 0;
  for (size_t I = 1; I <= Offers; ++I) {
    JobSpec Job = Simulation::makeJob(jobId(I), 1, TaskSize, 100);
    Sim.registerJob(Job);
    Sim.Owner->offer({.Job = Job,
                      .TimeLeft = Millis(5'000),
                      .Done =
                          [&](OfferOutcome Outcome) {
                            Accepted += Outcome == OfferOutcome::Stored ? 1 : 0;
                          }},
                     Sim.Now, Sim.Now);
  }
  CHECK(Sim.runUntil(
      [&] {
        CHECK(pending() <= Sim.rowsOf(JobTable).size());
        return Accepted == Offers;
      },
      5'000));
  Sim.runFor(1'000);
  LONGS_EQUAL(Offers, pending());
}
