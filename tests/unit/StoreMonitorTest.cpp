#include "node/EntryContext.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::node;

namespace {

constexpr int64_t StoreClockAtStart = 50'000;

TimePoint at(int64_t Ms) { return TimePoint(Millis(1'000'000 + Ms)); }

} // namespace

// clang-format off
TEST_GROUP(AnEntryThatKnowsTheStoresClock) {
  StoreMonitor Store;
  void setup() override { Store.recordAnswer(at(0), StoreClockAtStart); }
};
// clang-format on

/// Guards against an owner that waits longer than it must for leases whose end
/// was stated on the store's clock.
TEST(AnEntryThatKnowsTheStoresClock, DoesNotSetItBackForALateAnswer) {
  constexpr int64_t AnsweredAtMs = 100;
  constexpr int64_t ReceivedAtMs = 900;
  Store.recordAnswer(at(ReceivedAtMs), StoreClockAtStart + AnsweredAtMs);
  CHECK(Store.clockMillis(at(ReceivedAtMs)) >=
        StoreClockAtStart + ReceivedAtMs);
}

// clang-format off
TEST_GROUP(AStoreWhoseClockIsRead) {
  StoreMonitor Store;
};
// clang-format on

TEST(AStoreWhoseClockIsRead, IsKnownWithinTheTimeOfTheRead) {
  Store.recordClock(at(0), at(40), 7'000);
  LONGS_EQUAL(7'060, Store.clock(at(100)).MinMs);
  LONGS_EQUAL(7'100, Store.clock(at(100)).MaxMs);
}

TEST(AStoreWhoseClockIsRead, IsKnownMoreExactlyByAQuickRead) {
  Store.recordClock(at(0), at(40), 7'000);
  Store.recordClock(at(300), at(304), 7'290);
  Store.recordClock(at(600), at(900), 7'700);
  LONGS_EQUAL(7'990, Store.clock(at(1'000)).MaxMs);
}

TEST(AStoreWhoseClockIsRead, IsReadAnewAfterSomeSeconds) {
  Store.recordClock(at(0), at(4), 7'000);
  Store.recordClock(at(15'000), at(15'200), 22'100);
  LONGS_EQUAL(22'300, Store.clock(at(15'200)).MaxMs);
}
