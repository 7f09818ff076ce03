#include "harness/Scenario.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <cstdlib>

namespace daisylanding::harness {

namespace {

uint32_t number(const toml::table &From, std::string_view Key,
                uint32_t Default = 0) {
  return From[Key].value_or(Default);
}

std::string text(const toml::table &From, std::string_view Key) {
  return From[Key].value_or(std::string());
}

table::Resources resources(const toml::table &From) {
  return {.MilliCores = number(From, "milli_cores"),
          .MemoryMb = number(From, "memory_mb"),
          .Accelerators = number(From, "accelerators")};
}

template <typename Function>
void forEach(const toml::table &Root, std::string_view Key, Function Use) {
  const toml::array *List = Root[Key].as_array();
  if (!List)
    return;
  for (const toml::node &Each : *List) {
    if (const toml::table *Table = Each.as_table())
      Use(*Table);
  }
}

config::JobKind kindOf(const std::string &Name) {
  if (Name == "service")
    return config::JobKind::Service;
  return Name == "gang" ? config::JobKind::Gang : config::JobKind::Batch;
}

void readDeployment(const toml::table &From, Scenario &Out) {
  Out.Name = text(From, "name");
  Out.EntriesPerZone = number(From, "entries_per_zone", 2);
  Out.PlatformLatencyMs = number(From, "platform_latency_ms");
  Out.BasePort = static_cast<uint16_t>(number(From, "base_port", 20'000));
  Out.ShardsPerZone = number(From, "shards_per_zone", 1);
  Out.WritesPerSecond = number(From, "writes_per_second", 50);
  for (const toml::node &Each : *From["zones"].as_array())
    Out.Zones.push_back(Each.value_or(std::string()));
  auto All = static_cast<uint32_t>(Out.Zones.size()) * Out.EntriesPerZone;
  Out.Entries = number(From, "entries", All);
}

void readWork(const toml::table &Root, Scenario &Out) {
  forEach(Root, "class", [&](const toml::table &Each) {
    bool Move = text(Each, "on_zone_loss") == "move";
    Out.Classes.push_back(
        {.Name = text(Each, "name"),
         .WaitingTarget = Millis(number(Each, "waiting_ms", 1'000)),
         .PackingTarget = Each["packing"].value_or(0.5),
         .ZoneLoss = Move ? config::ZoneLossPolicy::Move
                          : config::ZoneLossPolicy::Hold});
  });
  forEach(Root, "team", [&](const toml::table &Each) {
    Out.Teams.push_back({text(Each, "name"), resources(Each)});
  });
  forEach(Root, "service", [&](const toml::table &Each) {
    ServiceScenario Service;
    Service.Spec.Name = text(Each, "name");
    Service.Spec.Class = text(Each, "class");
    Service.Spec.RunLimit = Millis(number(Each, "run_limit_ms", 5'000));
    Service.Endpoints = number(Each, "endpoints", 1);
    Service.WorkMs = number(Each, "work_ms", 20);
    Service.RequestsPerSecond = Each["requests_per_second"].value_or(10.0);
    Service.NonRepeatable = Each["non_repeatable"].value_or(0.5);
    Out.Services.push_back(Service);
  });
}

void readPlaces(const toml::table &Root, Scenario &Out) {
  forEach(Root, "workers", [&](const toml::table &Each) {
    Out.Workers.push_back({.Name = text(Each, "name"),
                           .Count = number(Each, "count", 1),
                           .Capacity = resources(Each),
                           .PerRack = number(Each, "per_rack", 4)});
  });
  forEach(Root, "job", [&](const toml::table &Each) {
    JobScenario Job;
    Job.Count = number(Each, "count", 1);
    Job.Spec.Id = text(Each, "name");
    Job.Spec.Kind = kindOf(text(Each, "kind"));
    Job.Spec.Class = text(Each, "class");
    Job.Spec.Team = text(Each, "team");
    Job.Spec.Tasks = number(Each, "tasks", 1);
    Job.Spec.Size = resources(Each);
    Job.Spec.RunTime = Millis(number(Each, "run_time_ms", 1'000));
    Out.Jobs.push_back(Job);
  });
}

} // namespace

Scenario loadScenario(const std::string &File) {
  Scenario Out;
  try {
    toml::table Root = toml::parse_file(File);
    readDeployment(*Root["deployment"].as_table(), Out);
    readWork(Root, Out);
    readPlaces(Root, Out);
  } catch (const toml::parse_error &Failure) {
    fmt::print(stderr, "{}: {}\n", File, Failure.description());
    std::exit(1);
  }
  return Out;
}

} // namespace daisylanding::harness
