#include "node/ConfigDocument.h"

#include "cell/ConfigCheck.h"
#include "common/Json.h"

namespace daisylanding::node {

namespace {

using nlohmann::json;

json adviceToJson(const cell::AdviceSettings &Advice) {
  return {{"base_ms", Advice.BaseMs},
          {"per_executor_ms", Advice.PerExecutorMs},
          {"validity_ms", Advice.Validity.count()}};
}

json queueToJson(const cell::Queue &Queue) {
  json Document = {{"name", Queue.Name},
                   {"host", Queue.Host},
                   {"path_prefix", Queue.PathPrefix},
                   {"service", Queue.Service},
                   {"priority", Queue.Priority},
                   {"max_attempts", Queue.MaxAttempts},
                   {"stretch", Queue.Stretch},
                   {"target_latency_ms", Queue.TargetLatency.count()},
                   {"public", Queue.IsPublic}};
  if (Queue.Advice)
    Document["advice"] = adviceToJson(*Queue.Advice);
  return Document;
}

json limitsToJson(const http::RequestLimits &Limits) {
  return {{"max_header_bytes", Limits.MaxHeaderBytes},
          {"max_body_bytes", Limits.MaxBodyBytes},
          {"header_timeout_ms", Limits.HeaderTimeout.count()},
          {"idle_timeout_ms", Limits.IdleTimeout.count()}};
}

cell::AdviceSettings adviceFromJson(const json &Document) {
  return {.BaseMs = Document.at("base_ms").get<double>(),
          .PerExecutorMs = Document.at("per_executor_ms").get<double>(),
          .Validity = Millis(Document.at("validity_ms").get<int64_t>())};
}

cell::Queue queueFromJson(const json &Document) {
  cell::Queue Queue;
  Queue.Name = Document.at("name").get<std::string>();
  Queue.Host = Document.at("host").get<std::string>();
  Queue.PathPrefix = Document.at("path_prefix").get<std::string>();
  Queue.Service = Document.at("service").get<std::string>();
  Queue.Priority = Document.at("priority").get<uint32_t>();
  Queue.MaxAttempts = Document.at("max_attempts").get<uint32_t>();
  Queue.Stretch = Document.at("stretch").get<double>();
  Queue.TargetLatency = Millis(Document.at("target_latency_ms").get<int64_t>());
  Queue.IsPublic = Document.value("public", false);
  if (Document.contains("advice"))
    Queue.Advice = adviceFromJson(Document.at("advice"));
  return Queue;
}

cell::Workspace workspaceFromJson(const json &Document) {
  const json &Cap = Document.at("cap");
  return {.Name = Document.at("name").get<std::string>(),
          .Priority = Document.at("priority").get<uint32_t>(),
          .Weight = Document.at("weight").get<uint32_t>(),
          .Cap = {.MilliCores = Cap.at("milli_cores").get<uint32_t>(),
                  .MemoryMb = Cap.at("memory_mb").get<uint32_t>(),
                  .Accelerators = Cap.at("accelerators").get<uint32_t>()}};
}

http::RequestLimits limitsFromJson(const json &Document) {
  http::RequestLimits Limits;
  Limits.MaxHeaderBytes = Document.at("max_header_bytes").get<size_t>();
  Limits.MaxBodyBytes = Document.at("max_body_bytes").get<size_t>();
  Limits.HeaderTimeout =
      Millis(Document.at("header_timeout_ms").get<int64_t>());
  Limits.IdleTimeout = Millis(Document.at("idle_timeout_ms").get<int64_t>());
  return Limits;
}

} // namespace

json workspaceToJson(const cell::Workspace &Workspace, size_t KeyCount) {
  return {{"name", Workspace.Name},
          {"priority", Workspace.Priority},
          {"weight", Workspace.Weight},
          {"cap",
           {{"milli_cores", Workspace.Cap.MilliCores},
            {"memory_mb", Workspace.Cap.MemoryMb},
            {"accelerators", Workspace.Cap.Accelerators}}},
          {"keys", KeyCount}};
}

json configToJson(const cell::CellConfig &Config) {
  json Queues = json::array();
  for (const cell::Queue &Queue : Config.Queues)
    Queues.push_back(queueToJson(Queue));
  json Workspaces = json::array();
  std::vector<size_t> KeyCounts = cell::countKeys(Config);
  for (size_t I = 0; I < Config.Workspaces.size(); ++I)
    Workspaces.push_back(workspaceToJson(Config.Workspaces[I], KeyCounts[I]));
  return {{"version", Config.Version},
          {"queues", Queues},
          {"services", Config.Services},
          {"workspaces", Workspaces},
          {"limits", limitsToJson(Config.Limits)}};
}

Result<cell::CellConfig> configFromJson(const json &Document) {
  try {
    cell::CellConfig Config;
    Config.Version = Document.at("version").get<uint64_t>();
    for (const json &Queue : Document.at("queues"))
      Config.Queues.push_back(queueFromJson(Queue));
    Config.Services = Document.value("services", std::vector<std::string>());
    for (const json &Workspace : Document.value("workspaces", json::array()))
      Config.Workspaces.push_back(workspaceFromJson(Workspace));
    if (Document.contains("limits"))
      Config.Limits = limitsFromJson(Document.at("limits"));
    return Config;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

} // namespace daisylanding::node
