#include "unit/RandomPlay.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

namespace daisylanding::cellsim {

RandomPlay::RandomPlay(uint64_t Seed, uint64_t FaultSeed,
                       const PlayOptions &Options)
    : Sim(Seed), Rng(FaultSeed), Seed(Seed), Options(Options) {}

void RandomPlay::run() {
  setUp();
  TimePoint End = Sim.Now + Options.FaultTime;
  while (Sim.Now < End) {
    injectFault();
    submitJob();
    Sim.runFor(MinStepTime.count() + randomMsBelow(Options.MaxStepTime));
  }
  Sim.Faults = {};
  endFaults();
  Sim.runUntil([&] { return areAllOver(); }, QuietTime.count());
  Sim.runFor(Options.SettleTime.count());
  checkEnd();
}

void RandomPlay::setUp() {
  Sim.Faults = Options.Faults;
  NeedsAdvice = Rng.below(2) == 0;
  if (NeedsAdvice)
    Sim.requireAdvice({.Settings = {.BaseMs = 25,
                                    .PerExecutorMs = 0.35,
                                    .Validity = Options.TicketValidity},
                       .AllowedShare = 0.9,
                       .Entries = 4});
  for (size_t I = 0; I < Options.Executors; ++I) {
    std::string Id =
        Sim.addExecutor(Options.ExecutorSize, fmt::format("r{}", I / 2));
    Sim.executor(Id).ClockRate =
        0.98 + 0.01 * static_cast<double>(Rng.below(4));
  }
  Sim.takeOver();
}

std::string RandomPlay::randomExecutor() {
  return fmt::format("i-{}", Rng.below(Options.Executors));
}

std::string RandomPlay::jobId(size_t Number) {
  return fmt::format("{:016x}", Number);
}

void RandomPlay::submitJob() {
  if (JobCount == MaxJobs || Rng.below(2) == 0)
    return;
  auto Tasks = static_cast<uint32_t>(1 + Rng.below(3));
  Resources Size{.MilliCores = 1'000, .MemoryMb = 100};
  int64_t RunMs = Options.MinRunTime.count() +
                  randomMsBelow(Options.MaxRunTime - Options.MinRunTime);
  cell::JobSpec Job =
      Simulation::makeJob(jobId(++JobCount), Tasks, Size, RunMs);
  if (Rng.below(3) == 0) {
    Job.Steps.push_back(Job.Steps[0]);
    Job.Steps[1].Dependencies = {0};
  }
  Job.Steps[0].Gang = Rng.below(5) == 0;
  if (Options.RestrictsPlaces)
    restrictPlaces(Job.Steps);
  Sim.submit(Job);
}

void RandomPlay::restrictPlaces(std::vector<cell::StepSpec> &Steps) {
  for (cell::StepSpec &Step : Steps) {
    if (Rng.below(2) == 0)
      Step.AntiAffinity = 1;
    if (Rng.below(3) == 0)
      Step.Constraint = "a";
  }
}

bool RandomPlay::areAllOver() const {
  for (size_t I = 1; I <= JobCount; ++I) {
    if (!isOver(jobId(I)))
      return false;
  }
  return true;
}

void RandomPlay::checkEnd() const {
  for (const std::string &Violation : Sim.violations())
    FAIL(fmt::format("seed {}: {}", Seed, Violation).c_str());
  if (!areAllOver())
    FAIL(fmt::format("seed {}: jobs are not completed", Seed).c_str());
}

} // namespace daisylanding::cellsim
