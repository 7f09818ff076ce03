#include "unit/CellSim.h"

#include <fmt/format.h>

#include <string>

#include <CppUTest/TestHarness.h>

/// Jobs whose progress is more than one row holds.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr const char *LargeId = "00000000000000c1";
constexpr Resources ExecutorSize{.MilliCores = 64'000, .MemoryMb = 64'000};
constexpr Resources Small{.MilliCores = 10, .MemoryMb = 10};
constexpr int64_t RunMs = 3'000;
constexpr int64_t IntervalMs = 200;
constexpr uint32_t Occurrences = 12;
constexpr uint32_t Width = 90;

} // namespace

// clang-format off
/// Its progress has some 100 bytes for each of 3,000 open tasks.
TEST_GROUP(AServiceWithALargeRepeatedJob) {
  Simulation Sim;
  size_t SmallJobs = 0;

  void setup() override {
    for (size_t I = 0; I < 6; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.OwnerTurnMs = 20;
    Sim.takeOver();
    Sim.runFor(500);
    JobSpec Job = Simulation::makeJob(LargeId, Width, Small, RunMs);
    Job.Steps.push_back(Job.Steps.front());
    Job.Steps.push_back(Job.Steps.front());
    for (StepSpec &Step : Job.Steps)
      Step.Checkpointing = true;
    Job.RepeatCount = Occurrences;
    Job.FirstRunMs = toMillis(Sim.Now.time_since_epoch());
    Job.IntervalMs = IntervalMs;
    Sim.RunningCheckpointFor = [](const std::string &Task) {
      return fmt::format("{:>100}", Task);
    };
    Sim.submit(Job);
  }
  void teardown() override {
    LONGS_EQUAL(0, Sim.RejectedCommits);
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  std::string submitSmallJob() {
    std::string Id = fmt::format("{:016x}", ++SmallJobs);
    Sim.submit(Simulation::makeJob(Id, 2, Small, 200));
    return Id;
  }
  bool isCompleted(const std::string &Id) {
    return Sim.storedPhase(Id) == JobPhase::Completed;
  }
  bool areAllCompleted() {
    bool All = isCompleted(LargeId);
    for (size_t I = 1; I <= SmallJobs; ++I)
      All = All && isCompleted(fmt::format("{:016x}", I));
    return All;
  }
  size_t rowsOfLargeJob() {
    size_t Count = 0;
    for (const store::Row &Row : Sim.rowsOf(ProgressTable))
      Count += Row.Key.starts_with(LargeId) ? 1 : 0;
    return Count;
  }
};

/// A hundred thousand occurrences are due at once.
TEST_GROUP(AJobWhoseOccurrencesAreAllDue) {
  Simulation Sim;

  void setup() override {
    for (size_t I = 0; I < 4; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.OwnerTurnMs = 20;
    Sim.takeOver();
    Sim.runFor(500);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void submitWide(uint32_t Tasks) {
    JobSpec Job = Simulation::makeJob(LargeId, Tasks, Small, RunMs);
    Job.RepeatCount = 100'000;
    Job.FirstRunMs = 1;
    Job.IntervalMs = 1;
    Sim.submit(Job);
  }
  const LiveJob &job() {
    const LiveJob *Found = nullptr;
    Sim.Owner->forEachJob([&](const LiveJob &Job) { Found = &Job; });
    CHECK(Found != nullptr);
    return *Found;
  }
};

/// The store takes smaller rows than the owner counts on.
TEST_GROUP(AServiceWithAJobThatTheStoreRejects) {
  Simulation Sim;

  void setup() override {
    Sim.addExecutor(ExecutorSize);
    Sim.takeOver();
    Sim.runFor(500);
    Sim.Limits.RowBytes = 600;
    JobSpec Job = Simulation::makeJob(LargeId, 1, Small, RunMs);
    for (size_t I = 1; I < MaxSteps; ++I)
      Job.Steps.push_back(Job.Steps.front());
    Sim.submit(Job);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
};

TEST_GROUP(ALargeJobThroughRandomFaults) {
  static constexpr uint32_t MaxCheckpointBytes = 256;

  static void play(uint64_t Seed) {
    Simulation Sim(Seed);
    Random Rng(Seed);
    for (size_t I = 0; I < 5; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.OwnerTurnMs = 20;
    Sim.takeOver();
    Sim.runFor(500);
    Sim.Faults = {.CommitAnswerLost = 0.1, .CommitLate = 0.05};
    auto Width = static_cast<uint32_t>(20 + Rng.below(100));
    JobSpec Job = Simulation::makeJob(LargeId, Width, Small, 1'000);
    for (uint64_t I = Rng.below(3); I > 0; --I) {
      Job.Steps.push_back(Job.Steps.front());
      if (Rng.below(2) == 0)
        Job.Steps.back().Dependencies = {0};
    }
    Job.RepeatCount = static_cast<uint32_t>(4 + Rng.below(12));
    Job.FirstRunMs = toMillis(Sim.Now.time_since_epoch());
    Job.IntervalMs = static_cast<int64_t>(Rng.below(400));
    size_t CheckpointBytes = Rng.below(MaxCheckpointBytes + 1);
    Sim.RunningCheckpointFor = [CheckpointBytes](const std::string &Task) {
      return fmt::format("{:c>{}}", Task, CheckpointBytes)
          .substr(0, MaxCheckpointBytes);
    };
    Sim.submit(Job);
    for (size_t I = 0; I < 4; ++I) {
      Sim.runFor(static_cast<int64_t>(200 + Rng.below(1'500)));
      Sim.submit(Simulation::makeJob(fmt::format("{:016x}", I), 2, Small, 200));
      Sim.takeOver();
    }
    check(Sim, Seed);
  }
  static void check(Simulation &Sim, uint64_t Seed) {
    std::string Text = fmt::format("seed {}", Seed);
    auto IsCompleted = [&](const std::string &Id) {
      return Sim.storedPhase(Id) == JobPhase::Completed;
    };
    CHECK_TEXT(Sim.runUntil([&] { return IsCompleted(LargeId); }, 60'000),
               Text.c_str());
    for (size_t I = 0; I < 4; ++I) {
      std::string Id = fmt::format("{:016x}", I);
      CHECK_TEXT(Sim.runUntil([&] { return IsCompleted(Id); }, 5'000),
                 Text.c_str());
    }
    Sim.Faults = {};
    Sim.runFor(2'000);
    LONGS_EQUAL_TEXT(0, Sim.rowsOf(ProgressTable).size(), Text.c_str());
    LONGS_EQUAL_TEXT(0, Sim.RejectedCommits, Text.c_str());
    for (const std::string &Violation : Sim.violations())
      FAIL(fmt::format("{}: {}", Text, Violation).c_str());
  }
};

TEST_GROUP_BASE(WhenItsProgressIsInSeveralRows, TEST_GROUP_CppUTestGroupAServiceWithALargeRepeatedJob) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAServiceWithALargeRepeatedJob::setup();
    CHECK(Sim.runUntil([this] { return rowsOfLargeJob() > 20; }, 5'000));
  }
};
// clang-format on

/// Guards against a service whose every commit is rejected, as the progress of
/// one job outgrows a row.
TEST(AServiceWithALargeRepeatedJob, CompletesTheSmallJobsBesideIt) {
  for (size_t I = 0; I < 20; ++I) {
    std::string Id = submitSmallJob();
    CHECK(Sim.runUntil([&] { return isCompleted(Id); }, 1'500));
  }
}

TEST(AServiceWithALargeRepeatedJob, CompletesItAndLeavesNoRows) {
  CHECK(Sim.runUntil([this] { return areAllCompleted(); }, 30'000));
  Sim.runFor(1'000);
  LONGS_EQUAL(0, rowsOfLargeJob());
  for (uint32_t I = 0; I < Occurrences; ++I)
    LONGS_EQUAL(
        1, Sim.runsOf(taskName({.Job = LargeId, .Occurrence = I, .Step = 2})));
}

/// Guards against a successor that starts tasks again, or forgets what they
/// have done, as it reads only a part of the rows.
TEST(WhenItsProgressIsInSeveralRows, ASuccessorContinuesWhereItWas) {
  auto Before = Sim.storedProgress(LargeId);
  CHECK(Before && Before->IsSplit);
  Sim.takeOver();
  submitSmallJob();
  CHECK(Sim.runUntil([this] { return areAllCompleted(); }, 40'000));
  for (const auto &[Position, Task] : Before->Tasks)
    LONGS_EQUAL(1, Sim.runsOf(taskName({.Job = LargeId,
                                        .Occurrence = Position.Occurrence,
                                        .Step = Position.Step,
                                        .Index = Position.Index})));
  Sim.runFor(1'000);
  LONGS_EQUAL(0, rowsOfLargeJob());
}

/// Guards against rows that stay behind when a job ends with runs open.
TEST(WhenItsProgressIsInSeveralRows, ACancelledJobLeavesNoRows) {
  Sim.cancel(LargeId);
  Sim.Owner->cancel(LargeId, Sim.Now);
  Sim.runFor(4'000);
  CHECK(Sim.storedPhase(LargeId) == JobPhase::Cancelled);
  LONGS_EQUAL(0, rowsOfLargeJob());
}

/// Guards against rows that stay behind when the owner is lost as it removes
/// those of an ended job.
TEST(WhenItsProgressIsInSeveralRows, ASuccessorRemovesTheRowsOfACancelledJob) {
  Sim.cancel(LargeId);
  Sim.Owner->cancel(LargeId, Sim.Now);
  size_t RowsBefore = rowsOfLargeJob();
  CHECK(Sim.runUntil([&] { return rowsOfLargeJob() < RowsBefore; }, 4'000));
  Sim.takeOver();
  Sim.runFor(4'000);
  LONGS_EQUAL(0, rowsOfLargeJob());
}

/// Guards against a job that takes all memory as its occurrences begin at once.
TEST(AJobWhoseOccurrencesAreAllDue, BeginsAsManyAsMayBeOpen) {
  submitWide(1);
  Sim.runFor(100);
  LONGS_EQUAL(MaxOpenOccurrences, job().Occurrences.size());
  LONGS_EQUAL(0, job().Occurrences.begin()->first);
}

TEST(AJobWhoseOccurrencesAreAllDue, BeginsFewerIfTheyHaveManyTasks) {
  submitWide(MaxTasks);
  Sim.runFor(40);
  LONGS_EQUAL(MaxOpenTasks / MaxTasks, job().Occurrences.size());
}

TEST(AJobWhoseOccurrencesAreAllDue, BeginsTheNextOnesAsTheseEnd) {
  submitWide(1);
  Sim.runFor(2 * RunMs);
  CHECK(job().DoneOccurrences.size() >= MaxOpenOccurrences);
  LONGS_EQUAL(0, job().DoneOccurrences.ranges().begin()->first);
  LONGS_EQUAL(MaxOpenOccurrences, job().Occurrences.size());
  LONGS_EQUAL(0, Sim.RejectedCommits);
}

/// Guards against a commit that is sent again for ever though the store rejects
/// it for what it holds.
TEST(AServiceWithAJobThatTheStoreRejects, CompletesTheOthers) {
  for (size_t I = 0; I < 5; ++I) {
    std::string Id = fmt::format("{:016x}", I);
    Sim.submit(Simulation::makeJob(Id, 2, Small, 200));
    CHECK(Sim.runUntil(
        [&] { return Sim.storedPhase(Id) == JobPhase::Completed; }, 1'500));
  }
  CHECK(Sim.RejectedCommits > 0);
}

TEST(AServiceWithAJobThatTheStoreRejects, TriesThatJobAgainLater) {
  Sim.runFor(1'000);
  Sim.Limits = {};
  CHECK(Sim.runUntil(
      [&] { return Sim.storedPhase(LargeId) == JobPhase::Completed; }, 20'000));
}

/// Guards against tasks that are lost or started again as a large job's changes
/// are spread over commits, of which some get lost or are late, and owners
/// change in between.
TEST(ALargeJobThroughRandomFaults, IsDoneOnce) {
  for (uint64_t Seed = 1; Seed <= 12; ++Seed)
    play(Seed);
}
