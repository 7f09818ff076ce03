#include "unit/CellSim.h"
#include "unit/SingleTaskJob.h"

#include <CppUTest/TestHarness.h>

/// Executors that crash before they have confirmed a run, whether or not they
/// had begun it.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;
using daisylanding::executor::OrderOutcome;

namespace {

constexpr int64_t BackAfterMs = 3'000;
constexpr int64_t StartLimitMs = 12'000;
/// So many executors may crash under a task before it is given up.
constexpr size_t ManyCrashes = 5;

} // namespace

// clang-format off
TEST_GROUP(ATaskAmongManyExecutors) {
  Simulation Sim;

  void setup() override {
    for (size_t I = 0; I < 12; ++I)
      Sim.addExecutor(Size);
    Sim.takeOver();
    Sim.runFor(200);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void submit() { Sim.submit(Simulation::makeJob(JobId, 1, Size, RunMs)); }
  bool isFailed() { return Sim.storedPhase(JobId) == JobPhase::Failed; }
  bool isCompleted() { return Sim.storedPhase(JobId) == JobPhase::Completed; }
};

/// The executor of its next start is known when that is sent.
TEST_GROUP_BASE(WhoseStartsDoNotArrive, TEST_GROUP_CppUTestGroupATaskAmongManyExecutors) {
  /// The executor to which the newest recorded run of the task goes.
  std::string executorOf(uint32_t Run) {
    auto Progress = decodeProgress(Sim.storedValue(ProgressTable, JobId));
    if (!Progress || Progress->Tasks.empty())
      return {};
    const TaskProgress &Task = Progress->Tasks.at({0, 0, 0});
    return Task.Run == Run ? Task.Executor : std::string();
  }
  /// Its executor crashes \p AfterMs after the first start of this run is sent.
  void crashUnderStart(uint32_t Run, int64_t AfterMs) {
    size_t Earlier = Sim.Owner->counts().Starts;
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().Starts > Earlier && !executorOf(Run).empty(); }, StartLimitMs));
    std::string Id = executorOf(Run);
    Sim.runFor(AfterMs);
    LONGS_EQUAL(0, Sim.runsOf(TaskId));
    Sim.crashExecutor(Id, BackAfterMs);
  }
};

TEST_GROUP_BASE(ThatCrashesExecutorsBeforeTheyAnswer, TEST_GROUP_CppUTestGroupATaskAmongManyExecutors) {
  void setup() override {
    TEST_GROUP_CppUTestGroupATaskAmongManyExecutors::setup();
    Sim.Faults.OrderAnswerLost = 1;
    Sim.CrashTimeFor = [](const std::string &) { return std::optional<int64_t>(1); };
  }
  void checkGivenUp() {
    CHECK(Sim.runUntil([&] { return isFailed(); }, 60'000));
    CHECK(Sim.runsOf(TaskId) >= 2);
    CHECK(Sim.runsOf(TaskId) <= ManyCrashes);
    LONGS_EQUAL(Sim.runsOf(TaskId), Sim.Crashes);
  }
};
// clang-format on

/// Guards against a job that is given up for three crashes of executors that
/// had not begun its task.
TEST(WhoseStartsDoNotArrive, IsNotGivenUpForThreeCrashesBeforeThem) {
  submit();
  for (uint32_t Run = 1; Run <= 3; ++Run)
    crashUnderStart(Run, 0);
  CHECK(Sim.runUntil([&] { return isCompleted(); }, StartLimitMs));
  LONGS_EQUAL(1, Sim.runsOf(TaskId));
}

/// Guards against a job that is given up for one crash under its task, as the
/// next owner takes crashes under starts that never arrived for more.
TEST(WhoseStartsDoNotArrive, IsNotGivenUpByTheNextOwnerEither) {
  submit();
  for (uint32_t Run = 1; Run <= 2; ++Run)
    crashUnderStart(Run, 0);
  CHECK(Sim.runUntil(
      [&] {
        auto Progress = decodeProgress(Sim.storedValue(ProgressTable, JobId));
        return Progress && Progress->Tasks.at({0, 0, 0}).Crashes == 2;
      },
      StartLimitMs));
  size_t Begun = 0;
  Sim.CrashTimeFor = [&](const std::string &) {
    return ++Begun == 1 ? std::optional<int64_t>(100) : std::nullopt;
  };
  Sim.takeOver();
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 2 * StartLimitMs));
}

