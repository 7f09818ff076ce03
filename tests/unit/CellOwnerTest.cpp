#include "node/OwnerWatch.h"
#include "unit/CellSim.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;
using executor::EndKind;

namespace {

constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Resources Wide{.MilliCores = 4'000, .MemoryMb = 4'000};
constexpr const char *JobId = "00000000000000a1";
const int64_t LeaseMs = LeaseOptions{}.LeaseDuration.count();

std::string taskNameOf(uint32_t Index, uint32_t Step = 0) {
  return taskName({.Job = JobId, .Step = Step, .Index = Index});
}

void checkNoViolations(const Simulation &Sim) {
  for (const std::string &Violation : Sim.violations())
    FAIL(Violation.c_str());
}

} // namespace

// clang-format off
TEST_GROUP(AnOwnerOfTwoExecutors) {
  Simulation Sim;
  std::string ExecutorA = Sim.addExecutor(Wide);
  std::string ExecutorB = Sim.addExecutor(Wide);

  void setup() override {
    Sim.takeOver();
    Sim.runFor(200);
  }
  void teardown() override { checkNoViolations(Sim); }
  bool completesWithin(int64_t WithinMs) {
    return Sim.runUntil(
        [&] { return Sim.storedPhase(JobId) == JobPhase::Completed; }, WithinMs);
  }
  void offer(const JobSpec &Spec, std::optional<OfferOutcome> &Outcome, Millis TimeLeft = Millis(3'000)) {
    Sim.registerJob(Spec);
    Sim.Owner->offer({.Job = Spec, .TimeLeft = TimeLeft, .Done = [&](OfferOutcome NewOutcome) { Outcome = NewOutcome; }},
                     Sim.Now, Sim.Now);
  }
};

TEST_GROUP_BASE(WithAJobOfThreeTasks, TEST_GROUP_CppUTestGroupAnOwnerOfTwoExecutors) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerOfTwoExecutors::setup();
    Sim.submit(Simulation::makeJob(JobId, 3, Small, 400));
  }
};

TEST_GROUP_BASE(WhenItRuns, TEST_GROUP_CppUTestGroupWithAJobOfThreeTasks) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWithAJobOfThreeTasks::setup();
    Sim.runUntil([&] { return Sim.Started.size() == 3; }, 500);
  }
};

TEST_GROUP_BASE(WithAGangOfTwoWholeExecutors, TEST_GROUP_CppUTestGroupAnOwnerOfTwoExecutors) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerOfTwoExecutors::setup();
    JobSpec Gang = Simulation::makeJob(JobId, 2, Wide, 400);
    Gang.Steps[0].Gang = true;
    Sim.submit(Gang);
  }
};
// clang-format on

