#include "unit/CellSim.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr size_t ExecutorCount = 48;
constexpr Resources ExecutorSize{.MilliCores = 16'000, .MemoryMb = 64'000};
/// Six fit on an executor.
constexpr Resources BatchTaskSize{.MilliCores = 2'600, .MemoryMb = 9'000};
/// As large as three batch tasks.
constexpr Resources LastingTaskSize{.MilliCores = 7'500, .MemoryMb = 24'000};
constexpr uint32_t LastingTasks = 24;
constexpr uint32_t TasksPerBatchJob = 20;
constexpr int64_t BatchRunMs = 1'500;
constexpr int64_t LastingRunMs = 3'600'000;
constexpr size_t LostExecutors = 7;
/// Placement, commit and start, as the simulation times them.
constexpr int64_t PreparedRestartMs = 200;
/// No lease that was granted before the loss lasts longer.
constexpr int64_t LossLimitMs = 30'000;
/// A lease has not expired after this time without an answer.
constexpr Millis ShortSilence = LeaseOptions{}.LeaseDuration - Millis(1'000);

/// A lasting task that ran on a lost executor.
struct LostTask {
  TaskPosition Position;
  TimePoint KnownOverAt{}; ///< The owner ended the run.
  TimePoint RestartedAt{};

  bool isRestarted() const { return RestartedAt != TimePoint{}; }
  int64_t restartMs() const { return toMillis(RestartedAt - KnownOverAt); }
};

} // namespace

