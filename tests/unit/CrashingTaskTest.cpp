#include "unit/CellSim.h"

#include <fmt/format.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

/// Tasks that crash the executors that start them, and executors that crash by
/// themselves.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources ExecutorSize{.MilliCores = 16'000, .MemoryMb = 64'000};
constexpr Resources TaskSize{.MilliCores = 2'000, .MemoryMb = 4'000};
constexpr size_t ExecutorCount = 12;
constexpr int64_t BatchRunMs = 700;
constexpr int64_t Forever = 1'000'000'000; ///< In ms.
/// Three executors may crash under a task, and two more starts follow.
constexpr size_t MaxStarts = 5;
constexpr size_t MinCrashes = 2; ///< Before a task may be given up.
constexpr int64_t GiveUpLimitMs = 40'000;
constexpr const char *CrashingJobId = "00000000000000c1";

std::string firstTask(const std::string &JobId, uint32_t Step = 0) {
  return taskName({.Job = JobId, .Step = Step, .Index = 0});
}

} // namespace

// clang-format off
/// Batch jobs arrive all the time.
TEST_GROUP(AFleetWithBatchJobs) {
  Simulation Sim;
  std::vector<std::string> BatchJobs;
  std::vector<std::string> Executors;
  int64_t CrashAfterMs = 10;

  void setup() override {
    for (size_t I = 0; I < ExecutorCount; ++I)
      Executors.push_back(Sim.addExecutor(ExecutorSize, fmt::format("r{}", I / 3)));
    Sim.takeOver();
    Sim.runFor(200);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void submitBatchJob() {
    constexpr uint32_t Tasks = 6;
    BatchJobs.push_back(fmt::format("{:016x}", 0xb000 + BatchJobs.size()));
    Sim.submit(Simulation::makeJob(BatchJobs.back(), Tasks, TaskSize, BatchRunMs));
  }
  /// Submits a batch job each 150 ms for this long.
  void runWithLoad(int64_t Ms) {
    constexpr int64_t ArrivalMs = 150;
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += ArrivalMs) {
      submitBatchJob();
      Sim.runFor(ArrivalMs);
    }
  }
  /// The first task of each of these jobs crashes its executors.
  void crashFor(std::vector<std::string> Jobs, uint32_t Step = 0) {
    Sim.CrashTimeFor = [this, Jobs = std::move(Jobs), Step](const std::string &Task) -> std::optional<int64_t> {
      bool Crashes = std::any_of(Jobs.begin(), Jobs.end(), [&](const std::string &Id) { return Task == firstTask(Id, Step); });
      return Crashes ? std::optional(CrashAfterMs) : std::nullopt;
    };
  }
  bool isFailed(const std::string &Id) { return Sim.storedPhase(Id) == JobPhase::Failed; }
  bool allBatchJobsComplete() {
    return Sim.runUntil([&] {
      return std::all_of(BatchJobs.begin(), BatchJobs.end(), [&](const std::string &Id) { return Sim.storedPhase(Id) == JobPhase::Completed; });
    }, 20'000);
  }
  void checkGivenUp(const std::string &Id, uint32_t Step = 0) {
    for (int64_t Elapsed = 0; Elapsed < GiveUpLimitMs && !isFailed(Id); Elapsed += 500)
      runWithLoad(500);
    CHECK(isFailed(Id));
    CHECK(Sim.runsOf(firstTask(Id, Step)) >= MinCrashes);
    CHECK(Sim.runsOf(firstTask(Id, Step)) <= MaxStarts);
  }
};

TEST_GROUP_BASE(ATaskThatCrashesItsExecutors, TEST_GROUP_CppUTestGroupAFleetWithBatchJobs) {
  JobSpec Job = Simulation::makeJob(CrashingJobId, 3, TaskSize, BatchRunMs);
  void setup() override {
    TEST_GROUP_CppUTestGroupAFleetWithBatchJobs::setup();
    crashFor({CrashingJobId});
    runWithLoad(2'000);
  }
};

TEST_GROUP_BASE(TasksLostInOneCrash, TEST_GROUP_CppUTestGroupAFleetWithBatchJobs) {
  std::string Crashed;
  std::vector<std::string> Lost;
  void setup() override {
    TEST_GROUP_CppUTestGroupAFleetWithBatchJobs::setup();
    for (size_t I = 0; I < 4; ++I)
      submitBatchJob();
    Sim.runUntil([&] { return Sim.Started.size() >= 24; }, 500);
    Crashed = Sim.Started.front().Target.Id;
    for (const auto &Run : Sim.executor(Crashed).Running)
      Lost.push_back(Run.first);
    Sim.crashExecutor(Crashed, 3'000);
  }
  /// The executors of their second runs.
  std::vector<std::string> secondExecutors() const {
    std::vector<std::string> Ids;
    for (const executor::StartOrder &Order : Sim.Started) {
      if (Order.Id.Run == 2)
        Ids.push_back(Order.Target.Id);
    }
    return Ids;
  }
};

TEST_GROUP(WhatACrashTells) {};

/// It has room for one task, whose ticket takes almost a second.
TEST_GROUP(AnExecutorThatCrashesUnderAPlacedTask) {
  Simulation Sim;
  std::string Id = Sim.addExecutor(ExecutorSize);
  void setup() override {
    Sim.requireAdvice({.Settings = {.BaseMs = 800, .Validity = Millis(1'500)}});
    Sim.takeOver();
    Sim.submit(Simulation::makeJob("00000000000000a1", 1, ExecutorSize, 4'000));
    Sim.runUntil([&] { return !Sim.Started.empty(); }, 3'000);
    Sim.submit(Simulation::makeJob("00000000000000a2", 1, ExecutorSize, 500));
  }
};

TEST_GROUP_BASE(ExecutorsThatCrashByThemselves, TEST_GROUP_CppUTestGroupAFleetWithBatchJobs) {
  std::string Lasting = "00000000000000d1";
  void setup() override {
    TEST_GROUP_CppUTestGroupAFleetWithBatchJobs::setup();
    JobSpec Job = Simulation::makeJob(Lasting, ExecutorCount, TaskSize, 1'000);
    Job.Steps[0].LongRunning = true;
    Sim.RunTimeFor = [this](const std::string &Task, int64_t Estimate) { return Task.starts_with(Lasting) ? Forever : Estimate; };
    Sim.submit(Job);
    runWithLoad(2'000);
  }
  std::vector<std::string> runningExecutors() {
    std::vector<std::string> Ids;
    for (size_t I = 0; I < 2'000; ++I) {
      std::string Id = fmt::format("i-{}", I);
      if (!Sim.hasExecutor(Id))
        break;
      if (!Sim.executor(Id).Dead)
        Ids.push_back(Id);
    }
    return Ids;
  }
};
// clang-format on

/// Guards against a task that crashes executor after executor for ever, with
/// all that runs there.
TEST(ATaskThatCrashesItsExecutors, IsGivenUp) {
  Sim.submit(Job);
  checkGivenUp(CrashingJobId);
  CHECK(allBatchJobsComplete());
}

TEST(ATaskThatCrashesItsExecutors, IsGivenUpIfTheyReturnAfterItsLease) {
  Sim.CrashedForMs = 8'000;
  Sim.submit(Job);
  checkGivenUp(CrashingJobId);
  CHECK(allBatchJobsComplete());
}

TEST(ATaskThatCrashesItsExecutors, IsGivenUpIfItRunsForAWhileBefore) {
  CrashAfterMs = 1'500;
  Job.Steps[0].Estimate = Millis(4'000);
  Sim.submit(Job);
  checkGivenUp(CrashingJobId);
  CHECK(allBatchJobsComplete());
}

TEST(ATaskThatCrashesItsExecutors, IsGivenUpIfItLasts) {
  Job.Steps[0].LongRunning = true;
  Sim.submit(Job);
  checkGivenUp(CrashingJobId);
  CHECK(allBatchJobsComplete());
}

TEST(ATaskThatCrashesItsExecutors, IsGivenUpInALaterStep) {
  constexpr uint32_t SecondStep = 1;
  crashFor({CrashingJobId}, SecondStep);
  Job.Steps.push_back(Job.Steps[0]);
  Job.Steps[SecondStep].Dependencies = {0};
  Sim.submit(Job);
  checkGivenUp(CrashingJobId, SecondStep);
  CHECK(allBatchJobsComplete());
}

TEST(ATaskThatCrashesItsExecutors, IsGivenUpWithItsGang) {
  Job.Steps[0].Gang = true;
  Sim.submit(Job);
  checkGivenUp(CrashingJobId);
  CHECK(allBatchJobsComplete());
}

/// Guards against counts that are lost with the owner.
TEST(ATaskThatCrashesItsExecutors, IsGivenUpAlthoughOwnersAreLost) {
  Sim.submit(Job);
  for (size_t Lost = 1; Lost <= 2; ++Lost) {
    Sim.runUntil([&] { return Sim.Crashes >= Lost; }, 10'000);
    Sim.takeOver();
    Sim.runFor(500);
  }
  checkGivenUp(CrashingJobId);
}

TEST(ATaskThatCrashesItsExecutors, IsGivenUpAmongOthers) {
  std::vector<std::string> Jobs;
  for (size_t I = 0; I < 6; ++I)
    Jobs.push_back(fmt::format("{:016x}", 0xc000 + I));
  crashFor(Jobs);
  for (const std::string &Id : Jobs) {
    Sim.submit(Simulation::makeJob(Id, 3, TaskSize, BatchRunMs));
    runWithLoad(500);
  }
  for (const std::string &Id : Jobs)
    checkGivenUp(Id);
  CHECK(allBatchJobsComplete());
}

/// Guards against tasks that are started together again, and lost together
/// again, with the one that crashes executors.
TEST(TasksLostInOneCrash, AreStartedOnDifferentExecutors) {
  CHECK(Lost.size() > 4);
  CHECK(Sim.runUntil([&] { return secondExecutors().size() == Lost.size(); },
                     6'000));
  std::vector<std::string> Ids = secondExecutors();
  std::sort(Ids.begin(), Ids.end());
  CHECK(std::adjacent_find(Ids.begin(), Ids.end()) == Ids.end());
  CHECK(allBatchJobsComplete());
}

TEST(TasksLostInOneCrash, AreStartedInTimeIfOneExecutorIsLeft) {
  for (const std::string &Id : Executors) {
    if (Id != Crashed && Id != Executors.back())
      Sim.setListed(Id, false);
  }
  constexpr int64_t RoomMs = 3'000; // Until the executor is back.
  constexpr int64_t StartMs = 3'000;
  CHECK(Sim.runUntil([&] { return secondExecutors().size() == Lost.size(); },
                     RoomMs + StartMs));
  CHECK(allBatchJobsComplete());
}

/// Guards against starts that are recorded for executors that have ended.
TEST(AnExecutorThatCrashesUnderAPlacedTask, GivesItBack) {
  auto IsCompleted = [&](const char *JobId) {
    return Sim.runUntil(
        [&] { return Sim.storedPhase(JobId) == JobPhase::Completed; }, 10'000);
  };
  CHECK(IsCompleted("00000000000000a1"));
  Sim.runFor(100);
  Sim.crashExecutor(Id, 100);
  CHECK(IsCompleted("00000000000000a2"));
  LONGS_EQUAL(1, Sim.Started.back().Id.Run);
}

TEST(WhatACrashTells, AYoungRunIsSuspectedTheSooner) {
  CHECK(maxCrashes({.IsYoung = true, .YoungSuspects = 1}) <
        maxCrashes({.IsYoung = true, .YoungSuspects = 2}));
  CHECK(maxCrashes({.IsYoung = true}) < maxCrashes({}));
}

/// Guards against a third start after three crashes.
TEST(WhatACrashTells, NoTaskIsStartedMoreOftenThanAllowed) {
  for (uint32_t Suspects = 0; Suspects < 4; ++Suspects) {
    for (bool IsYoung : {false, true}) {
      uint32_t Allowed =
          maxCrashes({.IsYoung = IsYoung, .YoungSuspects = Suspects});
      CHECK(Allowed >= MinCrashes);
      CHECK(Allowed <= MaxStarts);
      // One more start may have been made before the crash was known.
      CHECK(maxCrashes({.IsYoung = IsYoung,
                        .YoungSuspects = Suspects,
                        .IsLate = true}) < MaxStarts);
    }
  }
}

/// Guards against jobs that are given up for crashes that they didn't cause.
TEST(ExecutorsThatCrashByThemselves, LeaveAllJobsTheirTries) {
  for (size_t Wave = 0; Wave < 8; ++Wave) {
    std::vector<std::string> Up = runningExecutors();
    for (size_t I = 0; I < 3; ++I)
      Sim.crashExecutor(Up[(5 * Wave + I) % Up.size()], 3'000);
    runWithLoad(4'000);
  }
  CHECK(allBatchJobsComplete());
  CHECK_FALSE(isFailed(Lasting));
}

TEST(ExecutorsThatCrashByThemselves, LeaveThemIfTheyCrashAgainAndAgain) {
  constexpr size_t Crashing = 2;
  for (size_t Round = 0; Round < 15; ++Round) {
    // The newest incarnations are those of the executors that crash.
    std::vector<std::string> Up = runningExecutors();
    std::sort(Up.begin(), Up.end(),
              [](const std::string &Left, const std::string &Right) {
                return std::stoul(Left.substr(2)) < std::stoul(Right.substr(2));
              });
    for (size_t I = 0; I < Crashing; ++I)
      Sim.crashExecutor(Up[Up.size() - 1 - I], 1'000);
    runWithLoad(2'500);
  }
  CHECK(allBatchJobsComplete());
  CHECK_FALSE(isFailed(Lasting));
}

TEST(ExecutorsThatCrashByThemselves, AreToldFromThoseCutOff) {
  for (size_t Round = 0; Round < 5; ++Round) {
    for (const std::string &Id : Executors)
      Sim.executor(Id).Unreachable = true;
    Sim.runFor(7'000);
    for (const std::string &Id : Executors)
      Sim.executor(Id).Unreachable = false;
    runWithLoad(2'000);
  }
  CHECK(allBatchJobsComplete());
  CHECK_FALSE(isFailed(Lasting));
}
