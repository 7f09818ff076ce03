#include "common/LogLimiter.h"
#include "common/Ring.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;

// clang-format off
TEST_GROUP(AMailboxThatOutlivesItsReader) {
  int Wakes = 0;
  std::shared_ptr<Mailbox<int>> Box =
      std::make_shared<Mailbox<int>>(2, [this] { ++Wakes; });
};
// clang-format on

TEST(AMailboxThatOutlivesItsReader, WakesTheReaderForEachItem) {
  CHECK_TRUE(Box->push(1));
  LONGS_EQUAL(1, Wakes);
}

TEST(AMailboxThatOutlivesItsReader, RefusesWhatDoesNotFit) {
  CHECK_TRUE(Box->push(1));
  CHECK_TRUE(Box->push(2));
  CHECK_FALSE(Box->push(3));
}

TEST(AMailboxThatOutlivesItsReader, WakesNobodyOnceClosed) {
  Box->close();
  CHECK_FALSE(Box->push(1));
  LONGS_EQUAL(0, Wakes);
}

TEST_GROUP(ALogOfTenLinesASecond){};

TEST(ALogOfTenLinesASecond, DropsTheRestAndTellsHowMany) {
  LogLimiter Limiter(10);
  TimePoint Now(Millis(5'000));
  uint64_t Dropped = 0;
  int Written = 0;
  for (int I = 0; I < 25; ++I)
    Written += Limiter.admit(Now, Dropped) ? 1 : 0;
  LONGS_EQUAL(10, Written);
  CHECK_TRUE(Limiter.admit(Now + Millis(1'000), Dropped));
  LONGS_EQUAL(15, Dropped);
}
