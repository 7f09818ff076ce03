#include "WatchedPlatform.h"

#include <csignal>
#include <optional>
#include <thread>

/// Clients hand in jobs with a legal body that names the same earlier step very
/// often, and whose last step can never be done. Beside them a job lasts.
namespace {

using namespace daisylanding;
using namespace daisylanding::review;
using nlohmann::json;

constexpr size_t Entries = 3;
constexpr uint64_t LastingJob = 1'000'000;
constexpr uint32_t LastingTasks = 6;
constexpr size_t MayMiss = 1;
constexpr uint64_t CrowdJobs = 100;
constexpr size_t Clients = 10;
constexpr Millis ClientInterval{1'000};
constexpr size_t Mentions = 28'000;
/// From the first job of the crowd.
constexpr Millis PlayTime{45'000};

std::string lastingBody() {
  return json{{"spec", "lasts"},
              {"steps",
               {{{"count", LastingTasks},
                 {"cpu", 1'000},
                 {"mem-mb", 10},
                 {"long-running", true},
                 {"may-miss", MayMiss}}}}}
      .dump();
}

std::string crowdBody() {
  json First = {{"count", 799}, {"est-runtime-ms", 250}};
  json Last = {{"count", 1},
               {"cpu", 500},
               {"est-runtime-ms", 250},
               {"constraints", "no-such-kind"},
               {"after", std::vector<uint32_t>(Mentions, 0)}};
  return json{{"spec", "work"}, {"steps", {First, Last}}}.dump();
}

class Play {
public:
  explicit Play(const std::string &Folder) : Seen(Folder), Platform(Seen) {}
  ~Play() {
    All.clear();
    Platform.platform().shutDown();
  }

  Verdict run() {
    if (!setUp())
      return Verdict::NotRun;
    TimePoint End = monotonicNow() + PlayTime;
    if (hasTrouble())
      submitCrowd();
    while (monotonicNow() < End)
      sleepFor(Millis(100));
    return judge();
  }

private:
  bool setUp() {
    uint16_t Port = freePort();
    http::ServerOptions Options;
    Options.Port = Port;
    Options.MaxBodyBytes = 4 << 20;
    Server.emplace(Options, Platform);
    if (Server->start())
      return false;
    Platform.platform().configure(1, true);
    std::string Address = fmt::format("127.0.0.1:{}", Port);
    for (int I = 0; I < 6; ++I)
      Platform.platform().addExecutor(fmt::format("i-{}", I), Address, 8'000);
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
    if (call(All[0]->CallerPort, "POST", "/q/" + jobId(LastingJob),
             lastingBody())
            .Status != http::StatusOk)
      return false;
    return eventually([&] { return Platform.starts().size() >= LastingTasks; },
                      Millis(10'000));
  }

  void submitCrowd() {
    std::string Body = crowdBody();
    std::vector<std::thread> Senders;
    for (size_t Client = 0; Client < Clients; ++Client)
      Senders.emplace_back([this, Client, &Body] {
        for (uint64_t I = Client; I < CrowdJobs; I += Clients) {
          TimePoint Next = monotonicNow() + ClientInterval;
          int Status = call(All[I % Entries]->CallerPort, "POST",
                            "/q/" + jobId(I + 1), Body)
                           .Status;
          Seen.add("job {} of the crowd, {} bytes: {}", jobId(I + 1),
                   Body.size(), Status);
          sleepFor(
              std::max(Millis(0), Millis(toMillis(Next - monotonicNow()))));
        }
      });
    for (std::thread &Sender : Senders)
      Sender.join();
    Seen.add("the crowd has ended");
  }

  /// Whether a run of the task is at work then.
  bool isAtWork(const std::string &Task, TimePoint At) const {
    for (const auto &[Run, BeganAt] : Starts) {
      if (Run.first != Task || BeganAt > At)
        continue;
      bool HasEnded =
          std::any_of(Ends.begin(), Ends.end(), [&](const SeenEnd &End) {
            return End.Task == Task && End.Run == Run.second && End.At <= At;
          });
      if (!HasEnded)
        return true;
    }
    return false;
  }

  /// Lapses that end a task while as many others are away as may be missed.
  Verdict judge() {
    Starts = Platform.starts();
    Ends = Platform.ends();
    size_t Lapsed = 0;
    size_t Beyond = 0;
    for (const SeenEnd &End : Ends) {
      if (End.How != "lapsed")
        continue;
      ++Lapsed;
      size_t Away = 0;
      for (uint32_t I = 0; I < LastingTasks; ++I) {
        std::string Other = fmt::format("{}.0.0.{}", jobId(LastingJob), I);
        Away += Other != End.Task && !isAtWork(Other, End.At) ? 1 : 0;
      }
      Beyond += Away >= MayMiss ? 1 : 0;
    }
    Seen.add("{} lapses of lasting tasks, {} of them while {} or more others "
             "were away",
             Lapsed, Beyond, MayMiss);
    Seen.add("AVAIL: {}", Beyond > 0 ? "broken" : "held");
    return Beyond > 0 ? Verdict::Broken : Verdict::Held;
  }

  Record Seen;
  TemporaryFolder Temporary;
  WatchedPlatform Platform;
  std::optional<http::Server> Server;
  std::vector<std::unique_ptr<Entry>> All;
  std::map<std::pair<std::string, uint32_t>, TimePoint> Starts;
  std::vector<SeenEnd> Ends;
};

} // namespace

int main(int ArgCount, char **ArgValues) {
  if (ArgCount != 2)
    return static_cast<int>(Verdict::NotRun);
  std::signal(SIGPIPE, SIG_IGN);
  return static_cast<int>(Play(ArgValues[1]).run());
}
