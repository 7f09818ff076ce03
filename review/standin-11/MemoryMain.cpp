#include "Cell.h"

#include "standin/CellPlatform.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <map>
#include <optional>
#include <thread>

/// Clients hand in legal jobs of many overlapping occurrences that can never be
/// done, more slowly than the sheet's ordinary jobs come. The platform kills
/// what exceeds its memory and starts it again.
namespace {

using namespace daisylanding;
using namespace daisylanding::review;
using nlohmann::json;

constexpr size_t Entries = 3;
constexpr size_t MemoryMb = 260;
constexpr size_t KbPerMb = 1'024;
constexpr Millis RestartDelay{300};
constexpr Millis WatchInterval{50};
/// The sheet's `draft-bl` alone come at 12.4 a second.
constexpr Millis SubmitInterval{100};
constexpr uint64_t CrowdJobs = 120;
constexpr Millis OrdinaryInterval{1'000};
constexpr uint64_t FirstOrdinary = 1'000'000;
constexpr uint64_t OrdinaryJobs = 30;
/// `finish_s`, from the end of the traffic until jobs are asked for.
constexpr Millis FinishTime{14'000};
/// A job may have nothing running for so long while there is capacity.
constexpr Millis MaxIdleTime{3'000};

std::string ordinaryBody() {
  return json{
      {"spec", "work"},
      {"steps",
       {{{"count", 2}, {"cpu", 500}, {"mem-mb", 10}, {"est-runtime-ms", 250}}}}}
      .dump();
}

/// 1,000 times 8 tasks, for executors of a kind that there is none of.
std::string crowdBody() {
  return json{{"spec", "work"},
              {"repeat-count", 1'000},
              {"first-run-ms", toMillis(Micros(wallMicros()))},
              {"interval-ms", 5},
              {"steps",
               {{{"count", 8},
                 {"cpu", 500},
                 {"mem-mb", 10},
                 {"constraints", "no-such-kind"},
                 {"est-runtime-ms", 250}}}}}
      .dump();
}

/// Kills what exceeds its memory, as the platform does, and starts what ended.
class Machines {
public:
  Machines(std::vector<std::unique_ptr<Entry>> &All, Record &Seen)
      : All(All), Seen(Seen), Ends(All.size()), Peaks(All.size()) {}

  void watch() {
    while (!Stopping) {
      for (size_t I = 0; I < All.size(); ++I)
        look(I);
      sleepFor(WatchInterval);
    }
  }
  void stop() { Stopping = true; }
  const std::vector<size_t> &ends() const { return Ends; }
  const std::vector<size_t> &peaksKb() const { return Peaks; }

private:
  void look(size_t I) {
    Entry &Machine = *All[I];
    size_t Kb = Machine.memoryKb();
    Peaks[I] = std::max(Peaks[I], Kb);
    if (Kb > MemoryMb * KbPerMb) {
      Seen.add("{} has {} kB of {} MB: killed", Machine.name(), Kb, MemoryMb);
      Machine.process().signal(SIGKILL);
      Machine.process().wait(Millis(2'000));
    }
    if (Machine.process().running())
      return;
    ++Ends[I];
    Seen.add("{} has ended, {} times by now", Machine.name(), Ends[I]);
    sleepFor(RestartDelay);
    Machine.start();
  }

  std::vector<std::unique_ptr<Entry>> &All;
  Record &Seen;
  std::vector<size_t> Ends;
  std::vector<size_t> Peaks;
  std::atomic<bool> Stopping{false};
};

class Play {
public:
  explicit Play(const std::string &Folder) : Seen(Folder) {}

  Verdict run() {
    if (!setUp())
      return Verdict::NotRun;
    Machines Watched(All, Seen);
    std::thread Watcher([&] { Watched.watch(); });
    std::thread Ordinary([&] { submitOrdinary(); });
    if (hasTrouble())
      submitCrowd();
    Ordinary.join();
    watchExecutors();
    size_t Unfinished = countUnfinished();
    Watched.stop();
    Watcher.join();
    return judge(Watched, Unfinished);
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
    Platform.configure(1, true);
    std::string Address = fmt::format("127.0.0.1:{}", Port);
    for (int I = 0; I < 6; ++I)
      Platform.addExecutor(fmt::format("i-{}", I), Address, 8'000);
    for (size_t I = 0; I < Entries; ++I) {
      All.push_back(
          std::make_unique<Entry>(EntryOptions{.Name = fmt::format("e{}", I),
                                               .StoreAddress = Address,
                                               .AdviceAddress = Address,
                                               .MemoryMb = MemoryMb},
                                  Temporary.path()));
      All.back()->start();
    }
    for (auto &Machine : All) {
      if (!eventually([&] { return Machine->isReady(); }, Millis(10'000)))
        return false;
    }
    return true;
  }

  /// As the platform and its clients do: another entry after no answer.
  int submit(uint64_t Number, const std::string &Body) {
    int Status = 0;
    for (size_t Try = 0; Try < 5 && Status != http::StatusOk; ++Try) {
      Status = call(All[(Number + Try) % Entries]->CallerPort, "POST",
                    "/q/" + jobId(Number), Body)
                   .Status;
      if (Status != http::StatusOk)
        sleepFor(Millis(200));
    }
    return Status;
  }

  void submitCrowd() {
    size_t Accepted = 0;
    for (uint64_t I = 1; I <= CrowdJobs; ++I) {
      TimePoint Next = monotonicNow() + SubmitInterval;
      int Status = submit(I, crowdBody());
      Accepted += Status == http::StatusOk ? 1 : 0;
      Seen.add("job {} of the crowd: {}", jobId(I), Status);
      sleepFor(std::max(Millis(0), Millis(toMillis(Next - monotonicNow()))));
    }
    Seen.add("{} of {} jobs of the crowd were accepted", Accepted, CrowdJobs);
  }

  void submitOrdinary() {
    for (uint64_t I = 0; I < OrdinaryJobs; ++I) {
      uint64_t Number = FirstOrdinary + I;
      TimePoint Next = monotonicNow() + OrdinaryInterval;
      int Status = submit(Number, ordinaryBody());
      Seen.add("ordinary job {}: {}", jobId(Number), Status);
      if (Status == http::StatusOk)
        AcceptedOrdinary.push_back(Number);
      sleepFor(std::max(Millis(0), Millis(toMillis(Next - monotonicNow()))));
    }
  }

  /// Runs take 250 ms, so that without a start nothing runs.
  void watchExecutors() {
    TimePoint End = monotonicNow() + FinishTime;
    size_t StartsBefore = Platform.runsStarted();
    TimePoint LastStart = monotonicNow();
    while (monotonicNow() < End) {
      sleepFor(Millis(50));
      size_t Starts = Platform.runsStarted();
      if (Starts != StartsBefore)
        LastStart = monotonicNow();
      StartsBefore = Starts;
      LongestIdle =
          std::max(LongestIdle, Millis(toMillis(monotonicNow() - LastStart)));
    }
    Seen.add("after the traffic: for {} ms on end nothing runs on 6 executors",
             LongestIdle.count());
  }

  /// Accepted ordinary jobs that aren't completed.
  size_t countUnfinished() {
    size_t Unfinished = 0;
    std::map<std::string, size_t> ByState;
    for (uint64_t Number : AcceptedOrdinary) {
      Reply Answer;
      for (size_t Try = 0; Try < 5 && Answer.Status != http::StatusOk; ++Try)
        Answer = call(All[(Number + Try) % Entries]->CallerPort, "GET",
                      "/q/" + jobId(Number));
      bool IsKnown = Answer.Status == http::StatusOk;
      ++ByState[IsKnown ? Answer.Body
                        : fmt::format("status {}", Answer.Status)];
      bool IsDone =
          IsKnown && json::parse(Answer.Body).value("state", "") == "completed";
      Unfinished += IsDone ? 0 : 1;
    }
    for (const auto &[State, Count] : ByState)
      Seen.add("{} accepted ordinary jobs: {}", Count, State);
    return Unfinished;
  }

  Verdict judge(const Machines &Watched, size_t Unfinished) {
    for (size_t I = 0; I < Entries; ++I)
      Seen.add("{}: ended {} times, at most {} kB", All[I]->name(),
               Watched.ends()[I], Watched.peaksKb()[I]);
    bool IsBroken = Unfinished > 0 && LongestIdle > MaxIdleTime;
    Seen.add("LOST: {}", IsBroken ? "broken" : "held");
    return IsBroken ? Verdict::Broken : Verdict::Held;
  }

  Record Seen;
  TemporaryFolder Temporary;
  standin::CellPlatform Platform;
  std::optional<http::Server> Server;
  std::vector<std::unique_ptr<Entry>> All;
  std::vector<uint64_t> AcceptedOrdinary;
  Millis LongestIdle{0};

public:
  ~Play() {
    All.clear();
    Platform.shutDown();
  }
};

} // namespace

int main(int ArgCount, char **ArgValues) {
  if (ArgCount != 2)
    return static_cast<int>(Verdict::NotRun);
  std::signal(SIGPIPE, SIG_IGN);
  return static_cast<int>(Play(ArgValues[1]).run());
}