TEST(WithAJobOfThreeTasks, ItCompletesAndIsStoredAsCompleted) {
  CHECK_TRUE(completesWithin(1'000));
  LONGS_EQUAL(3, Sim.Started.size());
}

TEST(WithAJobOfThreeTasks, NothingIsStoredOfItsTasksOnceItHasEnded) {
  CHECK(completesWithin(3'000));
  CHECK(Sim.storedValue(ProgressTable, JobId).empty());
  CHECK(Sim.storedValue(JobTable, JobId).empty());
  Sim.takeOver();
  Sim.runFor(500);
  CHECK(Sim.storedPhase(JobId) == JobPhase::Completed);
  LONGS_EQUAL(3, Sim.Started.size());
}

TEST_GROUP(AnOwnerOfManyExecutors) { Simulation Sim; };

/// Guards against an owner that is taken over while it greets its executors.
TEST(AnOwnerOfManyExecutors, RenewsItsRowBetweenTheFirstLeaseRenewals) {
  constexpr size_t Executors = 200;
  constexpr size_t MaxPerTurn = 32;
  for (size_t I = 0; I < Executors; ++I)
    Sim.addExecutor(Wide);
  Sim.takeOver();
  size_t Renewed = 0;
  while (Renewed < Executors) {
    size_t InTurn = Sim.Owner->advance(Sim.Now, 0).Renewals.size();
    CHECK(InTurn > 0 && InTurn <= MaxPerTurn);
    Renewed += InTurn;
  }
  LONGS_EQUAL(Executors, Renewed);
}

TEST(WithAJobOfThreeTasks, NothingStartsWhileTheStoreIsDown) {
  Sim.StoreDown = true;
  Sim.runFor(500);
  LONGS_EQUAL(0, Sim.Started.size());
  Sim.StoreDown = false;
  CHECK_TRUE(completesWithin(1'500));
}

TEST(WithAJobOfThreeTasks, ItNeverStartsIfCancelledBeforeTheFirstCommit) {
  Sim.cancel(JobId);
  Sim.runFor(500);
  LONGS_EQUAL(0, Sim.Started.size());
  CHECK(Sim.storedPhase(JobId) == JobPhase::Cancelled);
}

TEST(WhenItRuns, AnEndIsAcknowledgedOnlyOnceItIsStored) {
  Sim.StoreDown = true;
  Sim.runFor(1'500);
  CHECK_EQUAL(size_t{3}, Sim.executor(ExecutorA).Ended.size() +
                             Sim.executor(ExecutorB).Ended.size());
  Sim.StoreDown = false;
  CHECK_TRUE(completesWithin(500));
  Sim.runFor(300);
  CHECK_TRUE(Sim.executor(ExecutorA).Ended.empty());
  CHECK_TRUE(Sim.executor(ExecutorB).Ended.empty());
}

TEST(WhenItRuns, CancellingTheJobStopsItsRuns) {
  Sim.cancel(JobId);
  Sim.Owner->cancel(JobId, Sim.Now);
  Sim.runFor(100);
  CHECK_FALSE(Sim.isOpen(taskNameOf(0)));
  Sim.runFor(1'000);
  CHECK(Sim.storedPhase(JobId) == JobPhase::Cancelled);
}

TEST(WhenItRuns, ALostCommitAnswerIsResolvedByTheOwnerRow) {
  Sim.Faults.CommitAnswerLost = 0.7;
  CHECK_TRUE(completesWithin(8'000));
  LONGS_EQUAL(3, Sim.Started.size());
}

// clang-format off
TEST_GROUP_BASE(WhenTheNextOwnerLoadsForSeconds, TEST_GROUP_CppUTestGroupWhenItRuns) {
  static constexpr int64_t LoadMs = 3'500;
  node::OwnerWatch OtherEntry{node::OwnerWatchOptions{}};

  void setup() override {
    TEST_GROUP_CppUTestGroupWhenItRuns::setup();
    Sim.LoadTimeMs = LoadMs;
    Sim.takeOver();
  }
  /// Lets another entry read the owner row at its usual interval; returns
  /// whether it would have acquired the service.
  bool isTakenOverWithin(int64_t Ms) {
    constexpr int64_t ReadIntervalMs = 300;
    bool Acquires = false;
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += ReadIntervalMs) {
      Sim.runFor(ReadIntervalMs);
      OtherEntry.recordRow(Sim.ownerRowVersion(), Sim.ownerRow(), Millis(5), Sim.Now);
      Acquires = Acquires || OtherEntry.shouldAcquire("other/1", 0, Sim.Now);
    }
    return Acquires;
  }
};
// clang-format on

/// Guards against takeovers of owners that are still loading, one after the
/// other.
TEST(WhenTheNextOwnerLoadsForSeconds, NobodyTakesTheServiceOver) {
  CHECK_FALSE(isTakenOverWithin(LoadMs));
  CHECK(completesWithin(3'000));
}

TEST(WhenTheNextOwnerLoadsForSeconds, ItSendsNoOrders) {
  size_t StartedBefore = Sim.Started.size();
  Sim.runFor(LoadMs - 500);
  LONGS_EQUAL(StartedBefore, Sim.Started.size());
}

TEST(WhenTheNextOwnerLoadsForSeconds, WhatTheLastOwnerWroteIsKept) {
  OwnerRow Before = Sim.ownerRow();
  Sim.runFor(LoadMs - 500);
  CHECK(Sim.ownerRow().Sequence > Before.Sequence);
  CHECK(Sim.ownerRow().Pending == Before.Pending);
  CHECK(Sim.ownerRow().SilentLeaseEnds == Before.SilentLeaseEnds);
}

TEST(WhenTheNextOwnerLoadsForSeconds, ItCanReleaseTheServiceAtOnce) {
  Sim.runFor(500);
  Sim.Owner->release();
  Sim.runFor(500);
  CHECK_TRUE(Sim.ownerRow().Released);
  CHECK_TRUE(Sim.Owner->released());
}

TEST(WhenItRuns, TheNextOwnerContinuesItsRuns) {
  Sim.takeOver();
  CHECK_TRUE(completesWithin(1'500));
  LONGS_EQUAL(3, Sim.Started.size());
}

TEST(WhenItRuns, LateOrdersOfTheEarlierOwnerAreFenced) {
  Sim.Faults.OrderLate = 1;
  Sim.submit(Simulation::makeJob("00000000000000b2", 2, Small, 300));
  Sim.runFor(100);
  Sim.Faults.OrderLate = 0;
  Sim.takeOver();
  Sim.runFor(6'000);
  CHECK(Sim.storedPhase("00000000000000b2") == JobPhase::Completed);
}

TEST(WhenItRuns, RunsOfAnUnreachableExecutorAreReplacedAfterTheirLease) {
  Sim.RunTimeFor = [](const std::string &, int64_t) { return 60'000; };
  JobSpec LongJob = Simulation::makeJob("00000000000000c3", 1, Wide, 60'000);
  Sim.submit(LongJob);
  Sim.runUntil([&] { return Sim.isOpen("00000000000000c3.0.0.0"); }, 1'500);
  std::string ExecutorId =
      Sim.executor(ExecutorA).Running.count("00000000000000c3.0.0.0")
          ? ExecutorA
          : ExecutorB;
  Sim.executor(ExecutorId).Unreachable = true;
  Sim.runFor(LeaseMs - 1'500);
  LONGS_EQUAL(1, Sim.runsOf("00000000000000c3.0.0.0"));
  Sim.runFor(5'000);
  LONGS_EQUAL(2, Sim.runsOf("00000000000000c3.0.0.0"));
}

/// Guards against jobs that stand still while work that was done on executors
/// out of reach waits to be done again.
TEST(WhenItRuns, TasksThatWereDoneOutOfReachAreNotRunAgain) {
  Sim.executor(ExecutorA).Unreachable = true;
  Sim.executor(ExecutorB).Unreachable = true;
  Sim.runFor(LeaseMs + 4'000); // The runs are done, their leases have expired.
  Sim.executor(ExecutorA).Unreachable = false;
  Sim.executor(ExecutorB).Unreachable = false;
  CHECK_TRUE(completesWithin(1'000));
  for (uint32_t I = 0; I < 3; ++I)
    LONGS_EQUAL(1, Sim.runsOf(taskNameOf(I)));
}

TEST(WhenItRuns, AnOwnerThatFindsAnotherEpochIsDeposed) {
  auto OldOwner = std::move(Sim.Owner);
  Sim.takeOver();
  std::swap(OldOwner, Sim.Owner);
  Sim.runFor(500);
  CHECK_TRUE(Sim.Owner->deposed());
}

TEST(AnOwnerOfTwoExecutors, AnUnansweredStartIsRetriedOnTheSameExecutor) {
  Sim.Faults.OrderAnswerLost = 0.6;
  Sim.submit(Simulation::makeJob(JobId, 4, Small, 300));
  CHECK_TRUE(completesWithin(8'000));
  LONGS_EQUAL(4, Sim.Started.size());
}

TEST(AnOwnerOfTwoExecutors, NothingStartsOnAStaleInstanceListAndJobFeed) {
  Sim.FeedsSilent = true;
  Sim.runFor(1'500);
  Sim.submit(Simulation::makeJob(JobId, 2, Small, 100));
  Sim.runFor(1'000);
  LONGS_EQUAL(0, Sim.Started.size());
  Sim.FeedsSilent = false;
  CHECK_TRUE(completesWithin(500));
}

TEST(AnOwnerOfTwoExecutors,
     ARefusedStartIsStoppedFirstIfAnEarlierTryMayComeLate) {
  Sim.Faults.OrderLate = 1;
  Sim.submit(Simulation::makeJob(JobId, 1, Small, 2'000));
  Sim.runFor(100);
  Sim.Faults.OrderLate = 0;
  bool IsFirst = true;
  Sim.RefusalFor = [&](const executor::StartOrder &) {
    bool First = std::exchange(IsFirst, false);
    return First ? std::optional(executor::OrderOutcome::Unhealthy)
                 : std::nullopt;
  };
  CHECK_TRUE(completesWithin(12'000));
  LONGS_EQUAL(1, Sim.runsOf(taskNameOf(0)));
}

TEST(AnOwnerOfTwoExecutors, StepsRunInTheirOrder) {
  JobSpec TwoStepJob = Simulation::makeJob(JobId, 2, Small, 200);
  TwoStepJob.Steps.push_back({.Count = 2,
                              .Size = Small,
                              .Estimate = Millis(200),
                              .Dependencies = {0}});
  Sim.submit(TwoStepJob);
  CHECK_TRUE(completesWithin(1'500));
}

TEST(AnOwnerOfTwoExecutors, ATaskThatFailsTooOftenFailsItsJob) {
  Sim.EndKindFor = [](const std::string &Task) {
    return Task == taskNameOf(1) ? EndKind::Failed : EndKind::Done;
  };
  Sim.submit(Simulation::makeJob(JobId, 3, Small, 100));
  Sim.runFor(2'000);
  CHECK(Sim.storedPhase(JobId) == JobPhase::Failed);
  LONGS_EQUAL(2, Sim.runsOf(taskNameOf(1)));
}

TEST(AnOwnerOfTwoExecutors, ALongRunningTaskIsRestartedHoweverItEnds) {
  JobSpec LongRunningJob = Simulation::makeJob(JobId, 1, Small, 300);
  LongRunningJob.Steps[0].LongRunning = true;
  Sim.submit(LongRunningJob);
  Sim.runFor(2'000);
  CHECK(Sim.runsOf(taskNameOf(0)) >= 3);
  CHECK(Sim.storedPhase(JobId) == JobPhase::Running);
}

TEST(AnOwnerOfTwoExecutors, AntiAffinityLimitsTheTasksOnOneExecutor) {
  JobSpec SpreadJob = Simulation::makeJob(JobId, 2, Small, 500);
  SpreadJob.Steps[0].AntiAffinity = 1;
  Sim.submit(SpreadJob);
  Sim.runFor(200);
  LONGS_EQUAL(1, Sim.executor(ExecutorA).Running.size());
  LONGS_EQUAL(1, Sim.executor(ExecutorB).Running.size());
}

TEST(AnOwnerOfTwoExecutors, AnOfferIsAnsweredOnceItsJobIsStored) {
  std::optional<OfferOutcome> Outcome;
  JobSpec OfferedJob = Simulation::makeJob(JobId, 1, Small, 100);
  Sim.submit(Simulation::makeJob("00000000000000d4", 1, Small, 100));
  Sim.StoreDown = true;
  offer(OfferedJob, Outcome);
  Sim.runFor(300);
  CHECK_FALSE(Outcome.has_value());
  Sim.StoreDown = false;
  Sim.runFor(200);
  CHECK(Outcome == OfferOutcome::Stored);
  CHECK(Sim.isStored(JobId));
}

TEST(AnOwnerOfTwoExecutors, AnOfferIsNotStarvedByManyChangedJobs) {
  for (int I = 0; I < 150; ++I)
    Sim.submit(Simulation::makeJob(fmt::format("{:016x}", I), 1, Wide, 60'000));
  Sim.runFor(500);
  Sim.CommitTimeMs = 400;
  for (int I = 0; I < 150; ++I)
    Sim.cancel(fmt::format("{:016x}", I));
  Sim.runFor(10); // The first commit is full without the offer.
  std::optional<OfferOutcome> Outcome;
  JobSpec OfferedJob = Simulation::makeJob("ffffffffffffffff", 1, Small, 100);
  offer(OfferedJob, Outcome);
  Sim.runFor(850);
  CHECK(Outcome == OfferOutcome::Stored);
}

TEST(AnOwnerOfTwoExecutors,
     AnOfferThatCannotBeStoredInTimeExpiresAndNeverRuns) {
  Sim.Owner->setStoreReadMs(400);
  Sim.CommitTimeMs = 1'500;
  Sim.submit(Simulation::makeJob("00000000000000d4", 1, Small, 100));
  Sim.runFor(100);
  std::optional<OfferOutcome> Outcome;
  std::optional<OfferOutcome> LaterOutcome;
  JobSpec PatientJob = Simulation::makeJob("00000000000000d5", 1, Small, 100);
  offer(Simulation::makeJob(JobId, 1, Small, 100), Outcome, Millis(1'800));
  offer(PatientJob, LaterOutcome, Millis(10'000));
  Sim.runFor(1'500);
  CHECK(Outcome == OfferOutcome::Expired);
  Sim.runFor(2'000);
  CHECK(LaterOutcome == OfferOutcome::Stored);
  CHECK_FALSE(Sim.isStored(JobId));
  LONGS_EQUAL(0, Sim.runsOf(taskNameOf(0)));
}

/// Guards against offers that wait for a slow store until their entry gives up:
/// callers then learn nothing and can't safely retry.
TEST(AnOwnerOfTwoExecutors,
     OffersBehindSlowCommitsAreAnsweredBeforeTheirDeadline) {
  constexpr int Offers = 250;
  constexpr int64_t OfferIntervalMs = 10;
  constexpr int64_t TimeLeftMs = 2'850;
  constexpr int64_t CommitMs = 1'300;
  Sim.CommitTimeMs = CommitMs;
  Sim.Owner->setStoreReadMs(330);
  std::map<std::string, int64_t> AnsweredAfterMs;
  size_t Stored = 0;
  for (int I = 0; I < Offers; ++I) {
    std::string Id = fmt::format("{:016x}", I + 1);
    JobSpec Job = Simulation::makeJob(Id, 1, Small, 100);
    Sim.registerJob(Job);
    TimePoint OfferedAt = Sim.Now;
    Sim.Owner->offer({.Job = Job,
                      .TimeLeft = Millis(TimeLeftMs),
                      .Done =
                          [&, Id, OfferedAt](OfferOutcome Outcome) {
                            AnsweredAfterMs[Id] = toMillis(Sim.Now - OfferedAt);
                            Stored += Outcome == OfferOutcome::Stored ? 1 : 0;
                          }},
                     Sim.Now, Sim.Now);
    Sim.runFor(OfferIntervalMs);
  }
  Sim.runFor(TimeLeftMs);
  LONGS_EQUAL(Offers, AnsweredAfterMs.size());
  for (const auto &Answer : AnsweredAfterMs)
    CHECK_TEXT(Answer.second < TimeLeftMs, Answer.first.c_str());
  // Each commit has entries for at least this many.
  constexpr size_t MinOffersPerCommit = 24;
  constexpr size_t Commits = (Offers * OfferIntervalMs + TimeLeftMs) / CommitMs;
  CHECK(Stored >= MinOffersPerCommit * (Commits - 1));
}

/// Guards against runs that are given up before their starts are sent, because
/// the executors' leases were not renewed during the outage.
TEST(AnOwnerOfTwoExecutors, TasksStartAtTheFirstTryAfterAnOutageOfTheStore) {
  Sim.StoreSilent = true;
  Sim.runFor(LeaseMs + 5'000);
  Sim.StoreSilent = false;
  Sim.submit(Simulation::makeJob(JobId, 6, Small, 100));
  CHECK_TRUE(completesWithin(3'000));
  LONGS_EQUAL(6, Sim.Started.size());
  for (const executor::StartOrder &Start : Sim.Started)
    LONGS_EQUAL(1, Start.Id.Run);
}

/// Guards against a silence of the store that counts as the time of a commit:
/// offers that came after it were refused.
TEST(AnOwnerOfTwoExecutors, AnOfferAfterASilenceOfTheStoreIsStoredAtOnce) {
  Sim.submit(Simulation::makeJob("00000000000000d4", 1, Small, 100));
  Sim.StoreSilent = true;
  Sim.runFor(4'000);
  Sim.StoreSilent = false;
  Sim.Owner->onStoreBack(Sim.Now);
  std::optional<OfferOutcome> Outcome;
  std::optional<OfferOutcome> LaterOutcome;
  offer(Simulation::makeJob(JobId, 1, Small, 100), Outcome, Millis(1'000));
  Sim.runFor(100);
  CHECK(Outcome == OfferOutcome::Stored);
  offer(Simulation::makeJob("00000000000000d5", 1, Small, 100), LaterOutcome,
        Millis(1'000));
  Sim.runFor(100);
  CHECK(LaterOutcome == OfferOutcome::Stored);
}

TEST(AnOwnerOfTwoExecutors, AnOfferThatAnotherEntryStoredMeanwhileIsNotLost) {
  Sim.Owner->setStoreReadMs(400);
  Sim.CommitTimeMs = 1'500;
  Sim.submit(Simulation::makeJob("00000000000000d4", 1, Small, 100));
  Sim.runFor(100);
  std::optional<OfferOutcome> Outcome;
  JobSpec SameJob = Simulation::makeJob(JobId, 1, Small, 100);
  offer(SameJob, Outcome, Millis(1'800));
  Sim.submit(SameJob); // The job feed then delivers the stored job.
  CHECK(Outcome == OfferOutcome::StoredBefore);
  Sim.CommitTimeMs = 10;
  CHECK_TRUE(completesWithin(4'000));
}

TEST(AnOwnerOfTwoExecutors, AJobWhoseStartsGetNoAnswerIsStillPending) {
  Sim.executor(ExecutorA).Unreachable = true;
  Sim.executor(ExecutorB).Unreachable = true;
  Sim.submit(Simulation::makeJob(JobId, 1, Small, 100));
  Sim.runFor(700);
  auto Row = decodeOwnerRow(Sim.storedValue(OwnerTable, OwnerKey));
  LONGS_EQUAL(1, Row->Pending.ByQueue["q"]);
}

TEST(AnOwnerOfTwoExecutors, ACommitIsNotResentToASlowStore) {
  Sim.Owner->setStoreReadMs(400);
  Sim.CommitTimeMs = 3'000;
  size_t SentBefore = Sim.CommitsSent;
  Sim.submit(Simulation::makeJob(JobId, 1, Small, 100));
  Sim.runFor(2'900);
  LONGS_EQUAL(SentBefore + 1, Sim.CommitsSent);
}

TEST(AnOwnerOfTwoExecutors, AnOfferOfAJobThatIsStoredAlreadyRunsOnce) {
  std::optional<OfferOutcome> Outcome;
  JobSpec SameJob = Simulation::makeJob(JobId, 1, Small, 100);
  auto Owner = std::move(Sim.Owner);
  Sim.submit(SameJob); // Stored by an entry; the owner is not notified.
  Sim.Owner = std::move(Owner);
  offer(SameJob, Outcome);
  CHECK_TRUE(completesWithin(1'000));
  CHECK(Outcome == OfferOutcome::StoredBefore);
  LONGS_EQUAL(1, Sim.Started.size());
}

TEST(AnOwnerOfTwoExecutors, ATaskOfAWholeExecutorIsNotStarvedBySmallOnes) {
  auto MakeSmallJob = [&](int Number) {
    JobSpec Job = Simulation::makeJob(fmt::format("{:016x}", 0x100 + Number), 2,
                                      Small, 500);
    Job.Steps[0].Estimate = Millis(500);
    return Job;
  };
  int Number = 0;
  auto SubmitSmallJobs = [&](int64_t ForMs) {
    for (int64_t Ms = 0; Ms < ForMs; Ms += 150) {
      Sim.submit(MakeSmallJob(Number++));
      Sim.runFor(150);
    }
  };
  SubmitSmallJobs(900);
  JobSpec WholeExecutorJob = Simulation::makeJob(JobId, 1, Wide, 400);
  WholeExecutorJob.Steps[0].Estimate = Millis(400);
  Sim.submit(WholeExecutorJob);
  SubmitSmallJobs(1'500);
  LONGS_EQUAL(1, Sim.runsOf(taskNameOf(0)));
}

TEST(AnOwnerOfTwoExecutors,
     TasksThatEndBeforeAReservedExecutorIsFreeMayRunThere) {
  JobSpec LongJob = Simulation::makeJob(
      "00000000000000d1", 2, {.MilliCores = 3'000, .MemoryMb = 100}, 2'000);
  LongJob.Steps[0].Estimate = Millis(2'000);
  Sim.submit(LongJob);
  Sim.runFor(100);
  JobSpec WholeExecutorJob = Simulation::makeJob(JobId, 1, Wide, 400);
  WholeExecutorJob.Steps[0].Estimate = Millis(400);
  Sim.submit(WholeExecutorJob);
  JobSpec ShortJob = Simulation::makeJob("00000000000000d2", 2, Small, 300);
  ShortJob.Steps[0].Estimate = Millis(300);
  Sim.submit(ShortJob);
  Sim.runFor(100);
  LONGS_EQUAL(1, Sim.runsOf("00000000000000d2.0.0.0"));
  LONGS_EQUAL(1, Sim.runsOf("00000000000000d2.0.0.1"));
}

TEST(WithAGangOfTwoWholeExecutors, AllMembersRunAtOnceUnderOneRunNumber) {
  CHECK_TRUE(completesWithin(1'500));
  LONGS_EQUAL(2, Sim.Started.size());
  LONGS_EQUAL(Sim.Started[0].Id.Run, Sim.Started[1].Id.Run);
}

TEST(WithAGangOfTwoWholeExecutors, AMembersFailureRestartsAllMembers) {
  bool First = true;
  Sim.EndKindFor = [&](const std::string &) {
    return std::exchange(First, false) ? EndKind::Failed : EndKind::Done;
  };
  CHECK_TRUE(completesWithin(4'000));
  LONGS_EQUAL(4, Sim.Started.size());
  LONGS_EQUAL(2, Sim.Started.back().Id.Run);
}

// clang-format off
TEST_GROUP(AnOwnerThatTakesOverHalfAGang) {
  std::shared_ptr<CellConfig> Config = std::make_shared<CellConfig>();
  JobSpec Gang = Simulation::makeJob(JobId, 2, Wide, 400);
  JobProgress Progress;
  TimePoint Now{Millis(100'000)};
  std::optional<CellOwner> Owner;

  void setup() override {
    Gang.Steps[0].Gang = true;
    Progress.Phase = JobPhase::Running;
    Progress.Tasks[{0, 0, 0}] = {.Phase = TaskPhase::Waiting, .Run = 1};
    Progress.Tasks[{0, 0, 1}] = {.Phase = TaskPhase::Starting, .Run = 1, .Executor = "i-1", .Address = "x:1"};
    Owner.emplace(OwnerOptions{.Service = "s", .AcquiredRow = {.LeasesEndMs = 5'000}, .CreatedAt = Now}, Config);
    Owner->restore(Gang, Progress, false, Now, Now);
  }
};
// clang-format on

TEST(AnOwnerThatTakesOverHalfAGang, StopsTheRemainingMember) {
  OwnerCommands Commands = Owner->advance(Now, 0);
  LONGS_EQUAL(1, Commands.Stops.size());
  STRCMP_EQUAL(taskNameOf(1).c_str(), Commands.Stops[0].Order.Id.Task.c_str());
  LONGS_EQUAL(1, Commands.Stops[0].Order.Id.Run);
}

TEST(WithAGangOfTwoWholeExecutors, NoMemberStartsWhileOneExecutorIsTaken) {
  JobSpec SmallJob = Simulation::makeJob("00000000000000e5", 1, Small, 800);
  Sim.runFor(1'000);
  Sim.submit(SmallJob);
  Sim.runFor(50);
  Sim.submit([] {
    JobSpec Gang = Simulation::makeJob("00000000000000f6", 2, Wide, 200);
    Gang.Steps[0].Gang = true;
    return Gang;
  }());
  Sim.runFor(300);
  LONGS_EQUAL(0, Sim.runsOf("00000000000000f6.0.0.0"));
  Sim.runFor(2'000);
  CHECK(Sim.storedPhase("00000000000000f6") == JobPhase::Completed);
}

/// Random lost and late orders and commits, unreachable executors, store
/// outages and takeovers. No task may run twice at once, start before its
/// record is stored or exceed an executor's capacity, and all jobs must
/// complete.
TEST_GROUP(RandomFaults){};

namespace {

void runRandomFaults(uint64_t Seed) {
  Simulation Sim(Seed);
  Random Rng(Seed * 7 + 1);
  for (int I = 0; I < 6; ++I)
    Sim.addExecutor(Wide, I % 2 ? "r1" : "r2");
  Sim.takeOver();
  Sim.Faults = {.OrderAnswerLost = 0.1,
                .OrderLate = 0.05,
                .CommitAnswerLost = 0.1,
                .CommitLate = 0.05};
  std::vector<std::string> Ids;
  for (uint64_t Round = 0; Round < 40; ++Round) {
    std::string Id = "00000000000000" + std::to_string(10 + Round);
    JobSpec Job =
        Simulation::makeJob(Id, 1 + static_cast<uint32_t>(Rng.below(4)), Small,
                            100 + static_cast<int64_t>(Rng.below(900)));
    if (Rng.below(3) == 0)
      Job.Steps.push_back({.Count = 2,
                           .Size = Small,
                           .Estimate = Millis(150),
                           .Dependencies = {0}});
    Job.Steps[0].Gang = Rng.below(4) == 0;
    Sim.submit(Job);
    Ids.push_back(Id);
    if (Rng.below(6) == 0)
      Sim.takeOver();
    std::string ExecutorId = "i-" + std::to_string(Rng.below(6));
    Sim.executor(ExecutorId).Unreachable = Rng.below(3) == 0;
    Sim.StoreDown = Rng.below(8) == 0;
    Sim.runFor(200 + static_cast<int64_t>(Rng.below(400)));
  }
  Sim.Faults = {};
  Sim.StoreDown = false;
  for (int I = 0; I < 6; ++I)
    Sim.executor("i-" + std::to_string(I)).Unreachable = false;
  Sim.runFor(25'000);
  for (const std::string &Violation : Sim.violations())
    FAIL(("seed " + std::to_string(Seed) + ": " + Violation).c_str());
  for (const std::string &Id : Ids) {
    std::string Message = "seed " + std::to_string(Seed) + ": " + Id + " " +
                          std::string(phaseName(Sim.storedPhase(Id)));
    CHECK_TEXT(Sim.storedPhase(Id) == JobPhase::Completed, Message.c_str());
  }
}

/// Entries and the owner store the same jobs on a slow store, so that commits
/// are resent and many are refused. A job must be stored and complete, or its
/// offer must have expired.
void runSlowStore(uint64_t Seed) {
  Simulation Sim(Seed);
  Random Rng(Seed * 13 + 5);
  for (int I = 0; I < 6; ++I)
    Sim.addExecutor(Wide);
  Sim.takeOver();
  std::vector<std::string> Ids;
  std::map<std::string, OfferOutcome> Outcomes;
  for (uint64_t Round = 0; Round < 40; ++Round) {
    Sim.CommitTimeMs = 10 + static_cast<int64_t>(Rng.below(400));
    std::string Id = "00000000000000" + std::to_string(10 + Round);
    JobSpec Job =
        Simulation::makeJob(Id, 1 + static_cast<uint32_t>(Rng.below(3)), Small,
                            100 + static_cast<int64_t>(Rng.below(600)));
    Sim.registerJob(Job);
    Ids.push_back(Id);
    Sim.Owner->offer(
        {.Job = Job,
         .TimeLeft = Millis(600 + Rng.below(3'000)),
         .Done = [&, Id](OfferOutcome Outcome) { Outcomes[Id] = Outcome; }},
        Sim.Now, Sim.Now);
    if (Rng.below(2) == 0)
      Sim.storeOnly(Job);
    Sim.Owner->setStoreReadMs(static_cast<double>(Sim.CommitTimeMs) / 3);
    Sim.runFor(20 + static_cast<int64_t>(Rng.below(200)));
  }
  Sim.CommitTimeMs = 10;
  Sim.runFor(15'000);
  for (const std::string &Violation : Sim.violations())
    FAIL(("seed " + std::to_string(Seed) + ": " + Violation).c_str());
  for (const std::string &Id : Ids) {
    bool IsStored = Sim.isStored(Id);
    CHECK_TEXT(IsStored || Outcomes.at(Id) == OfferOutcome::Expired,
               Id.c_str());
    if (IsStored)
      CHECK_TEXT(Sim.storedPhase(Id) == JobPhase::Completed, Id.c_str());
  }
}

} // namespace

TEST(RandomFaults, WithASlowStoreViolateNoInvariant) {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed)
    runSlowStore(Seed);
}

TEST(RandomFaults, ViolateNoInvariant) {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed)
    runRandomFaults(Seed);
}
