#include "Trial.h"

#include "cell/OwnerRow.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr size_t PortsPerEntry = 4;
constexpr const char *ServiceName = "s";

/// A port of the loopback interface that nobody uses now.
uint16_t freePort() {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  bool IsBound = ::bind(Socket, Generic, Size) == 0 &&
                 ::getsockname(Socket, Generic, &Size) == 0;
  ::close(Socket);
  return IsBound ? ntohs(Address.sin_port) : 0;
}

std::string executorOf(const http::Request &Incoming) {
  const std::string *Header =
      http::findHeader(Incoming.Headers, "X-Daisylanding-Expect-Instance");
  return Header ? *Header : std::string();
}

} // namespace

Record::Record(const std::string &File)
    : Output(std::fopen(File.c_str(), "w")), BeganAt(monotonicNow()) {}

Record::~Record() {
  if (Output)
    std::fclose(Output);
}

void Record::add(const std::string &Event, json Fields) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (!Output)
    return;
  std::string Line =
      fmt::format("{:8.3f} {} {}\n", toSeconds(monotonicNow() - BeganAt), Event,
                  Fields.dump());
  std::fputs(Line.c_str(), Output);
  std::fflush(Output);
}

void TrialPlatform::handle(http::Request Incoming, http::Responder Respond) {
  std::string_view Path = http::targetPath(Incoming.Target);
  std::string Executor = executorOf(Incoming);
  if (isSwallowed(Incoming, Executor)) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Unanswered.push_back(std::move(Respond));
    return;
  }
  if (Path == "/-/run-start") {
    std::string Task = json::parse(Incoming.Body).at("task");
    bool IsRefused = false;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      IsRefused = Unhealthy.count(Executor) > 0;
    }
    if (IsRefused) {
      noteStart(Executor, Task, http::StatusUnavailable);
      Respond({.Status = http::StatusUnavailable, .Body = "{}"});
      return;
    }
    Inner.handle(std::move(Incoming),
                 [this, Executor, Task, Respond](http::Response Reply) {
                   noteStart(Executor, Task, Reply.Status);
                   Respond(std::move(Reply));
                 });
    return;
  }
  std::optional<int64_t> StatedBorn;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Born.find(Executor);
    if (Path == "/-/hold" && Found != Born.end())
      StatedBorn = Found->second;
  }
  if (!StatedBorn) {
    Inner.handle(std::move(Incoming), std::move(Respond));
    return;
  }
  Inner.handle(std::move(Incoming),
               [Respond, StatedBorn](http::Response Reply) {
                 json Body = json::parse(Reply.Body);
                 if (Body.contains("born"))
                   Body["born"] = *StatedBorn;
                 Reply.Body = Body.dump();
                 Respond(std::move(Reply));
               });
}

void TrialPlatform::setUnhealthy(const std::string &Executor,
                                 bool IsUnhealthy) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (IsUnhealthy)
    Unhealthy.insert(Executor);
  else
    Unhealthy.erase(Executor);
}

bool TrialPlatform::isSwallowed(const http::Request &Incoming,
                                const std::string &Executor) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (KeepsNextStart && http::targetPath(Incoming.Target) == "/-/run-start") {
    KeepsNextStart = false;
    KeptStart = Incoming;
    Cut = Executor;
    Events.add("start-kept-and-executor-cut",
               {{"executor", Executor}, {"order", json::parse(Incoming.Body)}});
  }
  return !Cut.empty() && Executor == Cut;
}

void TrialPlatform::keepNextStart() {
  std::lock_guard<std::mutex> Lock(Mutex);
  KeepsNextStart = true;
}

std::string TrialPlatform::cutExecutor() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Cut;
}

void TrialPlatform::endCut() {
  Events.add("cut-ended", {{"executor", cutExecutor()}});
  std::lock_guard<std::mutex> Lock(Mutex);
  Cut.clear();
}

void TrialPlatform::carryOutKeptStart(int64_t ClockMs, Millis MaxLease) {
  std::optional<http::Request> Kept;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Kept = std::exchange(KeptStart, std::nullopt);
  }
  if (!Kept)
    return;
  json Order = json::parse(Kept->Body);
  std::string Task = Order.at("task");
  Order["expiry-ms"] = std::min(Order.at("expiry-ms").get<int64_t>(),
                                ClockMs + MaxLease.count());
  Kept->Body = Order.dump();
  std::string Executor = executorOf(*Kept);
  Inner.handle(std::move(*Kept), [this, Executor, Task](http::Response Reply) {
    Events.add("start-carried-out-late", {{"executor", Executor}});
    noteStart(Executor, Task, Reply.Status);
  });
}

