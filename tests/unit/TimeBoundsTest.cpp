#include "cell/AdviceDispatcher.h"
#include "cell/LeavingExecutors.h"
#include "config/CellSettings.h"
#include "node/ConfigFollower.h"
#include "node/ExecutorList.h"
#include "node/IntakeLoop.h"
#include "node/OwnerReads.h"
#include "node/OwnerWatch.h"
#include "node/ShutdownPlan.h"
#include "platform/ExecutorClient.h"
#include "platform/StoreClient.h"
#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

/// Promises with a time bound that are kept by several waits: the sum of the
/// waits must stay within the bound. docs/TIME-BOUNDS.md lists them.

using namespace daisylanding;
using namespace daisylanding::node;

namespace {

/// Most time between two turns of the loop that reads owner rows.
constexpr Millis WatchTurn{50};
/// A read of a store that answers without delay.
constexpr Millis ReadTime{5};

TimePoint at(Millis Elapsed) {
  return TimePoint(std::chrono::hours(1)) + Elapsed;
}

/// Times since the stop signal if each wait takes all of its time.
struct ShutdownTimes {
  Millis LoadBalancerDone{0};
  Millis AnswersDone{0};
};

ShutdownTimes slowestShutdown(Millis Limit) {
  ShutdownPlan Plan(at(Millis(0)), Limit);
  ShutdownTimes Times;
  Millis Elapsed = Plan.releaseLimit(at(Millis(0)));
  Elapsed += Plan.loadBalancerWait(at(Elapsed));
  Times.LoadBalancerDone = Elapsed;
  Elapsed += Plan.answerLimit(at(Elapsed));
  Times.AnswersDone = Elapsed;
  return Times;
}

/// The longest time between two answers to reads of an owner row if the store
/// answers all of them at once, but for the third.
Millis longestReadGap() {
  constexpr uint32_t LostRead = 3;
  OwnerReads Reads;
  Millis LastAnswer{0};
  Millis LongestGap{0};
  uint32_t Sent = 0;
  for (Millis Elapsed{0}; Elapsed < Millis(3'000); Elapsed += WatchTurn) {
    TimePoint Now = at(Elapsed);
    if (!Reads.isDue(Now, static_cast<double>(ReadTime.count())))
      continue;
    Reads.recordSent(Now);
    if (++Sent == LostRead)
      continue;
    Reads.recordEnd(Now, true, Now + ReadTime);
    LongestGap = std::max(LongestGap, Elapsed + ReadTime - LastAnswer);
    LastAnswer = Elapsed + ReadTime;
  }
  return LongestGap;
}

/// Whether another entry, whose reads begin \p Phase later, would acquire the
/// service of an owner that rewrites its row at this interval.
bool isTakenOver(Millis RewriteInterval, Millis Phase) {
  constexpr Millis ReadInterval{300};
  OwnerWatch Watch{OwnerWatchOptions{}};
  bool IsAcquired = false;
  for (Millis Elapsed = Phase; Elapsed < Millis(20'000);
       Elapsed += ReadInterval + WatchTurn) {
    auto Version = static_cast<uint64_t>(1 + Elapsed / RewriteInterval);
    cell::OwnerRow Row{.Holder = "a/1", .Epoch = 1, .Sequence = Version};
    Watch.recordRow(Version, Row, ReadTime, at(Elapsed));
    Millis NextTurn = Elapsed + ReadInterval + WatchTurn;
    IsAcquired |= Watch.shouldAcquire("b/1", 0, at(NextTurn));
  }
  return IsAcquired;
}

/// Time until the answer to an advice call if the queue that gets it first
/// never answers.
Millis adviceTimeWithALostAnswer(Millis ServiceTime) {
  constexpr Millis Turn{20};
  cell::AdviceDispatcher Queues;
  Queues.setQueues({{.Entry = "a", .Address = "relay-a"},
                    {.Entry = "b", .Address = "relay-b"},
                    {.Entry = "c", .Address = "relay-c"},
                    {.Entry = "d", .Address = "relay-d"}});
  Queues.add({.Id = 1,
              .RequestedAt = at(Millis(0)),
              .DueAt = at(Millis(0)),
              .ExpectedMs = static_cast<double>(ServiceTime.count())});
  uint32_t Assigned = 0;
  Millis Elapsed{0};
  for (; Assigned < 2 && Elapsed < Millis(60'000); Elapsed += Turn) {
    Queues.addCopies(at(Elapsed));
    Assigned += Queues.assignNext(at(Elapsed)).has_value() ? 1 : 0;
  }
  return Elapsed + ServiceTime;
}

} // namespace

TEST_GROUP(AGracefulShutdown){};

/// Guards against an entry that is killed in its shutdown because the waits
/// together take longer than its drain limit.
TEST(AGracefulShutdown, TakesNoLongerThanItsLimit) {
  for (Millis Limit : {Millis(500), Millis(2'000), Millis(3'000),
                       config::CellSettings{}.DrainLimit, Millis(60'000)})
    CHECK(slowestShutdown(Limit).AnswersDone < Limit);
}

TEST(AGracefulShutdown, WaitsForTheLoadBalancerIfItsLimitAllows) {
  CHECK(slowestShutdown(config::CellSettings{}.DrainLimit).LoadBalancerDone ==
        ShutdownPlan::LoadBalancerGrace);
}

/// Guards against callers that lose their connection at a planned stop.
TEST(AGracefulShutdown, LeavesTheLastRequestItsTime) {
  ShutdownTimes Times = slowestShutdown(config::CellSettings{}.DrainLimit);
  CHECK(Times.AnswersDone >= Times.LoadBalancerDone +
                                 IntakeLoop::DefaultTimeout -
                                 IntakeLoop::AnswerMargin);
}

TEST_GROUP(AnEntryThatWatchesOwners){};

/// Guards against entries that refuse requests for one lost answer of the
/// store.
TEST(AnEntryThatWatchesOwners, HearsTheStoreInTimeIfOneAnswerIsLost) {
  CHECK(longestReadGap() < IntakeLoop::StoreSilenceLimit);
}

/// Guards against takeovers of live owners: each costs seconds without starts.
TEST(AnEntryThatWatchesOwners, LeavesAnOwnerThatMissesTwoHeartbeats) {
  Millis Interval = 3 * cell::OwnerOptions{}.HeartbeatInterval;
  for (Millis Phase{0}; Phase < Interval; Phase += Millis(20))
    CHECK_FALSE(isTakenOver(Interval, Phase));
}

TEST_GROUP(AnEntryThatDeniesByItsConfiguration){};

/// Guards against an entry of a calm cell that refuses requests: just before an
/// answer, what is confirmed is as old as that question and the one before it.
TEST(AnEntryThatDeniesByItsConfiguration, HasItConfirmedInTime) {
  Millis Question = ConfigFollower::FeedWait + ReadTime + WatchTurn;
  Millis OldestConfirmation = 2 * Question;
  CHECK(OldestConfirmation < config::CellSettings::MinConfigDelay);
}

TEST_GROUP(AnOwnerThatStartsTasks){};

/// Guards against pauses without starts: they require a list young enough that
/// an executor which drains since then gets no start after its bound.
TEST(AnOwnerThatStartsTasks, HasAListInTimeIfOneReadIsLost) {
  Millis ConfirmedAgain = ExecutorList::FullReadInterval +
                          platform::StoreClientOptions{}.ReadStallTimeout +
                          ExecutorList::RetryDelay;
  Millis OrderSent = platform::ExecutorClientOptions{}.ConnectTimeout;
  CHECK(ConfirmedAgain + OrderSent <= config::CellSettings{}.MaxDrainDelay);
}

/// Guards against an owner that gives up the answer to a commit that would
/// still allow it to renew leases.
TEST(AnOwnerThatStartsTasks, WaitsForACommitAsLongAsItsGrantsLast) {
  cellsim::Simulation Sim;
  Sim.addExecutor({.MilliCores = 1'000, .MemoryMb = 1'000});
  Sim.takeOver();
  Sim.runFor(1'000);
  CHECK_FALSE(Sim.AppliedCommits.empty());
  CHECK(Sim.AppliedCommits.back().AnswerWait >=
        cell::LeaseOptions{}.MaxOwnershipTimeout);
}

/// Guards against tasks that wait although executors have free capacity: an
/// entry that was asked for advice has died.
TEST(AnOwnerThatStartsTasks, GetsAdviceInTimeIfOneAnswerIsLost) {
  constexpr Millis MaxWait{3'000};
  constexpr Millis CommitAndOrder{100};
  for (Millis ServiceTime : {Millis(25), Millis(300), Millis(850)})
    CHECK(adviceTimeWithALostAnswer(ServiceTime) + CommitAndOrder <= MaxWait);
}

TEST_GROUP(AnOwnerThatMovesTasks){};

/// Guards against a wait that makes a planned move take longer than the loss
/// of the executor would, which is known after a lease.
TEST(AnOwnerThatMovesTasks, IsDoneSoonerThanALeaseExpires) {
  constexpr Millis AdviceTime{850};
  constexpr Millis CommitAndOrder{100};
  Millis Moved = ExecutorList::FullReadInterval + AdviceTime +
                 cell::MaxStopTime + cell::EndNoticeTime + CommitAndOrder;
  CHECK(Moved < cell::LeaseOptions{}.LeaseDuration);
}

/// Guards against a stopped task whose ticket has expired when its start is
/// sent.
TEST(AnOwnerThatMovesTasks, HasATicketThatOutlastsTheStop) {
  constexpr Millis Validity{2'000};
  Millis Needed = cell::moveTime({.Validity = Validity});
  CHECK(Needed >= cell::MaxStopTime + cell::EndNoticeTime);
  CHECK(Needed < Validity);
}

// clang-format off
TEST_GROUP(TheDefaultTimesOfAZoneEntry) {
  config::Settings Defaults;
};
// clang-format on

/// Guards against takeovers of the shards of an entry that lives: one heartbeat
/// waits for its timeout, and others read it at the next interval.
TEST(TheDefaultTimesOfAZoneEntry, LeaveAnEntryThatLosesOneHeartbeatAlive) {
  CHECK(Defaults.HeartbeatInterval + Defaults.PlatformTimeout +
            Defaults.HeartbeatInterval <=
        Defaults.TakeoverTimeout);
}

/// Guards against tasks that end although their worker is in reach. The
/// timeout of a sync is two intervals; leases count from the last heartbeat.
TEST(TheDefaultTimesOfAZoneEntry, LetLeasesOutlastOneLostSync) {
  CHECK(Defaults.HeartbeatInterval + 3 * Defaults.WorkerSyncInterval <
        Defaults.WorkerLeaseDuration);
}

TEST(TheDefaultTimesOfAZoneEntry, CallAZoneLostOnlyOnceItsLeasesHaveExpired) {
  CHECK(Defaults.HeartbeatInterval + Defaults.WorkerLeaseDuration +
            Defaults.LeaseMargin <
        Defaults.ZoneLossTimeout);
}

TEST(TheDefaultTimesOfAZoneEntry, AllowForClocksThatAreTwoPercentSlow) {
  constexpr int64_t DriftPercent = 2;
  CHECK(Defaults.LeaseMargin >
        Defaults.WorkerLeaseDuration * DriftPercent / 100);
}
