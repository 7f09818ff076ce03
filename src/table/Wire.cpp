#include "table/Wire.h"

#include <nlohmann/json.hpp>

namespace daisylanding::table {

using nlohmann::json;

namespace {

std::string_view roleName(Role Kind) {
  switch (Kind) {
  case Role::Entry:
    return "entry";
  case Role::Endpoint:
    return "endpoint";
  case Role::Worker:
    return "worker";
  }
  return "worker";
}

Role roleFromName(std::string_view Name) {
  if (Name == "entry")
    return Role::Entry;
  return Name == "endpoint" ? Role::Endpoint : Role::Worker;
}

json rowToJson(const Row &Source) {
  return {{"key", Source.Key},
          {"value", Source.Value},
          {"version", Source.Version}};
}

Row rowFromJson(const json &Object) {
  return {.Key = Object.at("key"),
          .Value = Object.at("value"),
          .Version = Object.at("version")};
}

Instance instanceFromJson(const json &Object) {
  Instance Parsed;
  Parsed.Name = Object.at("name");
  Parsed.Kind = roleFromName(Object.at("role").get<std::string>());
  Parsed.AvailabilityZone = Object.at("zone");
  Parsed.Rack = Object.value("rack", "");
  Parsed.Address = Object.at("address");
  Parsed.Service = Object.value("service", "");
  Parsed.Leaving = Object.value("leaving", false);
  if (Object.contains("capacity"))
    Parsed.Capacity = resourcesFromJson(Object.at("capacity"));
  return Parsed;
}

} // namespace

json resourcesToJson(const Resources &Amounts) {
  return {{"milli_cores", Amounts.MilliCores},
          {"memory_mb", Amounts.MemoryMb},
          {"accelerators", Amounts.Accelerators}};
}

Resources resourcesFromJson(const json &Object) {
  return {.MilliCores = Object.value("milli_cores", 0U),
          .MemoryMb = Object.value("memory_mb", 0U),
          .Accelerators = Object.value("accelerators", 0U)};
}

json mutationsToJson(std::span<const Mutation> Mutations) {
  json List = json::array();
  for (const Mutation &Change : Mutations) {
    List.push_back({{"op", static_cast<int>(Change.Kind)},
                    {"key", Change.Key},
                    {"value", Change.Value},
                    {"expected", Change.ExpectedVersion}});
  }
  return List;
}

std::vector<Mutation> mutationsFromJson(const json &List) {
  std::vector<Mutation> Mutations;
  for (const json &Object : List) {
    Mutations.push_back(
        {.Kind = static_cast<Operation>(Object.at("op").get<int>()),
         .Key = Object.at("key"),
         .Value = Object.at("value"),
         .ExpectedVersion = Object.at("expected")});
  }
  return Mutations;
}

json rowsToJson(std::span<const Row> Rows) {
  json List = json::array();
  for (const Row &Source : Rows)
    List.push_back(rowToJson(Source));
  return List;
}

std::vector<Row> rowsFromJson(const json &List) {
  std::vector<Row> Rows;
  for (const json &Object : List)
    Rows.push_back(rowFromJson(Object));
  return Rows;
}

json commitResultToJson(const CommitResult &Commit) {
  return {{"committed", Commit.Committed},
          {"versions", Commit.Versions},
          {"conflicts", rowsToJson(Commit.Conflicts)}};
}

CommitResult commitResultFromJson(const json &Object) {
  return {.Committed = Object.at("committed"),
          .Versions = Object.at("versions"),
          .Conflicts = rowsFromJson(Object.at("conflicts"))};
}

json instancesToJson(const InstanceSnapshot &Snapshot) {
  json List = json::array();
  for (const Instance &Listed : Snapshot.Instances) {
    List.push_back({{"name", Listed.Name},
                    {"role", roleName(Listed.Kind)},
                    {"zone", Listed.AvailabilityZone},
                    {"rack", Listed.Rack},
                    {"address", Listed.Address},
                    {"service", Listed.Service},
                    {"leaving", Listed.Leaving},
                    {"capacity", resourcesToJson(Listed.Capacity)}});
  }
  return {{"version", Snapshot.Version}, {"instances", List}};
}

InstanceSnapshot instancesFromJson(const json &Object) {
  InstanceSnapshot Snapshot;
  Snapshot.Version = Object.at("version");
  for (const json &Entry : Object.at("instances"))
    Snapshot.Instances.push_back(instanceFromJson(Entry));
  return Snapshot;
}

} // namespace daisylanding::table