// clang-format off
/// Lasting tasks that need tickets, as the policy service issues them slowly
/// and for a short time.
TEST_GROUP(AFleetWithLastingTasks) {
  Simulation Sim;
  size_t BatchJobs = 0;
  std::map<std::string, LostTask> Lost;

  virtual AdviceSettings adviceSettings() const { return {.BaseMs = 500, .PerExecutorMs = 8, .Validity = Millis(1'500)}; }
  virtual double allowedShare() const { return 0.5; }
  virtual uint32_t tasksPerLastingJob() const { return 3; }
  /// Share of the fleet that batch tasks ask for.
  virtual double batchLoad() const { return 0; }
  /// Within this time of a run's known end its task runs again.
  virtual int64_t maxRestartMs() const { return PreparedRestartMs; }

  void setup() override {
    Sim.requireAdvice({.Settings = adviceSettings(), .AllowedShare = allowedShare(), .Entries = 8});
    Sim.RunTimeFor = [](const std::string &Task, int64_t Estimate) {
      return isLasting(Task) ? LastingRunMs : Estimate;
    };
    for (size_t I = 0; I < ExecutorCount; ++I)
      Sim.addExecutor(ExecutorSize, fmt::format("r{}", I / 6));
    Sim.takeOver();
    Sim.runFor(500);
    for (size_t I = 0; I < LastingTasks / tasksPerLastingJob(); ++I) {
      JobSpec Job = Simulation::makeJob(lastingId(I), tasksPerLastingJob(), LastingTaskSize, 1'000);
      Job.Steps.front().LongRunning = true;
      Sim.submit(std::move(Job));
    }
    runWithLoad(6'000);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }

  static std::string lastingId(size_t I) { return fmt::format("f{:015x}", I + 1); }
  static bool isLasting(const std::string &Task) { return Task.front() == 'f'; }

  /// Runs \p Ms with batch jobs that come at an even rate.
  void runWithLoad(int64_t Ms) {
    constexpr int64_t SliceMs = 50;
    constexpr double Places = 6 * ExecutorCount;
    double JobsPerSlice = batchLoad() * Places / TasksPerBatchJob * SliceMs / BatchRunMs;
    double Due = 0;
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += SliceMs) {
      for (Due += JobsPerSlice; Due >= 1; Due -= 1)
        Sim.submit(Simulation::makeJob(fmt::format("{:016x}", ++BatchJobs), TasksPerBatchJob, BatchTaskSize, BatchRunMs));
      Sim.runFor(SliceMs);
      noteRestarts();
    }
  }
  /// The first executors with lasting tasks are lost.
  void loseExecutors(const std::function<void(SimExecutor &)> &Lose) {
    size_t Count = 0;
    for (size_t I = 0; I < ExecutorCount && Count < LostExecutors; ++I) {
      SimExecutor &Executor = Sim.executor(fmt::format("i-{}", I));
      if (Executor.Dead)
        continue;
      bool HasLasting = false;
      for (const auto &Entry : Executor.Running) {
        if (!isLasting(Entry.first))
          continue;
        HasLasting = true;
        TaskRef Ref = *parseTaskName(Entry.first);
        Lost[Entry.first] = {.Position = {Ref.Occurrence, Ref.Step, Ref.Index}};
      }
      if (!HasLasting)
        continue;
      Lose(Executor);
      ++Count;
    }
  }
  void noteRestarts() {
    Sim.Owner->forEachJob([&](const LiveJob &Job) {
      for (auto &[Name, Task] : Lost) {
        if (parseTaskName(Name)->Job == Job.Spec.Id)
          noteRestart(Name, Task, Job.Occurrences.at(0).Steps[0].Tasks[Task.Position.Index]);
      }
    });
  }
  void noteRestart(const std::string &Name, LostTask &Task, const LiveTask &Live) {
    if (Live.LastRunEndedAt != TimePoint{} && Task.KnownOverAt == TimePoint{})
      Task.KnownOverAt = Live.LastRunEndedAt;
    if (Task.KnownOverAt != TimePoint{} && !Task.isRestarted() && Sim.isOpen(Name))
      Task.RestartedAt = Sim.Now;
  }
  void checkRestartsAfterCrash() {
    loseExecutors([](SimExecutor &Executor) { Executor.Dead = true; });
    checkRestarts();
  }
  /// Checks that the lost lasting tasks run again in time.
  void checkRestarts() {
    CHECK(Lost.size() >= LostExecutors);
    runWithLoad(LossLimitMs);
    std::vector<int64_t> Times;
    for (const auto &[Name, Task] : Lost) {
      CHECK_TRUE_TEXT(Task.isRestarted(), Name.c_str());
      Times.push_back(Task.restartMs());
    }
    std::sort(Times.begin(), Times.end());
    std::string Text = fmt::format("ms until restart: {}", fmt::join(Times, " "));
    CHECK_TRUE_TEXT(Times.back() <= maxRestartMs(), Text.c_str());
  }
};

TEST_GROUP_BASE(WhenFewExecutorsAreAllowed, TEST_GROUP_CppUTestGroupAFleetWithLastingTasks) {
  double allowedShare() const override { return 0.2; }
};

TEST_GROUP_BASE(WhenBatchTasksFillMostOfIt, TEST_GROUP_CppUTestGroupAFleetWithLastingTasks) {
  double batchLoad() const override { return 0.6; }
  int64_t maxRestartMs() const override { return 500; }
};

TEST_GROUP_BASE(WhenMoreBatchTasksWaitThanFit, TEST_GROUP_CppUTestGroupAFleetWithLastingTasks) {
  double batchLoad() const override { return 0.9; }
  int64_t maxRestartMs() const override { return 2'000; }
};

TEST_GROUP_BASE(WhenFewAreAllowedAndBatchTasksWait, TEST_GROUP_CppUTestGroupWhenMoreBatchTasksWaitThanFit) {
  double allowedShare() const override { return 0.2; }
};

/// Tickets outlast a call by little, and many tasks of one step are lost.
TEST_GROUP_BASE(WhenCallsTakeNearlyASecond, TEST_GROUP_CppUTestGroupWhenBatchTasksFillMostOfIt) {
  AdviceSettings adviceSettings() const override { return {.BaseMs = 730, .PerExecutorMs = 10, .Validity = Millis(2'000)}; }
  uint32_t tasksPerLastingJob() const override { return 12; }

  /// Loses executors twice, so that the places for the tasks of the second loss are sought during the calls for the first.
  void checkRestartsAfterTwoCrashes(int64_t GapMs) {
    auto Crash = [](SimExecutor &Executor) { Executor.Dead = true; };
    loseExecutors(Crash);
    runWithLoad(GapMs);
    loseExecutors(Crash);
    checkRestarts();
  }
};

TEST_GROUP_BASE(WhenAnotherOwnerHasTakenOver, TEST_GROUP_CppUTestGroupWhenBatchTasksFillMostOfIt) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWhenBatchTasksFillMostOfIt::setup();
    Sim.takeOver();
    runWithLoad(1'000);
  }
};
// clang-format on

/// Guards against tickets that are renewed only after the lapse.
TEST(AFleetWithLastingTasks, RestartsTheTasksOfLostExecutorsInTime) {
  checkRestartsAfterCrash();
}

/// Guards against a search for allowed executors that begins with the lapse.
TEST(WhenFewExecutorsAreAllowed, LostLastingTasksRunAgainInTime) {
  checkRestartsAfterCrash();
}

/// Guards against lasting tasks that wait behind the calls of other work.
TEST(WhenBatchTasksFillMostOfIt, LostLastingTasksRunAgainInTime) {
  checkRestartsAfterCrash();
}

/// Guards against small tasks that take each place that becomes free before a
/// larger lasting task fits.
TEST(WhenMoreBatchTasksWaitThanFit, LostLastingTasksRunAgainInTime) {
  checkRestartsAfterCrash();
}

/// Guards against the same where only few executors could take the task.
TEST(WhenFewAreAllowedAndBatchTasksWait, LostLastingTasksRunAgainInTime) {
  checkRestartsAfterCrash();
}

/// Guards against an owner without permissions for tasks that it inherited.
TEST(WhenAnotherOwnerHasTakenOver, LostLastingTasksRunAgainInTime) {
  checkRestartsAfterCrash();
}

/// Guards against places and tickets that the first restarts take from the
/// later ones.
TEST(WhenBatchTasksFillMostOfIt, TasksOfASecondCrashRunAgainInTime) {
  auto Crash = [](SimExecutor &Executor) { Executor.Dead = true; };
  loseExecutors(Crash);
  runWithLoad(400);
  loseExecutors(Crash);
  checkRestarts();
}

/// Guards against a wait for the call of another task of the step.
TEST(WhenCallsTakeNearlyASecond, TheTasksOfLostExecutorsRunAgainInTime) {
  checkRestartsAfterCrash();
}

TEST(WhenCallsTakeNearlyASecond, TasksOfASecondCrashRunAgainInTime) {
  checkRestartsAfterTwoCrashes(400);
}

TEST(WhenCallsTakeNearlyASecond,
     TasksLostDuringTheCallsForOthersRunAgainInTime) {
  checkRestartsAfterTwoCrashes(1'200);
}

/// Guards against a start before the executor's own lease has expired.
TEST(WhenBatchTasksFillMostOfIt, TasksThatRunOnOutOfReachAreNotStartedTwice) {
  loseExecutors([](SimExecutor &Executor) { Executor.Unreachable = true; });
  checkRestarts();
}

/// Guards against a restart that was prepared and is no longer needed.
TEST(WhenBatchTasksFillMostOfIt, TasksOfAnExecutorThatAnswersAgainGoOn) {
  std::vector<SimExecutor *> Silent;
  loseExecutors([&](SimExecutor &Executor) {
    Executor.Unreachable = true;
    Silent.push_back(&Executor);
  });
  runWithLoad(ShortSilence.count());
  for (SimExecutor *Executor : Silent)
    Executor->Unreachable = false;
  runWithLoad(LossLimitMs);
  for (const auto &Entry : Lost)
    LONGS_EQUAL(1, Sim.runsOf(Entry.first));
}

// clang-format off
TEST_GROUP(TwoExecutorsOfWhichOneIsLost) {
  Simulation Sim;
  void setup() override {
    Sim.addExecutor(ExecutorSize);
    Sim.takeOver();
    // Until no lease of an earlier owner could be left.
    Sim.runFor(12'000);
    JobSpec Lasting = Simulation::makeJob("f1", 1, LastingTaskSize, LastingRunMs);
    Lasting.Steps.front().LongRunning = true;
    Sim.submit(std::move(Lasting));
    Sim.runFor(200);
    Sim.addExecutor(ExecutorSize);
    Sim.runFor(200);
    CHECK(Sim.isOpen("f1.0.0.0"));
    Sim.executor("i-0").Dead = true;
  }
  /// Takes all of the second executor.
  void submitBatchJob(int64_t RunMs) { Sim.submit(Simulation::makeJob("b1", 6, BatchTaskSize, RunMs)); }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
};
// clang-format on

/// Guards against capacity that is idle for most of a lease.
TEST(TwoExecutorsOfWhichOneIsLost, OtherWorkRunsWhileTheLeaseIsLong) {
  Sim.runFor(1'500);
  submitBatchJob(1'000);
  Sim.runFor(1'500);
  LONGS_EQUAL(JobPhase::Completed, Sim.storedPhase("b1"));
}

/// Guards against work that takes the last free place just before the lapse.
TEST(TwoExecutorsOfWhichOneIsLost, TheLastingTaskGetsTheLastPlace) {
  Sim.runFor(ShortSilence.count() + 500);
  submitBatchJob(5'000);
  CHECK(Sim.runUntil([&] { return Sim.isOpen("f1.0.0.0"); }, 2'000));
}
