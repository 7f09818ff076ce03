#include "harness/Deployment.h"
#include "harness/LoadClient.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

using namespace daisylanding;
using namespace daisylanding::harness;

/// Measures how CPU, memory and table traffic of an entry scale with the number
/// of workers, tasks, requests and entries. Runs real processes at three or
/// more sizes of each and prints Markdown tables for docs/CAPACITY.md.
namespace {

constexpr Millis WarmUpTime{4'000};
constexpr Millis MeasurementTime{8'000};

/// Usage of the first entry and of the table at one moment.
struct ResourceSample {
  double CpuSeconds = 0; ///< User and system time since the entry started.
  double ResidentMb = 0;
  std::map<std::string, double> Metrics;
  double TableWrites = 0; ///< Since the platform started.
  double TableReads = 0;  ///< Since the platform started.
};

std::string ProgramsDir;
std::string OutputDir;
uint16_t NextPort = 20'000;

Scenario makeScenario(uint32_t ZoneCount, uint32_t EntriesPerZone) {
  Scenario Result;
  Result.Name = "capacity";
  for (uint32_t I = 0; I < ZoneCount; ++I)
    Result.Zones.push_back(fmt::format("z{}", I));
  Result.EntriesPerZone = EntriesPerZone;
  Result.EntryCount = ZoneCount * EntriesPerZone;
  Result.BasePort = NextPort;
  NextPort += 500;
  Result.WritesPerSecond = 400;
  Result.Classes = {{.Name = "bulk", .WaitingTarget = Millis(60'000)},
                    {.Name = "issue", .WaitingTarget = Millis(2'000)}};
  return Result;
}

ResourceSample takeSample(Deployment &Cluster) {
  ResourceSample Result;
  EntryProcess &FirstEntry = *Cluster.Entries[0];
  Result.Metrics = Cluster.entryMetrics(FirstEntry);
  Result.CpuSeconds = Result.Metrics["daisylanding_process_cpu_seconds_total"];
  std::ifstream StatusFile(
      fmt::format("/proc/{}/status", FirstEntry.Child.pid()));
  std::string Line;
  while (std::getline(StatusFile, Line)) {
    if (Line.starts_with("VmRSS:"))
      Result.ResidentMb = std::stod(Line.substr(6)) / 1'024;
  }
  auto Stats = Cluster.platformStats();
  Result.TableWrites = Stats.value("writes", 0.0);
  Result.TableReads = Stats.value("reads", 0.0);
  return Result;
}

/// Average increase per second of a counter over MeasurementTime.
double ratePerSecond(double StartValue, double EndValue) {
  return (EndValue - StartValue) / toSeconds(MeasurementTime);
}

double ratePerSecond(const ResourceSample &StartSample,
                     const ResourceSample &EndSample,
                     const std::string &MetricName) {
  auto MetricValue = [&](const ResourceSample &Sample) {
    auto Metric = Sample.Metrics.find("daisylanding_" + MetricName);
    return Metric == Sample.Metrics.end() ? 0 : Metric->second;
  };
  return ratePerSecond(MetricValue(StartSample), MetricValue(EndSample));
}

std::unique_ptr<Deployment> startDeployment(const Scenario &Setup,
                                            const std::string &Name) {
  auto Cluster =
      std::make_unique<Deployment>(Setup, ProgramsDir, OutputDir + "/" + Name);
  if (!Cluster->start()) {
    fmt::print(stderr, "deployment {} failed to start\n", Name);
    std::exit(1);
  }
  return Cluster;
}

void measureIdleWorkers() {
  fmt::print("\n### One entry, idle workers\n\n"
             "| workers | entry cpu % of a core | resident MB | syncs/s | "
             "bytes/s per worker | table writes/s | table reads/s |\n"
             "|---|---|---|---|---|---|---|\n");
  for (uint32_t WorkerCount : {50, 200, 800}) {
    Scenario Setup = makeScenario(1, 1);
    Setup.Workers = {{"w", WorkerCount, {16'000, 64'000, 0}, 4}};
    auto Cluster =
        startDeployment(Setup, fmt::format("workers-{}", WorkerCount));
    std::this_thread::sleep_for(WarmUpTime);
    ResourceSample StartSample = takeSample(*Cluster);
    std::this_thread::sleep_for(MeasurementTime);
    ResourceSample EndSample = takeSample(*Cluster);
    fmt::print(
        "| {} | {:.1f} | {:.1f} | {:.0f} | {:.0f} | {:.1f} | {:.1f} |\n",
        WorkerCount,
        100 * ratePerSecond(StartSample.CpuSeconds, EndSample.CpuSeconds),
        EndSample.ResidentMb,
        ratePerSecond(StartSample, EndSample, "worker_syncs_total"),
        ratePerSecond(StartSample, EndSample, "worker_sync_bytes_total") /
            WorkerCount,
        ratePerSecond(StartSample.TableWrites, EndSample.TableWrites),
        ratePerSecond(StartSample.TableReads, EndSample.TableReads));
    std::fflush(stdout);
  }
}

void measureRunningTasks() {
  fmt::print("\n### One entry, 200 workers, long-running tasks\n\n"
             "| running tasks | entry cpu % of a core | resident MB | "
             "bytes/s per worker | table writes/s |\n|---|---|---|---|---|\n");
  for (uint32_t TaskCount : {0, 500, 2'000, 6'000}) {
    Scenario Setup = makeScenario(1, 1);
    Setup.Workers = {{"w", 200, {64'000, 256'000, 0}, 4}};
    auto Cluster = startDeployment(Setup, fmt::format("running-{}", TaskCount));
    constexpr uint32_t TasksPerJob = 50;
    for (uint32_t I = 0; I < TaskCount / TasksPerJob; ++I)
      Cluster->submitJob({.Id = fmt::format("s{}", I),
                          .Kind = config::JobKind::Service,
                          .Class = "bulk",
                          .Tasks = TasksPerJob,
                          .Size = {.MilliCores = 1'000, .MemoryMb = 1'000}});
    std::this_thread::sleep_for(WarmUpTime * 2);
    ResourceSample StartSample = takeSample(*Cluster);
    std::this_thread::sleep_for(MeasurementTime);
    ResourceSample EndSample = takeSample(*Cluster);
    fmt::print(
        "| {:.0f} | {:.1f} | {:.1f} | {:.0f} | {:.1f} |\n",
        EndSample.Metrics["daisylanding_shard_tasks_running{shard=\"z0.0\"}"],
        100 * ratePerSecond(StartSample.CpuSeconds, EndSample.CpuSeconds),
        EndSample.ResidentMb,
        ratePerSecond(StartSample, EndSample, "worker_sync_bytes_total") / 200,
        ratePerSecond(StartSample.TableWrites, EndSample.TableWrites));
    std::fflush(stdout);
  }
}

void measureTaskStarts() {
  fmt::print(
      "\n### One entry, 200 workers, short tasks\n\n"
      "| concurrent tasks | starts/s | entry cpu % of a core | cpu us per "
      "start | table writes/s | starts per write | resident MB |\n"
      "|---|---|---|---|---|---|---|\n");
  for (uint32_t ConcurrentTasks : {200, 800, 3'200}) {
    Scenario Setup = makeScenario(1, 1);
    Setup.Workers = {{"w", 200, {ConcurrentTasks * 5, 256'000, 0}, 4}};
    auto Cluster =
        startDeployment(Setup, fmt::format("starts-{}", ConcurrentTasks));
    for (uint32_t I = 0; I < 20; ++I)
      Cluster->submitJob({.Id = fmt::format("b{}", I),
                          .Kind = config::JobKind::Batch,
                          .Class = "bulk",
                          .Tasks = 5'000,
                          .Size = {.MilliCores = 1'000, .MemoryMb = 10},
                          .RunTime = Millis(200)});
    std::this_thread::sleep_for(WarmUpTime);
    ResourceSample StartSample = takeSample(*Cluster);
    std::this_thread::sleep_for(MeasurementTime);
    ResourceSample EndSample = takeSample(*Cluster);
    double StartsPerSecond =
        ratePerSecond(StartSample, EndSample, "task_starts_total");
    double WritesPerSecond =
        ratePerSecond(StartSample.TableWrites, EndSample.TableWrites);
    double CpuCores =
        ratePerSecond(StartSample.CpuSeconds, EndSample.CpuSeconds);
    fmt::print("| {} | {:.0f} | {:.1f} | {:.0f} | {:.1f} | {:.1f} | {:.1f} |\n",
               ConcurrentTasks, StartsPerSecond, 100 * CpuCores,
               StartsPerSecond > 0 ? 1e6 * CpuCores / StartsPerSecond : 0,
               WritesPerSecond,
               WritesPerSecond > 0 ? StartsPerSecond / WritesPerSecond : 0,
               EndSample.ResidentMb);
    std::fflush(stdout);
  }
}

void measureRequests() {
  fmt::print(
      "\n### One entry, requests\n\n"
      "| offered/s | non-repeatable | done/s | entry cpu % of a core | "
      "cpu us per request | table writes/s |\n|---|---|---|---|---|---|\n");
  for (double NonRepeatableShare : {0.0, 1.0}) {
    for (double OfferedPerSecond : {100.0, 300.0, 900.0}) {
      Scenario Setup = makeScenario(1, 1);
      ServiceScenario Service;
      Service.Spec = {.Name = "s", .Class = "issue", .RunLimit = Millis(5'000)};
      Service.EndpointCount = 4;
      Service.WorkMs = 10;
      Service.RequestsPerSecond = OfferedPerSecond;
      Service.NonRepeatableShare = NonRepeatableShare;
      Setup.Services = {Service};
      auto Cluster =
          startDeployment(Setup, fmt::format("requests-{}-{}", OfferedPerSecond,
                                             NonRepeatableShare));
      LoadClient Client(*Cluster, 1);
      Client.start();
      std::this_thread::sleep_for(WarmUpTime);
      ResourceSample StartSample = takeSample(*Cluster);
      std::this_thread::sleep_for(MeasurementTime);
      ResourceSample EndSample = takeSample(*Cluster);
      Client.stop();
      double DonePerSecond = ratePerSecond(StartSample, EndSample,
                                           "answers_total{outcome=\"done\"}");
      double CpuCores =
          ratePerSecond(StartSample.CpuSeconds, EndSample.CpuSeconds);
      fmt::print("| {:.0f} | {:.0f} % | {:.0f} | {:.1f} | {:.0f} | {:.1f} |\n",
                 OfferedPerSecond, 100 * NonRepeatableShare, DonePerSecond,
                 100 * CpuCores,
                 DonePerSecond > 0 ? 1e6 * CpuCores / DonePerSecond : 0,
                 ratePerSecond(StartSample.TableWrites, EndSample.TableWrites));
      std::fflush(stdout);
    }
  }
}

void measureEntries() {
  fmt::print(
      "\n### Many entries, four zones\n\n"
      "| entries | cpu % of a core per entry | resident MB | table writes/s "
      "| table reads/s | config change applied by all entries, s |\n"
      "|---|---|---|---|---|---|\n");
  for (uint32_t EntriesPerZone : {2, 4, 8}) {
    Scenario Setup = makeScenario(4, EntriesPerZone);
    auto Cluster =
        startDeployment(Setup, fmt::format("entries-{}", EntriesPerZone * 4));
    std::this_thread::sleep_for(WarmUpTime);
    ResourceSample StartSample = takeSample(*Cluster);
    std::this_thread::sleep_for(MeasurementTime);
    ResourceSample EndSample = takeSample(*Cluster);
    double SlowestSeconds = 0;
    for (uint32_t I = 0; I < 5; ++I) {
      Cluster->changeConfig({{"kind", "set-class"},
                             {"name", "probe"},
                             {"waiting_ms", 1'000 + I}});
      TimePoint ChangeTime = monotonicNow();
      auto NewestConfig =
          Cluster->callOperatorApi("GET", "/v1/config?newest=yes");
      while (Cluster->lowestConfigVersion() < (*NewestConfig)["version"])
        std::this_thread::sleep_for(Millis(5));
      SlowestSeconds =
          std::max(SlowestSeconds, toSeconds(monotonicNow() - ChangeTime));
    }
    fmt::print("| {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.2f} |\n",
               EntriesPerZone * 4,
               100 *
                   ratePerSecond(StartSample.CpuSeconds, EndSample.CpuSeconds),
               EndSample.ResidentMb,
               ratePerSecond(StartSample.TableWrites, EndSample.TableWrites),
               ratePerSecond(StartSample.TableReads, EndSample.TableReads),
               SlowestSeconds);
    std::fflush(stdout);
  }
}

} // namespace

int main(int ArgCount, char **Args) {
  if (ArgCount < 3) {
    fmt::print(stderr, "usage: capacity PROGRAMS_DIR OUTPUT_DIR "
                       "[all|workers|running|starts|requests|entries]\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  ProgramsDir = Args[1];
  OutputDir = Args[2];
  std::string Section = ArgCount > 3 ? Args[3] : "all";
  auto IsSelected = [&](const std::string &SectionName) {
    return Section == "all" || Section == SectionName;
  };
  if (IsSelected("workers"))
    measureIdleWorkers();
  if (IsSelected("running"))
    measureRunningTasks();
  if (IsSelected("starts"))
    measureTaskStarts();
  if (IsSelected("requests"))
    measureRequests();
  if (IsSelected("entries"))
    measureEntries();
  return 0;
}
