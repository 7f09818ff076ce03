#include "entry/HolderWatch.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::entry;

// clang-format off
TEST_GROUP(AZoneWithAHolder) {
  TimePoint Now{Micros(std::chrono::hours(1))};
  HolderWatch Watch{"za"};
  View Seen;
  policy::CreditTable Table;
  void setup() override {
    Seen.List = {.Version = 7, .Instances = {{.Name = "a"}}};
    Seen.Members = {{.Name = "a", .Incarnation = "1", .AvailabilityZone = "za", .ListVersion = 7, .Alive = true}};
    Table.Endpoints["e"] = {8, {{"a/1", 8}}};
  }
  policy::CreditZone zone() { return Watch.zone(Seen, Table, {{"e", 8}}, Millis(5'000), Now); }
};

TEST_GROUP_BASE(WhenItsProcessIsReplaced, TEST_GROUP_CppUTestGroupAZoneWithAHolder) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAZoneWithAHolder::setup();
    Seen.Members[0].Incarnation = "2";
    zone();
  }
};
// clang-format on

TEST(AZoneWithAHolder, ItLives) {
  CHECK(zone().LiveHolders.count("a/1"));
  CHECK(zone().EndedHolders.empty());
}

TEST(AZoneWithAHolder, SilenceAloneDoesNotMakeItOver) {
  Seen.Members[0].Alive = false;
  zone();
  Now += std::chrono::hours(1);
  CHECK(zone().EndedHolders.empty());
  CHECK(zone().LiveHolders.empty());
}

TEST(AZoneWithAHolder, AListOlderThanItsOwnDoesNotMakeItOver) {
  Seen.List = {.Version = 6};
  zone();
  Now += std::chrono::hours(1);
  CHECK(zone().EndedHolders.empty());
}

TEST(AZoneWithAHolder, GoneFromTheListItIsOverAfterTheRunLimit) {
  Seen.List = {.Version = 8};
  zone();
  Now += Millis(5'900);
  CHECK(zone().EndedHolders.empty());
  Now += Millis(200);
  CHECK(zone().EndedHolders.count("a/1"));
}

TEST(WhenItsProcessIsReplaced, TheOldOneIsOverAfterTheRunLimit) {
  CHECK(zone().EndedHolders.empty());
  Now += Millis(6'100);
  CHECK(zone().EndedHolders.count("a/1"));
  CHECK(zone().LiveHolders.count("a/2"));
}
