#include "harness/Deployment.h"

#include "table/Wire.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace daisylanding::harness {

using nlohmann::json;

namespace {

constexpr uint16_t PortsPerEntry = 3;
constexpr uint16_t EntryPortOffset = 1;
constexpr uint16_t EndpointPortOffset = 100;
constexpr uint16_t WorkerPortOffset = 300;
constexpr Millis StartTimeout{30'000};
constexpr Millis PollInterval{50};
constexpr Millis ControlTimeout{3'000};

int64_t nowMicros() { return monotonicNow().time_since_epoch().count(); }

http::CallResult performCall(const std::string &Method, const std::string &Url,
                             const std::string &Body, Millis Timeout) {
  http::Client Client;
  http::Call Request;
  Request.Method = Method;
  Request.Url = Url;
  Request.Body = Body;
  Request.Timeout = Timeout;
  return Client.perform(Request);
}

} // namespace

std::string EntryProcess::addressAt(uint16_t Offset) const {
  return fmt::format("127.0.0.1:{}", BasePort + Offset);
}

Deployment::Deployment(Scenario NewScenario, std::string ProgramDir,
                       std::string OutputDir)
    : TestScenario(std::move(NewScenario)), ProgramDir(std::move(ProgramDir)),
      OutputDir(std::move(OutputDir)) {
  std::filesystem::remove_all(this->OutputDir); // History of an earlier run.
  std::filesystem::create_directories(this->OutputDir);
  buildInstanceList();
}

Deployment::~Deployment() {
  for (auto &Entry : Entries)
    Entry->Child.signal(SIGCONT);
}

/// Assigns names, zones, racks and ports to entries, endpoints and workers.
void Deployment::buildInstanceList() {
  PlatformPort = TestScenario.BasePort;
  size_t ZoneCount = TestScenario.Zones.size();
  for (uint32_t Index = 0; Index < TestScenario.EntryCount; ++Index) {
    auto Entry = std::make_unique<EntryProcess>();
    Entry->Zone = TestScenario.Zones[Index % ZoneCount];
    Entry->Name = fmt::format("{}-entry-{}", Entry->Zone, Index / ZoneCount);
    Entry->BasePort = static_cast<uint16_t>(
        TestScenario.BasePort + EntryPortOffset + Index * PortsPerEntry);
    Instances.push_back({{"name", Entry->Name},
                         {"role", "entry"},
                         {"zone", Entry->Zone},
                         {"address", Entry->callerAddress()}});
    Entries.push_back(std::move(Entry));
  }
  uint16_t Port = TestScenario.BasePort + EndpointPortOffset;
  for (const ServiceScenario &Service : TestScenario.Services) {
    for (uint32_t Index = 0; Index < Service.EndpointCount; ++Index) {
      std::string Name = fmt::format("{}-{}", Service.Spec.Name, Index);
      EndpointProcesses[Name].second = Port;
      Endpoints.push_back(Name);
      Instances.push_back({{"name", Name},
                           {"role", "endpoint"},
                           {"zone", TestScenario.Zones[Index % ZoneCount]},
                           {"service", Service.Spec.Name},
                           {"address", fmt::format("127.0.0.1:{}", Port++)}});
    }
  }
  WorkerHosts.resize(ZoneCount);
  for (size_t Index = 0; Index < ZoneCount; ++Index)
    WorkerHosts[Index].Port =
        static_cast<uint16_t>(TestScenario.BasePort + WorkerPortOffset + Index);
  for (const WorkerScenario &Group : TestScenario.Workers) {
    for (uint32_t Index = 0; Index < Group.Count; ++Index) {
      WorkerHost &Host = WorkerHosts[Index % ZoneCount];
      uint32_t WorkerIndex = Host.Count++;
      std::string Name = fmt::format(
          "{}-worker-{}", TestScenario.Zones[Index % ZoneCount], WorkerIndex);
      WorkerCapacities[Name] = Group.Capacity;
      Instances.push_back(
          {{"name", Name},
           {"role", "worker"},
           {"zone", TestScenario.Zones[Index % ZoneCount]},
           {"rack", fmt::format("{}-{}", Group.Name,
                                Index / ZoneCount / Group.WorkersPerRack)},
           {"address", fmt::format("127.0.0.1:{}/w{}", Host.Port, WorkerIndex)},
           {"capacity", table::resourcesToJson(Group.Capacity)}});
    }
  }
}

void Deployment::startStandIns() {
  Platform = Process({ProgramDir + "/standin-platform", "--port",
                      std::to_string(PlatformPort)},
                     logPath("platform"));
  for (const ServiceScenario &Service : TestScenario.Services) {
    for (uint32_t Index = 0; Index < Service.EndpointCount; ++Index) {
      std::string Name = fmt::format("{}-{}", Service.Spec.Name, Index);
      auto &[Child, Port] = EndpointProcesses[Name];
      Child =
          Process({ProgramDir + "/standin-executor", "--port",
                   std::to_string(Port), "--name", Name, "--work-ms",
                   std::to_string(Service.WorkMs), "--history", historyPath()},
                  logPath(Name));
    }
  }
  for (size_t Index = 0; Index < WorkerHosts.size(); ++Index)
    startWorkerHost(Index);
}

std::string Deployment::entrySettings(const EntryProcess &Entry) const {
  std::string Seeds;
  for (const auto &Peer : Entries)
    Seeds +=
        fmt::format("{}\"{}\"", Seeds.empty() ? "" : ", ", Peer->peerAddress());
  return fmt::format("[entry]\n"
                     "deployment = \"{}\"\n"
                     "name = \"{}\"\n"
                     "zone = \"{}\"\n"
                     "[callers]\nlisten = \"{}\"\n"
                     "[operators]\nlisten = \"{}\"\n"
                     "[peers]\nlisten = \"{}\"\nseeds = [{}]\n"
                     "[platform]\nurl = \"http://127.0.0.1:{}\"\n"
                     "writes_per_second = {}\n"
                     "shards_per_zone = {}\n",
                     TestScenario.Name, Entry.Name, Entry.Zone,
                     Entry.callerAddress(), Entry.operatorAddress(),
                     Entry.peerAddress(), Seeds, PlatformPort,
                     TestScenario.WritesPerSecond, TestScenario.ShardsPerZone);
}

void Deployment::startEntry(EntryProcess &Entry) {
  std::string File = OutputDir + "/" + Entry.Name + ".toml";
  std::ofstream(File) << entrySettings(Entry);
  Entry.Stopping = false;
  Entry.Child =
      Process({ProgramDir + "/daisylanding", "serve", "--config", File},
              logPath(Entry.Name));
}

bool Deployment::standInsRunning() {
  std::this_thread::sleep_for(PollInterval * 4);
  bool AllRunning = Platform.running();
  for (auto &Endpoint : EndpointProcesses)
    AllRunning = Endpoint.second.first.running() && AllRunning;
  for (WorkerHost &Host : WorkerHosts)
    AllRunning = Host.Child.running() && AllRunning;
  return AllRunning;
}

bool Deployment::start() {
  startStandIns();
  TimePoint Deadline = monotonicNow() + StartTimeout;
  std::string StatsUrl =
      fmt::format("http://127.0.0.1:{}/control/stats", PlatformPort);
  while (!performCall("GET", StatsUrl, "", ControlTimeout)) {
    if (monotonicNow() > Deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  if (!standInsRunning())
    return false; // Stand-ins of another run occupy the ports.
  publishInstances();
  setPlatformFaults({});
  for (auto &Entry : Entries)
    startEntry(*Entry);
  return applyScenarioConfig() && waitUntilReady();
}

void Deployment::publishInstances() {
  ++InstanceListVersion;
  postControl(fmt::format("127.0.0.1:{}", PlatformPort), "/control/instances",
              {{"version", InstanceListVersion}, {"instances", Instances}});
}

void Deployment::postControl(const std::string &Address,
                             const std::string &Path, const json &Body) {
  // No faults are sent as an empty object, not as null.
  std::string RequestBody = Body.is_null() ? "{}" : Body.dump();
  auto Response = performCall("POST", "http://" + Address + Path, RequestBody,
                              ControlTimeout);
  if (!Response || Response->Status != http::StatusOk)
    fmt::print(stderr, "control call to {}{} failed\n", Address, Path);
}

bool Deployment::applyScenarioConfig() {
  for (const config::WorkClass &Class : TestScenario.Classes) {
    bool MovesWork = Class.ZoneLoss == config::ZoneLossPolicy::Move;
    if (!changeConfig({{"kind", "set-class"},
                       {"name", Class.Name},
                       {"waiting_ms", Class.WaitingTarget.count()},
                       {"packing", Class.PackingTarget},
                       {"on_zone_loss", MovesWork ? "move" : "hold"}}))
      return false;
  }
  for (const config::Team &Team : TestScenario.Teams) {
    json Change = table::resourcesToJson(Team.Quota);
    Change["kind"] = "set-team";
    Change["name"] = Team.Name;
    if (!changeConfig(Change))
      return false;
  }
  for (const ServiceScenario &Service : TestScenario.Services) {
    if (!changeConfig({{"kind", "set-service"},
                       {"name", Service.Spec.Name},
                       {"class", Service.Spec.Class},
                       {"run_limit_ms", Service.Spec.RunLimit.count()}}))
      return false;
  }
  return true;
}

bool Deployment::changeConfig(const json &Change) {
  TimePoint Deadline = monotonicNow() + StartTimeout;
  while (monotonicNow() < Deadline) {
    auto NewestConfig = callOperatorApi("GET", "/v1/config?newest=yes");
    if (NewestConfig) {
      json Body = {{"expect_version", NewestConfig->value("version", 0U)},
                   {"change", Change}};
      if (callOperatorApi("POST", "/v1/config/changes", Body))
        return true;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

/// Whether an entry has spare slots of each service with an endpoint in its
/// zone.
bool Deployment::hasSlots(const EntryProcess &Entry,
                          const json &SpareSlots) const {
  return std::all_of(
      Instances.begin(), Instances.end(), [&](const json &Instance) {
        bool IsLocalEndpoint =
            Instance["role"] == "endpoint" && Instance["zone"] == Entry.Zone;
        return !IsLocalEndpoint ||
               SpareSlots.value(Instance["service"].get<std::string>(), 0) > 0;
      });
}

bool Deployment::waitUntilReady() {
  TimePoint Deadline = monotonicNow() + StartTimeout;
  auto NewestConfig = callOperatorApi("GET", "/v1/config?newest=yes");
  while (NewestConfig && monotonicNow() < Deadline) {
    pollHealth();
    bool AllReady =
        std::all_of(Entries.begin(), Entries.end(), [&](auto &Entry) {
          auto Response = performCall(
              "GET", "http://" + Entry->operatorAddress() + "/v1/status", "",
              ControlTimeout);
          if (!Entry->Healthy || !Response)
            return false;
          json StatusDocument = json::parse(Response->Body);
          return StatusDocument["config_version"] ==
                     (*NewestConfig)["version"] &&
                 hasSlots(*Entry, StatusDocument["spare_slots"]);
        });
    if (AllReady)
      return true;
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

void Deployment::pollHealth() {
  constexpr Millis HealthTimeout{300};
  for (auto &Entry : Entries) {
    auto Response =
        performCall("GET", "http://" + Entry->callerAddress() + "/healthz", "",
                    HealthTimeout);
    Entry->Healthy = Response && Response->Status == http::StatusOk;
  }
}

EntryProcess *Deployment::nextEntry() {
  for (size_t CheckedCount = 0; CheckedCount < Entries.size(); ++CheckedCount) {
    EntryProcess &Entry = *Entries[NextEntryIndex++ % Entries.size()];
    if (Entry.Healthy)
      return &Entry;
  }
  return nullptr;
}

std::optional<json> Deployment::callOperatorApi(const std::string &Method,
                                                const std::string &Target,
                                                const json &Body,
                                                uint16_t *Status) {
  for (auto &Entry : Entries) {
    if (Entry->Frozen || Entry->Stopping)
      continue;
    auto Response =
        performCall(Method, "http://" + Entry->operatorAddress() + Target,
                    Body.is_null() ? "" : Body.dump(), ControlTimeout);
    if (!Response)
      continue;
    if (Status)
      *Status = Response->Status;
    if (Response->Status >= http::StatusBadRequest)
      return std::nullopt;
    return json::parse(Response->Body, nullptr, false);
  }
  return std::nullopt;
}

bool Deployment::submitJob(const config::JobSpec &Spec) {
  TimePoint Deadline = monotonicNow() + StartTimeout;
  while (monotonicNow() < Deadline) {
    if (callOperatorApi("POST", "/v1/jobs", config::jobSpecToJson(Spec))) {
      AcceptedJobs.push_back(Spec);
      return true;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

void Deployment::killEntry(size_t Index) {
  Entries[Index]->Child.signal(SIGKILL);
  Entries[Index]->Child.wait(ControlTimeout);
}

void Deployment::restartEntry(size_t Index) {
  Entries[Index]->Child.wait(Millis(0));
  startEntry(*Entries[Index]);
}

void Deployment::freezeEntry(size_t Index, bool Frozen) {
  Entries[Index]->Frozen = Frozen;
  Entries[Index]->Child.signal(Frozen ? SIGSTOP : SIGCONT);
}

void Deployment::stopEntry(size_t Index) {
  Entries[Index]->Stopping = true;
  Entries[Index]->Child.signal(SIGTERM);
}

void Deployment::setPlatformFaults(const json &Faults) {
  json Body = Faults.is_null() ? json::object() : Faults;
  if (!Body.contains("delay_ms"))
    Body["delay_ms"] = TestScenario.PlatformLatencyMs;
  postControl(fmt::format("127.0.0.1:{}", PlatformPort), "/control/faults",
              Body);
}

void Deployment::setEndpointFaults(size_t Index, const json &Faults) {
  postControl(
      fmt::format("127.0.0.1:{}", EndpointProcesses[Endpoints[Index]].second),
      "/control/faults", Faults);
}

void Deployment::setWorkerFaults(size_t Zone, uint32_t Worker,
                                 const json &Faults) {
  json Body = Faults;
  Body["worker"] = fmt::format("w{}", Worker);
  postControl(fmt::format("127.0.0.1:{}", WorkerHosts[Zone].Port),
              "/control/faults", Body);
}

void Deployment::freezeWorkers(size_t Zone, bool Frozen) {
  WorkerHosts[Zone].Child.signal(Frozen ? SIGSTOP : SIGCONT);
}

void Deployment::killWorkerHost(size_t Zone) {
  WorkerHosts[Zone].Child.signal(SIGKILL);
  WorkerHosts[Zone].Child.wait(ControlTimeout);
  std::ofstream(historyPath(), std::ios::app)
      << nowMicros() << " killed " << TestScenario.Zones[Zone]
      << "-worker- -\n";
}

void Deployment::startWorkerHost(size_t Zone) {
  WorkerHost &Host = WorkerHosts[Zone];
  Host.Child = Process({ProgramDir + "/standin-worker", "--port",
                        std::to_string(Host.Port), "--name",
                        TestScenario.Zones[Zone] + "-worker-", "--count",
                        std::to_string(Host.Count), "--history", historyPath()},
                       logPath("workers-" + TestScenario.Zones[Zone]));
}

/// Kills all workers of a zone with their attempts, and starts new ones.
void Deployment::killAndRestartWorkers(size_t Zone) {
  killWorkerHost(Zone);
  startWorkerHost(Zone);
}

void Deployment::killZone(size_t Zone) {
  for (size_t Index = 0; Index < Entries.size(); ++Index) {
    if (Entries[Index]->Zone == TestScenario.Zones[Zone])
      killEntry(Index);
  }
  killWorkerHost(Zone);
}

void Deployment::restoreZone(size_t Zone) {
  startWorkerHost(Zone);
  for (size_t Index = 0; Index < Entries.size(); ++Index) {
    if (Entries[Index]->Zone == TestScenario.Zones[Zone])
      restartEntry(Index);
  }
}

void Deployment::drainEndpoint(size_t Index) {
  for (json &Instance : Instances) {
    if (Instance["name"] == Endpoints[Index])
      Instance["leaving"] = true;
  }
  publishInstances();
  std::lock_guard<std::mutex> Lock(ObservationMutex);
  Drains.push_back({.Endpoint = Endpoints[Index],
                    .ListedAt = nowMicros(),
                    .AppliedAt = INT64_MAX});
  DrainListVersions[Endpoints[Index]] = InstanceListVersion;
}

void Deployment::recordObservations() {
  uint64_t LowestListVersion = UINT64_MAX;
  bool AllEntriesAnswered = true;
  for (auto &Entry : Entries) {
    if (!Entry->Child.running())
      continue;
    auto Response =
        Entry->Frozen
            ? http::CallResult(Errc::Timeout)
            : performCall("GET",
                          "http://" + Entry->operatorAddress() + "/v1/status",
                          "", ControlTimeout);
    json Status =
        Response ? json::parse(Response->Body, nullptr, false) : json();
    if (!Status.is_object()) {
      AllEntriesAnswered = false;
      continue;
    }
    LowestListVersion =
        std::min<uint64_t>(LowestListVersion, Status["list_version"]);
    std::lock_guard<std::mutex> Lock(ObservationMutex);
    ConfigObservations.push_back(
        {nowMicros(), fmt::format("{}/{}", Entry->Name, Entry->Child.pid()),
         Status["config_version"]});
  }
  std::lock_guard<std::mutex> Lock(ObservationMutex);
  for (DrainRecord &Drain : Drains) {
    bool Applied = AllEntriesAnswered &&
                   LowestListVersion >= DrainListVersions[Drain.Endpoint];
    if (Applied && Drain.AppliedAt == INT64_MAX)
      Drain.AppliedAt = nowMicros();
  }
}

uint64_t Deployment::lowestConfigVersion() {
  uint64_t LowestVersion = UINT64_MAX;
  for (auto &Entry : Entries) {
    auto Response =
        performCall("GET", "http://" + Entry->operatorAddress() + "/v1/status",
                    "", ControlTimeout);
    json Status =
        Response ? json::parse(Response->Body, nullptr, false) : json();
    if (!Status.is_object())
      return 0;
    LowestVersion = std::min<uint64_t>(LowestVersion, Status["config_version"]);
  }
  return LowestVersion;
}

json Deployment::platformStats() {
  auto Response = performCall(
      "GET", fmt::format("http://127.0.0.1:{}/control/stats", PlatformPort), "",
      ControlTimeout);
  return Response ? json::parse(Response->Body) : json::object();
}

json Deployment::jobStatus(const std::string &Id) {
  auto Status = callOperatorApi("GET", "/v1/jobs/" + Id);
  return Status ? *Status : json::object();
}

bool Deployment::waitForJobs(Millis Timeout) {
  TimePoint Deadline = monotonicNow() + Timeout;
  std::vector<std::string> OpenJobs;
  for (const config::JobSpec &Job : AcceptedJobs) {
    if (Job.Kind != config::JobKind::Service)
      OpenJobs.push_back(Job.Id);
  }
  while (!OpenJobs.empty() && monotonicNow() < Deadline) {
    std::erase_if(OpenJobs, [&](const std::string &Id) {
      std::string State = jobStatus(Id).value("state", "accepted");
      return State != "accepted";
    });
    if (!OpenJobs.empty())
      std::this_thread::sleep_for(PollInterval);
  }
  return OpenJobs.empty();
}

std::map<std::string, double>
Deployment::entryMetrics(const EntryProcess &Entry) {
  std::map<std::string, double> Metrics;
  auto Response =
      performCall("GET", "http://" + Entry.operatorAddress() + "/metrics", "",
                  ControlTimeout);
  if (!Response)
    return Metrics;
  std::istringstream Lines(Response->Body);
  std::string Line;
  while (std::getline(Lines, Line)) {
    size_t Space = Line.rfind(' ');
    if (Space != std::string::npos)
      Metrics[Line.substr(0, Space)] =
          std::strtod(Line.c_str() + Space, nullptr);
  }
  return Metrics;
}

DeploymentHistory Deployment::history() {
  DeploymentHistory History;
  readHistory(historyPath(), History);
  History.WorkerCapacities = WorkerCapacities;
  for (const config::JobSpec &Job : AcceptedJobs)
    History.Jobs.push_back({.Id = Job.Id,
                            .State = jobStatus(Job.Id).value("state", "absent"),
                            .MustEnd = Job.Kind != config::JobKind::Service,
                            .TaskCount = Job.Tasks});
  std::lock_guard<std::mutex> Lock(ObservationMutex);
  History.ConfigObservations = ConfigObservations;
  History.Drains = Drains;
  return History;
}

} // namespace daisylanding::harness
