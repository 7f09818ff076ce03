#include "node/PendingCount.h"

#include "cell/OwnerRow.h"
#include "node/OwnerWatch.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::node;

namespace {

constexpr int64_t CountedAtMs = 50'000;
constexpr int64_t LimitMs = MaxPendingAge.count();

TimePoint at(int64_t Ms) { return TimePoint(Millis(Ms)); }

} // namespace

// clang-format off
/// The row of an owner that has counted its jobs, as an entry has read it.
TEST_GROUP(AReadingOfPendingJobs) {
  PendingReading Reading{
      .RowVersion = 7,
      .RowEpoch = 3,
      .Jobs = {.ByQueue = {{"q", 2}}, .CountedBy = 3, .AsOfMs = CountedAtMs}};
};

TEST_GROUP_BASE(WhoseOwnersAreLostBeforeTheyHaveLoaded, TEST_GROUP_CppUTestGroupAReadingOfPendingJobs) {
  OwnerWatch Watch{{}};
  cell::OwnerRow Row{.Holder = "e0/1", .Epoch = 3, .Pending = Reading.Jobs};

  void takeOver(const char *Holder) {
    Watch.recordRow(++Reading.RowVersion, Row, Micros(0), at(0));
    Row = *cell::decodeOwnerRow(cell::encodeOwnerRow(Watch.successorRow(Holder)));
    Reading.RowEpoch = Row.Epoch;
    Reading.Jobs = Row.Pending;
  }
};
// clang-format on

TEST(AReadingOfPendingJobs, IsToldUntilItsCountIsTooOld) {
  CHECK_FALSE(findGap(Reading, CountedAtMs).has_value());
  CHECK_FALSE(findGap(Reading, CountedAtMs + LimitMs).has_value());
  CHECK(findGap(Reading, CountedAtMs + LimitMs + 1) == PendingGap::Outdated);
}

/// Guards against a count of none for a service whose row was never read.
TEST(AReadingOfPendingJobs, IsNotToldBeforeARowWasRead) {
  CHECK(findGap({}, CountedAtMs) == PendingGap::Unread);
}

/// Guards against a count of unknown age, as in rows of versions that don't
/// tell.
TEST(AReadingOfPendingJobs, IsNotToldIfItsRowDoesNotSayWhenItWasCounted) {
  auto Row = cell::decodeOwnerRow(
      R"({"holder":"e0/1","epoch":3,"sequence":1,"released":false,)"
      R"("pending":{"q":2}})");
  CHECK(static_cast<bool>(Row));
  Reading.Jobs = Row->Pending;
  CHECK(findGap(Reading, CountedAtMs) == PendingGap::Uncounted);
}

/// Guards against a count that becomes new again with each row that repeats it.
TEST(WhoseOwnersAreLostBeforeTheyHaveLoaded, KeepsTheAgeOfItsCount) {
  for (const char *Holder : {"e1/1", "e2/1", "e3/1"}) {
    takeOver(Holder);
    CHECK(Reading.RowEpoch > Reading.Jobs.CountedBy);
    LONGS_EQUAL(2, Reading.Jobs.ByQueue["q"]);
    CHECK_FALSE(findGap(Reading, CountedAtMs + LimitMs).has_value());
    CHECK(findGap(Reading, CountedAtMs + LimitMs + 1) == PendingGap::Outdated);
  }
}
