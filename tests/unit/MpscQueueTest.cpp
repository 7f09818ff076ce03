#include "common/LogLimiter.h"
#include "common/Ring.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;

// clang-format off
TEST_GROUP(AnMpscQueue) {
  int Wakes = 0;
  std::shared_ptr<MpscQueue<int>> Queue =
      std::make_shared<MpscQueue<int>>(2, [this] { ++Wakes; });
};
// clang-format on

TEST(AnMpscQueue, WakesTheReaderForEachItem) {
  CHECK_TRUE(Queue->push(1));
  LONGS_EQUAL(1, Wakes);
}

TEST(AnMpscQueue, RefusesItemsBeyondItsCapacity) {
  CHECK_TRUE(Queue->push(1));
  CHECK_TRUE(Queue->push(2));
  CHECK_FALSE(Queue->push(3));
}

TEST(AnMpscQueue, RefusesItemsWithoutWakingTheReaderOnceClosed) {
  Queue->close();
  CHECK_FALSE(Queue->push(1));
  LONGS_EQUAL(0, Wakes);
}

TEST_GROUP(ALogLimiterOfTenLinesPerSecond){};

TEST(ALogLimiterOfTenLinesPerSecond, DropsFurtherLinesAndReportsTheirNumber) {
  LogLimiter Limiter(10);
  TimePoint Now(Millis(5'000));
  uint64_t Dropped = 0;
  int Written = 0;
  for (int Line = 0; Line < 25; ++Line)
    Written += Limiter.admit(Now, Dropped) ? 1 : 0;
  LONGS_EQUAL(10, Written);
  CHECK_TRUE(Limiter.admit(Now + Millis(1'000), Dropped));
  LONGS_EQUAL(15, Dropped);
}
