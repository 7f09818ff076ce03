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

/// Measures how the cost of control grows, with real processes at three or
/// more sizes of each thing. Prints Markdown tables for docs/CAPACITY.md.
namespace {

constexpr Millis Settle{4'000};
constexpr Millis Window{8'000};

struct Sample {
  double CpuSeconds = 0;
  double ResidentMb = 0;
  std::map<std::string, double> Metrics;
  double TableWrites = 0;
  double TableReads = 0;
};

std::string Programs;
std::string Folder;
uint16_t NextPort = 20'000;

Scenario emptyScenario(uint32_t Zones, uint32_t EntriesPerZone) {
  Scenario What;
  What.Name = "capacity";
  for (uint32_t I = 0; I < Zones; ++I)
    What.Zones.push_back(fmt::format("z{}", I));
  What.EntriesPerZone = EntriesPerZone;
  What.EntryCount = Zones * EntriesPerZone;
  What.BasePort = NextPort;
  NextPort += 500;
  What.WritesPerSecond = 400;
  What.Classes = {{.Name = "bulk", .WaitingTarget = Millis(60'000)},
                  {.Name = "issue", .WaitingTarget = Millis(2'000)}};
  return What;
}

Sample take(Deployment &Target) {
  Sample Out;
  EntryProcess &Entry = *Target.Entries[0];
  Out.Metrics = Target.entryMetrics(Entry);
  Out.CpuSeconds = Out.Metrics["daisylanding_process_cpu_seconds_total"];
  std::ifstream Status(fmt::format("/proc/{}/status", Entry.Child.pid()));
  std::string Line;
  while (std::getline(Status, Line)) {
    if (Line.starts_with("VmRSS:"))
      Out.ResidentMb = std::stod(Line.substr(6)) / 1'024;
  }
  auto Stats = Target.platformStats();
  Out.TableWrites = Stats.value("writes", 0.0);
  Out.TableReads = Stats.value("reads", 0.0);
  return Out;
}

/// The change of a metric or count a second between two samples.
double rate(double Before, double After) {
  return (After - Before) / toSeconds(Window);
}

double rate(const Sample &Before, const Sample &After,
            const std::string &Name) {
  auto Value = [&](const Sample &Each) {
    auto Found = Each.Metrics.find("daisylanding_" + Name);
    return Found == Each.Metrics.end() ? 0 : Found->second;
  };
  return rate(Value(Before), Value(After));
}

std::unique_ptr<Deployment> start(const Scenario &What,
                                  const std::string &Name) {
  auto Target =
      std::make_unique<Deployment>(What, Programs, Folder + "/" + Name);
  if (!Target->start()) {
    fmt::print(stderr, "{} did not come up\n", Name);
    std::exit(1);
  }
  return Target;
}

void measureWorkers() {
  fmt::print("\n### One entry, idle workers\n\n"
             "| workers | entry cpu % of a core | resident MB | syncs/s | "
             "bytes/s a worker | table writes/s | table reads/s |\n"
             "|---|---|---|---|---|---|---|\n");
  for (uint32_t Workers : {50, 200, 800}) {
    Scenario What = emptyScenario(1, 1);
    What.Workers = {{"w", Workers, {16'000, 64'000, 0}, 4}};
    auto Target = start(What, fmt::format("workers-{}", Workers));
    std::this_thread::sleep_for(Settle);
    Sample Before = take(*Target);
    std::this_thread::sleep_for(Window);
    Sample After = take(*Target);
    fmt::print("| {} | {:.1f} | {:.1f} | {:.0f} | {:.0f} | {:.1f} | {:.1f} |\n",
               Workers, 100 * rate(Before.CpuSeconds, After.CpuSeconds),
               After.ResidentMb, rate(Before, After, "worker_syncs_total"),
               rate(Before, After, "worker_sync_bytes_total") / Workers,
               rate(Before.TableWrites, After.TableWrites),
               rate(Before.TableReads, After.TableReads));
    std::fflush(stdout);
  }
}

void measureRunning() {
  fmt::print("\n### One entry, 200 workers, tasks that run on\n\n"
             "| running tasks | entry cpu % of a core | resident MB | "
             "bytes/s a worker | table writes/s |\n|---|---|---|---|---|\n");
  for (uint32_t Tasks : {0, 500, 2'000, 6'000}) {
    Scenario What = emptyScenario(1, 1);
    What.Workers = {{"w", 200, {64'000, 256'000, 0}, 4}};
    auto Target = start(What, fmt::format("running-{}", Tasks));
    constexpr uint32_t TasksPerJob = 50;
    for (uint32_t I = 0; I < Tasks / TasksPerJob; ++I)
      Target->submitJob({.Id = fmt::format("s{}", I),
                         .Kind = config::JobKind::Service,
                         .Class = "bulk",
                         .Tasks = TasksPerJob,
                         .Size = {.MilliCores = 1'000, .MemoryMb = 1'000}});
    std::this_thread::sleep_for(Settle * 2);
    Sample Before = take(*Target);
    std::this_thread::sleep_for(Window);
    Sample After = take(*Target);
    fmt::print(
        "| {:.0f} | {:.1f} | {:.1f} | {:.0f} | {:.1f} |\n",
        After.Metrics["daisylanding_shard_tasks_running{shard=\"z0.0\"}"],
        100 * rate(Before.CpuSeconds, After.CpuSeconds), After.ResidentMb,
        rate(Before, After, "worker_sync_bytes_total") / 200,
        rate(Before.TableWrites, After.TableWrites));
    std::fflush(stdout);
  }
}

void measureStarts() {
  fmt::print("\n### One entry, 200 workers, short tasks\n\n"
             "| tasks at once | starts/s | entry cpu % of a core | cpu us a "
             "start | table writes/s | starts a write | resident MB |\n"
             "|---|---|---|---|---|---|---|\n");
  for (uint32_t AtOnce : {200, 800, 3'200}) {
    Scenario What = emptyScenario(1, 1);
    What.Workers = {{"w", 200, {AtOnce * 5, 256'000, 0}, 4}};
    auto Target = start(What, fmt::format("starts-{}", AtOnce));
    for (uint32_t I = 0; I < 20; ++I)
      Target->submitJob({.Id = fmt::format("b{}", I),
                         .Kind = config::JobKind::Batch,
                         .Class = "bulk",
                         .Tasks = 5'000,
                         .Size = {.MilliCores = 1'000, .MemoryMb = 10},
                         .RunTime = Millis(200)});
    std::this_thread::sleep_for(Settle);
    Sample Before = take(*Target);
    std::this_thread::sleep_for(Window);
    Sample After = take(*Target);
    double Starts = rate(Before, After, "task_starts_total");
    double Writes = rate(Before.TableWrites, After.TableWrites);
    double Cpu = rate(Before.CpuSeconds, After.CpuSeconds);
    fmt::print("| {} | {:.0f} | {:.1f} | {:.0f} | {:.1f} | {:.1f} | {:.1f} |\n",
               AtOnce, Starts, 100 * Cpu, Starts > 0 ? 1e6 * Cpu / Starts : 0,
               Writes, Writes > 0 ? Starts / Writes : 0, After.ResidentMb);
    std::fflush(stdout);
  }
}

void measureRequests() {
  fmt::print(
      "\n### One entry, requests\n\n"
      "| offered/s | non-repeatable | done/s | entry cpu % of a core | "
      "cpu us a request | table writes/s |\n|---|---|---|---|---|---|\n");
  for (double NonRepeatable : {0.0, 1.0}) {
    for (double Offered : {100.0, 300.0, 900.0}) {
      Scenario What = emptyScenario(1, 1);
      ServiceScenario Service;
      Service.Spec = {.Name = "s", .Class = "issue", .RunLimit = Millis(5'000)};
      Service.EndpointCount = 4;
      Service.WorkMs = 10;
      Service.RequestsPerSecond = Offered;
      Service.NonRepeatableShare = NonRepeatable;
      What.Services = {Service};
      auto Target =
          start(What, fmt::format("requests-{}-{}", Offered, NonRepeatable));
      LoadClient Load(*Target, 1);
      Load.start();
      std::this_thread::sleep_for(Settle);
      Sample Before = take(*Target);
      std::this_thread::sleep_for(Window);
      Sample After = take(*Target);
      Load.stop();
      double Done = rate(Before, After, "answers_total{outcome=\"done\"}");
      double Cpu = rate(Before.CpuSeconds, After.CpuSeconds);
      fmt::print("| {:.0f} | {:.0f} % | {:.0f} | {:.1f} | {:.0f} | {:.1f} |\n",
                 Offered, 100 * NonRepeatable, Done, 100 * Cpu,
                 Done > 0 ? 1e6 * Cpu / Done : 0,
                 rate(Before.TableWrites, After.TableWrites));
      std::fflush(stdout);
    }
  }
}

void measureEntries() {
  fmt::print("\n### Many entries, four zones\n\n"
             "| entries | cpu % of a core each | resident MB | table writes/s "
             "| table reads/s | change in force everywhere, s |\n"
             "|---|---|---|---|---|---|\n");
  for (uint32_t PerZone : {2, 4, 8}) {
    Scenario What = emptyScenario(4, PerZone);
    auto Target = start(What, fmt::format("entries-{}", PerZone * 4));
    std::this_thread::sleep_for(Settle);
    Sample Before = take(*Target);
    std::this_thread::sleep_for(Window);
    Sample After = take(*Target);
    double Worst = 0;
    for (uint32_t I = 0; I < 5; ++I) {
      Target->changeConfig({{"kind", "set-class"},
                            {"name", "probe"},
                            {"waiting_ms", 1'000 + I}});
      TimePoint Began = monotonicNow();
      auto Newest = Target->callOperatorApi("GET", "/v1/config?newest=yes");
      while (Target->lowestConfigVersion() < (*Newest)["version"])
        std::this_thread::sleep_for(Millis(5));
      Worst = std::max(Worst, toSeconds(monotonicNow() - Began));
    }
    fmt::print("| {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.2f} |\n",
               PerZone * 4, 100 * rate(Before.CpuSeconds, After.CpuSeconds),
               After.ResidentMb, rate(Before.TableWrites, After.TableWrites),
               rate(Before.TableReads, After.TableReads), Worst);
    std::fflush(stdout);
  }
}

} // namespace

int main(int Count, char **Words) {
  if (Count < 3) {
    fmt::print(stderr, "usage: capacity PROGRAMS FOLDER [WHAT]\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Programs = Words[1];
  Folder = Words[2];
  std::string What = Count > 3 ? Words[3] : "all";
  auto Wanted = [&](const std::string &Name) {
    return What == "all" || What == Name;
  };
  if (Wanted("workers"))
    measureWorkers();
  if (Wanted("running"))
    measureRunning();
  if (Wanted("starts"))
    measureStarts();
  if (Wanted("requests"))
    measureRequests();
  if (Wanted("entries"))
    measureEntries();
  return 0;
}
