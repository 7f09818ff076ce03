#include "config/CellSettings.h"
#include "node/IntakeLoop.h"
#include "node/ShutdownPlan.h"

#include <CppUTest/TestHarness.h>

/// Promises with a time bound that are kept by several waits: the sum of the
/// waits must stay within the bound.

using namespace daisylanding;
using namespace daisylanding::node;

namespace {

TimePoint at(Millis Elapsed) {
  return TimePoint(std::chrono::hours(1)) + Elapsed;
}

/// Times since the stop signal if each wait takes all of its time.
struct ShutdownTimes {
  Millis LoadBalancerDone{0};
  Millis AnswersDone{0};
};

ShutdownTimes slowestShutdown(Millis Limit) {
  ShutdownPlan Plan(at(Millis(0)), Limit);
  ShutdownTimes Times;
  Millis Elapsed = Plan.releaseLimit(at(Millis(0)));
  Elapsed += Plan.loadBalancerWait(at(Elapsed));
  Times.LoadBalancerDone = Elapsed;
  Elapsed += Plan.answerLimit(at(Elapsed));
  Times.AnswersDone = Elapsed;
  return Times;
}

} // namespace

TEST_GROUP(AGracefulShutdown){};

/// Guards against an entry that is killed in its shutdown because the waits
/// together take longer than its drain limit.
TEST(AGracefulShutdown, TakesNoLongerThanItsLimit) {
  for (Millis Limit : {Millis(500), Millis(2'000), Millis(3'000),
                       config::CellSettings{}.DrainLimit, Millis(60'000)})
    CHECK(slowestShutdown(Limit).AnswersDone < Limit);
}

TEST(AGracefulShutdown, WaitsForTheLoadBalancerIfItsLimitAllows) {
  CHECK(slowestShutdown(config::CellSettings{}.DrainLimit).LoadBalancerDone ==
        ShutdownPlan::LoadBalancerGrace);
}

/// Guards against callers that lose their connection at a planned stop.
TEST(AGracefulShutdown, LeavesTheLastRequestItsTime) {
  ShutdownTimes Times = slowestShutdown(config::CellSettings{}.DrainLimit);
  CHECK(Times.AnswersDone >= Times.LoadBalancerDone +
                                 IntakeLoop::DefaultTimeout -
                                 IntakeLoop::AnswerMargin);
}
