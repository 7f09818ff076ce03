#include "policy/Backoff.h"
#include "policy/EndpointPicker.h"
#include "policy/OutlierDetector.h"
#include "policy/RequestQueue.h"
#include "policy/RetryBudget.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::policy;

// clang-format off
TEST_GROUP(AQueueWithTwoClasses) {
  static constexpr uint32_t Urgent = 0;
  static constexpr uint32_t Relaxed = 1;
  TimePoint Now{Micros(std::chrono::hours(1))};
  RequestQueue Queue{{.WaitingTargets = {Millis(100), Millis(1'000)}, .MaxWaiting = 50}};
  uint64_t NextId = 1;
  AdmissionOutcome admit(uint32_t Class, double StartsPerSecond = 0, Millis TimeLeft = Millis(60'000)) {
    return Queue.admit({.Id = NextId++, .Class = Class, .Arrived = Now, .Deadline = Now + TimeLeft}, StartsPerSecond, Now).Outcome;
  }
};

TEST_GROUP_BASE(WhenOneClassFloodsTheQueue, TEST_GROUP_CppUTestGroupAQueueWithTwoClasses) {
  void setup() override {
    for (int I = 0; I < 20; ++I) {
      admit(Urgent);
      Queue.takeNext(Now);
      Now += Millis(10);
    }
    for (int I = 0; I < 30; ++I)
      admit(Urgent);
  }
};

TEST_GROUP(AFleetOfSixMembers) {
  TimePoint Now{Micros(std::chrono::hours(1))};
  OutlierDetector Fleet{{.FailuresToEject = 2, .BaseEjection = Millis(1'000)}};
  void setup() override { Fleet.resize(6); }
  void failTwice(size_t Member) {
    Fleet.recordFailure(Member, Now);
    Fleet.recordFailure(Member, Now);
  }
};

TEST_GROUP_BASE(WhenOneMemberIsEjected, TEST_GROUP_CppUTestGroupAFleetOfSixMembers) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAFleetOfSixMembers::setup();
    failTwice(0);
  }
};
// clang-format on

TEST(AQueueWithTwoClasses, TheRequestWithTheLeastSlackStartsFirst) {
  admit(Relaxed);
  Now += Millis(850);
  admit(Urgent);
  LONGS_EQUAL(2,
              Queue.takeNext(Now)->Id); // Due in 100 ms, the other in 150 ms.
  Now += Millis(10);
  LONGS_EQUAL(1, Queue.takeNext(Now)->Id);
}

TEST(AQueueWithTwoClasses, ARequestThatWouldMissItsTargetIsRefused) {
  constexpr double StartsPerSecond = 50;
  for (int I = 0; I < 5; ++I) // The sixth would wait 100 ms.
    CHECK(admit(Urgent, StartsPerSecond) == AdmissionOutcome::Admitted);
  CHECK(admit(Urgent, StartsPerSecond) == AdmissionOutcome::WouldMissTarget);
  CHECK(admit(Relaxed, StartsPerSecond) == AdmissionOutcome::Admitted);
}

TEST(AQueueWithTwoClasses, ARequestThatCannotStartBeforeItsDeadlineIsRefused) {
  constexpr double StartsPerSecond = 50;
  for (int I = 0; I < 6; ++I)
    admit(Urgent, StartsPerSecond);
  CHECK(admit(Relaxed, StartsPerSecond, Millis(50)) ==
        AdmissionOutcome::WouldMissTarget);
}

TEST(AQueueWithTwoClasses, TheNumberOfWaitingRequestsIsBounded) {
  for (int I = 0; I < 50; ++I)
    CHECK(admit(Relaxed) == AdmissionOutcome::Admitted);
  CHECK(admit(Relaxed) == AdmissionOutcome::QueueFull);
  CHECK(admit(Urgent) == AdmissionOutcome::Admitted); // Evicts a relaxed one.
  LONGS_EQUAL(50, Queue.waiting());
  LONGS_EQUAL(49, Queue.waiting(Relaxed));
}

TEST(WhenOneClassFloodsTheQueue, AFullQueueEvictsForTheOtherClass) {
  while (Queue.waiting() < 50)
    admit(Urgent);
  LONGS_EQUAL(0, Queue.waiting(Relaxed));
  for (int I = 0; I < 25; ++I)
    CHECK(admit(Relaxed) == AdmissionOutcome::Admitted);
  CHECK(admit(Relaxed) == AdmissionOutcome::QueueFull); // It fills its half.
  LONGS_EQUAL(50, Queue.waiting());
}

TEST(WhenOneClassFloodsTheQueue, TheOtherClassIsNotRefusedBecauseOfTheFlood) {
  constexpr double StartsPerSecond = 20;
  CHECK(admit(Relaxed, StartsPerSecond) == AdmissionOutcome::Admitted);
}

TEST(AQueueWithTwoClasses, ARequestPastItsDeadlineIsRemoved) {
  admit(Relaxed, 0, Millis(30));
  size_t Expired = 0;
  Now += Millis(30);
  Queue.removeExpired(Now, [&](const QueuedRequest &) { ++Expired; });
  LONGS_EQUAL(1, Expired);
  LONGS_EQUAL(0, Queue.waiting());
}

TEST(WhenOneClassFloodsTheQueue, ALateRequestOfTheOtherClassIsNotStarved) {
  admit(Relaxed);
  Now += Millis(1'100);
  for (int I = 0; I < 10; ++I)
    admit(Urgent);
  bool Served = false;
  for (int I = 0; I < 3; ++I)
    Served = Served || Queue.takeNext(Now)->Class == Relaxed;
  CHECK(Served);
}

TEST(AFleetOfSixMembers, OccasionalFailuresEjectNoMember) {
  for (int I = 0; I < 10; ++I) {
    Fleet.recordFailure(0, Now);
    Fleet.recordSuccess(0);
  }
  LONGS_EQUAL(0, Fleet.ejectedCount());
}

TEST(AFleetOfSixMembers, FailuresOfAllMembersEjectAtMostTheAllowedShare) {
  for (size_t I = 0; I < 6; ++I)
    failTwice(I);
  LONGS_EQUAL(2, Fleet.ejectedCount());
}

TEST(WhenOneMemberIsEjected, ItGetsNoWorkUntilAProbeIsDue) {
  CHECK_FALSE(Fleet.isAvailable(0, Now));
  Now += Millis(1'000);
  CHECK(Fleet.isAvailable(0, Now));
  Fleet.recordUse(0, Now);
  CHECK_FALSE(Fleet.isAvailable(0, Now)); // One probe at a time.
}

TEST(WhenOneMemberIsEjected, ASuccessfulProbeReinstatesTheMember) {
  Now += Millis(1'000);
  Fleet.recordUse(0, Now);
  Fleet.recordSuccess(0);
  CHECK_FALSE(Fleet.isEjected(0));
}

TEST(WhenOneMemberIsEjected, AFailedProbeExtendsTheEjection) {
  Now += Millis(1'000);
  Fleet.recordUse(0, Now);
  Fleet.recordFailure(0, Now);
  Now += Millis(1'500);
  CHECK_FALSE(Fleet.isAvailable(0, Now));
}

TEST(AFleetOfSixMembers, AnEndpointWithoutAFreeCreditIsNotChosen) {
  std::array<EndpointView, 2> Views;
  Views[0] = {.Credits = 1, .InFlight = 1, .LatencyMs = 1};
  Views[1] = {.Credits = 1, .InFlight = 0, .LatencyMs = 100};
  Random Generator(1);
  LONGS_EQUAL(1, *pickEndpoint(Views, std::nullopt, Generator));
  CHECK_FALSE(pickEndpoint(Views, 1, Generator).has_value());
}

TEST(AFleetOfSixMembers, RetriesAreLimitedToAShareOfFirstTries) {
  RetryBudget Budget({.RetriesPerRequest = 0.1, .MaxTokens = 2});
  CHECK(Budget.tryTakeRetry());
  CHECK(Budget.tryTakeRetry());
  CHECK_FALSE(Budget.tryTakeRetry());
  for (int I = 0; I < 11; ++I)
    Budget.recordFirstTry();
  CHECK(Budget.tryTakeRetry());
  CHECK_FALSE(Budget.tryTakeRetry());
}

TEST(AFleetOfSixMembers, RetryAfterTimesAreSpread) {
  Random Generator(1);
  int64_t Lowest = INT64_MAX;
  int64_t Highest = 0;
  for (int I = 0; I < 100; ++I) {
    int64_t Seconds = retryAfterSeconds(Millis(10'000), Generator);
    Lowest = std::min(Lowest, Seconds);
    Highest = std::max(Highest, Seconds);
  }
  CHECK(Lowest >= 10);
  CHECK(Highest <= 20);
  CHECK(Highest - Lowest >= 8);
}
