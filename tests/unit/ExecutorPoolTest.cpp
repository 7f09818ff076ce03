#include "cell/ExecutorPool.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

constexpr int64_t ClockAtStart = 50'000;

TimePoint at(int64_t Ms) { return TimePoint(Millis(1'000'000 + Ms)); }

/// What an executor's clock advances by at least.
int64_t slowestClock(int64_t Ms) {
  return static_cast<int64_t>(static_cast<double>(Ms) *
                              (1 - LeaseOptions{}.MaxClockDrift));
}

} // namespace

// clang-format off
TEST_GROUP(AReachableExecutor) {
  ExecutorPool Pool{LeaseOptions{}};
  ExecutorIndex Index = 0;

  void setup() override {
    executor::ExecutorInfo Info{.Id = "i-1",
                                .Service = "s",
                                .Address = "10.0.0.1:80",
                                .Capacity = {.MilliCores = 1'000}};
    Pool.update(std::span(&Info, 1), at(0));
    Pool.recordAnswer(Index, ClockAtStart, at(0));
    Pool[Index].TokenConfirmed = true;
  }
};
// clang-format on

TEST(AReachableExecutor, GetsLeasesOnItsOwnClock) {
  LONGS_EQUAL(ClockAtStart + slowestClock(100) +
                  Pool.options().LeaseDuration.count(),
              *Pool.extendLease(Index, at(100)));
}

/// Guards against leases that lapse under live runs because their owner, which
/// can't keep up, renews them seconds after the last answer.
TEST(AReachableExecutor, GetsAFullLeaseFromAnOwnerThatIsLate) {
  constexpr int64_t LateMs = 3'000;
  LONGS_EQUAL(ClockAtStart + slowestClock(LateMs) +
                  Pool.options().LeaseDuration.count(),
              *Pool.extendLease(Index, at(LateMs)));
}

/// Guards against an owner that is late and promises its successors an earlier
/// end than the executor's slow clock gives the lease.
TEST(AReachableExecutor, GetsNoLongerLeaseThanItsOwnerStates) {
  constexpr int64_t LateMs = 3'000;
  int64_t LeftMs = *Pool.extendLease(Index, at(LateMs)) - ClockAtStart -
                   slowestClock(LateMs);
  CHECK(maxLeaseTime(Pool.options(), Millis(LeftMs)) <=
        leaseHorizon(Pool.options(), Millis(0)));
}

TEST(AReachableExecutor, ItsLeasesAreNotExpiredWhileItsClockMayBeSlow) {
  int64_t End = *Pool.extendLease(Index, at(0)) - ClockAtStart;
  CHECK_FALSE(Pool.areLeasesExpired(Index, at(End + 10)));
  CHECK_TRUE(Pool.areLeasesExpired(Index, at(End * 103 / 100)));
}

TEST(AReachableExecutor, IsUsableUntilItFallsSilent) {
  CHECK_TRUE(Pool.isUsable(Index, at(1'000)));
  CHECK_FALSE(Pool.isUsable(Index, at(5'000)));
}

TEST(AReachableExecutor, AnOlderClockReadingIsIgnored) {
  Pool.recordAnswer(Index, ClockAtStart - 500, at(200));
  LONGS_EQUAL(ClockAtStart + slowestClock(200) +
                  Pool.options().LeaseDuration.count(),
              *Pool.extendLease(Index, at(200)));
}

/// Entries of other writers may repeat a name.
TEST(AReachableExecutor, ThatIsListedTwiceStaysOneExecutor) {
  executor::ExecutorInfo Listed = Pool[Index].Info;
  std::vector<executor::ExecutorInfo> List = {Listed, Listed};
  LONGS_EQUAL(0, Pool.update(List, at(100)).size());
  LONGS_EQUAL(1, Pool.size());
  List = {Listed, Listed};
  List[0].Id = List[1].Id = "i-2";
  LONGS_EQUAL(1, Pool.update(List, at(200)).size());
  LONGS_EQUAL(2, Pool.size());
}

// clang-format off
/// Repeated renewals to a silent executor must not postpone the end of its
/// leases.
TEST_GROUP_BASE(WhenItFallsSilentAndRenewalsGoOn, TEST_GROUP_CppUTestGroupAReachableExecutor) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAReachableExecutor::setup();
    for (int64_t Ms = 0; Ms <= 10'000; Ms += 150)
      Pool.extendLease(Index, at(Ms));
  }
};
// clang-format on

TEST(WhenItFallsSilentAndRenewalsGoOn, ItsLeasesExpire) {
  CHECK_TRUE(Pool.areLeasesExpired(Index, at(10'000)));
}

/// Executors that were replaced or crashed, and executors that fail every task.
// clang-format off
TEST_GROUP(TenExecutors) {
  ExecutorPool Pool{LeaseOptions{}};

  void setup() override {
    std::vector<executor::ExecutorInfo> List;
    List.reserve(10);
    for (int I = 0; I < 10; ++I)
      List.push_back({.Id = "i-" + std::to_string(I),
                      .Service = "s",
                      .Address = "10.0.0.1:80",
                      .Capacity = {.MilliCores = 1'000}});
    Pool.update(List, at(0));
    for (ExecutorIndex I = 0; I < 10; ++I) {
      Pool.recordAnswer(I, ClockAtStart, at(0));
      Pool[I].TokenConfirmed = true;
    }
  }
};
// clang-format on

TEST(TenExecutors, OneWithRepeatedFailuresIsEjectedForAWhile) {
  for (int I = 0; I < 4; ++I)
    Pool.recordFailure(0, at(0));
  CHECK_FALSE(Pool.isUsable(0, at(100)));
  CHECK_TRUE(Pool.isUsable(0, at(2'000)));
}

TEST(TenExecutors, AreNeverAllEjected) {
  for (ExecutorIndex Index = 0; Index < 10; ++Index) {
    for (int I = 0; I < 8; ++I)
      Pool.recordFailure(Index, at(0));
  }
  size_t Usable = 0;
  for (ExecutorIndex Index = 0; Index < 10; ++Index)
    Usable += Pool.isUsable(Index, at(100));
  CHECK(Usable >= 6);
}

TEST(TenExecutors, OneThatLeftTheInstanceListGetsNoTasks) {
  Pool.update({}, at(100));
  CHECK_FALSE(Pool.isUsable(3, at(100)));
}
