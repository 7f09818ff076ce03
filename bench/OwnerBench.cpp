#include "unit/CellSim.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

/// What the owner of a service spends on a start, by duty, over its whole path
/// from the job to the acknowledged end, without I/O. Executors, store and
/// policy service are simulated and not counted.
namespace daisylanding::bench {

namespace {

using cellsim::Simulation;

constexpr Resources ExecutorSize{.MilliCores = 64'000, .MemoryMb = 128'000};
constexpr Resources TaskSize{.MilliCores = 8'000, .MemoryMb = 4'000};
constexpr int64_t TaskMs = 1'000;
constexpr int64_t ArrivalStepMs = 50;
constexpr int64_t RunMs = 6'000;
constexpr double MaxStartsPerExecutor = 8; ///< A second, at full use.

/// Submits jobs evenly at a share of what the executors can run.
class Arrivals {
public:
  Arrivals(Simulation &World, int64_t Executors, uint32_t TasksPerJob,
           double Use, std::string Workspace = "")
      : World(World), TasksPerJob(TasksPerJob), Workspace(std::move(Workspace)),
        JobsPerStep(Use * MaxStartsPerExecutor *
                    static_cast<double>(Executors) * ArrivalStepMs / 1e3 /
                    TasksPerJob) {}

  void step() {
    Due += JobsPerStep;
    for (; Due >= 1; Due -= 1) {
      cell::JobSpec Job = Simulation::makeJob(
          fmt::format("{:016x}", ++Submitted), TasksPerJob, TaskSize, TaskMs);
      Job.Workspace = Workspace;
      World.submit(std::move(Job));
    }
    World.runFor(ArrivalStepMs);
  }

private:
  Simulation &World;
  uint32_t TasksPerJob;
  std::string Workspace; ///< Of the jobs; empty: none.
  double JobsPerStep;
  double Due = 0;
  uint64_t Submitted = 0;
};

void benchmarkOwner(benchmark::State &State) {
  int64_t Executors = State.range(0);
  auto TasksPerJob = static_cast<uint32_t>(State.range(1));
  double Use = static_cast<double>(State.range(2)) / 100;
  for (auto Iteration : State) {
    Simulation World;
    World.KeepsHistory = false;
    for (int64_t I = 0; I < Executors; ++I)
      World.addExecutor(ExecutorSize, fmt::format("r{}", I / 12));
    World.requireAdvice({.Settings = {.BaseMs = 20,
                                      .PerExecutorMs = 1,
                                      .Validity = Millis(2'000)},
                         .AllowedShare = 0.6,
                         .Entries = 150});
    World.takeOver();
    World.runFor(500);
    Arrivals Load(World, Executors, TasksPerJob, Use);
    World.Cost = {};
    uint64_t StartsBefore = World.Owner->counts().Starts;
    for (int64_t Ms = 0; Ms < RunMs; Ms += ArrivalStepMs)
      Load.step();
    auto Starts =
        static_cast<double>(World.Owner->counts().Starts - StartsBefore);
    auto MicrosAStart = [&](std::chrono::nanoseconds Spent) {
      return static_cast<double>(Spent.count()) / 1e3 / Starts;
    };
    const cellsim::OwnerCost &Cost = World.Cost;
    auto Total = Cost.Turns + Cost.Commits + Cost.Answers + Cost.Advice;
    State.SetIterationTime(std::chrono::duration<double>(Total).count());
    State.counters["starts_s"] = Starts * 1e3 / RunMs;
    State.counters["us_start"] = MicrosAStart(Total);
    State.counters["turns"] = MicrosAStart(Cost.Turns);
    State.counters["commits"] = MicrosAStart(Cost.Commits);
    State.counters["answers"] = MicrosAStart(Cost.Answers);
    State.counters["advice"] = MicrosAStart(Cost.Advice);
    State.counters["bytes_start"] =
        static_cast<double>(Cost.CommitBytes) / Starts;
  }
}
BENCHMARK(benchmarkOwner)
    ->Name("owner")
    ->ArgNames({"executors", "tasks", "use"})
    ->ArgsProduct({{48, 350, 792, 1'375}, {8}, {50}})
    ->Args({350, 180, 50})
    ->Args({350, 8, 130})
    ->Iterations(1)
    ->UseManualTime()
    ->Unit(benchmark::kMillisecond);

/// One workspace sends all; the others that are configured wait for nothing.
void benchmarkIdleWorkspaces(benchmark::State &State) {
  constexpr int64_t Executors = 70;
  constexpr uint32_t TasksPerJob = 8;
  constexpr double Use = 1.3;
  for (auto Iteration : State) {
    Simulation World;
    World.KeepsHistory = false;
    for (int64_t I = 0; I < Executors; ++I)
      World.addExecutor(ExecutorSize, fmt::format("r{}", I / 12));
    World.takeOver();
    World.changeConfig([&](cell::CellConfig &Config) {
      for (int64_t I = 0; I < State.range(0); ++I)
        Config.Workspaces.push_back({.Name = fmt::format("w{}", I)});
    });
    World.runFor(500);
    Arrivals Load(World, Executors, TasksPerJob, Use, "w0");
    World.Cost = {};
    for (int64_t Ms = 0; Ms < RunMs; Ms += ArrivalStepMs)
      Load.step();
    State.SetIterationTime(
        std::chrono::duration<double>(World.Cost.Turns).count());
  }
}
BENCHMARK(benchmarkIdleWorkspaces)
    ->Name("idle_workspaces")
    ->ArgName("workspaces")
    ->Arg(20)
    ->Arg(70)
    ->Arg(1'000)
    ->Iterations(1)
    ->UseManualTime()
    ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace daisylanding::bench

BENCHMARK_MAIN();
