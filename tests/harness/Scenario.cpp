#include "harness/Scenario.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <cstdlib>

namespace daisylanding::harness {

namespace {

uint32_t number(const toml::table &Table, std::string_view Key,
                uint32_t Default = 0) {
  return Table[Key].value_or(Default);
}

std::string text(const toml::table &Table, std::string_view Key) {
  return Table[Key].value_or(std::string());
}

table::Resources resources(const toml::table &Table) {
  return {.MilliCores = number(Table, "milli_cores"),
          .MemoryMb = number(Table, "memory_mb"),
          .Accelerators = number(Table, "accelerators")};
}

template <typename Function>
void forEach(const toml::table &Root, std::string_view Key, Function Callback) {
  const toml::array *Array = Root[Key].as_array();
  if (!Array)
    return;
  for (const toml::node &Node : *Array) {
    if (const toml::table *Element = Node.as_table())
      Callback(*Element);
  }
}

config::JobKind jobKindFromName(const std::string &Name) {
  if (Name == "service")
    return config::JobKind::Service;
  return Name == "gang" ? config::JobKind::Gang : config::JobKind::Batch;
}

void readDeployment(const toml::table &Table, Scenario &Result) {
  Result.Name = text(Table, "name");
  Result.EntriesPerZone = number(Table, "entries_per_zone", 2);
  Result.PlatformLatencyMs = number(Table, "platform_latency_ms");
  Result.BasePort = static_cast<uint16_t>(number(Table, "base_port", 20'000));
  Result.ShardsPerZone = number(Table, "shards_per_zone", 1);
  Result.WritesPerSecond = number(Table, "writes_per_second", 50);
  for (const toml::node &ZoneName : *Table["zones"].as_array())
    Result.Zones.push_back(ZoneName.value_or(std::string()));
  auto DefaultCount =
      static_cast<uint32_t>(Result.Zones.size()) * Result.EntriesPerZone;
  Result.EntryCount = number(Table, "entries", DefaultCount);
}

void readServices(const toml::table &Root, Scenario &Result) {
  forEach(Root, "class", [&](const toml::table &ClassTable) {
    bool MovesWork = text(ClassTable, "on_zone_loss") == "move";
    Result.Classes.push_back(
        {.Name = text(ClassTable, "name"),
         .WaitingTarget = Millis(number(ClassTable, "waiting_ms", 1'000)),
         .PackingTarget = ClassTable["packing"].value_or(0.5),
         .ZoneLoss = MovesWork ? config::ZoneLossPolicy::Move
                               : config::ZoneLossPolicy::Hold});
  });
  forEach(Root, "team", [&](const toml::table &TeamTable) {
    Result.Teams.push_back({text(TeamTable, "name"), resources(TeamTable)});
  });
  forEach(Root, "service", [&](const toml::table &ServiceTable) {
    ServiceScenario Service;
    Service.Spec.Name = text(ServiceTable, "name");
    Service.Spec.Class = text(ServiceTable, "class");
    Service.Spec.RunLimit = Millis(number(ServiceTable, "run_limit_ms", 5'000));
    Service.EndpointCount = number(ServiceTable, "endpoints", 1);
    Service.WorkMs = number(ServiceTable, "work_ms", 20);
    Service.RequestsPerSecond =
        ServiceTable["requests_per_second"].value_or(10.0);
    Service.NonRepeatableShare = ServiceTable["non_repeatable"].value_or(0.5);
    Result.Services.push_back(Service);
  });
}

void readWorkersAndJobs(const toml::table &Root, Scenario &Result) {
  forEach(Root, "workers", [&](const toml::table &WorkerTable) {
    Result.Workers.push_back(
        {.Name = text(WorkerTable, "name"),
         .Count = number(WorkerTable, "count", 1),
         .Capacity = resources(WorkerTable),
         .WorkersPerRack = number(WorkerTable, "per_rack", 4)});
  });
  forEach(Root, "job", [&](const toml::table &JobTable) {
    JobScenario Job;
    Job.Count = number(JobTable, "count", 1);
    Job.Spec.Id = text(JobTable, "name");
    Job.Spec.Kind = jobKindFromName(text(JobTable, "kind"));
    Job.Spec.Class = text(JobTable, "class");
    Job.Spec.Team = text(JobTable, "team");
    Job.Spec.Tasks = number(JobTable, "tasks", 1);
    Job.Spec.Size = resources(JobTable);
    Job.Spec.RunTime = Millis(number(JobTable, "run_time_ms", 1'000));
    Result.Jobs.push_back(Job);
  });
}

} // namespace

Scenario loadScenario(const std::string &File) {
  Scenario Result;
  try {
    toml::table Root = toml::parse_file(File);
    readDeployment(*Root["deployment"].as_table(), Result);
    readServices(Root, Result);
    readWorkersAndJobs(Root, Result);
  } catch (const toml::parse_error &Error) {
    fmt::print(stderr, "{}: {}\n", File, Error.description());
    std::exit(1);
  }
  return Result;
}

} // namespace daisylanding::harness
