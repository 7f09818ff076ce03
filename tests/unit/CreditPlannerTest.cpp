#include "policy/CreditPlanner.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::policy;

// clang-format off
TEST_GROUP(AZoneWithTwoEndpoints) {
  CreditTable Table;
  CreditZone Zone{.ListVersion = 5, .EndpointSlots = {{"e1", 8}, {"e2", 8}}, .LiveHolders = {"a/1"}};
  uint32_t countHeldSlots(const std::string &Holder) const {
    uint32_t Sum = 0;
    for (const auto &NameAndEndpoint : Table.Endpoints) {
      auto Found = NameAndEndpoint.second.HeldSlots.find(Holder);
      Sum += Found == NameAndEndpoint.second.HeldSlots.end() ? 0 : Found->second;
    }
    return Sum;
  }
  /// Plans for a holder whose slots are all idle.
  bool plan(const std::string &Holder) {
    HolderState State{.Name = Holder};
    for (const auto &[Name, Endpoint] : Table.Endpoints) {
      auto Found = Endpoint.HeldSlots.find(Holder);
      if (Found != Endpoint.HeldSlots.end())
        State.IdleSlots[Name] = Found->second;
    }
    CreditPlan Plan = planCredits(Table, Zone, State);
    Table = std::move(Plan.NextTable);
    return Plan.Changed;
  }
};

TEST_GROUP_BASE(WhenASecondEntryJoins, TEST_GROUP_CppUTestGroupAZoneWithTwoEndpoints) {
  void setup() override {
    plan("a/1");
    Zone.LiveHolders.insert("b/1");
  }
};

TEST_GROUP_BASE(WhenAHolderHasEnded, TEST_GROUP_CppUTestGroupWhenASecondEntryJoins) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWhenASecondEntryJoins::setup();
    for (int I = 0; I < 3; ++I) {
      plan("b/1");
      plan("a/1");
    }
    Zone.LiveHolders.erase("a/1");
    Zone.EndedHolders.insert("a/1");
  }
};
// clang-format on

TEST(AZoneWithTwoEndpoints, TheOnlyEntryHoldsEverySlot) {
  CHECK(plan("a/1"));
  LONGS_EQUAL(16, countHeldSlots("a/1"));
  CHECK_FALSE(plan("a/1"));
}

TEST(WhenASecondEntryJoins, BothReachAnEqualShareAndStayThere) {
  for (int I = 0; I < 3; ++I) {
    plan("b/1");
    plan("a/1");
  }
  LONGS_EQUAL(8, countHeldSlots("a/1"));
  LONGS_EQUAL(8, countHeldSlots("b/1"));
  CHECK_FALSE(plan("a/1"));
  CHECK_FALSE(plan("b/1"));
}

TEST(WhenASecondEntryJoins, SlotsInUseAreNotGivenAway) {
  plan("b/1");
  HolderState Busy{.Name = "a/1"};
  CHECK(planCredits(Table, Zone, Busy).GivenSlots.empty());
}

TEST(WhenASecondEntryJoins, SharesOfThreeHoldersDoNotOscillate) {
  Zone.LiveHolders.insert("c/1");
  for (int I = 0; I < 6; ++I) {
    plan("b/1");
    plan("c/1");
    plan("a/1");
  }
  for (const char *Holder : {"a/1", "b/1", "c/1"}) {
    CHECK(countHeldSlots(Holder) >= 5);
    CHECK_FALSE(plan(Holder));
  }
}

TEST(WhenAHolderHasEnded, TheOtherHolderTakesItsSlots) {
  plan("b/1");
  LONGS_EQUAL(16, countHeldSlots("b/1"));
  LONGS_EQUAL(0, countHeldSlots("a/1"));
}

TEST(WhenAHolderHasEnded, AnEntryWithAnOlderListReclaimsNothing) {
  Zone.ListVersion = 4;
  plan("b/1");
  LONGS_EQUAL(8, countHeldSlots("a/1"));
}

TEST(WhenAHolderHasEnded, AnEntryWithAnOlderListRemovesNoEndpoint) {
  Zone.ListVersion = 4;
  Zone.EndpointSlots.erase("e2");
  plan("b/1");
  LONGS_EQUAL(2, Table.Endpoints.size());
}

TEST(WhenASecondEntryJoins, ALeavingEntryReleasesItsIdleSlots) {
  HolderState State{
      .Name = "a/1", .Leaving = true, .IdleSlots = {{"e1", 8}, {"e2", 5}}};
  CreditPlan Plan = planCredits(Table, Zone, State);
  Table = Plan.NextTable;
  LONGS_EQUAL(3, countHeldSlots("a/1")); // Still in use.
  LONGS_EQUAL(8, Plan.GivenSlots["e1"]);
}
