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
constexpr Millis StartLimit{30'000};
constexpr Millis PollStep{50};
constexpr Millis ControlTimeout{3'000};

int64_t nowMicros() { return monotonicNow().time_since_epoch().count(); }

http::CallResult call(const std::string &Method, const std::string &Url,
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

std::string EntryProcess::address(uint16_t Offset) const {
  return fmt::format("127.0.0.1:{}", Port + Offset);
}

Deployment::Deployment(Scenario NewWhat, std::string Programs,
                       std::string Folder)
    : What(std::move(NewWhat)), Programs(std::move(Programs)),
      Folder(std::move(Folder)) {
  std::filesystem::remove_all(this->Folder); // Histories of earlier runs.
  std::filesystem::create_directories(this->Folder);
  layOut();
}

Deployment::~Deployment() {
  for (auto &Each : Entries)
    Each->Child.signal(SIGCONT);
}

/// Names, zones, racks and ports of everything.
void Deployment::layOut() {
  PlatformPort = What.BasePort;
  size_t Zones = What.Zones.size();
  for (uint32_t I = 0; I < What.Entries; ++I) {
    auto Entry = std::make_unique<EntryProcess>();
    Entry->Zone = What.Zones[I % Zones];
    Entry->Name = fmt::format("{}-entry-{}", Entry->Zone, I / Zones);
    Entry->Port = static_cast<uint16_t>(What.BasePort + EntryPortOffset +
                                        I * PortsPerEntry);
    List.push_back({{"name", Entry->Name},
                    {"role", "entry"},
                    {"zone", Entry->Zone},
                    {"address", Entry->callers()}});
    Entries.push_back(std::move(Entry));
  }
  uint16_t Port = What.BasePort + EndpointPortOffset;
  for (const ServiceScenario &Service : What.Services) {
    for (uint32_t I = 0; I < Service.Endpoints; ++I) {
      std::string Name = fmt::format("{}-{}", Service.Spec.Name, I);
      Executors[Name].second = Port;
      Endpoints.push_back(Name);
      List.push_back({{"name", Name},
                      {"role", "endpoint"},
                      {"zone", What.Zones[I % Zones]},
                      {"service", Service.Spec.Name},
                      {"address", fmt::format("127.0.0.1:{}", Port++)}});
    }
  }
  Hosts.resize(Zones);
  for (size_t I = 0; I < Zones; ++I)
    Hosts[I].Port = static_cast<uint16_t>(What.BasePort + WorkerPortOffset + I);
  for (const WorkerScenario &Kind : What.Workers) {
    for (uint32_t I = 0; I < Kind.Count; ++I) {
      WorkerHost &Host = Hosts[I % Zones];
      uint32_t Number = Host.Count++;
      std::string Name =
          fmt::format("{}-worker-{}", What.Zones[I % Zones], Number);
      Capacities[Name] = Kind.Capacity;
      List.push_back(
          {{"name", Name},
           {"role", "worker"},
           {"zone", What.Zones[I % Zones]},
           {"rack", fmt::format("{}-{}", Kind.Name, I / Zones / Kind.PerRack)},
           {"address", fmt::format("127.0.0.1:{}/w{}", Host.Port, Number)},
           {"capacity", table::resourcesToJson(Kind.Capacity)}});
    }
  }
}

void Deployment::startStandIns() {
  Platform = Process(
      {Programs + "/standin-platform", "--port", std::to_string(PlatformPort)},
      logFile("platform"));
  for (const ServiceScenario &Service : What.Services) {
    for (uint32_t I = 0; I < Service.Endpoints; ++I) {
      std::string Name = fmt::format("{}-{}", Service.Spec.Name, I);
      auto &[Child, Port] = Executors[Name];
      Child =
          Process({Programs + "/standin-executor", "--port",
                   std::to_string(Port), "--name", Name, "--work-ms",
                   std::to_string(Service.WorkMs), "--history", historyFile()},
                  logFile(Name));
    }
  }
  for (size_t I = 0; I < Hosts.size(); ++I)
    startWorkers(I);
}

std::string Deployment::settingsFor(const EntryProcess &Entry) const {
  std::string Seeds;
  for (const auto &Each : Entries)
    Seeds += fmt::format("{}\"{}\"", Seeds.empty() ? "" : ", ", Each->peers());
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
                     What.Name, Entry.Name, Entry.Zone, Entry.callers(),
                     Entry.operators(), Entry.peers(), Seeds, PlatformPort,
                     What.WritesPerSecond, What.ShardsPerZone);
}

void Deployment::startEntry(EntryProcess &Entry) {
  std::string File = Folder + "/" + Entry.Name + ".toml";
  std::ofstream(File) << settingsFor(Entry);
  Entry.Stopping = false;
  Entry.Child = Process({Programs + "/daisylanding", "serve", "--config", File},
                        logFile(Entry.Name));
}

bool Deployment::standInsRun() {
  std::this_thread::sleep_for(PollStep * 4);
  bool Running = Platform.running();
  for (auto &Each : Executors)
    Running = Each.second.first.running() && Running;
  for (WorkerHost &Each : Hosts)
    Running = Each.Child.running() && Running;
  return Running;
}

bool Deployment::start() {
  startStandIns();
  TimePoint Until = monotonicNow() + StartLimit;
  std::string Stats =
      fmt::format("http://127.0.0.1:{}/control/stats", PlatformPort);
  while (!call("GET", Stats, "", ControlTimeout)) {
    if (monotonicNow() > Until)
      return false;
    std::this_thread::sleep_for(PollStep);
  }
  if (!standInsRun())
    return false; // Another run's stand-ins hold their ports.
  publishList();
  setPlatformFaults({});
  for (auto &Each : Entries)
    startEntry(*Each);
  return configure() && waitReady();
}

void Deployment::publishList() {
  ++ListVersion;
  callControl(fmt::format("127.0.0.1:{}", PlatformPort), "/control/instances",
              {{"version", ListVersion}, {"instances", List}});
}

void Deployment::callControl(const std::string &Address,
                             const std::string &Path, const json &Body) {
  // No faults at all is an empty object.
  std::string Text = Body.is_null() ? "{}" : Body.dump();
  auto Answer = call("POST", "http://" + Address + Path, Text, ControlTimeout);
  if (!Answer || Answer->Status != http::StatusOk)
    fmt::print(stderr, "control {}{} was not obeyed\n", Address, Path);
}

bool Deployment::configure() {
  for (const config::WorkClass &Each : What.Classes) {
    bool Move = Each.ZoneLoss == config::ZoneLossPolicy::Move;
    if (!changeConfig({{"kind", "set-class"},
                       {"name", Each.Name},
                       {"waiting_ms", Each.WaitingTarget.count()},
                       {"packing", Each.PackingTarget},
                       {"on_zone_loss", Move ? "move" : "hold"}}))
      return false;
  }
  for (const config::Team &Each : What.Teams) {
    json Change = table::resourcesToJson(Each.Quota);
    Change["kind"] = "set-team";
    Change["name"] = Each.Name;
    if (!changeConfig(Change))
      return false;
  }
  for (const ServiceScenario &Each : What.Services) {
    if (!changeConfig({{"kind", "set-service"},
                       {"name", Each.Spec.Name},
                       {"class", Each.Spec.Class},
                       {"run_limit_ms", Each.Spec.RunLimit.count()}}))
      return false;
  }
  return true;
}

bool Deployment::changeConfig(const json &Change) {
  TimePoint Until = monotonicNow() + StartLimit;
  while (monotonicNow() < Until) {
    auto Newest = operate("GET", "/v1/config?newest=yes");
    if (Newest) {
      json Body = {{"expect_version", Newest->value("version", 0U)},
                   {"change", Change}};
      if (operate("POST", "/v1/config/changes", Body))
        return true;
    }
    std::this_thread::sleep_for(PollStep);
  }
  return false;
}

/// Whether an entry holds slots of each service that its zone has endpoints of.
bool Deployment::hasSlots(const EntryProcess &Entry, const json &Spare) const {
  return std::all_of(List.begin(), List.end(), [&](const json &Each) {
    bool InZone = Each["role"] == "endpoint" && Each["zone"] == Entry.Zone;
    return !InZone || Spare.value(Each["service"].get<std::string>(), 0) > 0;
  });
}

bool Deployment::waitReady() {
  TimePoint Until = monotonicNow() + StartLimit;
  auto Want = operate("GET", "/v1/config?newest=yes");
  while (Want && monotonicNow() < Until) {
    pollHealth();
    bool All = std::all_of(Entries.begin(), Entries.end(), [&](auto &Each) {
      auto Status = call("GET", "http://" + Each->operators() + "/v1/status",
                         "", ControlTimeout);
      if (!Each->Healthy || !Status)
        return false;
      json Document = json::parse(Status->Body);
      return Document["config_version"] == (*Want)["version"] &&
             hasSlots(*Each, Document["spare_slots"]);
    });
    if (All)
      return true;
    std::this_thread::sleep_for(PollStep);
  }
  return false;
}

void Deployment::pollHealth() {
  constexpr Millis HealthTimeout{300};
  for (auto &Each : Entries) {
    auto Answer = call("GET", "http://" + Each->callers() + "/healthz", "",
                       HealthTimeout);
    Each->Healthy = Answer && Answer->Status == http::StatusOk;
  }
}

EntryProcess *Deployment::nextEntry() {
  for (size_t I = 0; I < Entries.size(); ++I) {
    EntryProcess &Each = *Entries[NextEntry++ % Entries.size()];
    if (Each.Healthy)
      return &Each;
  }
  return nullptr;
}

std::optional<json> Deployment::operate(const std::string &Method,
                                        const std::string &Target,
                                        const json &Body, uint16_t *Status) {
  for (auto &Each : Entries) {
    if (Each->Frozen || Each->Stopping)
      continue;
    auto Answer = call(Method, "http://" + Each->operators() + Target,
                       Body.is_null() ? "" : Body.dump(), ControlTimeout);
    if (!Answer)
      continue;
    if (Status)
      *Status = Answer->Status;
    if (Answer->Status >= http::StatusBadRequest)
      return std::nullopt;
    return json::parse(Answer->Body, nullptr, false);
  }
  return std::nullopt;
}

bool Deployment::submit(const config::JobSpec &Spec) {
  TimePoint Until = monotonicNow() + StartLimit;
  while (monotonicNow() < Until) {
    if (operate("POST", "/v1/jobs", config::jobSpecToJson(Spec))) {
      Accepted.push_back(Spec);
      return true;
    }
    std::this_thread::sleep_for(PollStep);
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
    Body["delay_ms"] = What.PlatformLatencyMs;
  callControl(fmt::format("127.0.0.1:{}", PlatformPort), "/control/faults",
              Body);
}

void Deployment::setEndpointFaults(size_t Index, const json &Faults) {
  callControl(fmt::format("127.0.0.1:{}", Executors[Endpoints[Index]].second),
              "/control/faults", Faults);
}

void Deployment::setWorkerFaults(size_t Zone, uint32_t Worker,
                                 const json &Faults) {
  json Body = Faults;
  Body["worker"] = fmt::format("w{}", Worker);
  callControl(fmt::format("127.0.0.1:{}", Hosts[Zone].Port), "/control/faults",
              Body);
}

void Deployment::freezeWorkers(size_t Zone, bool Frozen) {
  Hosts[Zone].Child.signal(Frozen ? SIGSTOP : SIGCONT);
}

void Deployment::endWorkers(size_t Zone) {
  Hosts[Zone].Child.signal(SIGKILL);
  Hosts[Zone].Child.wait(ControlTimeout);
  std::ofstream(historyFile(), std::ios::app)
      << nowMicros() << " killed " << What.Zones[Zone] << "-worker- -\n";
}

void Deployment::startWorkers(size_t Zone) {
  WorkerHost &Host = Hosts[Zone];
  Host.Child = Process({Programs + "/standin-worker", "--port",
                        std::to_string(Host.Port), "--name",
                        What.Zones[Zone] + "-worker-", "--count",
                        std::to_string(Host.Count), "--history", historyFile()},
                       logFile("workers-" + What.Zones[Zone]));
}

/// All workers of a zone die with what they run, and start anew.
void Deployment::killWorkers(size_t Zone) {
  endWorkers(Zone);
  startWorkers(Zone);
}

void Deployment::loseZone(size_t Zone) {
  for (size_t I = 0; I < Entries.size(); ++I) {
    if (Entries[I]->Zone == What.Zones[Zone])
      killEntry(I);
  }
  endWorkers(Zone);
}

void Deployment::restoreZone(size_t Zone) {
  startWorkers(Zone);
  for (size_t I = 0; I < Entries.size(); ++I) {
    if (Entries[I]->Zone == What.Zones[Zone])
      restartEntry(I);
  }
}

void Deployment::drainEndpoint(size_t Index) {
  for (json &Each : List) {
    if (Each["name"] == Endpoints[Index])
      Each["leaving"] = true;
  }
  publishList();
  std::lock_guard<std::mutex> Lock(ObservedMutex);
  Drains.push_back({.Endpoint = Endpoints[Index],
                    .ListedAt = nowMicros(),
                    .AppliedAt = INT64_MAX});
  DrainVersions[Endpoints[Index]] = ListVersion;
}

void Deployment::observe() {
  uint64_t LowestList = UINT64_MAX;
  bool AllSeen = true;
  for (auto &Each : Entries) {
    if (!Each->Child.running())
      continue;
    auto Answer =
        Each->Frozen ? http::CallResult(Errc::Timeout)
                     : call("GET", "http://" + Each->operators() + "/v1/status",
                            "", ControlTimeout);
    json Status = Answer ? json::parse(Answer->Body, nullptr, false) : json();
    if (!Status.is_object()) {
      AllSeen = false;
      continue;
    }
    LowestList = std::min<uint64_t>(LowestList, Status["list_version"]);
    std::lock_guard<std::mutex> Lock(ObservedMutex);
    Versions.push_back({nowMicros(),
                        fmt::format("{}/{}", Each->Name, Each->Child.pid()),
                        Status["config_version"]});
  }
  std::lock_guard<std::mutex> Lock(ObservedMutex);
  for (Leaving &Each : Drains) {
    bool Applied = AllSeen && LowestList >= DrainVersions[Each.Endpoint];
    if (Applied && Each.AppliedAt == INT64_MAX)
      Each.AppliedAt = nowMicros();
  }
}

uint64_t Deployment::lowestConfigVersion() {
  uint64_t Lowest = UINT64_MAX;
  for (auto &Each : Entries) {
    auto Answer = call("GET", "http://" + Each->operators() + "/v1/status", "",
                       ControlTimeout);
    json Status = Answer ? json::parse(Answer->Body, nullptr, false) : json();
    if (!Status.is_object())
      return 0;
    Lowest = std::min<uint64_t>(Lowest, Status["config_version"]);
  }
  return Lowest;
}

json Deployment::platformStats() {
  auto Answer = call(
      "GET", fmt::format("http://127.0.0.1:{}/control/stats", PlatformPort), "",
      ControlTimeout);
  return Answer ? json::parse(Answer->Body) : json::object();
}

json Deployment::jobRow(const std::string &Id) {
  auto Row = operate("GET", "/v1/jobs/" + Id);
  return Row ? *Row : json::object();
}

bool Deployment::waitForJobs(Millis Longest) {
  TimePoint Until = monotonicNow() + Longest;
  std::vector<std::string> Open;
  for (const config::JobSpec &Each : Accepted) {
    if (Each.Kind != config::JobKind::Service)
      Open.push_back(Each.Id);
  }
  while (!Open.empty() && monotonicNow() < Until) {
    std::erase_if(Open, [&](const std::string &Id) {
      std::string State = jobRow(Id).value("state", "accepted");
      return State != "accepted";
    });
    if (!Open.empty())
      std::this_thread::sleep_for(PollStep);
  }
  return Open.empty();
}

std::map<std::string, double> Deployment::metricsOf(const EntryProcess &Entry) {
  std::map<std::string, double> Out;
  auto Answer = call("GET", "http://" + Entry.operators() + "/metrics", "",
                     ControlTimeout);
  if (!Answer)
    return Out;
  std::istringstream Lines(Answer->Body);
  std::string Line;
  while (std::getline(Lines, Line)) {
    size_t Space = Line.rfind(' ');
    if (Space != std::string::npos)
      Out[Line.substr(0, Space)] = std::strtod(Line.c_str() + Space, nullptr);
  }
  return Out;
}

Histories Deployment::histories() {
  Histories Out;
  readHistory(historyFile(), Out);
  Out.Capacities = Capacities;
  for (const config::JobSpec &Each : Accepted)
    Out.Jobs.push_back({.Id = Each.Id,
                        .State = jobRow(Each.Id).value("state", "absent"),
                        .Batch = Each.Kind != config::JobKind::Service,
                        .Tasks = Each.Tasks});
  std::lock_guard<std::mutex> Lock(ObservedMutex);
  Out.Versions = Versions;
  Out.Drains = Drains;
  return Out;
}

} // namespace daisylanding::harness
