#include "Stage.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <set>
#include <thread>

namespace daisylanding::review {

namespace {

constexpr uint32_t PortsPerEntry = 4;
constexpr const char *Host = "jobs.example";

} // namespace

uint16_t freePort() {
  static std::set<uint16_t> Given;
  for (;;) {
    int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    bind(Socket, reinterpret_cast<sockaddr *>(&Address), Length);
    getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
    close(Socket);
    uint16_t Port = ntohs(Address.sin_port);
    if (Given.insert(Port).second)
      return Port;
  }
}

Stage::Stage(std::string Folder, std::string Program, Record &Log)
    : Folder(std::move(Folder)), Program(std::move(Program)), Log(Log),
      Rows(Log) {}

Stage::~Stage() {
  Entries.clear();
  Servers.reset();
  Rows.shutDown();
  if (StoreServer)
    StoreServer->stop(Millis(0));
}

bool Stage::start(const std::vector<Route> &Routes,
                  const std::vector<ExecutorGroup> &Groups,
                  uint32_t EntryCount) {
  StorePort = freePort();
  http::ServerOptions Options;
  Options.Port = StorePort;
  Options.MaxBodyBytes = 16 << 20;
  StoreServer = std::make_unique<http::Server>(Options, Rows);
  if (StoreServer->start())
    return false;
  for (const ExecutorGroup &Group : Groups)
    Services.push_back(Group.Service);
  configure(Routes);
  Servers = std::make_unique<Fleet>(Rows, Log);
  for (const ExecutorGroup &Group : Groups) {
    for (uint32_t I = 0; I < Group.Count; ++I) {
      ExecutorSettings Settings{.Id = fmt::format("i-{}-{}", Group.Service, I),
                                .Service = Group.Service,
                                .Kind = I < Group.KindBCount ? "b" : "a",
                                .Port = freePort(),
                                .MilliCores = Group.MilliCores};
      if (!Servers->add(Settings))
        return false;
    }
  }
  for (uint32_t I = 0; I < EntryCount; ++I)
    startEntry(I);
  constexpr Millis ReadyTimeout{10'000};
  TimePoint Deadline = monotonicNow() + ReadyTimeout;
  for (uint32_t I = 0; I < EntryCount; ++I) {
    while (!isReady(I)) {
      if (monotonicNow() > Deadline) {
        Log.line("entry {} isn't ready", I);
        return false;
      }
      std::this_thread::sleep_for(Millis(50));
    }
  }
  // Owners are chosen, and have greeted the executors.
  pause(Millis(2'500), "before the traffic");
  return true;
}

/// The settings are those of `deploy/settings.toml.in` for a small machine.
void Stage::startEntry(uint32_t Index) {
  std::string Name = fmt::format("{}/e{}.toml", Folder, Index);
  std::ofstream Settings(Name);
  for (uint32_t I = 0; I < PortsPerEntry; ++I)
    EntryPorts.push_back(freePort());
  const uint16_t *Ports = &EntryPorts[PortsPerEntry * Index];
  Settings << fmt::format(
      "[entry]\nname = \"e{}\"\nzone = \"za\"\ndrain_limit_ms = 6000\n"
      "[listen]\ncallers = \"127.0.0.1:{}\"\nreadiness = \"127.0.0.1:{}\"\n"
      "relay = \"127.0.0.1:{}\"\noperators = \"127.0.0.1:{}\"\n"
      "[services]\nstore = \"127.0.0.1:{}\"\n"
      "[instance]\nprocessor_share = 0.25\nlink_mbit_per_s = 1000\n"
      "max_descriptors = 4100\n"
      "[bounds]\ndrain_ms = 2000\ncancel_ms = 3000\nmax_lease_ms = 10000\n"
      "status_kept_ms = 120000\n",
      Index, Ports[0], Ports[1], Ports[2], Ports[3], StorePort);
  Settings.close();
  Entries.emplace_back(
      std::vector<std::string>{Program, "serve", "--config", Name},
      fmt::format("{}/e{}.log", Folder, Index));
}

bool Stage::isReady(uint32_t Entry) {
  http::Call Call;
  Call.Url = fmt::format("http://127.0.0.1:{}/-/readiness",
                         EntryPorts[PortsPerEntry * Entry + 1]);
  auto Result = Caller.perform(Call);
  return Result && Result->Status == http::StatusOk;
}

void Stage::configure(const std::vector<Route> &Routes) {
  nlohmann::json Listed = nlohmann::json::array();
  std::string Summary;
  for (const Route &One : Routes) {
    Listed.push_back({{"name", One.Name},
                      {"host", Host},
                      {"path-prefix", One.PathPrefix},
                      {"kind", "non_idempotent"},
                      {"timeout-ms", 3'000},
                      {"target-latency-ms", 3'000},
                      {"priority", 0},
                      {"service", One.Service},
                      {"max-attempts", One.MaxAttempts},
                      {"stretch", 4.0}});
    Summary += fmt::format(" {}{}->{}", One.Name, One.PathPrefix, One.Service);
  }
  nlohmann::json Named = nlohmann::json::array();
  for (const std::string &Service : Services)
    Named.push_back({{"name", Service}, {"enforces-capacity", false}});
  ConfigVersion += 2;
  Rows.put("op", "config",
           {{"version", ConfigVersion},
            {"routes", Listed},
            {"services", Named},
            {"limits",
             {{"max-header-bytes", 16'384},
              {"max-body-bytes", 262'144},
              {"header-timeout-ms", 3'000},
              {"idle-timeout-ms", 15'000}}}});
  Log.line("operator: version {} is acknowledged:{}", ConfigVersion, Summary);
}

Answer Stage::send(uint32_t Entry, const std::string &Method,
                   const std::string &Path, const std::string &Body,
                   Millis Deadline) {
  http::Call Call;
  Call.Method = Method;
  Call.Url = fmt::format("http://127.0.0.1:{}{}",
                         EntryPorts[PortsPerEntry * Entry], Path);
  Call.Headers = {
      {"Host", Host},
      {"Content-Type", "application/json"},
      {"X-Daisylanding-Deadline-Ms", std::to_string(Deadline.count())}};
  Call.Body = Body;
  Call.Timeout = Deadline + Millis(500);
  auto Result = Caller.perform(Call);
  Answer Got;
  if (Result)
    Got = {.Status = Result->Status, .Body = Result->Body};
  constexpr size_t ShownBytes = 200;
  Log.line("client {} {} at entry {} {} -> {} {}", Method, Path, Entry,
           Body.substr(0, ShownBytes), Got.Status, Got.Body);
  return Got;
}

std::string Stage::stateOf(uint32_t Entry, const std::string &Path) {
  Answer Got = send(Entry, "GET", Path);
  auto Body = nlohmann::json::parse(Got.Body, nullptr, false);
  if (Got.Status != http::StatusOk || !Body.is_object())
    return {};
  return Body.value("state", std::string());
}

std::string Stage::awaitState(uint32_t Entry, const std::string &Path,
                              const std::string &State, Millis Timeout) {
  TimePoint Deadline = monotonicNow() + Timeout;
  std::string Shown = stateOf(Entry, Path);
  while (Shown != State && monotonicNow() < Deadline) {
    std::this_thread::sleep_for(Millis(300));
    Shown = stateOf(Entry, Path);
  }
  return Shown;
}

void Stage::pause(Millis Duration, const char *Why) {
  Log.line("{} ms pause: {}", Duration.count(), Why);
  std::this_thread::sleep_for(Duration);
}

} // namespace daisylanding::review