void TrialPlatform::setBorn(const std::string &Executor, int64_t BornMs) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Born[Executor] = BornMs;
}

std::map<std::string, int> TrialPlatform::starts() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Starts;
}

std::set<std::string> TrialPlatform::begunJobs() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::set<std::string> Jobs;
  for (const auto &[Task, Count] : Starts)
    Jobs.insert(Task.substr(0, Task.find('.')));
  return Jobs;
}

void TrialPlatform::noteStart(const std::string &Executor,
                              const std::string &Task, uint16_t Status) {
  Events.add("start",
             {{"executor", Executor}, {"task", Task}, {"answer", Status}});
  if (Status != http::StatusOk)
    return;
  std::lock_guard<std::mutex> Lock(Mutex);
  ++Starts[Task];
}

Trial::Trial(const std::string &Folder, size_t EntryCount)
    : Events(Folder + "/record.txt"), Platform(Inner, Events),
      Entries(EntryCount) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(Pattern.data()))
    WorkFolder = Pattern;
  PlatformPort = freePort();
  for (size_t I = 0; I < EntryCount * PortsPerEntry; ++I)
    Ports.push_back(freePort());
}

Trial::~Trial() {
  Entries.clear(); // Ends the processes.
  Inner.shutDown();
  Server.reset();
  if (!WorkFolder.empty())
    std::filesystem::remove_all(WorkFolder);
}

std::string Trial::address(uint16_t Port) const {
  return fmt::format("127.0.0.1:{}", Port);
}

bool Trial::startPlatform() {
  bool HasPorts = std::find(Ports.begin(), Ports.end(), 0) == Ports.end();
  if (WorkFolder.empty() || PlatformPort == 0 || !HasPorts)
    return false;
  http::ServerOptions Options;
  Options.Port = PlatformPort;
  Options.MaxBodyBytes = 4 << 20;
  Server.emplace(Options, Platform);
  return !Server->start();
}

