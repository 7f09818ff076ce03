#include "node/AdmissionPolicy.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::node;

namespace {

constexpr TimePoint Start{Millis(1'000'000)};
constexpr int64_t StatedMs = 50'000;

} // namespace

// clang-format off
TEST_GROUP(ARefusedCaller) {
  AdmissionPolicy Policy;
  cell::BacklogStatement Statement{.AtMs = StatedMs, .Entries = {{"q", "a", 8}}};

  RetryAdvice refuse(const char *JobId, const char *Workspace = "a", int64_t AgeMs = 500) {
    return Policy.onRefused({.Id = JobId, .Queue = "q", .Workspace = Workspace}, Statement, StatedMs + AgeMs, Start);
  }
};
// clang-format on

TEST(ARefusedCaller, ReturnsOnceTheBacklogOfItsWorkspaceIsDone) {
  RetryAdvice Advice = refuse("00000000000000a1");
  CHECK_TRUE(Advice.After >= Millis(7'500));
  CHECK_TRUE(Advice.After <= Millis(12'000));
  LONGS_EQUAL(8'000, Advice.Backlog.count());
  LONGS_EQUAL(500, Advice.Age->count());
}

TEST(ARefusedCaller, OfAnotherWorkspaceDoesNotWaitForThatBacklog) {
  CHECK_TRUE(refuse("00000000000000a1", "b").After < Millis(7'500));
}

TEST(ARefusedCaller, IsNotHeldByAnOldStatement) {
  RetryAdvice Advice = refuse("00000000000000a1", "a", 6'000);
  CHECK_FALSE(Advice.Age.has_value());
  CHECK_TRUE(Advice.After < Millis(7'500));
}

TEST(ARefusedCaller, IsToldTheSameByEachEntry) {
  AdmissionPolicy Other;
  RetryAdvice There = Other.onRefused(
      {.Id = "00000000000000a1", .Queue = "q", .Workspace = "a"}, Statement,
      StatedMs + 500, Start);
  CHECK(refuse("00000000000000a1").After == There.After);
}

TEST(ARefusedCaller, DoesNotReturnTogetherWithAllOthers) {
  Millis Least = Millis::max();
  Millis Most{0};
  for (int I = 0; I < 20; ++I) {
    Millis After = refuse(fmt::format("{:016x}", I * 7'919).c_str()).After;
    Least = std::min(Least, After);
    Most = std::max(Most, After);
  }
  CHECK_TRUE(Most > Least + Millis(2'000));
}

TEST(ARefusedCaller, WaitsLongerIfItsWorkspaceIsRefusedOften) {
  Millis First = refuse("00000000000000a1").After;
  for (int I = 0; I < 100; ++I)
    refuse("00000000000000a2");
  CHECK_TRUE(refuse("00000000000000a1").After > 2 * First);
  CHECK_TRUE(refuse("00000000000000a1").After <=
             AdmissionPolicy::MaxRetryAfter);
  CHECK_TRUE(refuse("00000000000000a1", "b").After <= 2 * First);
}
