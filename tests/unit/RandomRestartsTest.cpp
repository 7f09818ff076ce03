#include "unit/CellSim.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

/// Executors that start again under their id at random times, together with
/// other faults.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

TEST_GROUP(RandomRestarts){};

namespace {

/// One play with random faults.
class RestartPlay {
public:
  explicit RestartPlay(uint64_t Seed)
      : Seed(Seed), Sim(Seed), Rng(Seed * 7 + 5) {}

  void run() {
    setUp();
    TimePoint End = Sim.Now + FaultTime;
    while (Sim.Now < End) {
      injectFault();
      submitJob();
      Sim.runFor(20 + static_cast<int64_t>(Rng.below(400)));
    }
    endFaults();
    Sim.runUntil([&] { return isCompleted(); }, QuietTime.count());
    checkEnd();
  }

private:
  static constexpr size_t ExecutorCount = 6;
  static constexpr Millis FaultTime{20'000};
  static constexpr Millis QuietTime{60'000};

  void setUp() {
    Sim.Faults = {
        .OrderAnswerLost = 0.03, .CommitAnswerLost = 0.05, .CommitLate = 0.02};
    // The simulated policy service serves one owner.
    NeedsAdvice = Rng.below(2) == 0;
    if (NeedsAdvice)
      Sim.requireAdvice({.Settings = {.BaseMs = 25,
                                      .PerExecutorMs = 0.35,
                                      .Validity = Millis(2'000)},
                         .AllowedShare = 0.9,
                         .Entries = 4});
    for (size_t I = 0; I < ExecutorCount; ++I) {
      std::string Id = Sim.addExecutor({.MilliCores = 4'000, .MemoryMb = 4'000},
                                       fmt::format("r{}", I / 2));
      Sim.executor(Id).ClockRate =
          0.98 + 0.01 * static_cast<double>(Rng.below(4));
    }
    Sim.takeOver();
  }

  SimExecutor &randomExecutor() {
    return Sim.executor(fmt::format("i-{}", Rng.below(ExecutorCount)));
  }

  void injectFault() {
    switch (Rng.below(10)) {
    case 0:
    case 1:
    case 2:
      Sim.restartExecutor(randomExecutor().Info.Id,
                          static_cast<int64_t>(Rng.below(1'500)),
                          static_cast<int64_t>(Rng.below(2'500)));
      break;
    case 3:
      randomExecutor().AnswersLost ^= true;
      break;
    case 4:
      randomExecutor().Unreachable ^= true;
      break;
    case 5:
      if (!NeedsAdvice && Rng.below(3) == 0)
        Sim.takeOver();
      break;
    default:
      break;
    }
  }

  void submitJob() {
    if (JobCount == MaxJobs || Rng.below(2) == 0)
      return;
    std::string Id = fmt::format("{:016x}", ++JobCount);
    auto Tasks = static_cast<uint32_t>(1 + Rng.below(3));
    Resources Size{.MilliCores = 1'000, .MemoryMb = 100};
    JobSpec Job = Simulation::makeJob(
        Id, Tasks, Size, 20 + static_cast<int64_t>(Rng.below(1'500)));
    if (Rng.below(3) == 0) {
      Job.Steps.push_back(Job.Steps[0]);
      Job.Steps[1].Dependencies = {0};
    }
    Job.Steps[0].Gang = Rng.below(5) == 0;
    Sim.submit(Job);
  }

  void endFaults() {
    Sim.Faults = {};
    for (size_t I = 0; I < ExecutorCount; ++I) {
      SimExecutor &Executor = Sim.executor(fmt::format("i-{}", I));
      Executor.Unreachable = false;
      Executor.AnswersLost = false;
    }
  }

  /// Tasks whose executors crash again and again are given up.
  bool isCompleted() const {
    for (size_t I = 1; I <= JobCount; ++I) {
      if (!isFinal(Sim.storedPhase(fmt::format("{:016x}", I))))
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

  static constexpr size_t MaxJobs = 60;
  uint64_t Seed;
  Simulation Sim;
  Random Rng;
  bool NeedsAdvice = false;
  size_t JobCount = 0;
};

} // namespace

TEST(RandomRestarts, RunNoTaskTwice) {
  constexpr uint64_t Seeds = 30;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    RestartPlay(Seed).run();
}