void Trial::configure(bool WithAdvice) {
  json Queue = {{"name", "q"},
                {"host", "jobs.example"},
                {"path-prefix", "/q/"},
                {"service", ServiceName},
                {"target-latency-ms", 1'000},
                {"stretch", 2.0},
                {"max-attempts", 3}};
  if (WithAdvice)
    Queue["advice"] = {
        {"decision-ms", 5.0}, {"period-ms", 0.0}, {"validity-ms", 1'500}};
  json Config = {{"version", 1},
                 {"routes", {Queue}},
                 {"services", {{{"name", ServiceName}}}}};
  Inner.putRow("op", "", "config", Config.dump());
}

void Trial::addExecutor(const ExecutorEntry &Entry) {
  Inner.addExecutor(Entry.Id, address(PlatformPort), Entry.MilliCores);
  Platform.setBorn(Entry.Id, Entry.BornMs);
  listExecutor(Entry);
}

void Trial::prepareExecutor(const std::string &Id, uint32_t MilliCores) {
  Inner.addExecutor(Id, address(PlatformPort), MilliCores);
  unlistExecutor(Id);
}

void Trial::beginLife(const ExecutorEntry &Entry) {
  constexpr Millis Never{3'600'000}; // Its entry is listed here.
  Platform.setBorn(Entry.Id, Entry.BornMs);
  Inner.restartExecutor(Entry.Id, Never);
  listExecutor(Entry);
}

void Trial::listExecutor(const ExecutorEntry &Entry) {
  json Row = {{"service", ServiceName},
              {"address", address(PlatformPort)},
              {"zone", "za"},
              {"state", "ready"},
              {"capacity", {{"cpu", Entry.MilliCores}, {"mem-mb", 65'536}}},
              {"labels", {Entry.Label, "r1"}},
              {"born", Entry.BornMs}};
  Events.add("executor-lists-itself",
             {{"executor", Entry.Id}, {"born", Entry.BornMs}});
  Inner.putRow("servers", "", Entry.Id, Row.dump());
}

void Trial::unlistExecutor(const std::string &Id) {
  json Removal = {{"table", "servers"}, {"part", ""}, {"key", Id}};
  json Body = {{"expected-rev", json::array()},
               {"writes", json::array()},
               {"remove", json::array({Removal})}};
  Events.add("executor-unlisted", {{"executor", Id}});
  Inner.handle({.Method = "POST", .Target = "/-/rows-tx", .Body = Body.dump()},
               [](http::Response) {});
}

void Trial::startEntry(size_t Index) {
  const uint16_t *Own = &Ports[Index * PortsPerEntry];
  std::string File = fmt::format("{}/e{}.toml", WorkFolder, Index);
  // As deploy/settings.toml.in renders it on a small deployment.
  std::ofstream(File) << fmt::format(
      "[entry]\nname = \"e{}\"\nzone = \"za\"\ndrain_limit_s = 6\n"
      "[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\nrelay = \"{}\"\n"
      "operators = \"{}\"\n"
      "[services]\nstore = \"{}\"\nadvice = \"{}\"\n"
      "[instance]\nprocessor_share = 0.25\nlink_mbit_per_s = 1000.0\n"
      "max_descriptors = 4100\n"
      "[bounds]\ndrain_ms = 2000\ncancel_ms = 3000\nmax_lease_ms = 10000\n"
      "status_kept_s = 120\n",
      Index, address(Own[0]), address(Own[1]), address(Own[2]), address(Own[3]),
      address(PlatformPort), address(PlatformPort));
  const char *Program = std::getenv("DAISYLANDING");
  Entries[Index] = harness::Process(
      {Program ? Program : "target/daisylanding", "serve", "--config", File},
      fmt::format("{}/e{}.log", WorkFolder, Index));
  Events.add("entry-started", {{"entry", Index}});
}

bool Trial::isReady(size_t Index) {
  http::Call Probe;
  Probe.Url = fmt::format("http://{}/-/readiness",
                          address(Ports[Index * PortsPerEntry + 1]));
  Probe.FreshConnection = true;
  auto Reply = Client.perform(Probe);
  return Reply && Reply->Status == http::StatusOk;
}

bool Trial::waitUntilReady(Millis Timeout) {
  TimePoint Deadline = monotonicNow() + Timeout;
  for (size_t I = 0; I < Entries.size();) {
    if (isReady(I)) {
      ++I;
      continue;
    }
    if (monotonicNow() > Deadline)
      return false;
    std::this_thread::sleep_for(Millis(50));
  }
  return true;
}

std::optional<size_t> Trial::ownerIndex() const {
  auto Row = cell::decodeOwnerRow(
      Inner.rowValue(cell::OwnerTable, ServiceName, cell::OwnerKey));
  for (size_t I = 0; Row && I < Entries.size(); ++I) {
    if (Row->Holder.starts_with(fmt::format("e{}/", I)))
      return I;
  }
  return std::nullopt;
}

uint16_t Trial::call(size_t Entry, const std::string &Method,
                     const std::string &JobId, const std::string &Body,
                     std::string &Answer) {
  constexpr Millis CallerDeadline{3'000};
  http::Call Request;
  Request.Method = Method;
  Request.Url = fmt::format("http://{}/q/{}",
                            address(Ports[Entry * PortsPerEntry]), JobId);
  Request.Headers = {
      {"Host", "jobs.example"},
      {"Content-Type", "application/json"},
      {"X-Daisylanding-Deadline-Ms", std::to_string(CallerDeadline.count())}};
  Request.Body = Body;
  Request.Timeout = CallerDeadline;
  Request.FreshConnection = true;
  auto Reply = Client.perform(Request);
  Answer = Reply ? Reply->Body : std::string();
  uint16_t Status = Reply ? Reply->Status : 0;
  Events.add("call", {{"entry", Entry},
                      {"method", Method},
                      {"job", JobId},
                      {"body", Body},
                      {"status", Status},
                      {"answer", Answer}});
  return Status;
}

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

std::string jobBody(uint32_t Tasks, uint32_t MilliCores, int64_t EstimateMs,
                    const std::string &Label) {
  json Step = {{"count", Tasks},
               {"cpu", MilliCores},
               {"mem-mb", 512},
               {"est-runtime-ms", EstimateMs}};
  if (!Label.empty())
    Step["constraints"] = Label;
  return json{{"spec", "work"}, {"steps", {Step}}}.dump();
}

std::string jobId(size_t Number) { return fmt::format("{:016x}", Number); }

int64_t wallMs() { return toMillis(Micros(wallMicros())); }

} // namespace review
