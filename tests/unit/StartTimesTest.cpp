#include "cell/StartTimes.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

constexpr ExecutorIndex Index = 3;

TimePoint at(int64_t Ms) { return TimePoint(Millis(1'000'000 + Ms)); }

} // namespace

// clang-format off
TEST_GROUP(ATaskThatIsStarted) {
  LiveStep Step;
  LiveTask Task;
  void setup() override {
    Task = {.Executor = Index, .PlacedAt = at(300), .TicketedAt = at(400)};
  }
};

TEST_GROUP_BASE(AfterARunThatEnded, TEST_GROUP_CppUTestGroupATaskThatIsStarted) {
  void setup() override {
    TEST_GROUP_CppUTestGroupATaskThatIsStarted::setup();
    Task.LastRunEndedAt = at(100);
  }
};
// clang-format on

TEST(ATaskThatIsStarted, ForTheFirstTimeHasNoEndBefore) {
  StartTimes Times = startTimesOf(Step, Task, at(500));
  LONGS_EQUAL(-1, Times.EndedMs);
  LONGS_EQUAL(200, Times.PlacedMs);
  LONGS_EQUAL(100, Times.TicketedMs);
}

TEST(ATaskThatIsStarted, WithoutAPolicyHasNoTimesOfAdvice) {
  StartTimes Times = startTimesOf(Step, Task, at(500));
  LONGS_EQUAL(-1, Times.AskedMs);
  LONGS_EQUAL(-1, Times.AdvisedMs);
}

TEST(AfterARunThatEnded, TellsHowLongItWaited) {
  LONGS_EQUAL(400, startTimesOf(Step, Task, at(500)).EndedMs);
}

TEST(AfterARunThatEnded, TellsTheAdviceOnItsOwnExecutor) {
  Step.Permissions[Index + 1] = {.AskedAt = at(10), .AdvisedAt = at(20)};
  Step.Permissions[Index] = {.AskedAt = at(150), .AdvisedAt = at(250)};
  StartTimes Times = startTimesOf(Step, Task, at(500));
  LONGS_EQUAL(350, Times.AskedMs);
  LONGS_EQUAL(250, Times.AdvisedMs);
}

/// With the times since its record and its sending: what was left at each.
TEST(ATaskThatIsStarted, TellsHowMuchLongerItsTicketIsValid) {
  Step.Permissions[Index] = {.ValidUntil = at(450)};
  Task.StartSentAt = at(480);
  StartTimes Times = startTimesOf(Step, Task, at(500));
  LONGS_EQUAL(20, Times.SentMs);
  LONGS_EQUAL(-50, Times.TicketLeftMs);
}
