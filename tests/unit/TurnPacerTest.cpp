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
  CHECK_FALSE(Pacer.isDue(at(39)));
  LONGS_EQUAL(1, toMillis(Pacer.timeLeft(at(39))));
  CHECK_TRUE(Pacer.isDue(at(40)));
}

TEST(AnOwnerWhoseTurnsAreSpaced, LetsAnswersThatArriveTogetherShareAShortTurn) {
  Pacer.recordTurn(at(0), at(0), false);
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