/// Guards against crashes that count for a start that the executor has refused,
/// and of which it carries out no copy, as its stop is confirmed.
TEST(WhoseStartsDoNotArrive, IsNotGivenUpForCrashesAfterItsStop) {
  constexpr int64_t StopMs = 30;
  size_t Tries = 0;
  std::string Id;
  Sim.RefusalFor = [&](const executor::StartOrder &Order) {
    Id = Order.Target.Id;
    return ++Tries % 2 == 1 ? OrderOutcome::Unknown
                            : OrderOutcome::TicketInvalid;
  };
  submit();
  for (uint32_t Run = 1; Run <= ManyCrashes + 1; ++Run) {
    CHECK(Sim.runUntil([&] { return Tries == size_t{2} * Run; }, StartLimitMs));
    Sim.runFor(StopMs);
    LONGS_EQUAL(2 * Run, Tries);
    Sim.crashExecutor(Id, BackAfterMs);
  }
  Sim.RefusalFor = nullptr;
  CHECK(Sim.runUntil([&] { return isCompleted(); }, StartLimitMs));
  LONGS_EQUAL(1, Sim.runsOf(TaskId));
}

/// Guards against a task that crashes executors without end, as none of them
/// confirms its run.
TEST(ThatCrashesExecutorsBeforeTheyAnswer, IsGivenUp) {
  submit();
  checkGivenUp();
}

TEST(ThatCrashesExecutorsBeforeTheyAnswer, IsGivenUpIfTheyReturnAfterItsLease) {
  Sim.CrashedForMs = 8'000;
  submit();
  checkGivenUp();
}

/// Guards against a task that crashes executors without end, as its run is
/// taken for one of the next incarnation, which doesn't have it.
TEST(ThatCrashesExecutorsBeforeTheyAnswer, IsGivenUpIfTheyKeepTheirIds) {
  constexpr size_t MaxRounds = 12;
  Sim.CrashTimeFor = nullptr;
  submit();
  size_t Crashes = 0;
  while (Crashes < MaxRounds && !isFailed()) {
    size_t Earlier = Sim.runsOf(TaskId);
    if (!Sim.runUntil(
            [&] { return isFailed() || Sim.runsOf(TaskId) > Earlier; },
            StartLimitMs) ||
        isFailed())
      break;
    ++Crashes;
    Sim.restartExecutor(Sim.Started.back().Target.Id, BackAfterMs, BackAfterMs);
  }
  CHECK(isFailed());
  CHECK(Crashes <= ManyCrashes);
}

TEST(ThatCrashesExecutorsBeforeTheyAnswer, IsGivenUpWithItsGang) {
  JobSpec Job = Simulation::makeJob(JobId, 3, Size, RunMs);
  Job.Steps[0].Gang = true;
  Sim.CrashTimeFor = [](const std::string &Task) {
    return Task == TaskId ? std::optional<int64_t>(1) : std::nullopt;
  };
  Sim.submit(Job);
  checkGivenUp();
}

TEST_GROUP(WhatAnUnconfirmedStartTells){};

/// Guards against a limit that is reached by crashes under runs that may not
/// have begun.
TEST(WhatAnUnconfirmedStartTells, EarlierOnesDoNotMakeAYoungRunTheCause) {
  LONGS_EQUAL(maxCrashes({}), maxCrashes({.IsYoung = true, .Unconfirmed = 2}));
  LONGS_EQUAL(maxCrashes({}), maxCrashes({.IsYoung = true, .Unconfirmed = 4}));
  LONGS_EQUAL(maxCrashes({.IsLate = true}),
              maxCrashes({.IsYoung = true, .Unconfirmed = 2, .IsLate = true}));
}

TEST(WhatAnUnconfirmedStartTells, AnAnswerMuchLaterOrARefusalClearsIt) {
  TimePoint Sent{Millis(1'000)};
  UnconfirmedStart Start{.SentAt = Sent, .LastAnswerAt = Sent + Millis(10)};
  CHECK(Start.mayHaveCrashed());
  Start.IsRefused = true;
  CHECK_FALSE(Start.mayHaveCrashed());
  Start = {.SentAt = Sent, .LastAnswerAt = Sent + Millis(600)};
  CHECK_FALSE(Start.mayHaveCrashed());
}
