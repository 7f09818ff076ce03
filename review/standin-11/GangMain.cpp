#include "Cell.h"

#include "standin/CellPlatform.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <optional>

/// A gang that needs all executors whole waits beside a task of a minute on one
/// of them. Then a job comes for which three executors are idle.
namespace {

using namespace daisylanding;
using namespace daisylanding::review;
using nlohmann::json;

constexpr size_t Entries = 3;
constexpr int Executors = 6;
constexpr uint32_t MilliCores = 8'000;
constexpr const char *Host = "jobs.example";
constexpr uint64_t LongJob = 1;
constexpr uint64_t GangJob = 2;
constexpr uint64_t OtherJob = 3;
constexpr Millis LongRunTime{60'000};
constexpr Millis GangRunTime{40'000};
constexpr Millis OtherRunTime{35'000};
constexpr Millis BetweenJobs{6'000};
/// `finish_s`, from the end of the traffic until jobs are asked for.
constexpr Millis FinishTime{14'000};
/// A job may have nothing running for so long while there is capacity.
constexpr Millis MaxIdleTime{3'000};

class Play {
public:
  explicit Play(const std::string &Folder) : Seen(Folder) {}
  ~Play() {
    All.clear();
    Platform.shutDown();
  }

  Verdict run() {
    if (!setUp())
      return Verdict::NotRun;
    // On one of the other kind.
    bool IsSubmitted =
        submit(LongJob, {{"count", 1},
                         {"cpu", 1'000},
                         {"constraints", "a"},
                         {"est-runtime-ms", LongRunTime.count()}});
    if (!IsSubmitted ||
        !eventually([&] { return Platform.runsStarted() == 1; }, Millis(5'000)))
      return Verdict::NotRun;
    Seen.add("a task of 60 s has begun");
    if (hasTrouble())
      IsSubmitted = submit(GangJob, {{"count", Executors},
                                     {"cpu", MilliCores},
                                     {"gang", true},
                                     {"anti-affinity", 1},
                                     {"est-runtime-ms", GangRunTime.count()}});
    sleepFor(BetweenJobs);
    size_t StartsBefore = Platform.runsStarted();
    IsSubmitted = IsSubmitted &&
                  submit(OtherJob, {{"count", 1},
                                    {"cpu", 500},
                                    {"constraints", "b"},
                                    {"est-runtime-ms", OtherRunTime.count()}});
    if (!IsSubmitted)
      return Verdict::NotRun;
    sleepFor(FinishTime);
    bool Begun = eventually(
        [&] { return Platform.runsStarted() > StartsBefore; }, MaxIdleTime);
    for (uint64_t Job : {LongJob, GangJob, OtherJob}) {
      Reply Answer = call(All[0]->CallerPort, "GET", "/q/" + jobId(Job));
      Seen.add("job {}: {} {}", jobId(Job), Answer.Status, Answer.Body);
    }
    Seen.add("of six executors five are idle, three of them of kind b; the job "
             "for that kind {}",
             Begun ? "has begun" : "has nothing running");
    Seen.add("LOST: {}", Begun ? "held" : "broken");
    return Begun ? Verdict::Held : Verdict::Broken;
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
    Platform.configure(1, false);
    Platform.setRunTimes({.RunDuration = LongRunTime});
    std::string Address = fmt::format("127.0.0.1:{}", Port);
    for (int I = 0; I < Executors; ++I) {
      std::string Id = fmt::format("i-{}", I);
      Platform.addExecutor(Id, Address, MilliCores);
      json Row = json::parse(Platform.rowValue("servers", "", Id));
      Row["labels"] = {I < Executors / 2 ? "b" : "a", "r1"};
      Platform.putRow("servers", "", Id, Row.dump());
    }
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
    sleepFor(Millis(3'000)); // All executors are known.
    return true;
  }

  bool submit(uint64_t Job, const json &Step) {
    int Status = call(All[0]->CallerPort, "POST", "/q/" + jobId(Job),
                      json{{"spec", "work"}, {"steps", {Step}}}.dump())
                     .Status;
    Seen.add("job {}: {} {}", jobId(Job), Step.dump(), Status);
    return Status == http::StatusOk;
  }

  Record Seen;
  TemporaryFolder Temporary;
  standin::CellPlatform Platform;
  std::optional<http::Server> Server;
  std::vector<std::unique_ptr<Entry>> All;
};

} // namespace

int main(int ArgCount, char **ArgValues) {
  if (ArgCount != 2)
    return static_cast<int>(Verdict::NotRun);
  std::signal(SIGPIPE, SIG_IGN);
  return static_cast<int>(Play(ArgValues[1]).run());
}
