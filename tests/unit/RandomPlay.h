#ifndef DAISYLANDING_TESTS_UNIT_RANDOMPLAY_H
#define DAISYLANDING_TESTS_UNIT_RANDOMPLAY_H

#include "unit/CellSim.h"

#include <string>

namespace daisylanding::cellsim {

struct PlayOptions {
  size_t Executors = 0;
  Resources ExecutorSize;
  Millis TicketValidity{0};
  FaultRates Faults;
  /// Run times are random between these.
  Millis MinRunTime{0};
  Millis MaxRunTime{0};
  Millis FaultTime{0};
  /// Between two steps of the play, random, at most.
  Millis MaxStepTime{0};
  /// Whether steps have a label, or an anti-affinity of one.
  bool RestrictsPlaces = false;
  /// From the end of the last job, for ends that were out of reach.
  Millis SettleTime{0};
};

/// One play of an owner with random jobs and random faults, which the kinds of
/// plays define. Half of the plays have a policy service.
class RandomPlay {
public:
  RandomPlay(uint64_t Seed, uint64_t FaultSeed, const PlayOptions &Options);
  virtual ~RandomPlay() = default;

  /// Fails the test if an invariant is violated, or if a job isn't over after a
  /// quiet time.
  void run();

protected:
  virtual void injectFault() = 0;
  virtual void endFaults() = 0;
  /// Whether the job has ended as it should.
  virtual bool isOver(const std::string &JobId) const = 0;

  std::string randomExecutor();

  Simulation Sim;
  Random Rng;
  /// The simulated policy service serves one owner.
  bool NeedsAdvice = false;

private:
  static constexpr size_t MaxJobs = 60;
  static constexpr Millis QuietTime{60'000};
  static constexpr Millis MinStepTime{20};

  static std::string jobId(size_t Number);
  int64_t randomMsBelow(Millis Limit) {
    return static_cast<int64_t>(
        Rng.below(static_cast<uint64_t>(Limit.count())));
  }
  void setUp();
  void submitJob();
  void restrictPlaces(std::vector<cell::StepSpec> &Steps);
  bool areAllOver() const;
  void checkEnd() const;

  uint64_t Seed;
  PlayOptions Options;
  size_t JobCount = 0;
};

} // namespace daisylanding::cellsim

#endif
