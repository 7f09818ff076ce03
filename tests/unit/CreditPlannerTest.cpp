#include "policy/CreditPlanner.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::policy;

// clang-format off
TEST_GROUP(AZoneWithTwoEndpoints) {
  CreditTable Table;
  CreditZone Zone{.ListVersion = 5, .Slots = {{"e1", 8}, {"e2", 8}}, .Live = {"a/1"}};
  uint32_t held(const std::string &Holder) const {
    uint32_t Sum = 0;
    for (const auto &Each : Table.Endpoints) {
      auto Found = Each.second.Held.find(Holder);
      Sum += Found == Each.second.Held.end() ? 0 : Found->second;
    }
    return Sum;
  }
  /// All that the holder has is idle.
  bool plan(const std::string &Holder) {
    CreditDemand Demand{.Holder = Holder};
    for (const auto &[Name, Each] : Table.Endpoints) {
      auto Found = Each.Held.find(Holder);
      if (Found != Each.Held.end())
        Demand.Idle[Name] = Found->second;
    }
    CreditPlan Plan = planCredits(Table, Zone, Demand);
    Table = std::move(Plan.Next);
    return Plan.Changed;
  }
};

TEST_GROUP_BASE(WhenASecondEntryJoins, TEST_GROUP_CppUTestGroupAZoneWithTwoEndpoints) {
  void setup() override {
    plan("a/1");
    Zone.Live.insert("b/1");
  }
};

TEST_GROUP_BASE(WhenAHolderIsOver, TEST_GROUP_CppUTestGroupWhenASecondEntryJoins) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWhenASecondEntryJoins::setup();
    for (int I = 0; I < 3; ++I) {
      plan("b/1");
      plan("a/1");
    }
    Zone.Live.erase("a/1");
    Zone.Over.insert("a/1");
  }
};
// clang-format on

TEST(AZoneWithTwoEndpoints, TheOnlyEntryHoldsEverySlot) {
  CHECK(plan("a/1"));
  LONGS_EQUAL(16, held("a/1"));
  CHECK_FALSE(plan("a/1"));
}

TEST(WhenASecondEntryJoins, BothEndWithAnEqualShareAndRest) {
  for (int I = 0; I < 3; ++I) {
    plan("b/1");
    plan("a/1");
  }
  LONGS_EQUAL(8, held("a/1"));
  LONGS_EQUAL(8, held("b/1"));
  CHECK_FALSE(plan("a/1"));
  CHECK_FALSE(plan("b/1"));
}

TEST(WhenASecondEntryJoins, SlotsInUseAreNotGiven) {
  plan("b/1");
  CreditDemand Busy{.Holder = "a/1"};
  CHECK(planCredits(Table, Zone, Busy).Given.empty());
}

TEST(WhenASecondEntryJoins, ThreeDoNotPassSlotsInCircles) {
  Zone.Live.insert("c/1");
  for (int I = 0; I < 6; ++I) {
    plan("b/1");
    plan("c/1");
    plan("a/1");
  }
  for (const char *Each : {"a/1", "b/1", "c/1"}) {
    CHECK(held(Each) >= 5);
    CHECK_FALSE(plan(Each));
  }
}

TEST(WhenAHolderIsOver, ItsSlotsAreTakenByTheOther) {
  plan("b/1");
  LONGS_EQUAL(16, held("b/1"));
  LONGS_EQUAL(0, held("a/1"));
}

TEST(WhenAHolderIsOver, AnEntryWithAnOlderListReclaimsNothing) {
  Zone.ListVersion = 4;
  plan("b/1");
  LONGS_EQUAL(8, held("a/1"));
}

TEST(WhenAHolderIsOver, AnEntryWithAnOlderListDropsNoEndpoint) {
  Zone.ListVersion = 4;
  Zone.Slots.erase("e2");
  plan("b/1");
  LONGS_EQUAL(2, Table.Endpoints.size());
}

TEST(WhenASecondEntryJoins, AnEntryThatLeavesReleasesWhatIsIdle) {
  CreditDemand Demand{
      .Holder = "a/1", .Leaving = true, .Idle = {{"e1", 8}, {"e2", 5}}};
  CreditPlan Plan = planCredits(Table, Zone, Demand);
  Table = Plan.Next;
  LONGS_EQUAL(3, held("a/1")); // In use; released when they are idle.
  LONGS_EQUAL(8, Plan.Given["e1"]);
}
