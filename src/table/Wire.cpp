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

json rowToJson(const Row &Each) {
  return {{"key", Each.Key}, {"value", Each.Value}, {"version", Each.Version}};
}

Row rowFromJson(const json &Source) {
  return {.Key = Source.at("key"),
          .Value = Source.at("value"),
          .Version = Source.at("version")};
}

Instance instanceFromJson(const json &Source) {
  Instance Each;
  Each.Name = Source.at("name");
  Each.Kind = roleFromName(Source.at("role").get<std::string>());
  Each.AvailabilityZone = Source.at("zone");
  Each.Rack = Source.value("rack", "");
  Each.Address = Source.at("address");
  Each.Service = Source.value("service", "");
  Each.Leaving = Source.value("leaving", false);
  if (Source.contains("capacity"))
    Each.Capacity = resourcesFromJson(Source.at("capacity"));
  return Each;
}

} // namespace

json resourcesToJson(const Resources &Amount) {
  return {{"milli_cores", Amount.MilliCores},
          {"memory_mb", Amount.MemoryMb},
          {"accelerators", Amount.Accelerators}};
}

Resources resourcesFromJson(const json &Source) {
  return {.MilliCores = Source.value("milli_cores", 0U),
          .MemoryMb = Source.value("memory_mb", 0U),
          .Accelerators = Source.value("accelerators", 0U)};
}

json mutationsToJson(std::span<const Mutation> Mutations) {
  json Out = json::array();
  for (const Mutation &Each : Mutations) {
    Out.push_back({{"op", static_cast<int>(Each.Kind)},
                   {"key", Each.Key},
                   {"value", Each.Value},
                   {"expected", Each.Expected}});
  }
  return Out;
}

std::vector<Mutation> mutationsFromJson(const json &Source) {
  std::vector<Mutation> Out;
  for (const json &Each : Source) {
    Out.push_back({.Kind = static_cast<Operation>(Each.at("op").get<int>()),
                   .Key = Each.at("key"),
                   .Value = Each.at("value"),
                   .Expected = Each.at("expected")});
  }
  return Out;
}

json rowsToJson(std::span<const Row> Rows) {
  json Out = json::array();
  for (const Row &Each : Rows)
    Out.push_back(rowToJson(Each));
  return Out;
}

std::vector<Row> rowsFromJson(const json &Source) {
  std::vector<Row> Out;
  for (const json &Each : Source)
    Out.push_back(rowFromJson(Each));
  return Out;
}

json commitResultToJson(const CommitResult &Outcome) {
  return {{"committed", Outcome.Committed},
          {"versions", Outcome.Versions},
          {"conflicts", rowsToJson(Outcome.Conflicts)}};
}

CommitResult commitResultFromJson(const json &Source) {
  return {.Committed = Source.at("committed"),
          .Versions = Source.at("versions"),
          .Conflicts = rowsFromJson(Source.at("conflicts"))};
}

json instancesToJson(const InstanceSnapshot &Snapshot) {
  json List = json::array();
  for (const Instance &Each : Snapshot.Instances) {
    List.push_back({{"name", Each.Name},
                    {"role", roleName(Each.Kind)},
                    {"zone", Each.AvailabilityZone},
                    {"rack", Each.Rack},
                    {"address", Each.Address},
                    {"service", Each.Service},
                    {"leaving", Each.Leaving},
                    {"capacity", resourcesToJson(Each.Capacity)}});
  }
  return {{"version", Snapshot.Version}, {"instances", List}};
}

InstanceSnapshot instancesFromJson(const json &Source) {
  InstanceSnapshot Out;
  Out.Version = Source.at("version");
  for (const json &Each : Source.at("instances"))
    Out.Instances.push_back(instanceFromJson(Each));
  return Out;
}

} // namespace daisylanding::table
