#include "entry/Ownership.h"
#include "policy/CommitPacer.h"
#include "table/WriteBudget.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::entry;

namespace {

Member member(const std::string &Name, const std::string &Zone, bool Alive) {
  return {.Name = Name,
          .Incarnation = "1",
          .AvailabilityZone = Zone,
          .Alive = Alive,
          .LastChangeAt = TimePoint(Millis(1'000))};
}

} // namespace

// clang-format off
TEST_GROUP(AZoneOfTwoEntries) {
  ClusterView View;
  ShardRow OwnedShard{.Id = "za.0", .Owner = "a", .OwnerIncarnation = "1", .Epoch = 3};
  Member EntryA = member("a", "za", true);
  Member EntryB = member("b", "za", true);
  void setup() override { View.Members = {EntryA, EntryB}; }
};

TEST_GROUP_BASE(WhenTheOwnerIsSilent, TEST_GROUP_CppUTestGroupAZoneOfTwoEntries) {
  void setup() override {
    EntryA.Alive = false;
    View.Members = {EntryA, EntryB};
  }
};

TEST_GROUP(ABudgetOfTenWrites) {
  TimePoint Now{Micros(std::chrono::hours(1))};
  table::WriteBudget Budget{10};
  void exhaust() {
    while (Budget.tryTake(Now)) {
    }
  }
};
// clang-format on

TEST(AZoneOfTwoEntries, NoEntryAcquiresAShardWithALiveOwner) {
  CHECK_FALSE(shouldAcquire(OwnedShard, EntryA, View));
  CHECK_FALSE(shouldAcquire(OwnedShard, EntryB, View));
}

TEST(AZoneOfTwoEntries, AShardWithoutAnOwnerIsAcquiredByExactlyOneEntry) {
  ShardRow UnownedShard{.Id = "za.1"};
  CHECK(shouldAcquire(UnownedShard, EntryA, View) !=
        shouldAcquire(UnownedShard, EntryB, View));
}

TEST(AZoneOfTwoEntries, ARestartedEntryIsNotTheOwner) {
  View.Members[0].Incarnation = "2";
  Member Restarted = EntryA;
  Restarted.Incarnation = "2";
  CHECK(shouldAcquire(OwnedShard, Restarted, View) !=
        shouldAcquire(OwnedShard, EntryB, View));
}

TEST(WhenTheOwnerIsSilent, TheOtherEntryAcquiresTheShard) {
  CHECK(shouldAcquire(OwnedShard, EntryB, View));
}

TEST(WhenTheOwnerIsSilent, TheZoneIsNotLost) {
  CHECK_FALSE(
      isZoneLost("za", View.Members, Millis(10), TimePoint(Millis(60'000))));
}

TEST(WhenTheOwnerIsSilent,
     TheZoneIsLostOnceAllItsEntriesAreSilentForLongEnough) {
  View.Members[1].Alive = false;
  CHECK_FALSE(
      isZoneLost("za", View.Members, Millis(500), TimePoint(Millis(1'400))));
  CHECK(isZoneLost("za", View.Members, Millis(500), TimePoint(Millis(1'600))));
  CHECK_FALSE(
      isZoneLost("zb", View.Members, Millis(500), TimePoint(Millis(1'600))));
}

/// Guards against moving the jobs of a zone whose entries may have come back
/// while this process was paused or the platform was away.
TEST(WhenTheOwnerIsSilent, ItsSilenceDuringAPauseOfTheObserverProvesNothing) {
  config::Settings Options;
  TimePoint LastRead(Millis(1'000));
  CHECK(isObserving(LastRead, Options, LastRead + Options.HeartbeatInterval));
  CHECK_FALSE(
      isObserving(LastRead, Options, LastRead + Options.ZoneLossTimeout));
}

TEST(AZoneOfTwoEntries, ShardsSpreadOverItsEntries) {
  std::set<std::string> Owners;
  for (int I = 0; I < 32; ++I)
    Owners.insert(
        preferredOwner("za." + std::to_string(I), "za", View.Members)->Name);
  LONGS_EQUAL(2, Owners.size());
}

TEST(ABudgetOfTenWrites, IsExhaustedAndRefilled) {
  exhaust();
  CHECK_FALSE(Budget.tryTake(Now));
  Now += Millis(100);
  CHECK(Budget.tryTake(Now));
  CHECK_FALSE(Budget.tryTake(Now));
}

TEST(ABudgetOfTenWrites, AdmitsAHeartbeatAfterBulkWritesExhaustedIt) {
  exhaust();
  CHECK(Budget.tryTake(Now, table::WritePriority::Heartbeat));
  Now += Millis(100);
  CHECK_FALSE(Budget.tryTake(Now)); // The overdraft is repaid first.
}

TEST(ABudgetOfTenWrites, SpacesOutGroupsAsItRunsLow) {
  policy::CommitPacer Pacer({.WritesPerSecond = 10, .FullGroupItems = 100});
  Pacer.noteWrite(Now);
  CHECK(Pacer.delay(5, 1.0, Now) == Micros(0));
  CHECK(Pacer.delay(5, 0.25, Now) == Millis(50));
  CHECK(Pacer.delay(5, 0.0, Now) == Millis(100));
  CHECK(Pacer.delay(100, 0.0, Now) == Micros(0));
}
