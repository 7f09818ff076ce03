#include "entry/HolderWatch.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::entry;

// clang-format off
TEST_GROUP(AZoneWithAHolder) {
  TimePoint Now{Micros(std::chrono::hours(1))};
  HolderWatch Watch{"za"};
  ClusterView View;
  policy::CreditTable Table;
  void setup() override {
    View.List = {.Version = 7, .Instances = {{.Name = "a"}}};
    View.Members = {{.Name = "a", .Incarnation = "1", .AvailabilityZone = "za", .ListVersion = 7, .Alive = true}};
    Table.Endpoints["e"] = {8, {{"a/1", 8}}};
  }
  policy::CreditZone zone() { return Watch.creditZone(View, Table, {{"e", 8}}, Millis(5'000), Now); }
};

TEST_GROUP_BASE(WhenTheHoldersProcessIsReplaced, TEST_GROUP_CppUTestGroupAZoneWithAHolder) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAZoneWithAHolder::setup();
    View.Members[0].Incarnation = "2";
    zone();
  }
};
// clang-format on

TEST(AZoneWithAHolder, ListsTheHolderAsLive) {
  CHECK(zone().LiveHolders.count("a/1"));
  CHECK(zone().EndedHolders.empty());
}

TEST(AZoneWithAHolder, CreditsOfASilentHolderAreNotReclaimed) {
  View.Members[0].Alive = false;
  zone();
  Now += std::chrono::hours(1);
  CHECK(zone().EndedHolders.empty());
  CHECK(zone().LiveHolders.empty());
}

TEST(AZoneWithAHolder, AnOlderInstanceListDoesNotReclaimCredits) {
  View.List = {.Version = 6};
  zone();
  Now += std::chrono::hours(1);
  CHECK(zone().EndedHolders.empty());
}

TEST(AZoneWithAHolder, CreditsOfAnUnlistedHolderAreReclaimedAfterTheRunLimit) {
  View.List = {.Version = 8};
  zone();
  Now += Millis(5'900);
  CHECK(zone().EndedHolders.empty());
  Now += Millis(200);
  CHECK(zone().EndedHolders.count("a/1"));
}

TEST(WhenTheHoldersProcessIsReplaced,
     CreditsOfTheOldProcessAreReclaimedAfterTheRunLimit) {
  CHECK(zone().EndedHolders.empty());
  Now += Millis(6'100);
  CHECK(zone().EndedHolders.count("a/1"));
  CHECK(zone().LiveHolders.count("a/2"));
}
