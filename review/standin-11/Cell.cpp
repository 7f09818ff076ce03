#include "Cell.h"

#include <cstdlib>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace daisylanding::review {

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string_view(Value) != "0";
}

uint16_t freePort() {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  (void)::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  socklen_t Size = sizeof(Address);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Socket);
  return ntohs(Address.sin_port);
}

Record::Record(const std::string &Folder) : File(Folder + "/record.txt") {}

void Record::line(std::string_view Text) {
  std::lock_guard<std::mutex> Lock(Mutex);
  constexpr double MillisPerSecond = 1e3;
  File << fmt::format("{:8.3f} {}\n",
                      static_cast<double>(elapsed().count()) / MillisPerSecond,
                      Text)
       << std::flush;
}

TemporaryFolder::TemporaryFolder() {
  std::string Template =
      (std::filesystem::temp_directory_path() / "daisylanding-XXXXXX").string();
  if (const char *Made = ::mkdtemp(Template.data()))
    Path = Made;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code Ignored;
  if (!Path.empty())
    std::filesystem::remove_all(Path, Ignored);
}

Entry::Entry(EntryOptions Given, const std::string &Folder)
    : CallerPort(freePort()), ReadinessPort(freePort()), RelayPort(freePort()),
      OperatorPort(freePort()), Options(std::move(Given)),
      SettingsFile(fmt::format("{}/{}.toml", Folder, Options.Name)),
      LogFile(fmt::format("{}/{}.log", Folder, Options.Name)) {
  std::ofstream(SettingsFile) << fmt::format(
      "[entry]\nname = \"{}\"\nzone = \"{}\"\ndrain_limit_s = 6\n"
      "[listen]\ncallers = \"127.0.0.1:{}\"\nreadiness = \"127.0.0.1:{}\"\n"
      "relay = \"127.0.0.1:{}\"\noperators = \"127.0.0.1:{}\"\n"
      "[services]\nstore = \"{}\"\nadvice = \"{}\"\n"
      "[instance]\nprocessor_share = 0.25\nlink_mbit_per_s = 1000\n"
      "max_descriptors = 4100\nmemory_mb = {}\n"
      "[bounds]\ndrain_ms = 2000\ncancel_ms = 3000\nmax_lease_ms = 10000\n"
      "status_kept_s = 120\nspread_factor = 3\n",
      Options.Name, Options.Zone, CallerPort, ReadinessPort, RelayPort,
      OperatorPort, Options.StoreAddress, Options.AdviceAddress,
      Options.MemoryMb);
}

void Entry::start() {
  Child = harness::Process(
      {"target/daisylanding", "serve", "--config", SettingsFile}, LogFile);
}

size_t Entry::memoryKb() const {
  std::ifstream File(fmt::format("/proc/{}/status", Child.pid()));
  std::string Word;
  while (File >> Word && Word != "VmRSS:")
    continue;
  size_t Kb = 0;
  File >> Kb;
  return Kb;
}

bool Entry::isReady() {
  return call(ReadinessPort, "GET", "/-/readiness").Status == http::StatusOk;
}

Reply call(uint16_t Port, const std::string &Method, const std::string &Path,
           const std::string &Body, const std::string &Key) {
  thread_local http::Client Client;
  http::Call Request;
  Request.Method = Method;
  Request.Url = fmt::format("http://127.0.0.1:{}{}", Port, Path);
  Request.Headers = {{"Host", "jobs.example"},
                     {"X-Daisylanding-Deadline-Ms", "3000"}};
  if (!Key.empty())
    Request.Headers.emplace_back("Authorization", "Bearer " + Key);
  Request.Body = Body;
  Request.FreshConnection = true;
  Request.Timeout = Millis(3'500);
  auto Answer = Client.perform(Request);
  if (!Answer)
    return {};
  return {.Status = Answer->Status, .Body = Answer->Body};
}

std::string jobId(uint64_t Number) { return fmt::format("{:016x}", Number); }

void sleepFor(Millis Time) { std::this_thread::sleep_for(Time); }

} // namespace daisylanding::review
