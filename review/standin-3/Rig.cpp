#include "review/standin-3/Rig.h"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

namespace daisylanding::review {

namespace {

constexpr uint32_t MilliCores = 8'000;
constexpr Millis MaxStartTime{20'000};
constexpr Millis PollInterval{50};

http::ServerOptions serverOptions(uint16_t Port) {
  http::ServerOptions Options;
  Options.Port = Port;
  Options.MaxBodyBytes = 4 << 20;
  return Options;
}

} // namespace

uint16_t freePort() {
  // Below those that outgoing connections get, which could take it meanwhile.
  constexpr int FirstPort = 12'000;
  constexpr int PortCount = 20'000;
  static std::mt19937 Source{std::random_device()()};
  std::uniform_int_distribution<int> Offset(0, PortCount - 1);
  while (true) {
    auto Port = static_cast<uint16_t>(FirstPort + Offset(Source));
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int Failure =
        ::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    ::close(Socket);
    if (Failure == 0)
      return Port;
  }
}

RecordFile::RecordFile(const std::string &Path) : Out(Path) {}

void RecordFile::write(const std::string &Line) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Out << fmt::format("{:8.3f} s  {}", toSeconds(monotonicNow() - StartedAt),
                     Line)
      << std::endl;
}

Rig::Rig(RecordFile &Record, std::string Folder, std::string Program,
         int ExecutorCount, int EntryCount)
    : Record(Record), Folder(std::move(Folder)), Program(std::move(Program)),
      ExecutorCount(ExecutorCount), EntryCount(EntryCount),
      Farm([&Record](const std::string &Line) { Record.write(Line); }) {}

Rig::~Rig() {
  Processes.clear();
  Farm.shutDown();
  Store.shutDown();
}

bool Rig::start() {
  StorePort = freePort();
  StoreServer.emplace(serverOptions(StorePort), Store);
  uint16_t FarmPort = freePort();
  FarmServer.emplace(serverOptions(FarmPort), Farm);
  if (StoreServer->start() || FarmServer->start()) {
    Record.write("a stand-in can't listen");
    return false;
  }
  constexpr bool WithAdvice = false;
  Store.configure(1, WithAdvice);
  for (int I = 0; I < ExecutorCount; ++I) {
    std::string Id = fmt::format("x-{}", I);
    Store.addExecutor(Id, fmt::format("127.0.0.1:{}", FarmPort), MilliCores);
    auto Row = nlohmann::json::parse(Store.rowValue("servers", "", Id));
    Farm.add(Id, Row.at("born"));
  }
  for (int I = 0; I < EntryCount; ++I)
    startEntry(I);
  TimePoint Deadline = monotonicNow() + MaxStartTime;
  for (const Entry &Started : Entries) {
    while (!isReady(Started)) {
      if (monotonicNow() > Deadline) {
        Record.write("an entry isn't ready");
        return false;
      }
      std::this_thread::sleep_for(PollInterval);
    }
  }
  return true;
}

void Rig::startEntry(int Number) {
  Entry Started{.Callers = freePort(), .Readiness = freePort()};
  std::string File = fmt::format("{}/e{}.toml", Folder, Number);
  std::ofstream(File) << fmt::format(
      "[entry]\nname = \"e{}\"\nzone = \"za\"\ndrain_limit_s = 6\n"
      "[listen]\ncallers = \"127.0.0.1:{}\"\nreadiness = \"127.0.0.1:{}\"\n"
      "relay = \"127.0.0.1:{}\"\noperators = \"127.0.0.1:{}\"\n"
      "[services]\nstore = \"127.0.0.1:{}\"\nadvice = \"127.0.0.1:{}\"\n"
      "[instance]\nprocessor_share = 0.25\nlink_mbit_per_s = 1000.0\n"
      "max_descriptors = 4100\n"
      "[bounds]\ndrain_ms = 2000\ncancel_ms = 3000\nmax_lease_ms = 10000\n"
      "status_kept_s = 120\n",
      Number, Started.Callers, Started.Readiness, freePort(), freePort(),
      StorePort, StorePort);
  Processes.emplace_back(
      std::vector<std::string>{Program, "serve", "--config", File},
      fmt::format("{}/e{}.log", Folder, Number));
  Entries.push_back(Started);
}

bool Rig::isReady(const Entry &Asked) {
  http::Call Request;
  Request.Url = fmt::format("http://127.0.0.1:{}/-/readiness", Asked.Readiness);
  Request.FreshConnection = true;
  auto Answer = Client.perform(Request);
  return Answer && Answer->Status == http::StatusOk;
}

int Rig::call(const std::string &Method, const std::string &Path,
              const std::string &Body, std::string *Answer) {
  http::Call Request;
  Request.Method = Method;
  Request.Url =
      fmt::format("http://127.0.0.1:{}{}", Entries.front().Callers, Path);
  Request.Headers = {{"Host", "jobs.example"},
                     {"X-Daisylanding-Deadline-Ms", "3000"}};
  Request.Body = Body;
  Request.FreshConnection = true;
  auto Received = Client.perform(Request);
  int Status = Received ? Received->Status : 0;
  Record.write(fmt::format("{} {} {} -> {} {}", Method, Path, Body, Status,
                           Received ? Received->Body : ""));
  if (Answer && Received)
    *Answer = Received->Body;
  return Status;
}

std::string Rig::stateOf(const std::string &JobId) {
  std::string Body;
  if (call("GET", "/q/" + JobId, "", &Body) != http::StatusOk)
    return "none";
  auto State = nlohmann::json::parse(Body, nullptr, false);
  return State.is_object() ? State.value("state", "none") : "none";
}

} // namespace daisylanding::review
