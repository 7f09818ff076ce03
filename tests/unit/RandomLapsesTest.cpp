#include "unit/RandomPlay.h"

#include <CppUTest/TestHarness.h>

#include <array>

/// Executors that are out of reach for a few seconds, under an owner that is
/// late, on a store that is slow: runs are taken for lapsed whose ends are
/// heard at any time later.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

TEST_GROUP(RandomLapses){};

namespace {

constexpr PlayOptions LapseOptions{
    .Executors = 8,
    .ExecutorSize = {.MilliCores = 2'000, .MemoryMb = 4'000},
    .TicketValidity = Millis(700),
    .Faults = {.OrderAnswerLost = 0.02, .CommitAnswerLost = 0.03},
    .MinRunTime = Millis(100),
    .MaxRunTime = Millis(3'100),
    .FaultTime = Millis(30'000),
    .MaxStepTime = Millis(300),
    .SettleTime = Millis(3'000)};

class LapsePlay : public RandomPlay {
public:
  /// \p FailedShare of the runs, chosen at random, fail.
  explicit LapsePlay(uint64_t Seed, double FailedShare = 0)
      : RandomPlay(Seed, Seed * 11 + 3, LapseOptions), EndRng(Seed * 13 + 1) {
    Sim.EndKindFor = [this, FailedShare](const std::string &) {
      return EndRng.uniform() < FailedShare ? executor::EndKind::Failed
                                            : executor::EndKind::Done;
    };
  }

private:
  void injectFault() override {
    constexpr std::array<int64_t, 4> TurnTimesMs = {0, 0, 300, 1'500};
    constexpr std::array<int64_t, 4> CommitTimesMs = {10, 100, 300, 700};
    switch (Rng.below(12)) {
    case 0:
    case 1:
    case 2:
      cutExecutor();
      break;
    case 3:
      Sim.OwnerTurnMs = TurnTimesMs.at(Rng.below(TurnTimesMs.size()));
      break;
    case 4:
      Sim.CommitTimeMs = CommitTimesMs.at(Rng.below(CommitTimesMs.size()));
      break;
    case 5:
      if (!NeedsAdvice && Rng.below(3) == 0)
        Sim.takeOver();
      break;
    default:
      break;
    }
    endCuts();
  }

  /// A lease lasts for 4 to 5 s.
  void cutExecutor() {
    std::string Id = randomExecutor();
    Sim.executor(Id).Unreachable = true;
    CutUntil[Id] =
        Sim.Now + Millis(1'000 + static_cast<int64_t>(Rng.below(7'000)));
  }

  void endCuts() {
    for (const auto &[Id, Until] : CutUntil) {
      if (Sim.Now >= Until)
        Sim.executor(Id).Unreachable = false;
    }
  }

  void endFaults() override {
    Sim.OwnerTurnMs = 0;
    Sim.CommitTimeMs = 10;
    for (const auto &Entry : CutUntil)
      Sim.executor(Entry.first).Unreachable = false;
  }

  /// Completed, or failed with cause.
  bool isOver(const std::string &JobId) const override {
    JobPhase Phase = Sim.storedPhase(JobId);
    return Phase == JobPhase::Completed ||
           (Phase == JobPhase::Failed && Sim.mayFail(JobId));
  }

  Random EndRng; ///< Of how runs end.
  std::map<std::string, TimePoint> CutUntil;
};

} // namespace

TEST(RandomLapses, RunNoTaskTwice) {
  constexpr uint64_t Seeds = 60;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    LapsePlay(Seed).run();
}

/// Guards against starts beyond the attempts of a task whose failed run was
/// heard after its lease was taken to have expired, and against jobs that fail
/// before their attempts are used up.
TEST(RandomLapses, StartNoTaskBeyondItsAttempts) {
  constexpr uint64_t Seeds = 60;
  constexpr double FailedShare = 0.4;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    LapsePlay(Seed, FailedShare).run();
}
