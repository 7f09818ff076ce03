#include "node/OwnerWatch.h"
#include "unit/CellSim.h"

#include <fmt/format.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

/// How long tasks that last wait for their next run when the executor of the
/// last one is lost, alone or together with owners or the store.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

/// Within this time of the end of its last run a lasting task runs again if
/// executors have room.
constexpr Millis RestartBound{9'000};
/// What a disruption delays may take this much longer: the entries of executors
/// are back this long after the store is.
constexpr Millis StoreRecovery{3'000};
/// Share by which executors' clocks may be slow.
constexpr double MaxClockDrift = 0.02;
constexpr Millis StepTime{5};
constexpr int64_t Forever = 1'000'000'000; ///< In ms.
constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};
constexpr Resources Wide{.MilliCores = 4'000, .MemoryMb = 4'000};
constexpr const char *LastingJobId = "00000000000000a1";
const int64_t LeaseMs = LeaseOptions{}.LeaseDuration.count();

std::string lastingTask(uint32_t Index) {
  return taskName({.Job = LastingJobId, .Index = Index});
}

JobSpec makeLastingJob(const std::string &Id, uint32_t Tasks) {
  JobSpec Job = Simulation::makeJob(Id, Tasks, Small, 1'000);
  Job.Steps[0].LongRunning = true;
  Job.Steps[0].AntiAffinity = 1;
  return Job;
}

/// An entry that reads the owner row at its usual interval and acquires the
/// service when its owner has failed.
class WatchingEntry {
public:
  explicit WatchingEntry(std::string Holder, uint32_t Rank = 0)
      : Holder(std::move(Holder)), Rank(Rank) {}

  /// Returns whether it has acquired the service.
  bool advance(Simulation &Sim) {
    bool IsOwner = Sim.Owner && Sim.ownerRow().Holder == Holder;
    if (Sim.Now >= NextReadAt)
      readRow(Sim);
    if (IsOwner || !Watch.shouldAcquire(Holder, Rank, Sim.Now))
      return false;
    Sim.takeOver(Holder);
    Watch.recordReadFailure();
    return true;
  }

private:
  void readRow(Simulation &Sim) {
    constexpr Millis ReadInterval{300};
    constexpr Millis ReadTime{5};
    NextReadAt = Sim.Now + ReadInterval;
    if (Sim.StoreSilent)
      Watch.recordReadFailure();
    else
      Watch.recordRow(Sim.ownerRowVersion(), Sim.ownerRow(), ReadTime, Sim.Now);
  }

  std::string Holder;
  uint32_t Rank;
  node::OwnerWatch Watch{node::OwnerWatchOptions{}};
  TimePoint NextReadAt{};
};

/// A time in which a task had no run on an executor that is up.
struct IdleTime {
  std::string Task;
  TimePoint Begin{};
  TimePoint End{};
};

/// Measures the idle times of tasks.
class IdleMeter {
public:
  void follow(const std::string &Task) { OpenSince[Task] = std::nullopt; }
  void update(const Simulation &Sim) {
    for (auto &[Task, Begin] : OpenSince) {
      if (!Sim.isOpen(Task)) {
        Begin = Begin.value_or(Sim.Now);
        continue;
      }
      if (Begin)
        Ended.push_back({Task, *Begin, Sim.Now});
      Begin.reset();
    }
  }
  bool isIdle(const std::string &Task) const {
    return OpenSince.at(Task).has_value();
  }
  /// Idle times that are over, and those that last until \p Now.
  std::vector<IdleTime> all(TimePoint Now) const {
    std::vector<IdleTime> Times = Ended;
    for (const auto &[Task, Begin] : OpenSince) {
      if (Begin)
        Times.push_back({Task, *Begin, Now});
    }
    return Times;
  }
  bool isAnyIdle() const {
    return std::any_of(OpenSince.begin(), OpenSince.end(),
                       [](const auto &Entry) { return Entry.second; });
  }

private:
  std::map<std::string, std::optional<TimePoint>> OpenSince;
  std::vector<IdleTime> Ended;
};

void checkNoViolations(const Simulation &Sim) {
  for (const std::string &Violation : Sim.violations())
    FAIL(Violation.c_str());
}

} // namespace

// clang-format off
TEST_GROUP(AnOwnerOfLastingTasks) {
  static constexpr uint32_t Tasks = 4;
  static constexpr size_t ExecutorCount = 7;
  Simulation Sim;
  IdleMeter Idle;
  std::vector<WatchingEntry> Entries;
  std::string Lost; ///< The executor of the first task.

  virtual void prepare() {}
  void setup() override {
    for (size_t I = 0; I < ExecutorCount; ++I)
      Sim.addExecutor(Wide);
    Sim.RunTimeFor = [](const std::string &, int64_t) { return Forever; };
    prepare();
    Sim.takeOver("e1/1");
    Sim.submit(makeLastingJob(LastingJobId, Tasks));
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == Tasks; }, 2'000));
    for (uint32_t I = 0; I < Tasks; ++I)
      Idle.follow(lastingTask(I));
    Lost = Sim.Started.front().Target.Id;
    for (const executor::StartOrder &Start : Sim.Started)
      if (Start.Id.Task == lastingTask(0))
        Lost = Start.Target.Id;
    // No lease is left from before this owner.
    play(3'000);
  }
  void teardown() override { checkNoViolations(Sim); }

  bool step() {
    bool IsTakenOver = false;
    Sim.runFor(StepTime.count());
    for (WatchingEntry &Entry : Entries)
      IsTakenOver = Entry.advance(Sim) || IsTakenOver;
    Idle.update(Sim);
    return IsTakenOver;
  }
  void play(int64_t Ms) {
    for (TimePoint End = Sim.Now + Millis(Ms); Sim.Now < End;)
      step();
  }
  void playUntilTakeover() {
    constexpr Millis Limit{5'000};
    TimePoint End = Sim.Now + Limit;
    while (!step())
      CHECK(Sim.Now < End);
  }
  /// Checks that all tasks run again in time. What ended before \p CountedFrom is counted from then.
  void checkAllRunAgain(TimePoint CountedFrom = {}) {
    CHECK_TRUE(Idle.isAnyIdle());
    TimePoint Limit = Sim.Now + 3 * RestartBound;
    while (Idle.isAnyIdle() && Sim.Now < Limit)
      step();
    for (const IdleTime &Time : Idle.all(Sim.Now)) {
      Millis Waited = std::chrono::duration_cast<Millis>(Time.End - std::max(Time.Begin, CountedFrom));
      std::string Message = fmt::format("{} waited for {} ms", Time.Task, Waited.count());
      CHECK_TEXT(Waited <= RestartBound, Message.c_str());
    }
  }
  void playUntilLeaseExpires() {
    TimePoint End = Sim.Now + Millis(2 * LeaseMs);
    while (!Idle.isIdle(lastingTask(0))) {
      CHECK(Sim.Now < End);
      step();
    }
  }
};

TEST_GROUP_BASE(WhenAnExecutorIsLost, TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks::setup();
    Sim.loseExecutor(Lost);
    step();
  }
};
// clang-format on

/// Guards against a lease that is so long that the bound can't be kept.
TEST(WhenAnExecutorIsLost, ItsTaskRunsElsewhereInTime) { checkAllRunAgain(); }

// clang-format off
TEST_GROUP_BASE(WhenAnExecutorIsLostJustAfterATakeover, TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks) {
  static constexpr int64_t HeardForMs = 300;

  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks::setup();
    Entries.emplace_back("e2/1");
    play(1'000);
  }
  void loseExecutorAfterTakeover() {
    playUntilTakeover();
    play(HeardForMs);
    Sim.loseExecutor(Lost);
    step();
  }
};
// clang-format on

TEST(WhenAnExecutorIsLostJustAfterATakeover, ItsTaskRunsElsewhereInTime) {
  Sim.killOwner();
  loseExecutorAfterTakeover();
  checkAllRunAgain();
}

/// Guards against an owner that waits for leases of the last one although the
/// executor has answered it since.
TEST(WhenAnExecutorIsLostJustAfterATakeover,
     ItsTaskRunsElsewhereInTimeAlsoIfTheServiceWasReleased) {
  Sim.Owner->release();
  loseExecutorAfterTakeover();
  checkAllRunAgain();
}

// clang-format off
TEST_GROUP_BASE(WhenItsOwnerIsLostWithIt, TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks::setup();
    Entries.emplace_back("e2/1");
    play(1'000);
    Sim.loseExecutor(Lost);
    Sim.killOwner();
    step();
  }
};
// clang-format on

/// Guards against an owner that estimates leases of the last one from when it
/// first read the row.
TEST(WhenItsOwnerIsLostWithIt, TheTaskRunsElsewhereInTime) {
  checkAllRunAgain();
}

// clang-format off
TEST_GROUP_BASE(WhenTheNextOwnerIsLostToo, TEST_GROUP_CppUTestGroupWhenItsOwnerIsLostWithIt) {
  static constexpr int64_t LoadMs = 1'000;

  void setup() override {
    TEST_GROUP_CppUTestGroupWhenItsOwnerIsLostWithIt::setup();
    Sim.LoadTimeMs = LoadMs;
    playUntilTakeover();
  }
  void loseNextOwnerAfter(int64_t Ms) {
    play(Ms);
    Sim.killOwner();
    Entries.clear();
    Entries.emplace_back("e3/1");
    playUntilTakeover();
  }
};
// clang-format on

/// Guards against a takeover that restarts the wait for leases that a loading
/// owner never granted.
TEST(WhenTheNextOwnerIsLostToo, WhileItLoadsTheTaskRunsElsewhereInTime) {
  loseNextOwnerAfter(LoadMs / 2);
  checkAllRunAgain();
}

/// Guards against a takeover that forgets what the last owner knew of an
/// executor that it never heard.
TEST(WhenTheNextOwnerIsLostToo, OnceItHasLoadedTheTaskRunsElsewhereInTime) {
  loseNextOwnerAfter(LoadMs + 500);
  checkAllRunAgain();
}

// clang-format off
TEST_GROUP_BASE(WhenTheOwnerIsKilledASecondLater, TEST_GROUP_CppUTestGroupWhenAnExecutorIsLost) {
  static constexpr int64_t RestartMs = 650;

  void setup() override {
    TEST_GROUP_CppUTestGroupWhenAnExecutorIsLost::setup();
    play(1'000);
    Sim.killOwner();
  }
};
// clang-format on

/// Guards against an incarnation that does not use that the one before it is
/// over.
TEST(WhenTheOwnerIsKilledASecondLater,
     ItsNextIncarnationRunsTheTaskElsewhereInTime) {
  play(RestartMs);
  Entries.emplace_back("e1/2");
  playUntilTakeover();
  checkAllRunAgain();
}

TEST(WhenTheOwnerIsKilledASecondLater, AnotherEntryRunsTheTaskElsewhereInTime) {
  Entries.emplace_back("e2/1");
  playUntilTakeover();
  checkAllRunAgain();
}

// clang-format off
TEST_GROUP_BASE(WhenAnExecutorIsCutOff, TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks) {
  void prepare() override {
    for (size_t I = 0; I < ExecutorCount; ++I) {
      // As slow as a clock may be.
      Sim.executor("i-" + std::to_string(I)).ClockRate = 1 - MaxClockDrift;
      Sim.executor("i-" + std::to_string(I)).ClockOffset = Millis(50'000 * I);
    }
  }
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks::setup();
    Entries.emplace_back("e2/1");
    Entries.emplace_back("e3/1", 3);
    play(1'000);
    Sim.executor(Lost).Unreachable = true;
  }
};
// clang-format on

/// Guards against a second run while the first one still has its lease.
TEST(WhenAnExecutorIsCutOff, ItsTaskRunsElsewhereOnceItsLeaseHasExpired) {
  playUntilLeaseExpires();
  checkAllRunAgain();
}

/// Guards against two runs, or none, after an executor has come back.
TEST(WhenAnExecutorIsCutOff, ItsTaskRunsAgainAlsoIfItIsBackJustAfterTheLapse) {
  constexpr int64_t BackAfterMs = 100;
  playUntilLeaseExpires();
  play(BackAfterMs);
  Sim.executor(Lost).Unreachable = false;
  checkAllRunAgain();
  play(2 * RestartBound.count());
  CHECK_FALSE(Idle.isIdle(lastingTask(0)));
}

TEST(WhenAnExecutorIsCutOff, ItsTaskRunsOnIfItIsBackJustBeforeTheLapse) {
  constexpr int64_t Margin = 1'000;
  play(LeaseMs - Margin);
  Sim.executor(Lost).Unreachable = false;
  play(2 * RestartBound.count());
  LONGS_EQUAL(1, Sim.runsOf(lastingTask(0)));
}

/// Guards against a lease end that is judged by the owner's clock: the last
/// renewals reached the executor, whose clock is slow.
TEST(WhenAnExecutorIsCutOff, ItsTaskIsNotRunTwiceIfItsAnswersWereLostBefore) {
  Sim.executor(Lost).Unreachable = false;
  Sim.executor(Lost).AnswersLost = true;
  play(2 * LeaseOptions{}.RenewalWindow.count());
  Sim.executor(Lost).Unreachable = true;
  playUntilLeaseExpires();
  checkAllRunAgain();
}

/// The same for an owner that knows of the leases only from the last one.
TEST(WhenAnExecutorIsCutOff,
     ItsTaskIsNotRunTwiceByTheNextOwnerIfItsAnswersWereLostBefore) {
  Sim.executor(Lost).Unreachable = false;
  Sim.executor(Lost).AnswersLost = true;
  play(2 * LeaseOptions{}.RenewalWindow.count());
  Sim.killOwner();
  Sim.executor(Lost).Unreachable = true;
  playUntilTakeover();
  playUntilLeaseExpires();
  checkAllRunAgain();
}

/// Guards against a next owner that takes the executor for gone because it has
/// never answered it.
TEST(WhenAnExecutorIsCutOff, ItsTaskIsNotRunTwiceByTheNextOwner) {
  Sim.killOwner();
  playUntilTakeover();
  playUntilLeaseExpires();
  checkAllRunAgain();
}

/// Guards against a next owner that takes a cut off executor for gone because
/// its entry has left the instance list.
TEST(WhenAnExecutorIsCutOff, ItsTaskIsNotRunTwiceIfItIsNoLongerListed) {
  Sim.setListed(Lost, false);
  Sim.killOwner();
  playUntilTakeover();
  playUntilLeaseExpires();
  checkAllRunAgain();
}

TEST(WhenAnExecutorIsCutOff, ItsTaskIsNotRunTwiceIfItLeavesTheList) {
  constexpr int64_t ListDelayMs = 3'500;
  play(ListDelayMs);
  Sim.setListed(Lost, false);
  playUntilLeaseExpires();
  checkAllRunAgain();
}

/// Guards against leases that are lost track of by the second takeover.
TEST(WhenAnExecutorIsCutOff, ItsTaskIsNotRunTwiceByTheOwnerAfterTheNext) {
  constexpr int64_t HeldForMs = 1'000;
  Sim.killOwner();
  playUntilTakeover();
  play(HeldForMs);
  Sim.killOwner();
  playUntilTakeover();
  playUntilLeaseExpires();
  checkAllRunAgain();
}

/// Guards against an owner that grants a lease to an executor which the stored
/// row still describes as lost.
TEST(WhenAnExecutorIsCutOff, ItsTaskIsNotRunTwiceIfOnlyTheNextOwnerReachesIt) {
  constexpr int64_t HeardForMs = 200;
  Sim.killOwner();
  playUntilTakeover();
  Sim.executor(Lost).Unreachable = false;
  play(HeardForMs);
  Sim.executor(Lost).Unreachable = true;
  Sim.killOwner();
  playUntilTakeover();
  playUntilLeaseExpires();
  checkAllRunAgain();
}

/// Guards against leases that outlast what the stored row says of the executor,
/// because the row could not be written before its owner was lost.
TEST(WhenAnExecutorIsCutOff, ItsTaskIsNotRunTwiceIfItIsHeardWithoutTheStore) {
  constexpr int64_t UnheardForMs = 1'000;
  constexpr int64_t HeardForMs = 1'000;
  Sim.killOwner();
  playUntilTakeover();
  play(UnheardForMs);
  Sim.cutsOf(*Sim.Owner).Store = true;
  Sim.executor(Lost).Unreachable = false;
  play(HeardForMs);
  Sim.executor(Lost).Unreachable = true;
  Sim.killOwner();
  playUntilTakeover();
  playUntilLeaseExpires();
  checkAllRunAgain();
}

// clang-format off
TEST_GROUP_BASE(WhenTheStoreIsSilent, TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks) {
  TimePoint ReturnedAt{};

  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks::setup();
    Entries.emplace_back("e2/1");
    play(1'000);
    setStoreSilent(true);
  }
  void setStoreSilent(bool IsSilent) {
    Sim.StoreSilent = IsSilent;
    Sim.FeedsSilent = IsSilent;
    if (IsSilent)
      return;
    ReturnedAt = Sim.Now;
    if (Sim.Owner)
      Sim.Owner->onStoreBack(Sim.Now);
  }
};
// clang-format on

/// Guards against a wait that starts anew when the store answers again.
TEST(WhenTheStoreIsSilent, ATaskLostMeanwhileRunsElsewhereInTime) {
  play(1'500);
  Sim.loseExecutor(Lost);
  step();
  play(1'500);
  setStoreSilent(false);
  checkAllRunAgain(ReturnedAt + StoreRecovery);
}

TEST(WhenTheStoreIsSilent, ATaskLostJustBeforeRunsElsewhereInTime) {
  Sim.loseExecutor(Lost);
  step();
  play(3'000);
  setStoreSilent(false);
  checkAllRunAgain(ReturnedAt + StoreRecovery);
}

/// Guards against statements of the stored row that are older than the leases
/// granted since.
TEST(WhenTheStoreIsSilent, ATaskLostWithItsOwnerRunsElsewhereInTime) {
  play(1'500);
  Sim.loseExecutor(Lost);
  Sim.killOwner();
  step();
  play(1'500);
  setStoreSilent(false);
  checkAllRunAgain(ReturnedAt + StoreRecovery);
}

/// Guards against a second run when leases were renewed without the store.
TEST(WhenTheStoreIsSilent, ATaskCutOffWithItsOwnerIsNotRunTwice) {
  play(1'500);
  Sim.executor(Lost).Unreachable = true;
  Sim.killOwner();
  play(1'500);
  setStoreSilent(false);
  playUntilLeaseExpires();
  checkAllRunAgain(ReturnedAt + StoreRecovery);
}

/// Guards against tasks that stand still once all leases have expired.
TEST(WhenTheStoreIsSilent, AllTasksRunAgainAfterAnOutageLongerThanALease) {
  constexpr int64_t BeyondLeaseMs = 4'000;
  play(1'500);
  Sim.loseExecutor(Lost);
  play(LeaseMs + BeyondLeaseMs);
  setStoreSilent(false);
  checkAllRunAgain(ReturnedAt + StoreRecovery);
}

// clang-format off
TEST_GROUP_BASE(WhenAPausedOwnerResumesAfterATakeover, TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks::setup();
    Entries.emplace_back("e2/1");
    play(1'000);
    Sim.pauseOwner();
    playUntilTakeover();
    // Each reaches what the other doesn't.
    Sim.cutsOf(*Sim.Owner).Executors = {Lost};
    for (size_t I = 0; I < ExecutorCount; ++I) {
      std::string Id = "i-" + std::to_string(I);
      if (Id != Lost)
        Sim.cutsOf(*Sim.OldOwner).Executors.insert(Id);
    }
    Sim.cutsOf(*Sim.OldOwner).Store = true;
  }
};
// clang-format on

/// Guards against leases that an owner grants after another has taken over and
/// that the other doesn't wait for.
TEST(WhenAPausedOwnerResumesAfterATakeover, NoTaskRunsTwice) {
  Sim.resumeOwner();
  play(3 * RestartBound.count());
  CHECK_FALSE(Idle.isIdle(lastingTask(0)));
}

TEST(WhenAPausedOwnerResumesAfterATakeover, NoTaskRunsTwiceAlsoIfItWasLong) {
  play(RestartBound.count());
  Sim.resumeOwner();
  play(3 * RestartBound.count());
  CHECK_FALSE(Idle.isIdle(lastingTask(0)));
}

/// Guards against a start that arrives after the next owner, which found its
/// run absent, has started the task again.
TEST(AnOwnerOfLastingTasks, ALateStartOfTheLastOwnerIsFenced) {
  constexpr const char *LaterJobId = "00000000000000a2";
  constexpr int64_t AllHaveArrivedMs = 5'000;
  Sim.Faults.OrderLate = 1;
  Sim.submit(makeLastingJob(LaterJobId, Tasks));
  play(100);
  Sim.Faults.OrderLate = 0;
  Sim.takeOver();
  play(AllHaveArrivedMs);
  for (uint32_t I = 0; I < Tasks; ++I)
    CHECK_TRUE(Sim.isOpen(taskName({.Job = LaterJobId, .Index = I})));
}

/// Guards against an owner without confirmed commits that sends recorded starts
/// again, with new leases.
TEST(AnOwnerOfLastingTasks, AStartIsNotSentAgainWithoutOwnership) {
  constexpr const char *LaterJobId = "00000000000000a2";
  std::string LaterTask = taskName({.Job = LaterJobId});
  for (size_t I = 0; I < ExecutorCount; ++I)
    Sim.cutsOf(*Sim.Owner).Executors.insert("i-" + std::to_string(I));
  // Its start is recorded and sent, but does not arrive.
  Sim.submit(makeLastingJob(LaterJobId, 1));
  TimePoint SubmittedAt = Sim.Now;
  play(100);
  auto Progress = decodeProgress(Sim.storedValue(ProgressTable, LaterJobId));
  CHECK_TRUE(static_cast<bool>(Progress));
  std::string Chosen = Progress->Tasks.begin()->second.Executor;
  // Another owner takes over, which does not reach that executor.
  Sim.cutsOf(*Sim.Owner).Store = true;
  Entries.emplace_back("e2/1");
  Sim.pauseOwner();
  playUntilTakeover();
  Sim.resumeOwner();
  Sim.cutsOf(*Sim.Owner).Executors = {Chosen};
  // The first one hears it again before its lease there expires, and can
  // send orders to it a little later.
  constexpr Millis LeaseLeft{1'000};
  constexpr Millis OrderDelay{300};
  TimePoint BackAt = SubmittedAt + Millis(LeaseMs) - LeaseLeft;
  Sim.RefusalFor = [&](const executor::StartOrder &Order) {
    bool IsLost = Order.Target.Id == Chosen && Sim.Now < BackAt + OrderDelay;
    return IsLost ? std::optional(executor::OrderOutcome::Unknown)
                  : std::nullopt;
  };
  play(toMillis(BackAt - Sim.Now));
  Sim.cutsOf(*Sim.OldOwner).Executors.erase(Chosen);
  play(3 * RestartBound.count());
  CHECK_TRUE(Sim.isOpen(LaterTask));
}

// clang-format off
TEST_GROUP_BASE(WithAPolicyWhoseTicketsHaveExpired, TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks) {
  static constexpr Millis TicketValidity{5'000};

  void prepare() override {
    Sim.requireAdvice({.Settings = {.BaseMs = 50, .PerExecutorMs = 5, .Validity = TicketValidity}, .AllowedShare = 1});
  }
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerOfLastingTasks::setup();
    play(TicketValidity.count());
  }
};
// clang-format on

/// Guards against permission for the next start that is looked for too late.
TEST(WithAPolicyWhoseTicketsHaveExpired, ALostTaskRunsElsewhereInTime) {
  Sim.loseExecutor(Lost);
  step();
  checkAllRunAgain();
}

TEST(WithAPolicyWhoseTicketsHaveExpired, ATaskLostWithItsOwnerRunsInTime) {
  Entries.emplace_back("e2/1");
  play(1'000);
  Sim.loseExecutor(Lost);
  Sim.killOwner();
  step();
  checkAllRunAgain();
}

/// Executors that are lost or cut off, owners that are killed and paused, and a
/// store that falls silent, in any order. No task may run twice at once, and no
/// lasting task may wait longer than the bound.
TEST_GROUP(RandomLosses){};

namespace {

/// An entry that can be killed, paused and restarted.
struct RandomEntry {
  std::string Name;
  uint32_t Rank = 0;
  uint32_t Incarnation = 1;
  TimePoint DownUntil{};
  WatchingEntry Watch;

  std::string holder() const { return fmt::format("{}/{}", Name, Incarnation); }
};

/// One play with random faults.
class LossPlay {
public:
  explicit LossPlay(uint64_t Seed)
      : Seed(Seed), Sim(Seed), Rng(Seed * 11 + 3) {}

  void run() {
    setUp();
    play(randomTime(1'000, 12'000));
    for (int Series = 0; Series < SeriesCount; ++Series) {
      for (uint64_t Faults = 1 + Rng.below(3); Faults > 0; --Faults) {
        injectFault();
        play(randomTime(50, 2'000));
      }
      play(randomTime(10'000, 16'000));
    }
    Sim.Faults = {};
    NextJobAt = TimePoint::max();
    play(QuietTime);
    checkEnd();
  }

private:
  static constexpr size_t ExecutorCount = 16;
  static constexpr size_t MaxLost = 5;
  static constexpr uint32_t TasksPerJob = 4;
  static constexpr int SeriesCount = 4; ///< Of faults.
  static constexpr Millis QuietTime{25'000};
  /// The wait counts while this time before it has been without faults.
  static constexpr Millis CalmTime{7'000};

  Millis randomTime(int64_t MinMs, int64_t MaxMs) {
    auto Range = static_cast<uint64_t>(MaxMs - MinMs);
    return Millis(MinMs + static_cast<int64_t>(Rng.below(Range)));
  }

  SimExecutor &randomExecutor() {
    return Sim.executor("i-" + std::to_string(Rng.below(ExecutorCount)));
  }

  /// Half of the time one that runs a lasting task.
  SimExecutor &randomVictim() {
    const std::string &Task = LastingTasks[Rng.below(LastingTasks.size())];
    bool MustRunTask = Rng.below(2) == 0;
    for (size_t I = 0; MustRunTask && I < ExecutorCount; ++I) {
      SimExecutor &Candidate = Sim.executor("i-" + std::to_string(I));
      if (!Candidate.Dead && Candidate.Running.count(Task))
        return Candidate;
    }
    return randomExecutor();
  }

  void setUp() {
    for (size_t I = 0; I < ExecutorCount; ++I) {
      std::string Id = Sim.addExecutor(Wide, "r" + std::to_string(I % 4));
      SimExecutor &Added = Sim.executor(Id);
      Added.ClockRate = 1 - MaxClockDrift * Rng.uniform();
      Added.ClockOffset = randomTime(0, 100'000);
    }
    Sim.RunTimeFor = [](const std::string &Task, int64_t Estimate) {
      return Task.starts_with("a") ? Forever : Estimate;
    };
    Sim.Faults = {.OrderAnswerLost = 0.03,
                  .OrderLate = 0.02,
                  .RenewalLate = 0.02,
                  .CommitAnswerLost = 0.03,
                  .CommitLate = 0.02};
    for (uint32_t I = 0; I < 3; ++I)
      addEntry("e" + std::to_string(I + 1), 3 * I);
    Sim.LoadTimeMs = randomTime(0, 1'000).count();
    OwnerEntry = &Entries.front();
    Sim.takeOver(OwnerEntry->holder());
    for (const char *Id : {"a000000000000001", "a000000000000002"}) {
      Sim.submit(makeLastingJob(Id, TasksPerJob));
      for (uint32_t I = 0; I < TasksPerJob; ++I)
        LastingTasks.push_back(taskName({.Job = Id, .Index = I}));
    }
    for (const std::string &Task : LastingTasks)
      Idle.follow(Task);
  }

  void addEntry(const std::string &Name, uint32_t Rank) {
    RandomEntry Added{
        .Name = Name, .Rank = Rank, .Watch = WatchingEntry(Name + "/1", Rank)};
    Entries.push_back(std::move(Added));
  }

  void play(Millis Time) {
    for (TimePoint End = Sim.Now + Time; Sim.Now < End;) {
      if (Sim.Now >= NextJobAt) {
        submitBatchJob();
        NextJobAt = Sim.Now + randomTime(500, 2'000);
      }
      step();
    }
  }

  void submitBatchJob() {
    std::string Id = fmt::format("b{:015x}", BatchJobs.size());
    auto Tasks = static_cast<uint32_t>(1 + Rng.below(4));
    JobSpec Job =
        Simulation::makeJob(Id, Tasks, Small, randomTime(100, 900).count());
    Job.Steps[0].Gang = Rng.below(4) == 0;
    Sim.submit(Job);
    BatchJobs.push_back(Id);
  }

  void injectFault() {
    LastFaultAt = Sim.Now;
    switch (Rng.below(8)) {
    case 0:
    case 1:
      loseExecutor();
      break;
    case 2:
    case 3:
      cutOffExecutor();
      break;
    case 4:
      killOwner();
      cutOffExecutor();
      break;
    case 5:
      killOwner();
      endLater(randomTime(1'000, 5'000), [this] { killOwner(); });
      break;
    case 6:
      silenceStore();
      break;
    default:
      pauseOwner();
      break;
    }
  }

  void loseExecutor() {
    SimExecutor &Chosen = randomVictim();
    if (Chosen.Dead || LostCount == MaxLost)
      return;
    ++LostCount;
    Sim.loseExecutor(Chosen.Info.Id);
  }

  void cutOffExecutor() {
    SimExecutor &Chosen = randomVictim();
    Chosen.AnswersLost = Rng.below(2) == 0;
    Chosen.Unreachable = !Chosen.AnswersLost;
    endLater(randomTime(200, 2'000),
             [&Executor = Chosen] { Executor.Unreachable = true; });
    bool IsUnlisted = Rng.below(2) == 0;
    if (IsUnlisted)
      Sim.setListed(Chosen.Info.Id, false);
    endLater(randomTime(2'000, 12'000), [this, &Executor = Chosen] {
      Executor.AnswersLost = false;
      Executor.Unreachable = false;
      Sim.setListed(Executor.Info.Id, true);
    });
  }

  void killOwner() {
    if (!Sim.Owner)
      return;
    Sim.killOwner();
    OwnerEntry->DownUntil = Sim.Now + randomTime(400, 3'000);
    ++OwnerEntry->Incarnation;
    OwnerEntry->Watch = WatchingEntry(OwnerEntry->holder(), OwnerEntry->Rank);
  }

  void silenceStore() {
    Sim.StoreSilent = true;
    Sim.FeedsSilent = true;
    endLater(randomTime(300, 6'000), [this] {
      Sim.StoreSilent = false;
      Sim.FeedsSilent = false;
      if (Sim.Owner)
        Sim.Owner->onStoreBack(Sim.Now);
    });
  }

  /// If another takes over meanwhile, each of both owners fails to reach one
  /// executor, and the old one doesn't reach the store, for some time.
  void pauseOwner() {
    if (!Sim.Owner || IsOwnerPaused || hasOldOwner())
      return;
    IsOwnerPaused = true;
    OldOwnerEntry = OwnerEntry;
    Sim.pauseOwner();
    endLater(randomTime(500, 4'000), [this] {
      IsOwnerPaused = false;
      Sim.resumeOwner();
      if (!Sim.OldOwner) {
        OwnerEntry = OldOwnerEntry;
        return;
      }
      Sim.cutsOf(*Sim.OldOwner).Store = true;
      Sim.cutsOf(*Sim.OldOwner).Executors = {randomExecutor().Info.Id};
      Sim.cutsOf(*Sim.Owner).Executors = {randomVictim().Info.Id};
      endLater(randomTime(200, 9'000),
               [this, Old = Sim.OldOwner.get(), New = Sim.Owner.get()] {
                 Sim.cutsOf(*Old) = {};
                 Sim.cutsOf(*New) = {};
               });
    });
  }

  /// Whether one is paused, or doesn't know yet that another has taken over.
  bool hasOldOwner() const { return Sim.OldOwner && !Sim.OldOwner->deposed(); }

  /// Ends a fault that lasts.
  void endLater(Millis After, std::function<void()> Action) {
    FaultEnds.emplace(Sim.Now + After, std::move(Action));
  }

  void step() {
    Sim.runFor(StepTime.count());
    while (!FaultEnds.empty() && FaultEnds.begin()->first <= Sim.Now) {
      auto Action = std::move(FaultEnds.begin()->second);
      FaultEnds.erase(FaultEnds.begin());
      LastFaultAt = Sim.Now;
      Action();
    }
    for (RandomEntry &Entry : Entries) {
      bool IsWatching = !hasOldOwner() || OldOwnerEntry != &Entry;
      bool IsUp = Sim.Now >= Entry.DownUntil;
      if (IsUp && IsWatching && Entry.Watch.advance(Sim))
        OwnerEntry = &Entry;
    }
    Idle.update(Sim);
    checkWaits();
  }

  void checkWaits() {
    bool IsCalm = FaultEnds.empty() && Sim.Now > LastFaultAt + CalmTime;
    if (!IsCalm || !Idle.isAnyIdle())
      return;
    for (const IdleTime &Time : Idle.all(Sim.Now)) {
      if (Time.End != Sim.Now || Time.End - Time.Begin <= RestartBound)
        continue;
      std::string Message =
          fmt::format("seed {}: {} waits since {} ms, last fault {} ms ago",
                      Seed, Time.Task, toMillis(Time.End - Time.Begin),
                      toMillis(Sim.Now - LastFaultAt));
      FAIL(Message.c_str());
    }
  }

  void checkEnd() {
    for (const std::string &Violation : Sim.violations())
      FAIL(fmt::format("seed {}: {}", Seed, Violation).c_str());
    CHECK_FALSE(Idle.isAnyIdle());
    for (const std::string &Id : BatchJobs) {
      std::string Message = fmt::format("seed {}: {} {}", Seed, Id,
                                        phaseName(Sim.storedPhase(Id)));
      CHECK_TEXT(Sim.storedPhase(Id) == JobPhase::Completed, Message.c_str());
    }
  }

  uint64_t Seed;
  Simulation Sim;
  Random Rng;
  IdleMeter Idle;
  std::vector<RandomEntry> Entries;
  std::vector<std::string> LastingTasks;
  std::vector<std::string> BatchJobs;
  std::multimap<TimePoint, std::function<void()>> FaultEnds;
  TimePoint LastFaultAt{};
  TimePoint NextJobAt{};
  size_t LostCount = 0;
  bool IsOwnerPaused = false;
  RandomEntry *OwnerEntry = nullptr;
  RandomEntry *OldOwnerEntry = nullptr;
};

} // namespace

TEST(RandomLosses, LeaveNoLastingTaskWaitingAndRunNoneTwice) {
  constexpr uint64_t Seeds = 20;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    LossPlay(Seed).run();
}
