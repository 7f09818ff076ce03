#include "cell/RenewalTurn.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

// clang-format off
/// A turn at which renewals of many executors are due.
TEST_GROUP(ATurnWithManyRenewals) {
  static constexpr LeaseOptions Options{};
  static constexpr TimePoint Now{Millis(1'000'000)};
  std::vector<DueRenewal> Due;

  void add(size_t Count, const DueRenewal &Renewal) {
    for (size_t I = 0; I < Count; ++I) {
      Due.push_back(Renewal);
      Due.back().Executor = static_cast<ExecutorIndex>(Due.size() - 1);
    }
  }
  bool keep(Millis SinceLastTurn) {
    return keepMostUrgent(Due, Options, SinceLastTurn, Now);
  }
  size_t countWithRuns() const {
    return static_cast<size_t>(std::count_if(Due.begin(), Due.end(), [](const DueRenewal &Renewal) { return Renewal.HasRuns; }));
  }
};
// clang-format on

/// The row of a new owner is renewed between the first renewals.
TEST(ATurnWithManyRenewals, IsLimitedWhileTheyAreTheFirst) {
  add(1'000, {.IsFirst = true, .HasRuns = true});
  CHECK(keep(Millis(5'000)));
  CHECK_EQUAL(MinRenewalLimit, Due.size());
}

TEST(ATurnWithManyRenewals, IsLimitedIfTheLastOneWasJustBefore) {
  add(1'000, {.SentAt = Now - Millis(800), .HasRuns = true});
  CHECK(keep(Millis(2)));
  CHECK_EQUAL(MinRenewalLimit, Due.size());
}

/// Leases end in time however late the owner comes round.
TEST(ATurnWithManyRenewals, RequestsMoreTheLongerTheLastOneWasBefore) {
  add(1'000, {.SentAt = Now - Millis(800), .HasRuns = true});
  keep(Millis(130));
  CHECK_EQUAL(100, Due.size());
}

TEST(ATurnWithManyRenewals, RequestsAllIfTheLastOneWasLongBefore) {
  add(1'000, {.SentAt = Now - Millis(800), .HasRuns = true});
  CHECK(!keep(Millis(4'000)));
  CHECK_EQUAL(1'000, Due.size());
}

/// A lease with runs is renewed before half of it is over.
TEST(ATurnWithManyRenewals, LeavesOutNoneWhoseLeaseIsHalfOver) {
  add(300, {.SentAt = Now - Millis(800), .HasRuns = true, .EndsRuns = true});
  add(60, {.SentAt = Now - Millis(2'000), .HasRuns = true});
  keep(Millis(2));
  CHECK_EQUAL(60, Due.size());
  for (const DueRenewal &Renewal : Due)
    CHECK(Renewal.SentAt == Now - Millis(2'000));
}

TEST(ATurnWithManyRenewals, LetsIdleExecutorsWait) {
  add(40, {.SentAt = Now - Millis(1'500)});
  add(20, {.SentAt = Now - Millis(800), .HasRuns = true});
  keep(Millis(2));
  CHECK_EQUAL(20, countWithRuns());
}

/// An idle executor that isn't heard of can't be used.
TEST(ATurnWithManyRenewals, LetsIdleExecutorsNotWaitForever) {
  add(20, {.SentAt = Now - Millis(1'900)});
  add(40, {.SentAt = Now - Millis(800), .HasRuns = true});
  keep(Millis(2));
  CHECK_EQUAL(12, countWithRuns());
}

/// Ends are heard of before runs that should go on.
TEST(ATurnWithManyRenewals, AsksFirstWhereRunsShouldHaveEnded) {
  add(40, {.SentAt = Now - Millis(900), .HasRuns = true});
  add(20, {.SentAt = Now - Millis(800), .HasRuns = true, .EndsRuns = true});
  keep(Millis(2));
  CHECK_EQUAL(
      20, std::count_if(Due.begin(), Due.end(), [](const DueRenewal &Renewal) {
        return Renewal.EndsRuns;
      }));
}
