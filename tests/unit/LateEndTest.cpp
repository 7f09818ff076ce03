#include "unit/CellSim.h"
#include "unit/SingleTaskJob.h"

#include <CppUTest/TestHarness.h>

/// A run that is done, or fails, where its owner can't hear of it, until the
/// owner takes it for lapsed and prepares, or sends, the next start.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;
using daisylanding::executor::EndKind;
using daisylanding::executor::OrderOutcome;
using daisylanding::executor::StartOrder;

namespace {

constexpr int64_t SlowCommitMs = 400;
/// Long enough for an end to be heard meanwhile.
constexpr int64_t LongRunMs = 2'000;

} // namespace

// clang-format off
TEST_GROUP(ARunDoneOutOfReach) {
  Simulation Sim;
  std::string First;
  uint32_t Members = 1;
  uint32_t Occurrences = 0;
  bool Lasts = false;

  void setup() override { begin(1); }
  void begin(uint32_t Count) {
    Members = Count;
    for (uint32_t I = 0; I < 2 * Members; ++I)
      Sim.addExecutor(Size);
    Sim.takeOver();
    JobSpec Job = Simulation::makeJob(JobId, Members, Size, RunMs);
    Job.Steps[0].Gang = Members > 1;
    Job.Steps[0].LongRunning = Lasts;
    Job.RepeatCount = Occurrences;
    Job.FirstRunMs = toMillis(Sim.Now.time_since_epoch());
    Job.IntervalMs = 600'000;
    Sim.submit(Job);
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == Members; }, 3'000));
    First = Sim.Started.front().Target.Id;
    Sim.runFor(50);
    setReachable(false);
    Sim.runFor(1'000);
  }
  void teardown() override {
    Sim.runFor(3'000);
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void setReachable(bool IsReachable) {
    for (uint32_t I = 0; I < Members; ++I)
      Sim.executor(Sim.Started[I].Target.Id).Unreachable = !IsReachable;
  }
  void awaitLapse() {
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().ExpiredRuns == Members; }, 8'000));
  }
  bool isCompleted() { return Sim.storedPhase(JobId) == JobPhase::Completed; }
  void checkDoneOnce() {
    CHECK(Sim.runUntil([&] { return isCompleted(); }, 4'000));
    Sim.runFor(1'000);
    LONGS_EQUAL(Members, Sim.Started.size());
    LONGS_EQUAL(0, Sim.executor(First).Ended.size());
  }
};

TEST_GROUP_BASE(WhoseNextStartIsBeingStored, TEST_GROUP_CppUTestGroupARunDoneOutOfReach) {
  void setup() override { beginSlowly(1); }
  void beginSlowly(uint32_t Count) {
    begin(Count);
    Sim.CommitTimeMs = SlowCommitMs;
    awaitLapse();
  }
};

TEST_GROUP_BASE(WhoseNextStartIsStoredAndNotSent, TEST_GROUP_CppUTestGroupARunDoneOutOfReach) {
  void setup() override {
    begin(1);
    Sim.CommitTimeMs = 1'000;
    awaitLapse();
    // No start is sent by a list that is old.
    Sim.FeedsSilent = true;
    Sim.runFor(2'500);
  }
};

TEST_GROUP_BASE(WhoseNextStartsAreRefused, TEST_GROUP_CppUTestGroupARunDoneOutOfReach) {
  size_t Refused = 0;
  void setup() override {
    begin(1);
    Sim.RefusalFor = [this](const StartOrder &Order) -> std::optional<OrderOutcome> {
      if (Order.Id.Run == 1)
        return std::nullopt;
      ++Refused;
      return OrderOutcome::TicketInvalid;
    };
    awaitLapse();
    CHECK(Sim.runUntil([&] { return Refused > 1; }, 2'000));
  }
};

TEST_GROUP_BASE(WhoseNextRunHasBegun, TEST_GROUP_CppUTestGroupARunDoneOutOfReach) {
  void setup() override {
    begin(1);
    awaitLapse();
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == 2; }, 2'000));
  }
};

TEST_GROUP_BASE(ATaskOfAnOccurrence, TEST_GROUP_CppUTestGroupARunDoneOutOfReach) {
  void setup() override {
    Occurrences = 2;
    begin(1);
    awaitLapse();
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == 2; }, 2'000));
  }
};

TEST_GROUP_BASE(WhoseNextStartGotNoAnswer, TEST_GROUP_CppUTestGroupARunDoneOutOfReach) {
  void setup() override { beginWithoutAnswers(1); }
  void beginWithoutAnswers(uint32_t Count) {
    begin(Count);
    awaitLapse();
    for (uint32_t I = 0; I < 2 * Members; ++I)
      Sim.executor("i-" + std::to_string(I)).Unreachable = true;
    Sim.runFor(600);
    setReachable(true);
    Sim.runFor(ContactMs);
  }
};
// clang-format on

/// Guards against a second run of a task whose end is heard while the next
/// start is in a commit.
TEST(WhoseNextStartIsBeingStored, IsNotStartedAgain) {
  setReachable(true);
  checkDoneOnce();
}

/// Guards against places of dropped starts that are never released.
TEST(WhoseNextStartIsBeingStored, LeavesThePlaceToOthers) {
  setReachable(true);
  checkDoneOnce();
  LONGS_EQUAL(0, Sim.Owner->status(Sim.Now).ReservedCores);
  LONGS_EQUAL(0, Sim.Owner->status(Sim.Now).OpenRuns);
}

/// Guards against a successor that starts a task anew whose next start it reads
/// as recorded: the owner before it had dropped that start.
TEST(WhoseNextStartIsBeingStored, IsNotStartedAgainByTheNextOwner) {
  Sim.Faults.CommitAnswerLost = 1;
  auto IsNextRecorded = [&] {
    auto Progress = decodeProgress(Sim.storedValue(ProgressTable, JobId));
    return Progress && Progress->Tasks.at({0, 0, 0}).Run == 2;
  };
  CHECK(Sim.runUntil(IsNextRecorded, 2'000));
  setReachable(true);
  Sim.runFor(ContactMs);
  LONGS_EQUAL(1, Sim.Owner->counts().EndsDone);
  Sim.takeOver();
  Sim.Faults = {};
  checkDoneOnce();
}

/// Guards against a second run of a task whose end is heard between the commit
/// of the next start and its sending.
TEST(WhoseNextStartIsStoredAndNotSent, IsNotStartedAgain) {
  setReachable(true);
  Sim.runFor(ContactMs);
  Sim.FeedsSilent = false;
  checkDoneOnce();
}

/// Guards against a second run of a task whose next runs were numbered but
/// never began.
TEST(WhoseNextStartsAreRefused, IsNotStartedAgain) {
  setReachable(true);
  checkDoneOnce();
}

/// Guards against a third run, of a task that is known to be done, once the
/// second one has ended otherwise.
TEST(WhoseNextRunHasBegun, IsNotStartedOnceMore) {
  Sim.EndKindFor = [](const std::string &) { return EndKind::Failed; };
  setReachable(true);
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 4'000));
  LONGS_EQUAL(2, Sim.Started.size());
}

/// Guards against executors that list an end for as long as they live.
TEST(WhoseNextRunHasBegun, ItsEndIsAcknowledgedOnceThatRunIsOver) {
  setReachable(true);
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 4'000));
  Sim.runFor(1'000);
  LONGS_EQUAL(0, Sim.executor(First).Ended.size());
}

/// Guards against an end of an occurrence's last run that completes it while
/// the owner still looks at that run.
TEST(ATaskOfAnOccurrence, IsDoneOnceItsSecondRunHasLapsed) {
  auto IsOccurrenceDone = [&] {
    auto Progress = decodeProgress(Sim.storedValue(ProgressTable, JobId));
    return Progress && Progress->DoneOccurrences.count(0) > 0;
  };
  Sim.executor(Sim.Started.back().Target.Id).Unreachable = true;
  Sim.executor(First).Unreachable = false;
  CHECK(Sim.runUntil(IsOccurrenceDone, 10'000));
  LONGS_EQUAL(2, Sim.runsOf(TaskId));
}

/// Guards against an end that is forgotten while a later start may have been
/// carried out.
TEST(WhoseNextStartGotNoAnswer, IsNotStartedOnceMore) {
  CHECK(Sim.storedPhase(JobId) == JobPhase::Running);
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 8'000));
  LONGS_EQUAL(1, Sim.Started.size());
}

// clang-format off
TEST_GROUP_BASE(AGangWhoseNextStartsGotNoAnswer, TEST_GROUP_CppUTestGroupWhoseNextStartGotNoAnswer) {
  void setup() override { beginWithoutAnswers(3); }
};

TEST_GROUP_BASE(AGangWhoseNextStartIsBeingStored, TEST_GROUP_CppUTestGroupWhoseNextStartIsBeingStored) {
  void setup() override { beginSlowly(3); }
};
// clang-format on

/// Guards against a second run of a gang whose ends are heard while the next
/// starts are in a commit.
TEST(AGangWhoseNextStartIsBeingStored, IsNotStartedAgain) {
  setReachable(true);
  checkDoneOnce();
}

/// Guards against a second run of a gang whose end is heard while later starts
/// of members may have been carried out.
TEST(AGangWhoseNextStartsGotNoAnswer, IsNotStartedOnceMore) {
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 8'000));
  LONGS_EQUAL(Members, Sim.Started.size());
}

// clang-format off
TEST_GROUP_BASE(ARunFailedOutOfReach, TEST_GROUP_CppUTestGroupARunDoneOutOfReach) {
  void setup() override { beginFailing(1); }
  void setEnds(EndKind Kind) {
    Sim.EndKindFor = [Kind](const std::string &) { return Kind; };
  }
  void beginFailing(uint32_t Count) {
    setEnds(EndKind::Failed);
    begin(Count);
    Sim.RunTimeFor = [](const std::string &, int64_t) { return LongRunMs; };
    awaitLapse();
  }
  void awaitNextRun() {
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == size_t{2} * Members; }, 2'000));
  }
  bool isFailed() { return Sim.storedPhase(JobId) == JobPhase::Failed; }
  TaskProgress stored() {
    auto Progress = decodeProgress(Sim.storedValue(ProgressTable, JobId));
    return Progress ? Progress->Tasks.at({0, 0, 0}) : TaskProgress{};
  }
  /// The count is stored, but no executor is told so before the next owner
  /// hears the same ends.
  void countThenTakeOver() {
    setReachable(true);
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().EndsFailed == 1; }, 2'000));
    setReachable(false);
    CHECK(Sim.runUntil([&] { return stored().Failures == 1; }, 2'000));
    Sim.takeOver();
    LONGS_EQUAL(1, Sim.executor(First).Ended.size());
    setReachable(true);
    CHECK(Sim.runUntil([&] { return Sim.executor(First).Ended.empty(); }, 2'000));
  }
  void checkFailsWith(size_t Starts) {
    CHECK(Sim.runUntil([&] { return isFailed(); }, 6'000));
    Sim.runFor(1'000);
    LONGS_EQUAL(Starts, Sim.Started.size());
  }
};

TEST_GROUP_BASE(WhoseNextRunHasBegunMeanwhile, TEST_GROUP_CppUTestGroupARunFailedOutOfReach) {
  void setup() override {
    beginFailing(1);
    awaitNextRun();
  }
};

TEST_GROUP_BASE(AGangThatFailedOutOfReach, TEST_GROUP_CppUTestGroupARunFailedOutOfReach) {
  void setup() override {
    beginFailing(3);
    awaitNextRun();
  }
};

TEST_GROUP_BASE(ALastingTaskThatFailedOutOfReach, TEST_GROUP_CppUTestGroupARunFailedOutOfReach) {
  void setup() override {
    Lasts = true;
    beginFailing(1);
    awaitNextRun();
  }
};

/// As many runs as are allowed.
TEST_GROUP_BASE(TwoRunsFailedOutOfReach, TEST_GROUP_CppUTestGroupARunFailedOutOfReach) {
  void setup() override { beginTwoFailing(); }
  void beginTwoFailing() {
    beginFailing(1);
    Sim.addExecutor(Size);
    Sim.RunTimeFor = [](const std::string &, int64_t Estimate) { return Estimate; };
    awaitNextRun();
    Sim.executor(Sim.Started[1].Target.Id).Unreachable = true;
    Sim.RunTimeFor = [](const std::string &, int64_t) { return LongRunMs; };
    Sim.runFor(1'000);
  }
  void awaitSecondLapse() {
    CHECK(Sim.runUntil([&] { return Sim.Owner->counts().ExpiredRuns == 2; }, 8'000));
  }
  void setBothReachable() {
    for (size_t I = 0; I < 2; ++I)
      Sim.executor(Sim.Started[I].Target.Id).Unreachable = false;
  }
};

TEST_GROUP_BASE(WhoseThirdStartIsBeingStored, TEST_GROUP_CppUTestGroupTwoRunsFailedOutOfReach) {
  void setup() override {
    beginTwoFailing();
    Sim.CommitTimeMs = 1'000;
    awaitSecondLapse();
  }
};

TEST_GROUP_BASE(WhoseThirdRunHasBegun, TEST_GROUP_CppUTestGroupTwoRunsFailedOutOfReach) {
  void setup() override {
    beginTwoFailing();
    awaitSecondLapse();
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == 3; }, 2'000));
  }
};
// clang-format on

/// Guards against a start beyond the attempts of a task one of whose failures
/// is heard while it runs again.
TEST(WhoseNextRunHasBegunMeanwhile, IsNotStartedBeyondItsAttempts) {
  setReachable(true);
  checkFailsWith(2);
}

/// Guards against a job that fails as if a lost run of its task had counted:
/// only its failure does, and the run that goes on is done.
TEST(WhoseNextRunHasBegunMeanwhile, LeavesTheNextRunGoingOn) {
  setEnds(EndKind::Done);
  setReachable(true);
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 4'000));
  LONGS_EQUAL(2, Sim.Started.size());
}

/// Guards against a failure that counts as a crash of its executor as well.
TEST(WhoseNextRunHasBegunMeanwhile, IsNotCountedAsACrash) {
  setReachable(true);
  Sim.runFor(ContactMs);
  LONGS_EQUAL(1, stored().Failures);
  LONGS_EQUAL(0, stored().Crashes);
}

/// Guards against an executor that forgets an end before its count is stored.
TEST(WhoseNextRunHasBegunMeanwhile, ItsEndIsAcknowledgedOnceItsCountIsStored) {
  setEnds(EndKind::Done);
  // A commit without the count is in flight when the end is heard.
  Sim.CommitTimeMs = 1'000;
  Sim.runFor(400);
  setReachable(true);
  CHECK(
      Sim.runUntil([&] { return Sim.Owner->counts().EndsFailed == 1; }, 2'000));
  CHECK(Sim.runUntil(
      [&] {
        return stored().Failures == 1 || Sim.executor(First).Ended.empty();
      },
      3'000));
  LONGS_EQUAL(1, Sim.executor(First).Ended.size());
  CHECK(Sim.runUntil([&] { return Sim.executor(First).Ended.empty(); }, 3'000));
}

/// Guards against a failure that the next owner counts once more, as it is
/// listed again.
TEST(WhoseNextRunHasBegunMeanwhile, IsCountedOnceIfTheNextOwnerHearsItToo) {
  setEnds(EndKind::Done);
  countThenTakeOver();
  LONGS_EQUAL(1, stored().Failures);
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 4'000));
  LONGS_EQUAL(2, Sim.Started.size());
}

/// Guards against a failure that is not counted since the owner that gave the
/// run up is gone.
TEST(WhoseNextRunHasBegunMeanwhile, CountsIfTheNextOwnerHearsItFirst) {
  Sim.takeOver();
  setReachable(true);
  checkFailsWith(2);
}

/// Guards against a gang that counts a failure for each of its members.
TEST(AGangThatFailedOutOfReach, CountsOnce) {
  setReachable(true);
  Sim.runFor(ContactMs);
  LONGS_EQUAL(1, stored().Failures);
  CHECK_FALSE(isFailed());
}

/// Guards against a gang whose failure the next owner counts once more.
TEST(AGangThatFailedOutOfReach, IsCountedOnceIfTheNextOwnerHearsItToo) {
  setEnds(EndKind::Done);
  countThenTakeOver();
  LONGS_EQUAL(1, stored().Failures);
  CHECK(Sim.runUntil([&] { return isCompleted(); }, 4'000));
  LONGS_EQUAL(2 * Members, Sim.Started.size());
}

/// Guards against a start beyond the attempts of a gang.
TEST(AGangThatFailedOutOfReach, IsNotStartedBeyondItsAttempts) {
  setReachable(true);
  checkFailsWith(size_t{2} * Members);
}

/// Guards against a limit of attempts for tasks that last.
TEST(ALastingTaskThatFailedOutOfReach, GoesOn) {
  setReachable(true);
  Sim.runFor(ContactMs);
  LONGS_EQUAL(0, stored().Failures);
  CHECK(Sim.runUntil([&] { return Sim.Started.size() == 4; }, 8'000));
}

/// Guards against a start whose record is in a commit when the last failure
/// that is allowed is heard.
TEST(WhoseThirdStartIsBeingStored, IsNotStartedBeyondItsAttempts) {
  setBothReachable();
  checkFailsWith(2);
}

/// Guards against a run that goes on although its task has no attempt left.
TEST(WhoseThirdRunHasBegun, IsStopped) {
  setBothReachable();
  checkFailsWith(3);
  CHECK_FALSE(Sim.isOpen(TaskId));
}

/// Guards against a job that is shown as failed and then as completed: a run
/// that would not have begun, had its owner heard in time, ends as done before
/// its stop arrives.
TEST(WhoseThirdRunHasBegun, ItsJobStaysFailedIfItIsDoneAfterAll) {
  setEnds(EndKind::Done);
  Sim.StopTimeMs = 2 * LongRunMs;
  setBothReachable();
  checkFailsWith(3);
  Sim.runFor(LongRunMs);
  CHECK(isFailed());
  CHECK_FALSE(Sim.isOpen(TaskId));
  LONGS_EQUAL(0, Sim.executor(Sim.Started.back().Target.Id).Ended.size());
}

// clang-format off
TEST_GROUP(AnOwnerThatStallsPastALease) {
  static constexpr int64_t StallMs = 6'000;
  Simulation Sim;
  void setup() override {
    for (int I = 0; I < 2; ++I)
      Sim.addExecutor(Size);
    Sim.takeOver();
    Sim.submit(Simulation::makeJob(JobId, 1, Size, RunMs));
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == 1; }, 3'000));
    Sim.runFor(50);
    Sim.OwnerTurnMs = StallMs;
  }
};
// clang-format on

/// Guards against a second run of a task that was done while its owner asked
/// nobody: the executor answers, once it is asked.
TEST(AnOwnerThatStallsPastALease, DoesNotStartATaskThatIsDone) {
  Sim.runFor(2 * StallMs + 100);
  Sim.OwnerTurnMs = 0;
  Sim.runFor(3'000);
  for (const std::string &Violation : Sim.violations())
    FAIL(Violation.c_str());
  CHECK(Sim.storedPhase(JobId) == JobPhase::Completed);
  LONGS_EQUAL(1, Sim.Started.size());
  LONGS_EQUAL(0, Sim.Owner->counts().ExpiredRuns);
}

// clang-format off
TEST_GROUP(ATaskThatHasNeverRun) {
  Simulation Sim;

  void setup() override {
    Sim.addExecutor(Size);
    Sim.takeOver();
    Resources TooLarge{.MilliCores = 2 * Size.MilliCores, .MemoryMb = Size.MemoryMb};
    Sim.submit(Simulation::makeJob(JobId, 1, TooLarge, RunMs));
    Sim.runFor(500);
  }
};
// clang-format on

/// Guards against a job that is shown as completed as an executor lists the end
/// of a run that was never recorded.
TEST(ATaskThatHasNeverRun, IsNotDoneByAnEndOfAnUnknownRun) {
  SimExecutor &Lying = Sim.executor("i-0");
  Lying.Ended.push_back(
      {.Sequence = ++Lying.EndCount, .Id = {TaskId, 1}, .Kind = EndKind::Done});
  CHECK(Sim.runUntil([&] { return Lying.Ended.empty(); }, 5'000));
  CHECK(Sim.storedPhase(JobId) == JobPhase::Queued);
}
