#include "Cell.h"

#include "standin/CellPlatform.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <optional>

/// An executor leaves a start unanswered and carries it out some seconds later.
/// Meanwhile it is cut off, crashes behind the cut, and starts again under its
/// id.
namespace {

using namespace daisylanding;
using namespace daisylanding::review;
using nlohmann::json;

constexpr size_t Entries = 3;
constexpr uint64_t Job = 1;
constexpr const char *Payload = "work";
/// So that the clock of the first life is ahead of that of the second.
constexpr Millis AgeOfExecutors{6'000};
constexpr Millis RunTime{20'000};
/// From the start that is left unanswered.
constexpr Millis CutAfter{1'000};
constexpr Millis RestartAfter{1'200};
constexpr Millis CarriedOutAfter{4'000};
constexpr Millis CutTime{5'500};
constexpr Millis PlayTime{15'000};

/// The project's stand-in, with one executor whose calls are held up.
class CutPlatform final : public http::Handler {
public:
  explicit CutPlatform(Record &Seen) : Seen(Seen) {}

  void handle(http::Request Request, http::Responder Respond) override {
    const std::string *Id =
        http::findHeader(Request.Headers, "X-Daisylanding-Expect-Instance");
    std::string Executor = Id ? *Id : "";
    bool IsStart = http::targetPath(Request.Target) == "/-/run-start";
    if (IsStart && hasTrouble() && Chosen.empty()) {
      Chosen = Executor;
      HeldAt = monotonicNow();
      Held = std::move(Request);
      Seen.add("{} leaves a start unanswered: {}", Chosen, Held.Body);
      schedule();
      return;
    }
    if (!Chosen.empty() && Executor == Chosen && isCut())
      return;
    if (IsStart) {
      json Body = json::parse(Request.Body);
      Respond = [this, Executor, Body, Respond](http::Response Answer) {
        Seen.add("{}: start of {} run {}: {} {}", Executor,
                 Body.at("task").get<std::string>(),
                 Body.at("run-id").get<uint32_t>(), Answer.Status,
                 Answer.Body);
        Respond(std::move(Answer));
      };
    }
    Platform.handle(std::move(Request), std::move(Respond));
  }

  /// To be called before this is destroyed.
  void shutDown() {
    Later.reset();
    Platform.shutDown();
  }

  standin::CellPlatform Platform;

private:
  bool isCut() const {
    TimePoint Now = monotonicNow();
    return Now >= HeldAt + CutAfter && Now < HeldAt + CutAfter + CutTime;
  }

  void schedule() {
    Later->schedule(CutAfter, [this] { Seen.add("{} is cut off", Chosen); });
    Later->schedule(RestartAfter, [this] {
      Seen.add("{} crashes, and starts again under its id", Chosen);
      Platform.restartExecutor(Chosen, CutAfter + CutTime - RestartAfter);
    });
    Later->schedule(CarriedOutAfter, [this] {
      Platform.handle(Held, [this](const http::Response &Answer) {
        Seen.add("{} carries out the start: {} {}", Chosen, Answer.Status,
                 Answer.Body);
      });
    });
    Later->schedule(CutAfter + CutTime,
                    [this] { Seen.add("{} is reached again", Chosen); });
  }

  Record &Seen;
  std::string Chosen; ///< Empty before its start.
  TimePoint HeldAt{};
  http::Request Held;
  std::unique_ptr<standin::DelayQueue> Later =
      std::make_unique<standin::DelayQueue>();
};

class Play {
public:
  explicit Play(const std::string &Folder) : Seen(Folder), Cut(Seen) {}
  ~Play() {
    All.clear();
    Cut.shutDown();
  }

  Verdict run() {
    if (!setUp())
      return Verdict::NotRun;
    sleepFor(AgeOfExecutors);
    std::string Body = json{{"spec", Payload},
                            {"steps",
                             {{{"count", 1},
                               {"cpu", 500},
                               {"mem-mb", 10},
                               {"est-runtime-ms", RunTime.count()}}}}}
                           .dump();
    int Status =
        call(All[0]->CallerPort, "POST", "/q/" + jobId(Job), Body).Status;
    Seen.add("job {}: {}", jobId(Job), Status);
    if (Status != http::StatusOk)
      return Verdict::NotRun;
    sleepFor(PlayTime);
    std::vector<std::string> Violations = Cut.Platform.violations();
    for (const std::string &Violation : Violations)
      Seen.line(Violation);
    Seen.add("TWICE: {}", Violations.empty() ? "held" : "broken");
    return Violations.empty() ? Verdict::Held : Verdict::Broken;
  }

private:
  bool setUp() {
    uint16_t Port = freePort();
    http::ServerOptions Options;
    Options.Port = Port;
    Options.MaxBodyBytes = 4 << 20;
    Server.emplace(Options, Cut);
    if (Server->start())
      return false;
    Cut.Platform.configure(1, false);
    Cut.Platform.setRunTimes({.RunDuration = RunTime});
    std::string Address = fmt::format("127.0.0.1:{}", Port);
    for (int I = 0; I < 6; ++I)
      Cut.Platform.addExecutor(fmt::format("i-{}", I), Address, 8'000);
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

  Record Seen;
  TemporaryFolder Temporary;
  CutPlatform Cut;
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
