#include "cell/KeyRing.h"
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

/// Allocations of this thread; placement and endpoint picking must make none.
thread_local size_t AllocationCount = 0;

} // namespace

void *operator new(size_t Bytes) {
  ++AllocationCount;
  if (void *Memory = std::malloc(Bytes))
    return Memory;
  throw std::bad_alloc();
}
void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, size_t) noexcept { std::free(Memory); }

namespace daisylanding::bench {

namespace {

using namespace policy;

InstancePool makePool(int64_t InstanceCount) {
  InstancePool Pool;
  for (int64_t I = 0; I < InstanceCount; ++I) {
    bool HasAccelerators = I % 4 == 0;
    Pool.add({.MilliCores = 64'000,
              .MemoryMb = 256'000,
              .Accelerators = HasAccelerators ? 8U : 0U},
             static_cast<uint32_t>(I / 4));
  }
  return Pool;
}

void reportAllocations(benchmark::State &State, size_t CountBefore) {
  State.counters["allocations"] =
      benchmark::Counter(static_cast<double>(AllocationCount - CountBefore),
                         benchmark::Counter::kAvgIterations);
}

/// Places one task on a pool that is half full on average.
void benchmarkPlacement(benchmark::State &State) {
  InstancePool Pool = makePool(State.range(0));
  Random Generator(1);
  for (uint32_t I = 0; I < Pool.size(); ++I)
    Pool.reserve(I,
                 {.MilliCores = static_cast<uint32_t>(Generator.below(64'000)),
                  .MemoryMb = static_cast<uint32_t>(Generator.below(256'000))});
  size_t CountBefore = AllocationCount;
  for (auto Iteration : State) {
    PlacementRequest Request{.Size = {.MilliCores = 1'000, .MemoryMb = 2'000},
                             .Tightness = 0.8};
    auto InstanceIndex = Pool.chooseInstance(Request);
    Pool.reserve(*InstanceIndex, Request.Size);
    Pool.release(*InstanceIndex, Request.Size);
  }
  reportAllocations(State, CountBefore);
  State.SetItemsProcessed(State.iterations());
}
BENCHMARK(benchmarkPlacement)
    ->Name("place")
    ->Arg(48)
    ->Arg(344)
    ->Arg(1'375)
    ->Arg(11'000);

/// Looks up the key of a caller, known or not, among 10,000 of 70 workspaces.
void benchmarkKeyLookup(benchmark::State &State) {
  constexpr uint32_t Workspaces = 70;
  constexpr uint32_t Keys = 10'000;
  bool IsKnown = State.range(0) != 0;
  cell::KeyRing Ring;
  std::vector<std::string> Sent;
  for (uint32_t I = 0; I < Keys; ++I) {
    std::string Key = fmt::format("{:032x}", I * 7'919ULL);
    if (Ring.add(Key, I % Workspaces))
      State.SkipWithError("no key");
    Sent.push_back(IsKnown ? Key : Key + "-");
  }
  size_t Next = 0;
  for (auto Iteration : State) {
    benchmark::DoNotOptimize(Ring.find(Sent[Next]));
    Next = (Next + 1) % Sent.size();
  }
  State.SetItemsProcessed(State.iterations());
}
BENCHMARK(benchmarkKeyLookup)->Name("key-lookup")->Arg(0)->Arg(1);

/// Places a gang of 16 tasks on an empty pool.
void benchmarkGangPlacement(benchmark::State &State) {
  InstancePool Pool = makePool(State.range(0));
  PlacementRequest Request{.Size = {.MilliCores = 8'000, .MemoryMb = 8'000}};
  for (auto Iteration : State)
    benchmark::DoNotOptimize(placeGang(Pool, Request, 16));
}
BENCHMARK(benchmarkGangPlacement)->Name("gang")->Arg(48)->Arg(344)->Arg(1'375);

/// Admits one request and takes the next to start while many wait.
void benchmarkRequestQueue(benchmark::State &State) {
  RequestQueue Queue(
      {.WaitingTargets = {Millis(500), Millis(2'000), Millis(30'000)},
       .MaxWaiting = 100'000});
  TimePoint Now(Millis(1'000'000));
  uint64_t NextId = 0;
  auto AdmitRequest = [&] {
    Queue.admit({.Id = NextId++,
                 .Class = static_cast<uint32_t>(NextId % 3),
                 .Arrived = Now,
                 .Deadline = Now + Millis(60'000)},
                1e6, Now);
  };
  for (int64_t I = 0; I < State.range(0); ++I)
    AdmitRequest();
  for (auto Iteration : State) {
    Now += Micros(10);
    AdmitRequest();
    benchmark::DoNotOptimize(Queue.takeNext(Now));
  }
  State.SetItemsProcessed(State.iterations());
}
BENCHMARK(benchmarkRequestQueue)->Name("queue")->Arg(16)->Arg(256)->Arg(2'048);

void benchmarkEndpointPick(benchmark::State &State) {
  std::vector<EndpointView> Views(State.range(0));
  Random Generator(1);
  for (EndpointView &View : Views)
    View = {.Credits = 4,
            .InFlight = static_cast<uint32_t>(Generator.below(5)),
            .LatencyMs = 20 + 10 * Generator.uniform()};
  size_t CountBefore = AllocationCount;
  for (auto Iteration : State)
    benchmark::DoNotOptimize(pickEndpoint(Views, std::nullopt, Generator));
  reportAllocations(State, CountBefore);
  State.SetItemsProcessed(State.iterations());
}
BENCHMARK(benchmarkEndpointPick)->Name("pick")->Arg(12)->Arg(48)->Arg(400);

/// Plans one shard from scratch. Jobs of ten one-core tasks ask for 30 cores
/// per 16-core worker, so about half of the tasks start and the others keep
/// waiting.
void benchmarkShardPlan(benchmark::State &State) {
  auto InstanceCount = State.range(0);
  config::ClusterConfig Config;
  Config.Classes = {{.Name = "bulk", .WaitingTarget = Millis(30'000)}};
  size_t StartCount = 0;
  for (auto Iteration : State) {
    State.PauseTiming();
    shard::ShardState Shard(1);
    std::vector<table::Instance> Instances;
    for (int64_t I = 0; I < InstanceCount; ++I)
      Instances.push_back(
          {.Name = fmt::format("w{}", I),
           .Rack = fmt::format("r{}", I / 4),
           .Address = fmt::format("w{}", I),
           .Capacity = {.MilliCores = 16'000, .MemoryMb = 64'000}});
    Shard.applyInstances(Instances, {});
    TimePoint Now(Millis(1'000'000));
    for (int64_t I = 0; I < InstanceCount * 3; ++I)
      Shard.apply(shard::JobAccepted{{.Id = fmt::format("j{}", I),
                                      .Class = "bulk",
                                      .Tasks = 10,
                                      .Size = {.MilliCores = 1'000,
                                               .MemoryMb = 1'000}}},
                  Now);
    shard::Scheduler ShardScheduler(Shard);
    State.ResumeTiming();
    StartCount += ShardScheduler.plan(Config, Now, UINT32_MAX).size();
  }
  State.SetItemsProcessed(static_cast<int64_t>(StartCount));
}
BENCHMARK(benchmarkShardPlan)
    ->Name("plan")
    ->Arg(48)
    ->Arg(344)
    ->Arg(1'375)
    ->Unit(benchmark::kMillisecond);

void benchmarkCreditPlan(benchmark::State &State) {
  CreditTable Table;
  CreditZone Zone{.ListVersion = 1};
  for (int64_t I = 0; I < State.range(0); ++I)
    Zone.EndpointSlots[fmt::format("e{}", I)] = 8;
  for (int I = 0; I < 3; ++I)
    Zone.LiveHolders.insert(fmt::format("h{}", I));
  for (const std::string &Holder : Zone.LiveHolders)
    Table = planCredits(Table, Zone, {.Name = Holder}).NextTable;
  for (auto Iteration : State)
    benchmark::DoNotOptimize(planCredits(Table, Zone, {.Name = "h1"}));
}
BENCHMARK(benchmarkCreditPlan)->Name("credits")->Arg(12)->Arg(48)->Arg(400);

} // namespace

} // namespace daisylanding::bench

BENCHMARK_MAIN();
