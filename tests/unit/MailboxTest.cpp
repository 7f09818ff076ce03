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
