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
          .LastChange = TimePoint(Millis(1'000))};
}

} // namespace

// clang-format off
TEST_GROUP(AZoneOfTwoEntries) {
  View Seen;
  Shard Mine{.Id = "za.0", .Owner = "a", .OwnerIncarnation = "1", .Epoch = 3};
  Member A = member("a", "za", true);
  Member B = member("b", "za", true);
  void setup() override { Seen.Members = {A, B}; }
};

TEST_GROUP_BASE(WhenTheOwnerIsSilent, TEST_GROUP_CppUTestGroupAZoneOfTwoEntries) {
  void setup() override {
    A.Alive = false;
    Seen.Members = {A, B};
  }
};

TEST_GROUP(ABudgetOfTenWrites) {
  TimePoint Now{Micros(std::chrono::hours(1))};
  table::WriteBudget Budget{10};
  void useUp() {
    while (Budget.tryTake(Now)) {
    }
  }
};
// clang-format on

TEST(AZoneOfTwoEntries, NobodyClaimsAShardWhoseOwnerLives) {
  CHECK_FALSE(shouldClaim(Mine, A, Seen));
  CHECK_FALSE(shouldClaim(Mine, B, Seen));
}

TEST(AZoneOfTwoEntries, AShardWithoutAnOwnerIsClaimedByOneOfThem) {
  Shard Free{.Id = "za.1"};
  CHECK(shouldClaim(Free, A, Seen) != shouldClaim(Free, B, Seen));
}

TEST(AZoneOfTwoEntries, ANewProcessUnderTheOwnersNameIsNotTheOwner) {
  Seen.Members[0].Incarnation = "2";
  Member Again = A;
  Again.Incarnation = "2";
  CHECK(shouldClaim(Mine, Again, Seen) != shouldClaim(Mine, B, Seen));
}

TEST(WhenTheOwnerIsSilent, TheOtherClaimsTheShard) {
  CHECK(shouldClaim(Mine, B, Seen));
}

TEST(WhenTheOwnerIsSilent, TheZoneIsNotLost) {
  CHECK_FALSE(
      zoneLost("za", Seen.Members, Millis(10), TimePoint(Millis(60'000))));
}

TEST(WhenTheOwnerIsSilent, AndTheOtherTooTheZoneIsLostAfterAWhile) {
  Seen.Members[1].Alive = false;
  CHECK_FALSE(
      zoneLost("za", Seen.Members, Millis(500), TimePoint(Millis(1'400))));
  CHECK(zoneLost("za", Seen.Members, Millis(500), TimePoint(Millis(1'600))));
  CHECK_FALSE(
      zoneLost("zb", Seen.Members, Millis(500), TimePoint(Millis(1'600))));
}

TEST(AZoneOfTwoEntries, ShardsSpreadOverItsEntries) {
  std::set<std::string> Owners;
  for (int I = 0; I < 32; ++I)
    Owners.insert(
        preferredOwner("za." + std::to_string(I), "za", Seen.Members)->Name);
  LONGS_EQUAL(2, Owners.size());
}

TEST(ABudgetOfTenWrites, IsUsedUpAndRefilled) {
  useUp();
  CHECK_FALSE(Budget.tryTake(Now));
  Now += Millis(100);
  CHECK(Budget.tryTake(Now));
  CHECK_FALSE(Budget.tryTake(Now));
}

TEST(ABudgetOfTenWrites, LetsAHeartbeatThroughWhenBulkWritesUsedIt) {
  useUp();
  CHECK(Budget.tryTake(Now, table::WritePriority::Heartbeat));
  Now += Millis(100);
  CHECK_FALSE(Budget.tryTake(Now)); // The overdraft is paid back first.
}

TEST(ABudgetOfTenWrites, SpacesGroupsOutAsItDrains) {
  policy::CommitPacer Pacer({.WritesPerSecond = 10, .FullGroupItems = 100});
  Pacer.noteWrite(Now);
  CHECK(Pacer.delay(5, 1.0, Now) == Micros(0));
  CHECK(Pacer.delay(5, 0.25, Now) == Millis(50));
  CHECK(Pacer.delay(5, 0.0, Now) == Millis(100));
  CHECK(Pacer.delay(100, 0.0, Now) == Micros(0));
}
