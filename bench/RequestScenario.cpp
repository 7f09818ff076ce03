#include "bench/Scenarios.h"
#include "bench/Statistics.h"

#include "common/Random.h"
#include "entry/ServiceState.h"
#include "policy/Backoff.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <queue>

namespace daisylanding::bench {

namespace {

constexpr uint32_t SlotsPerEndpoint = 8;
constexpr double SecondsOfLoad = 30;
constexpr size_t MaxWaiting = 16'384; // As eight entries hold.
constexpr Millis RunLimit{5'000};

struct Request {
  uint32_t Class = 0;
  TimePoint Arrived;
  TimePoint Deadline;
  bool Repeatable = false;
  uint32_t Tries = 0;
  std::optional<size_t> Excluded;
};

/// How the requests of one run fared.
struct ClassResult {
  std::vector<double> WaitedMs;
  size_t Offered = 0;
  size_t Done = 0;
  size_t Refused = 0;
  size_t Unknown = 0;
  size_t Missed = 0; ///< Not done, or started after the waiting target.
};

struct RunResult {
  std::vector<ClassResult> Classes;
  double WastedSeconds = 0; ///< Slot time whose result nobody got.
  double Micros = 0;        ///< Real time spent in decisions.
  size_t Decisions = 0;
};

/// A way to queue requests and choose endpoints; the subject of the run.
class RequestPolicy {
public:
  virtual ~RequestPolicy() = default;
  /// False refuses the request now; another may be \p Evicted instead.
  virtual bool admit(uint64_t Id, const Request &What, TimePoint Now,
                     std::optional<uint64_t> &Evicted) = 0;
  /// The next request to start and its endpoint.
  virtual std::optional<std::pair<uint64_t, size_t>> next(TimePoint Now) = 0;
  virtual void ended(size_t Endpoint, Micros Latency, bool Good,
                     TimePoint Now) = 0;
  /// No answer came; the slot is free at \p Until.
  virtual void unresolved(size_t Endpoint, TimePoint Until, TimePoint Now) = 0;
  virtual bool retry(uint64_t Id, Request &What, TimePoint Now) = 0;
  virtual std::vector<uint64_t> expire(TimePoint Now) = 0;
};

/// The product's own decisions, as the request loop makes them.
class SlackPolicy final : public RequestPolicy {
public:
  SlackPolicy(const config::ClusterConfig &Config, size_t Endpoints,
              std::map<uint64_t, Request> &Requests)
      : State(Config.Services.front(), Config, MaxWaiting), Requests(Requests) {
    table::InstanceSnapshot List;
    policy::CreditTable Credits;
    for (size_t I = 0; I < Endpoints; ++I) {
      std::string Name = fmt::format("e{}", I);
      List.Instances.push_back({.Name = Name,
                                .Kind = table::Role::Endpoint,
                                .AvailabilityZone = "z",
                                .Address = Name,
                                .Service = State.Spec.Name});
      Credits.Endpoints[Name] = {SlotsPerEndpoint, {{"me", SlotsPerEndpoint}}};
    }
    State.applyInstanceList(List, {}, "z");
    State.applyCredits(Credits, "me");
  }

  bool admit(uint64_t Id, const Request &What, TimePoint Now,
             std::optional<uint64_t> &Evicted) override {
    auto Answer = State.Queue.admit({.Id = Id,
                                     .Class = What.Class,
                                     .Arrived = What.Arrived,
                                     .Deadline = What.Deadline},
                                    State.startsPerSecond(), Now);
    if (Answer.Evicted)
      Evicted = Answer.Evicted->Id;
    return Answer.Outcome == policy::AdmissionOutcome::Admitted;
  }

  std::optional<std::pair<uint64_t, size_t>> next(TimePoint Now) override {
    State.releaseExpiredSlots(Now);
    if (State.Queue.waiting() == 0)
      return std::nullopt;
    auto Place = State.pickEndpoint(std::nullopt, Now, Generator);
    if (!Place)
      return std::nullopt;
    uint64_t Id = State.Queue.takeNext(Now)->Id;
    if (Requests[Id].Excluded)
      Place = State.pickEndpoint(Requests[Id].Excluded, Now, Generator);
    State.onSent(*Place, Now);
    if (Requests[Id].Tries == 0)
      State.Retries.recordFirstTry();
    return std::pair(Id, *Place);
  }

  void ended(size_t Endpoint, Micros Latency, bool Good,
             TimePoint Now) override {
    State.onEnded(Endpoint, Latency, Good, Now);
  }

  void unresolved(size_t Endpoint, TimePoint Until, TimePoint Now) override {
    State.onUnresolved(Endpoint, Until, Now);
  }

  bool retry(uint64_t Id, Request &What, TimePoint Now) override {
    if (Now >= What.Deadline || !State.Retries.tryTakeRetry())
      return false;
    State.Queue.putBack({.Id = Id,
                         .Class = What.Class,
                         .Arrived = What.Arrived,
                         .Deadline = What.Deadline});
    return true;
  }

  std::vector<uint64_t> expire(TimePoint Now) override {
    std::vector<uint64_t> Out;
    State.Queue.removeExpired(Now, [&](const policy::QueuedRequest &Each) {
      Out.push_back(Each.Id);
    });
    return Out;
  }

private:
  entry::ServiceState State;
  std::map<uint64_t, Request> &Requests;
  Random Generator{1};
};

/// First in, first out over all classes; what has passed its deadline is
/// dropped when its turn comes. Endpoints: the first with a free slot, or the
/// less loaded of two drawn at random.
class FifoPolicy final : public RequestPolicy {
public:
  FifoPolicy(size_t Endpoints, std::map<uint64_t, Request> &Requests,
             bool TwoChoices)
      : Running(Endpoints), Requests(Requests), TwoChoices(TwoChoices) {}

  bool admit(uint64_t Id, const Request &, TimePoint,
             std::optional<uint64_t> &) override {
    if (Queue.size() >= MaxWaiting)
      return false;
    Queue.push_back(Id);
    return true;
  }

  std::optional<std::pair<uint64_t, size_t>> next(TimePoint Now) override {
    release(Now);
    if (Queue.empty())
      return std::nullopt;
    auto Place = TwoChoices ? drawTwo() : firstFree();
    if (!Place)
      return std::nullopt;
    uint64_t Id = Queue.front();
    Queue.pop_front();
    ++Running[*Place];
    return std::pair(Id, *Place);
  }

  void ended(size_t Endpoint, Micros, bool, TimePoint) override {
    --Running[Endpoint];
  }

  void unresolved(size_t Endpoint, TimePoint Until, TimePoint) override {
    Open.emplace(Until, Endpoint);
  }

  bool retry(uint64_t Id, Request &What, TimePoint Now) override {
    if (Now >= What.Deadline)
      return false;
    Queue.push_front(Id);
    return true;
  }

  std::vector<uint64_t> expire(TimePoint Now) override {
    std::vector<uint64_t> Out;
    std::erase_if(Queue, [&](uint64_t Id) {
      bool Over = Now >= Requests[Id].Deadline;
      if (Over)
        Out.push_back(Id);
      return Over;
    });
    return Out;
  }

private:
  void release(TimePoint Now) {
    while (!Open.empty() && Open.begin()->first <= Now) {
      --Running[Open.begin()->second];
      Open.erase(Open.begin());
    }
  }

  std::optional<size_t> firstFree() const {
    for (size_t I = 0; I < Running.size(); ++I) {
      if (Running[I] < SlotsPerEndpoint)
        return I;
    }
    return std::nullopt;
  }

  std::optional<size_t> drawTwo() {
    size_t One = Generator.below(Running.size());
    size_t Other = Generator.below(Running.size());
    size_t Best = Running[One] <= Running[Other] ? One : Other;
    return Running[Best] < SlotsPerEndpoint ? std::optional(Best) : firstFree();
  }

  std::deque<uint64_t> Queue;
  std::vector<uint32_t> Running;
  std::multimap<TimePoint, size_t> Open;
  std::map<uint64_t, Request> &Requests;
  bool TwoChoices;
  Random Generator{1};
};

struct LoadClass {
  std::string Name;
  Millis Target;
  Millis Patience; ///< The caller's deadline.
  double Share;
};

struct LoadMix {
  std::string Name;
  size_t Endpoints;
  double WorkMs;
  std::vector<LoadClass> Classes;
};

/// What goes wrong in a run.
struct Trouble {
  std::string Name;
  double SlowFactor = 1;      ///< Of the first endpoint.
  bool FirstIsSilent = false; ///< From the tenth second on.
};

/// Requests, endpoints and time, without any process.
class RequestRun {
public:
  RequestRun(const LoadMix &Mix, const Trouble &Wrong, double Load)
      : Mix(Mix), Wrong(Wrong), Generator(7) {
    double Capacity = static_cast<double>(Mix.Endpoints) * SlotsPerEndpoint *
                      1'000 / Mix.WorkMs;
    Rate = Capacity * Load;
  }

  RunResult run(RequestPolicy &Policy);
  std::map<uint64_t, Request> Requests;

private:
  struct Ending {
    TimePoint At;
    uint64_t Id;
    size_t Endpoint;
    TimePoint Sent;
    bool Silent;
    bool operator>(const Ending &Other) const { return At > Other.At; }
  };

  TimePoint nextArrival(TimePoint Now) {
    double Gap = -std::log(1 - Generator.uniform()) / Rate;
    return Now + Micros(static_cast<int64_t>(Gap * 1e6));
  }
  uint32_t drawClass();
  void arrive(RequestPolicy &Policy);
  void dispatch(RequestPolicy &Policy, bool AtTick);
  void finish(RequestPolicy &Policy, const Ending &Each);
  void refuse(uint64_t Id);
  void begin(uint64_t Id, size_t Endpoint);

  const LoadMix &Mix;
  const Trouble &Wrong;
  Random Generator;
  double Rate = 0;
  TimePoint Now{Micros(std::chrono::hours(1))};
  TimePoint Start = Now;
  uint64_t NextId = 1;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> Endings;
  RunResult Out;
};

uint32_t RequestRun::drawClass() {
  double Draw = Generator.uniform();
  for (uint32_t I = 0; I + 1 < Mix.Classes.size(); ++I) {
    Draw -= Mix.Classes[I].Share;
    if (Draw < 0)
      return I;
  }
  return static_cast<uint32_t>(Mix.Classes.size() - 1);
}

void RequestRun::refuse(uint64_t Id) {
  ClassResult &Class = Out.Classes[Requests[Id].Class];
  ++Class.Refused;
  ++Class.Missed;
  Requests.erase(Id);
}

void RequestRun::arrive(RequestPolicy &Policy) {
  uint64_t Id = NextId++;
  Request &What = Requests[Id];
  What.Class = drawClass();
  What.Arrived = Now;
  What.Deadline = Now + Mix.Classes[What.Class].Patience;
  What.Repeatable = Generator.uniform() < 0.5;
  ++Out.Classes[What.Class].Offered;
  std::optional<uint64_t> Evicted;
  if (!Policy.admit(Id, What, Now, Evicted))
    refuse(Id);
  if (Evicted)
    refuse(*Evicted);
}

void RequestRun::begin(uint64_t Id, size_t Endpoint) {
  Request &What = Requests[Id];
  ClassResult &Class = Out.Classes[What.Class];
  if (What.Tries++ == 0) {
    Micros Waited = Now - What.Arrived;
    Class.WaitedMs.push_back(toSeconds(Waited) * 1'000);
    Class.Missed += Waited > Mix.Classes[What.Class].Target;
  }
  bool First = Endpoint == 0;
  double Factor = First ? Wrong.SlowFactor : 1;
  constexpr Micros SilentFrom{10'000'000};
  bool Silent = First && Wrong.FirstIsSilent && Now - Start > SilentFrom;
  double Milliseconds = Mix.WorkMs * (0.5 + Generator.uniform()) * Factor;
  Micros Work(static_cast<int64_t>(Milliseconds * 1'000));
  // The sender stops waiting at the deadline or the run limit.
  Micros Longest = std::min<Micros>(What.Deadline - Now, RunLimit);
  Longest = std::max<Micros>(Longest, Millis(1));
  bool Lost = Silent || Work > Longest;
  if (Lost)
    Out.WastedSeconds += toSeconds(std::min<Micros>(Work, RunLimit));
  Endings.push({Now + (Lost ? Longest : Work), Id, Endpoint, Now, Lost});
}

void RequestRun::finish(RequestPolicy &Policy, const Ending &Each) {
  Request &What = Requests[Each.Id];
  ClassResult &Class = Out.Classes[What.Class];
  if (!Each.Silent) {
    Policy.ended(Each.Endpoint, Now - Each.Sent, true, Now);
    ++Class.Done;
    Requests.erase(Each.Id);
    return;
  }
  Policy.unresolved(Each.Endpoint, Each.Sent + RunLimit, Now);
  What.Excluded = Each.Endpoint;
  constexpr uint32_t MaxTries = 3;
  if (What.Repeatable && What.Tries < MaxTries &&
      Policy.retry(Each.Id, What, Now))
    return;
  ++Class.Unknown;
  ++Class.Missed;
  Requests.erase(Each.Id);
}

void RequestRun::dispatch(RequestPolicy &Policy, bool AtTick) {
  TimePoint Before = monotonicNow();
  if (AtTick) {
    for (uint64_t Id : Policy.expire(Now))
      refuse(Id);
  }
  while (auto Next = Policy.next(Now)) {
    ++Out.Decisions;
    begin(Next->first, Next->second);
  }
  Out.Micros += static_cast<double>((monotonicNow() - Before).count());
}

RunResult RequestRun::run(RequestPolicy &Policy) {
  Out.Classes.resize(Mix.Classes.size());
  TimePoint Until = Start + Micros(static_cast<int64_t>(SecondsOfLoad * 1e6));
  TimePoint Arrival = nextArrival(Now);
  constexpr Millis Tick{5};
  TimePoint NextTick = Now;
  TimePoint Last = Until + Millis(20'000);
  while (Now < Last && (Now < Until || !Requests.empty())) {
    TimePoint Next = NextTick;
    if (Arrival < Until)
      Next = std::min(Next, Arrival);
    if (!Endings.empty())
      Next = std::min(Next, Endings.top().At);
    Now = Next;
    if (Now == Arrival && Arrival < Until) {
      arrive(Policy);
      Arrival = nextArrival(Now);
    }
    while (!Endings.empty() && Endings.top().At <= Now) {
      Ending Each = Endings.top();
      Endings.pop();
      finish(Policy, Each);
    }
    bool AtTick = Now >= NextTick;
    if (AtTick)
      NextTick = Now + Tick;
    dispatch(Policy, AtTick);
  }
  return std::move(Out);
}

config::ClusterConfig configOf(const LoadMix &Mix) {
  config::ClusterConfig Out;
  for (const LoadClass &Each : Mix.Classes)
    Out.Classes.push_back({.Name = Each.Name, .WaitingTarget = Each.Target});
  Out.Services.push_back({.Name = Mix.Name,
                          .Class = Mix.Classes.front().Name,
                          .RunLimit = RunLimit,
                          .SlotsPerEndpoint = SlotsPerEndpoint});
  return Out;
}

void print(const std::string &Policy, const LoadMix &Mix,
           const RunResult &Result) {
  for (size_t I = 0; I < Mix.Classes.size(); ++I) {
    const ClassResult &Each = Result.Classes[I];
    auto Percent = [&](size_t Part) {
      return Each.Offered ? 100.0 * static_cast<double>(Part) /
                                static_cast<double>(Each.Offered)
                          : 0;
    };
    fmt::print("| {} | {} ({} ms) | {:.1f} | {:.1f} | {:.1f} % | {:.1f} % | "
               "{:.1f} % | {:.1f} |\n",
               Policy, Mix.Classes[I].Name, Mix.Classes[I].Target.count(),
               quantile(Each.WaitedMs, 0.5), quantile(Each.WaitedMs, 0.99),
               Percent(Each.Missed), Percent(Each.Refused),
               Percent(Each.Unknown), Result.WastedSeconds);
  }
}

void runOne(const LoadMix &Mix, const Trouble &Wrong, double Load) {
  fmt::print("\n### {}, {} times capacity, {}\n\n", Mix.Name, Load, Wrong.Name);
  fmt::print("| policy | class (target) | p50 ms | p99 ms | missed | refused | "
             "unknown | wasted slot s |\n|---|---|---|---|---|---|---|---|\n");
  config::ClusterConfig Config = configOf(Mix);
  {
    RequestRun Run(Mix, Wrong, Load);
    SlackPolicy Policy(Config, Mix.Endpoints, Run.Requests);
    print("slack", Mix, Run.run(Policy));
  }
  {
    RequestRun Run(Mix, Wrong, Load);
    FifoPolicy Policy(Mix.Endpoints, Run.Requests, false);
    print("FIFO, first free", Mix, Run.run(Policy));
  }
  {
    RequestRun Run(Mix, Wrong, Load);
    FifoPolicy Policy(Mix.Endpoints, Run.Requests, true);
    print("FIFO, two choices", Mix, Run.run(Policy));
  }
}

} // namespace

void runRequestScenarios() {
  const std::vector<LoadMix> Mixes = {
      {"sohar bl-issue",
       35,
       30,
       {{"issue", Millis(500), Millis(4'000), 0.6},
        {"amend", Millis(2'000), Millis(8'000), 0.2},
        {"watch", Millis(5'000), Millis(15'000), 0.2}}},
      {"akureyri quality-lab",
       13,
       150,
       {{"score", Millis(4'000), Millis(15'000), 0.8},
        {"recall", Millis(800), Millis(5'000), 0.2}}}};
  const std::vector<double> Loads = {0.5, 0.9, 1.2, 3};
  for (const LoadMix &Mix : Mixes) {
    for (double Load : Loads)
      runOne(Mix, {.Name = "all well"}, Load);
    runOne(Mix, {.Name = "one endpoint 10 times slower", .SlowFactor = 10},
           0.9);
    runOne(Mix, {.Name = "one endpoint silent", .FirstIsSilent = true}, 0.9);
  }
}

} // namespace daisylanding::bench
