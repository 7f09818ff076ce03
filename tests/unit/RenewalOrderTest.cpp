#include "unit/CellSim.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources ExecutorSize{.MilliCores = 4'000, .MemoryMb = 8'000};
/// One fits on an executor.
constexpr Resources TaskSize{.MilliCores = 3'000, .MemoryMb = 100};
constexpr size_t ExecutorCount = 400;
constexpr int64_t RunMs = 60'000;

} // namespace

// clang-format off
/// Many executors, all of which answer.
TEST_GROUP(AnOwnerThatComesRoundLate) {
  Simulation Sim;

  void setup() override {
    for (size_t I = 0; I < ExecutorCount; ++I)
      Sim.addExecutor(ExecutorSize, fmt::format("r{}", I / 12));
    Sim.takeOver();
    Sim.runFor(1'000);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }

  void startTasks(uint32_t Count) {
    Sim.submit(Simulation::makeJob("00000000000000a1", Count, TaskSize, RunMs));
    Sim.runFor(1'000);
    CHECK_EQUAL(Count, Sim.Started.size());
  }
  /// The longest time without a renewal to an executor that has a run.
  int64_t longestGapMs(int64_t Ms) {
    std::map<std::string, TimePoint> SentAt;
    for (const executor::StartOrder &Order : Sim.Started)
      SentAt[Order.Target.Id] = Sim.Now;
    Micros Longest{0};
    TimePoint End = Sim.Now + Millis(Ms);
    while (Sim.Now < End) {
      size_t Before = Sim.Renewals.size();
      Sim.runFor(Sim.OwnerTurnMs);
      for (size_t I = Before; I < Sim.Renewals.size(); ++I) {
        auto Found = SentAt.find(Sim.Renewals[I].Target.Id);
        if (Found == SentAt.end())
          continue;
        Longest = std::max(Longest, Micros(Sim.Now - Found->second));
        Found->second = Sim.Now;
      }
    }
    for (const auto &Entry : SentAt)
      Longest = std::max(Longest, Micros(Sim.Now - Entry.second));
    return toMillis(Longest);
  }
};
// clang-format on

/// No lease ends only because a turn sends a limited number of renewals.
TEST(AnOwnerThatComesRoundLate, LetsNoLeaseOfAnExecutorThatAnswersEnd) {
  startTasks(ExecutorCount);
  Sim.OwnerTurnMs = 500;
  Sim.runFor(12'000);
  CHECK_EQUAL(0, Sim.Owner->counts().ExpiredRuns);
}

/// Idle executors give way.
TEST(AnOwnerThatComesRoundLate, RenewsFirstWhereRunsNeedTheirLeases) {
  startTasks(20);
  Sim.OwnerTurnMs = 200;
  CHECK(longestGapMs(8'000) <= 1'000);
}
