#include "unit/CellSim.h"

#include <fmt/format.h>

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

/// One play with random faults.
class LapsePlay {
public:
  /// \p FailedShare of the runs, chosen at random, fail.
  explicit LapsePlay(uint64_t Seed, double FailedShare = 0)
      : Seed(Seed), Sim(Seed), Rng(Seed * 11 + 3), EndRng(Seed * 13 + 1),
        FailedShare(FailedShare) {}

  void run() {
    setUp();
    TimePoint End = Sim.Now + FaultTime;
    while (Sim.Now < End) {
      injectFault();
      endCuts();
      submitJob();
      Sim.runFor(20 + static_cast<int64_t>(Rng.below(300)));
    }
    endFaults();
    Sim.runUntil([&] { return isCompleted(); }, QuietTime.count());
    // Ends that were out of reach are heard and acknowledged.
    Sim.runFor(3'000);
    checkEnd();
  }

private:
  static constexpr size_t ExecutorCount = 8;
  static constexpr size_t MaxJobs = 60;
  static constexpr Millis FaultTime{30'000};
  static constexpr Millis QuietTime{60'000};

  void setUp() {
    Sim.EndKindFor = [this](const std::string &) {
      return EndRng.uniform() < FailedShare ? executor::EndKind::Failed
                                            : executor::EndKind::Done;
    };
    Sim.Faults = {.OrderAnswerLost = 0.02, .CommitAnswerLost = 0.03};
    // The simulated policy service serves one owner.
    NeedsAdvice = Rng.below(2) == 0;
    if (NeedsAdvice)
      Sim.requireAdvice({.Settings = {.BaseMs = 25,
                                      .PerExecutorMs = 0.35,
                                      .Validity = Millis(700)},
                         .AllowedShare = 0.9,
                         .Entries = 4});
    for (size_t I = 0; I < ExecutorCount; ++I) {
      std::string Id = Sim.addExecutor({.MilliCores = 2'000, .MemoryMb = 4'000},
                                       fmt::format("r{}", I / 2));
      Sim.executor(Id).ClockRate =
          0.98 + 0.01 * static_cast<double>(Rng.below(4));
    }
    Sim.takeOver();
  }

  void injectFault() {
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
  }

  /// A lease lasts for 4 to 5 s.
  void cutExecutor() {
    std::string Id = fmt::format("i-{}", Rng.below(ExecutorCount));
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

  void submitJob() {
    if (JobCount == MaxJobs || Rng.below(2) == 0)
      return;
    auto Tasks = static_cast<uint32_t>(1 + Rng.below(3));
    Resources Size{.MilliCores = 1'000, .MemoryMb = 100};
    JobSpec Job =
        Simulation::makeJob(fmt::format("{:016x}", ++JobCount), Tasks, Size,
                            100 + static_cast<int64_t>(Rng.below(3'000)));
    if (Rng.below(3) == 0) {
      Job.Steps.push_back(Job.Steps[0]);
      Job.Steps[1].Dependencies = {0};
    }
    Job.Steps[0].Gang = Rng.below(5) == 0;
    Sim.submit(Job);
  }

  void endFaults() {
    Sim.Faults = {};
    Sim.OwnerTurnMs = 0;
    Sim.CommitTimeMs = 10;
    for (const auto &Entry : CutUntil)
      Sim.executor(Entry.first).Unreachable = false;
  }

  /// Whether the jobs are completed, but for those that have failed with cause.
  bool isCompleted() const {
    for (size_t I = 1; I <= JobCount; ++I) {
      std::string Id = fmt::format("{:016x}", I);
      JobPhase Phase = Sim.storedPhase(Id);
      bool IsExhausted = Phase == JobPhase::Failed && Sim.mayFail(Id);
      if (Phase != JobPhase::Completed && !IsExhausted)
        return false;
    }
    return true;
  }

  void checkEnd() const {
    for (const std::string &Violation : Sim.violations())
      FAIL(fmt::format("seed {}: {}", Seed, Violation).c_str());
    if (!isCompleted())
      FAIL(fmt::format("seed {}: jobs are not completed", Seed).c_str());
  }

  uint64_t Seed;
  Simulation Sim;
  Random Rng;
  Random EndRng; ///< Of how runs end.
  double FailedShare;
  bool NeedsAdvice = false;
  size_t JobCount = 0;
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
