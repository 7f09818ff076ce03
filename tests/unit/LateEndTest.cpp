#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

/// A run that is done where its owner can't hear of it, until the owner takes
/// it for lapsed and prepares, or sends, the next start.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;
using daisylanding::executor::OrderOutcome;
using daisylanding::executor::StartOrder;

namespace {

constexpr const char *JobId = "00000000000000a1";
constexpr const char *TaskId = "00000000000000a1.0.0.0";
constexpr Resources Size{.MilliCores = 4'000, .MemoryMb = 4'000};
constexpr int64_t RunMs = 300;
constexpr int64_t SlowCommitMs = 400;
/// Until an executor that is in reach again is heard.
constexpr int64_t ContactMs = 700;

} // namespace

// clang-format off
TEST_GROUP(ARunDoneOutOfReach) {
  Simulation Sim;
  std::string First;
  uint32_t Members = 1;
  uint32_t Occurrences = 0;

  void setup() override { begin(1); }
  void begin(uint32_t Count) {
    Members = Count;
    for (uint32_t I = 0; I < 2 * Members; ++I)
      Sim.addExecutor(Size);
    Sim.takeOver();
    JobSpec Job = Simulation::makeJob(JobId, Members, Size, RunMs);
    Job.Steps[0].Gang = Members > 1;
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
  Sim.EndKindFor = [](const std::string &) {
    return executor::EndKind::Failed;
  };
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
