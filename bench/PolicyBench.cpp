#include "policy/CommitPacer.h"
#include "policy/CreditPlanner.h"
#include "policy/EndpointPicker.h"
#include "policy/GangPlanner.h"
#include "policy/RequestQueue.h"
#include "shard/Scheduler.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <cstdlib>
#include <new>

namespace {

/// Counts allocations, for the paths that must have none.
thread_local size_t Allocations = 0;

} // namespace

void *operator new(size_t Bytes) {
  ++Allocations;
  if (void *Memory = std::malloc(Bytes))
    return Memory;
  throw std::bad_alloc();
}
void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, size_t) noexcept { std::free(Memory); }

namespace daisylanding::bench {

namespace {

using namespace policy;

InstancePool poolOf(int64_t Instances) {
  InstancePool Pool;
  for (int64_t I = 0; I < Instances; ++I) {
    bool Accelerated = I % 4 == 0;
    Pool.add({.MilliCores = 64'000,
              .MemoryMb = 256'000,
              .Accelerators = Accelerated ? 8U : 0U},
             static_cast<uint32_t>(I / 4));
  }
  return Pool;
}

void reportAllocations(benchmark::State &State, size_t Before) {
  State.counters["allocations"] =
      benchmark::Counter(static_cast<double>(Allocations - Before),
                         benchmark::Counter::kAvgIterations);
}

/// One placement on a pool that is half full.
void place(benchmark::State &State) {
  InstancePool Pool = poolOf(State.range(0));
  Random Generator(1);
  for (uint32_t I = 0; I < Pool.size(); ++I)
    Pool.reserve(I,
                 {.MilliCores = static_cast<uint32_t>(Generator.below(64'000)),
                  .MemoryMb = static_cast<uint32_t>(Generator.below(256'000))});
  size_t Before = Allocations;
  for (auto Round : State) {
    PlacementRequest Request{.Size = {.MilliCores = 1'000, .MemoryMb = 2'000},
                             .Tightness = 0.8};
    auto Place = Pool.chooseInstance(Request);
    Pool.reserve(*Place, Request.Size);
    Pool.release(*Place, Request.Size);
  }
  reportAllocations(State, Before);
  State.SetItemsProcessed(State.iterations());
}
BENCHMARK(place)->Arg(48)->Arg(344)->Arg(1'375)->Arg(11'000);

/// A whole gang of 16 on the same pool.
void gang(benchmark::State &State) {
  InstancePool Pool = poolOf(State.range(0));
  PlacementRequest Request{.Size = {.MilliCores = 8'000, .MemoryMb = 8'000}};
  for (auto Round : State)
    benchmark::DoNotOptimize(placeGang(Pool, Request, 16));
}
BENCHMARK(gang)->Arg(48)->Arg(344)->Arg(1'375);

/// Admission and start of one request among many that wait.
void queue(benchmark::State &State) {
  RequestQueue Queue(
      {.WaitingTargets = {Millis(500), Millis(2'000), Millis(30'000)},
       .MaxWaiting = 100'000});
  TimePoint Now(Millis(1'000'000));
  uint64_t Id = 0;
  auto Add = [&] {
    Queue.admit({.Id = Id++,
                 .Class = static_cast<uint32_t>(Id % 3),
                 .Arrived = Now,
                 .Deadline = Now + Millis(60'000)},
                1e6, Now);
  };
  for (int64_t I = 0; I < State.range(0); ++I)
    Add();
  for (auto Round : State) {
    Now += Micros(10);
    Add();
    benchmark::DoNotOptimize(Queue.takeNext(Now));
  }
  State.SetItemsProcessed(State.iterations());
}
BENCHMARK(queue)->Arg(16)->Arg(256)->Arg(2'048);

void pick(benchmark::State &State) {
  std::vector<EndpointView> Views(State.range(0));
  Random Generator(1);
  for (EndpointView &Each : Views)
    Each = {.Credits = 4,
            .InFlight = static_cast<uint32_t>(Generator.below(5)),
            .LatencyMs = 20 + 10 * Generator.uniform()};
  size_t Before = Allocations;
  for (auto Round : State)
    benchmark::DoNotOptimize(pickEndpoint(Views, std::nullopt, Generator));
  reportAllocations(State, Before);
  State.SetItemsProcessed(State.iterations());
}
BENCHMARK(pick)->Arg(12)->Arg(48)->Arg(400);

/// A full plan of one shard: jobs of ten one-core tasks that fill it, and as
/// many again that wait.
void plan(benchmark::State &State) {
  auto Instances = State.range(0);
  config::ClusterConfig Config;
  Config.Classes = {{.Name = "bulk", .WaitingTarget = Millis(30'000)}};
  size_t Starts = 0;
  for (auto Round : State) {
    State.PauseTiming();
    shard::ShardState Shard(1);
    std::vector<table::Instance> List;
    for (int64_t I = 0; I < Instances; ++I)
      List.push_back({.Name = fmt::format("w{}", I),
                      .Rack = fmt::format("r{}", I / 4),
                      .Address = fmt::format("w{}", I),
                      .Capacity = {.MilliCores = 16'000, .MemoryMb = 64'000}});
    Shard.applyInstances(List, {});
    TimePoint Now(Millis(1'000'000));
    for (int64_t I = 0; I < Instances * 3; ++I)
      Shard.apply(shard::JobAccepted{{.Id = fmt::format("j{}", I),
                                      .Class = "bulk",
                                      .Tasks = 10,
                                      .Size = {.MilliCores = 1'000,
                                               .MemoryMb = 1'000}}},
                  Now);
    shard::Scheduler Decisions(Shard);
    State.ResumeTiming();
    Starts += Decisions.plan(Config, Now, UINT32_MAX).size();
  }
  State.SetItemsProcessed(static_cast<int64_t>(Starts));
}
BENCHMARK(plan)->Arg(48)->Arg(344)->Arg(1'375)->Unit(benchmark::kMillisecond);

void credits(benchmark::State &State) {
  CreditTable Table;
  CreditZone Zone{.ListVersion = 1};
  for (int64_t I = 0; I < State.range(0); ++I)
    Zone.EndpointSlots[fmt::format("e{}", I)] = 8;
  for (int I = 0; I < 3; ++I)
    Zone.LiveHolders.insert(fmt::format("h{}", I));
  for (const std::string &Holder : Zone.LiveHolders)
    Table = planCredits(Table, Zone, {.Name = Holder}).NextTable;
  for (auto Round : State)
    benchmark::DoNotOptimize(planCredits(Table, Zone, {.Name = "h1"}));
}
BENCHMARK(credits)->Arg(12)->Arg(48)->Arg(400);

} // namespace

} // namespace daisylanding::bench

BENCHMARK_MAIN();
