#include "Cell.h"

#include "standin/CellPlatform.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <optional>
#include <thread>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/// Clients ask for many jobs ahead on each connection, and read no answers. The
/// store takes as many reading calls a second as the sheet says. Meanwhile the
/// operator adds routes.
namespace {

using namespace daisylanding;
using namespace daisylanding::review;
using nlohmann::json;

constexpr size_t Entries = 3;
constexpr size_t ConnectionsPerEntry = 20;
constexpr size_t RequestsAhead = 60;
constexpr size_t ReadsPerSecond = 2'000;
constexpr size_t WritesPerSecond = 800;
constexpr Millis PressTime{3'000};
constexpr Millis ApplyTime{2'000}; ///< `config-apply-ms`.
constexpr Millis Interval{4'000};  ///< Between two versions.
constexpr uint64_t Versions = 8;

/// The project's stand-in behind the store's rates.
class RatedPlatform final : public http::Handler {
public:
  void handle(http::Request Request, http::Responder Respond) override {
    std::string_view Path = http::targetPath(Request.Target);
    bool IsWrite = Path == "/-/rows-tx";
    bool IsRead = !IsWrite && Path.starts_with("/-/rows-");
    if ((IsWrite && !Writes.take(WritesPerSecond)) ||
        (IsRead && !Reads.take(ReadsPerSecond))) {
      Respond({.Status = http::StatusTooManyRequests,
               .Headers = {{"Content-Type", "application/json"}},
               .Body = "{}"});
      return;
    }
    Platform.handle(std::move(Request), std::move(Respond));
  }

  /// Calls in the second that runs; used by the server's thread.
  struct Rate {
    TimePoint SecondBegan{};
    size_t Taken = 0;
    std::atomic<uint64_t> Refused{0};
    std::atomic<uint64_t> All{0};

    bool take(size_t PerSecond) {
      TimePoint Now = monotonicNow();
      if (Now >= SecondBegan + std::chrono::seconds(1)) {
        SecondBegan = Now;
        Taken = 0;
      }
      ++All;
      if (++Taken <= PerSecond)
        return true;
      ++Refused;
      return false;
    }
  };

  standin::CellPlatform Platform;
  Rate Reads;
  Rate Writes;
};

class Play {
public:
  explicit Play(const std::string &Folder) : Seen(Folder) {}
  ~Play() {
    All.clear();
    Rated.Platform.shutDown();
  }

  Verdict run() {
    if (!setUp())
      return Verdict::NotRun;
    std::vector<std::thread> Crowd;
    if (hasTrouble()) {
      for (size_t I = 0; I < Entries * ConnectionsPerEntry; ++I)
        Crowd.emplace_back([this, I] { press(I); });
    }
    sleepFor(PressTime);
    for (uint64_t Version = 2; Version < 2 + Versions; ++Version)
      changeConfig(Version);
    Stopping = true;
    for (std::thread &Client : Crowd)
      Client.join();
    Seen.add("{} of {} reading calls and {} of {} writing calls were refused; "
             "the crowd sent {} requests",
             Rated.Reads.Refused.load(), Rated.Reads.All.load(),
             Rated.Writes.Refused.load(), Rated.Writes.All.load(), Sent.load());
    Seen.add("{} answers by an older version, CONFIG: {}", Late,
             Late > 0 ? "broken" : "held");
    return Late > 0 ? Verdict::Broken : Verdict::Held;
  }

private:
  bool setUp() {
    uint16_t Port = freePort();
    http::ServerOptions Options;
    Options.Port = Port;
    Options.MaxBodyBytes = 4 << 20;
    Server.emplace(Options, Rated);
    if (Server->start())
      return false;
    putConfig(1);
    std::string Address = fmt::format("127.0.0.1:{}", Port);
    for (int I = 0; I < 6; ++I)
      Rated.Platform.addExecutor(fmt::format("i-{}", I), Address, 8'000);
    for (size_t I = 0; I < Entries; ++I) {
      All.push_back(
          std::make_unique<Entry>(EntryOptions{.Name = fmt::format("e{}", I),
                                               .StoreAddress = Address,
                                               .AdviceAddress = Address},
                                  Temporary.path()));
      All.back()->start();
    }
    for (auto &Machine : All) {
      if (!eventually([&] { return Machine->isReady(); }, Millis(10'000)))
        return false;
    }
    return true;
  }

  /// Each version adds a route.
  void putConfig(uint64_t Version) {
    json Routes = json::array();
    auto Add = [&](const std::string &Name) {
      Routes.push_back({{"name", Name},
                        {"host", "jobs.example"},
                        {"path-prefix", "/" + Name + "/"},
                        {"service", "s"},
                        {"target-latency-ms", 1'000},
                        {"stretch", 2.0},
                        {"max-attempts", 2}});
    };
    Add("q");
    for (uint64_t I = 2; I <= Version; ++I)
      Add(fmt::format("added-{}", I));
    json Services = {{{"name", "s"}}, {{"name", "t"}}};
    Rated.Platform.putRow(
        "op", "", "config",
        json{{"version", Version}, {"routes", Routes}, {"services", Services}}
            .dump());
  }

  /// Counts of the new queue are asked for at each entry, once the version has
  /// to be in force.
  void changeConfig(uint64_t Version) {
    TimePoint Next = monotonicNow() + Interval;
    putConfig(Version);
    Seen.add("version {} is acknowledged", Version);
    sleepFor(ApplyTime + Millis(50));
    for (auto &Machine : All) {
      TimePoint SentAt = monotonicNow();
      Reply Answer =
          call(Machine->CallerPort, "GET", fmt::format("/added-{}/", Version));
      Seen.add("{}: a count of the queue of version {}, sent at {} ms: {}",
               Machine->name(), Version, toMillis(SentAt - (Next - Interval)),
               Answer.Status);
      Late += Answer.Status == http::StatusNotFound ? 1 : 0;
    }
    sleepFor(std::max(Millis(0), Millis(toMillis(Next - monotonicNow()))));
  }

  /// Sends requests ahead, reads nothing, and connects again when closed.
  void press(size_t Client) {
    uint64_t Number = (Client + 1) << 32;
    while (!Stopping) {
      int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in Address{};
      Address.sin_family = AF_INET;
      Address.sin_port = htons(All[Client % Entries]->CallerPort);
      Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0) {
        for (size_t I = 0; I < RequestsAhead && !Stopping; ++I) {
          if (!send(Socket, Number++))
            break;
        }
        // The answers are left unread for a while.
        for (int I = 0; I < 20 && !Stopping; ++I)
          sleepFor(Millis(50));
      }
      ::close(Socket);
    }
  }

  bool send(int Socket, uint64_t Number) {
    std::string Text = fmt::format(
        "GET /q/{} HTTP/1.1\r\nHost: jobs.example\r\n\r\n", jobId(Number));
    pollfd Writable{.fd = Socket, .events = POLLOUT, .revents = 0};
    if (::poll(&Writable, 1, 1'000) <= 0)
      return false;
    ++Sent;
    return ::send(Socket, Text.data(), Text.size(),
                  MSG_NOSIGNAL | MSG_DONTWAIT) > 0;
  }

  Record Seen;
  TemporaryFolder Temporary;
  RatedPlatform Rated;
  std::optional<http::Server> Server;
  std::vector<std::unique_ptr<Entry>> All;
  std::atomic<bool> Stopping{false};
  std::atomic<uint64_t> Sent{0};
  size_t Late = 0;
};

} // namespace

int main(int ArgCount, char **ArgValues) {
  if (ArgCount != 2)
    return static_cast<int>(Verdict::NotRun);
  std::signal(SIGPIPE, SIG_IGN);
  return static_cast<int>(Play(ArgValues[1]).run());
}
