#include "node/TurnPacer.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::node;

namespace {

TimePoint at(int64_t Ms) { return TimePoint(Millis(Ms)); }

} // namespace

// clang-format off
TEST_GROUP(AnOwnerWhoseTurnsAreSpaced) {
  TurnPacer Pacer;
};
// clang-format on

TEST(AnOwnerWhoseTurnsAreSpaced, TakesItsFirstTurnAtOnce) {
  CHECK_TRUE(Pacer.isDue(at(0)));
}

/// A thousand answers a second must not cause a thousand turns.
TEST(AnOwnerWhoseTurnsAreSpaced, SpendsAQuarterOfItsTimeOnLongTurns) {
  Pacer.recordTurn(at(0), at(10), false);
  Pacer.recordChange();
  CHECK_FALSE(Pacer.isDue(at(39)));
  LONGS_EQUAL(1, toMillis(Pacer.timeLeft(at(39))));
  CHECK_TRUE(Pacer.isDue(at(40)));
}

TEST(AnOwnerWhoseTurnsAreSpaced, LetsAnswersThatArriveTogetherShareAShortTurn) {
  Pacer.recordTurn(at(0), at(0), false);
  Pacer.recordChange();
  CHECK_FALSE(Pacer.isDue(at(1)));
  CHECK_TRUE(Pacer.isDue(at(2)));
}

/// After a freeze of its instance, its leases have to be renewed soon.
TEST(AnOwnerWhoseTurnsAreSpaced, DoesNotRestAfterATurnThatWasHeldUpForSeconds) {
  Pacer.recordTurn(at(0), at(5'000), false);
  CHECK_TRUE(Pacer.isDue(at(5'060)));
}

/// A new owner renews leases on hundreds of executors, some in each turn. With
/// pauses in between, the last of them would lapse on a slow processor.
TEST(AnOwnerWhoseTurnsAreSpaced, GoesOnAtOnceWhileRenewalsAreLeft) {
  Pacer.recordTurn(at(0), at(20), true);
  CHECK_TRUE(Pacer.isDue(at(20)));
  LONGS_EQUAL(0, toMillis(Pacer.timeLeft(at(20))));
}

// clang-format off
TEST_GROUP_BASE(WhileNothingChanges, TEST_GROUP_CppUTestGroupAnOwnerWhoseTurnsAreSpaced) {
  void setup() override {
    Pacer.recordTurn(at(0), at(0), false);
  }
};

TEST_GROUP_BASE(AfterATurnThatPlanned, TEST_GROUP_CppUTestGroupAnOwnerWhoseTurnsAreSpaced) {
  void setup() override {
    Pacer.recordTurn(at(0), at(1), false);
    Pacer.restartPause(at(51), false);
  }
};
// clang-format on

/// Guards against an idle owner that takes five hundred turns a second.
TEST(WhileNothingChanges, OnlyItsTimersCauseTurns) {
  CHECK_FALSE(Pacer.isDue(at(19)));
  LONGS_EQUAL(1, toMillis(Pacer.timeLeft(at(19))));
  CHECK_TRUE(Pacer.isDue(at(20)));
}

TEST(WhileNothingChanges, AChangeIsSeenAtOnce) {
  Pacer.recordChange();
  CHECK_TRUE(Pacer.isDue(at(2)));
  LONGS_EQUAL(0, toMillis(Pacer.timeLeft(at(2))));
}

TEST(WhileNothingChanges, AChangeIsSeenByOneTurn) {
  Pacer.recordChange();
  Pacer.recordTurn(at(2), at(2), false);
  CHECK_FALSE(Pacer.isDue(at(10)));
}

/// Guards against a second turn that finds nothing to do, as the one that
/// planned has sent all orders and renewals.
TEST(AfterATurnThatPlanned, ItPausesAsAfterItsLastTurn) {
  Pacer.recordChange();
  CHECK_FALSE(Pacer.isDue(at(53)));
  CHECK_TRUE(Pacer.isDue(at(54)));
}

TEST(AfterATurnThatPlanned, ItGoesOnAtOnceWhileRenewalsAreLeft) {
  Pacer.restartPause(at(51), true);
  CHECK_TRUE(Pacer.isDue(at(51)));
}
