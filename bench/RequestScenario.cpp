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
constexpr double LoadSeconds = 30;
constexpr size_t MaxWaitingRequests = 16'384; // Default limit of 8 entries.
constexpr Millis RunLimit{5'000};

struct SimulatedRequest {
  uint32_t Class = 0;
  TimePoint Arrived;
  TimePoint Deadline;
  bool Repeatable = false;
  uint32_t AttemptCount = 0;
  std::optional<size_t> ExcludedEndpoint;
};

/// Outcome of all requests of one class.
struct ClassResult {
  std::vector<double> WaitingMs;
  size_t OfferedCount = 0;
  size_t DoneCount = 0;
  size_t RefusedCount = 0;
  size_t UnknownCount = 0; ///< No answer, and not retried.
  size_t MissedCount = 0;  ///< Not done, or started after the waiting target.
};

struct SimulationResult {
  std::vector<ClassResult> ClassResults;
  double WastedSlotSeconds = 0; ///< Slot time of runs without an answer.
  double DecisionMicros = 0;    ///< Wall time spent in the policy.
  size_t DecisionCount = 0;
};

/// The policy under test: queues requests and chooses their endpoints.
class RequestPolicy {
public:
  virtual ~RequestPolicy() = default;
  /// False if the request is refused. A waiting request that is dropped to make
  /// room is returned in \p EvictedId.
  virtual bool admit(uint64_t Id, const SimulatedRequest &Request,
                     TimePoint Now, std::optional<uint64_t> &EvictedId) = 0;
  /// Removes the next request to start from the queue; returns its id and the
  /// index of its endpoint, or nothing if none waits or no slot is free.
  virtual std::optional<std::pair<uint64_t, size_t>>
  takeNext(TimePoint Now) = 0;
  virtual void recordEnd(size_t Endpoint, Micros Latency, bool Succeeded,
                         TimePoint Now) = 0;
  /// No answer came; the slot stays taken until \p SlotFreeAt.
  virtual void recordUnresolved(size_t Endpoint, TimePoint SlotFreeAt,
                                TimePoint Now) = 0;
  /// Puts a failed request back into the queue; false if it may not be retried.
  virtual bool retry(uint64_t Id, SimulatedRequest &Request, TimePoint Now) = 0;
  /// Removes the requests that can no longer start in time; returns their ids.
  virtual std::vector<uint64_t> takeExpired(TimePoint Now) = 0;
};

/// The decisions of an entry's request loop: a queue ordered by slack, retry
/// budget, ejection of outlier endpoints.
class SlackPolicy final : public RequestPolicy {
public:
  SlackPolicy(const config::ClusterConfig &Config, size_t EndpointCount,
              std::map<uint64_t, SimulatedRequest> &Requests)
      : State(Config.Services.front(), Config, MaxWaitingRequests),
        Requests(Requests) {
    table::InstanceSnapshot Snapshot;
    policy::CreditTable Credits;
    for (size_t I = 0; I < EndpointCount; ++I) {
      std::string Name = fmt::format("e{}", I);
      Snapshot.Instances.push_back({.Name = Name,
                                    .Kind = table::Role::Endpoint,
                                    .AvailabilityZone = "z",
                                    .Address = Name,
                                    .Service = State.Spec.Name});
      Credits.Endpoints[Name] = {SlotsPerEndpoint, {{"me", SlotsPerEndpoint}}};
    }
    State.applyInstanceList(Snapshot, {}, "z");
    State.applyCredits(Credits, "me");
  }

  bool admit(uint64_t Id, const SimulatedRequest &Request, TimePoint Now,
             std::optional<uint64_t> &EvictedId) override {
    auto Admission = State.Queue.admit({.Id = Id,
                                        .Class = Request.Class,
                                        .Arrived = Request.Arrived,
                                        .Deadline = Request.Deadline},
                                       State.startsPerSecond(), Now);
    if (Admission.Evicted)
      EvictedId = Admission.Evicted->Id;
    return Admission.Outcome == policy::AdmissionOutcome::Admitted;
  }

  std::optional<std::pair<uint64_t, size_t>> takeNext(TimePoint Now) override {
    State.releaseExpiredSlots(Now);
    if (State.Queue.waiting() == 0)
      return std::nullopt;
    auto Endpoint = State.pickEndpoint(std::nullopt, Now, Generator);
    if (!Endpoint)
      return std::nullopt;
    uint64_t Id = State.Queue.takeNext(Now)->Id;
    if (Requests[Id].ExcludedEndpoint)
      Endpoint =
          State.pickEndpoint(Requests[Id].ExcludedEndpoint, Now, Generator);
    State.onSent(*Endpoint, Now);
    if (Requests[Id].AttemptCount == 0)
      State.Retries.recordFirstTry();
    return std::pair(Id, *Endpoint);
  }

  void recordEnd(size_t Endpoint, Micros Latency, bool Succeeded,
                 TimePoint Now) override {
    State.onEnded(Endpoint, Latency, Succeeded, Now);
  }

  void recordUnresolved(size_t Endpoint, TimePoint SlotFreeAt,
                        TimePoint Now) override {
    State.onUnresolved(Endpoint, SlotFreeAt, Now);
  }

  bool retry(uint64_t Id, SimulatedRequest &Request, TimePoint Now) override {
    if (Now >= Request.Deadline || !State.Retries.tryTakeRetry())
      return false;
    State.Queue.putBack({.Id = Id,
                         .Class = Request.Class,
                         .Arrived = Request.Arrived,
                         .Deadline = Request.Deadline});
    return true;
  }

  std::vector<uint64_t> takeExpired(TimePoint Now) override {
    std::vector<uint64_t> ExpiredIds;
    State.Queue.removeExpired(Now, [&](const policy::QueuedRequest &Queued) {
      ExpiredIds.push_back(Queued.Id);
    });
    return ExpiredIds;
  }

private:
  entry::ServiceState State;
  std::map<uint64_t, SimulatedRequest> &Requests;
  Random Generator{1};
};

/// Baseline: first in, first out over all classes; requests past their deadline
/// are dropped on each tick. Takes the first endpoint with a free slot, or the
/// less loaded of two drawn at random.
class FifoPolicy final : public RequestPolicy {
public:
  FifoPolicy(size_t EndpointCount,
             std::map<uint64_t, SimulatedRequest> &Requests, bool UseTwoChoices)
      : RunningCounts(EndpointCount), Requests(Requests),
        UseTwoChoices(UseTwoChoices) {}

  bool admit(uint64_t Id, const SimulatedRequest &, TimePoint,
             std::optional<uint64_t> &) override {
    if (Queue.size() >= MaxWaitingRequests)
      return false;
    Queue.push_back(Id);
    return true;
  }

  std::optional<std::pair<uint64_t, size_t>> takeNext(TimePoint Now) override {
    releaseUnresolved(Now);
    if (Queue.empty())
      return std::nullopt;
    auto Endpoint = UseTwoChoices ? pickLessLoadedOfTwo() : findFirstFree();
    if (!Endpoint)
      return std::nullopt;
    uint64_t Id = Queue.front();
    Queue.pop_front();
    ++RunningCounts[*Endpoint];
    return std::pair(Id, *Endpoint);
  }

  void recordEnd(size_t Endpoint, Micros, bool, TimePoint) override {
    --RunningCounts[Endpoint];
  }

  void recordUnresolved(size_t Endpoint, TimePoint SlotFreeAt,
                        TimePoint) override {
    UnresolvedSlots.emplace(SlotFreeAt, Endpoint);
  }

  bool retry(uint64_t Id, SimulatedRequest &Request, TimePoint Now) override {
    if (Now >= Request.Deadline)
      return false;
    Queue.push_front(Id);
    return true;
  }

  std::vector<uint64_t> takeExpired(TimePoint Now) override {
    std::vector<uint64_t> ExpiredIds;
    std::erase_if(Queue, [&](uint64_t Id) {
      bool IsExpired = Now >= Requests[Id].Deadline;
      if (IsExpired)
        ExpiredIds.push_back(Id);
      return IsExpired;
    });
    return ExpiredIds;
  }

private:
  void releaseUnresolved(TimePoint Now) {
    while (!UnresolvedSlots.empty() && UnresolvedSlots.begin()->first <= Now) {
      --RunningCounts[UnresolvedSlots.begin()->second];
      UnresolvedSlots.erase(UnresolvedSlots.begin());
    }
  }

  std::optional<size_t> findFirstFree() const {
    for (size_t I = 0; I < RunningCounts.size(); ++I) {
      if (RunningCounts[I] < SlotsPerEndpoint)
        return I;
    }
    return std::nullopt;
  }

  std::optional<size_t> pickLessLoadedOfTwo() {
    size_t First = Generator.below(RunningCounts.size());
    size_t Second = Generator.below(RunningCounts.size());
    size_t LessLoaded =
        RunningCounts[First] <= RunningCounts[Second] ? First : Second;
    return RunningCounts[LessLoaded] < SlotsPerEndpoint
               ? std::optional(LessLoaded)
               : findFirstFree();
  }

  std::deque<uint64_t> Queue;
  std::vector<uint32_t> RunningCounts;
  std::multimap<TimePoint, size_t> UnresolvedSlots;
  std::map<uint64_t, SimulatedRequest> &Requests;
  bool UseTwoChoices;
  Random Generator{1};
};

struct RequestClass {
  std::string Name;
  Millis WaitingTarget;
  Millis CallerTimeout; ///< From arrival to the caller's deadline.
  double RequestShare;
};

struct WorkloadMix {
  std::string Name;
  size_t EndpointCount;
  double MeanRunTimeMs;
  std::vector<RequestClass> Classes;
};

/// Faults injected into one simulation.
struct Faults {
  std::string Name;
  double FirstEndpointSlowdown = 1; ///< Factor on its run times.
  bool FirstEndpointSilent = false; ///< After the first 10 s.
};

/// Simulates callers and endpoints in virtual time.
class RequestSimulation {
public:
  RequestSimulation(const WorkloadMix &Mix, const Faults &ActiveFaults,
                    double LoadFactor)
      : Mix(Mix), ActiveFaults(ActiveFaults), Generator(7) {
    double CapacityPerSecond = static_cast<double>(Mix.EndpointCount) *
                               SlotsPerEndpoint * 1'000 / Mix.MeanRunTimeMs;
    ArrivalsPerSecond = CapacityPerSecond * LoadFactor;
  }

  SimulationResult run(RequestPolicy &Policy);
  std::map<uint64_t, SimulatedRequest> Requests;

private:
  struct AttemptEnd {
    TimePoint EndTime;
    uint64_t RequestId;
    size_t Endpoint;
    TimePoint SentAt;
    bool Unanswered; ///< The sender gave up waiting.
    bool operator>(const AttemptEnd &Other) const {
      return EndTime > Other.EndTime;
    }
  };

  TimePoint drawNextArrival(TimePoint Now) {
    double GapSeconds = -std::log(1 - Generator.uniform()) / ArrivalsPerSecond;
    return Now + Micros(static_cast<int64_t>(GapSeconds * 1e6));
  }
  uint32_t drawClass();
  void admitArrival(RequestPolicy &Policy);
  void startRequests(RequestPolicy &Policy, bool AtTick);
  void finishAttempt(RequestPolicy &Policy, const AttemptEnd &End);
  void recordRefusal(uint64_t Id);
  void startAttempt(uint64_t Id, size_t Endpoint);

  const WorkloadMix &Mix;
  const Faults &ActiveFaults;
  Random Generator;
  double ArrivalsPerSecond = 0;
  TimePoint Now{Micros(std::chrono::hours(1))};
  TimePoint StartTime = Now;
  uint64_t NextId = 1;
  std::priority_queue<AttemptEnd, std::vector<AttemptEnd>, std::greater<>>
      PendingEnds;
  SimulationResult Result;
};

uint32_t RequestSimulation::drawClass() {
  double Draw = Generator.uniform();
  for (uint32_t I = 0; I + 1 < Mix.Classes.size(); ++I) {
    Draw -= Mix.Classes[I].RequestShare;
    if (Draw < 0)
      return I;
  }
  return static_cast<uint32_t>(Mix.Classes.size() - 1);
}

void RequestSimulation::recordRefusal(uint64_t Id) {
  ClassResult &Outcome = Result.ClassResults[Requests[Id].Class];
  ++Outcome.RefusedCount;
  ++Outcome.MissedCount;
  Requests.erase(Id);
}

void RequestSimulation::admitArrival(RequestPolicy &Policy) {
  uint64_t Id = NextId++;
  SimulatedRequest &Request = Requests[Id];
  Request.Class = drawClass();
  Request.Arrived = Now;
  Request.Deadline = Now + Mix.Classes[Request.Class].CallerTimeout;
  Request.Repeatable = Generator.uniform() < 0.5;
  ++Result.ClassResults[Request.Class].OfferedCount;
  std::optional<uint64_t> EvictedId;
  if (!Policy.admit(Id, Request, Now, EvictedId))
    recordRefusal(Id);
  if (EvictedId)
    recordRefusal(*EvictedId);
}

void RequestSimulation::startAttempt(uint64_t Id, size_t Endpoint) {
  SimulatedRequest &Request = Requests[Id];
  ClassResult &Outcome = Result.ClassResults[Request.Class];
  if (Request.AttemptCount++ == 0) {
    Micros WaitingTime = Now - Request.Arrived;
    Outcome.WaitingMs.push_back(toSeconds(WaitingTime) * 1'000);
    Outcome.MissedCount +=
        WaitingTime > Mix.Classes[Request.Class].WaitingTarget;
  }
  bool IsFirstEndpoint = Endpoint == 0;
  double Slowdown = IsFirstEndpoint ? ActiveFaults.FirstEndpointSlowdown : 1;
  constexpr Micros SilentAfter{10'000'000};
  bool IsSilent = IsFirstEndpoint && ActiveFaults.FirstEndpointSilent &&
                  Now - StartTime > SilentAfter;
  double RunTimeMs = Mix.MeanRunTimeMs * (0.5 + Generator.uniform()) * Slowdown;
  Micros RunTime(static_cast<int64_t>(RunTimeMs * 1'000));
  // The sender waits for an answer until the deadline or the run limit.
  Micros AnswerLimit = std::min<Micros>(Request.Deadline - Now, RunLimit);
  AnswerLimit = std::max<Micros>(AnswerLimit, Millis(1));
  bool AnswerLost = IsSilent || RunTime > AnswerLimit;
  if (AnswerLost)
    Result.WastedSlotSeconds += toSeconds(std::min<Micros>(RunTime, RunLimit));
  PendingEnds.push({Now + (AnswerLost ? AnswerLimit : RunTime), Id, Endpoint,
                    Now, AnswerLost});
}

void RequestSimulation::finishAttempt(RequestPolicy &Policy,
                                      const AttemptEnd &End) {
  SimulatedRequest &Request = Requests[End.RequestId];
  ClassResult &Outcome = Result.ClassResults[Request.Class];
  if (!End.Unanswered) {
    Policy.recordEnd(End.Endpoint, Now - End.SentAt, true, Now);
    ++Outcome.DoneCount;
    Requests.erase(End.RequestId);
    return;
  }
  Policy.recordUnresolved(End.Endpoint, End.SentAt + RunLimit, Now);
  Request.ExcludedEndpoint = End.Endpoint;
  constexpr uint32_t MaxAttempts = 3;
  if (Request.Repeatable && Request.AttemptCount < MaxAttempts &&
      Policy.retry(End.RequestId, Request, Now))
    return;
  ++Outcome.UnknownCount;
  ++Outcome.MissedCount;
  Requests.erase(End.RequestId);
}

void RequestSimulation::startRequests(RequestPolicy &Policy, bool AtTick) {
  TimePoint DecisionStart = monotonicNow();
  if (AtTick) {
    for (uint64_t Id : Policy.takeExpired(Now))
      recordRefusal(Id);
  }
  while (auto Start = Policy.takeNext(Now)) {
    ++Result.DecisionCount;
    startAttempt(Start->first, Start->second);
  }
  Result.DecisionMicros +=
      static_cast<double>((monotonicNow() - DecisionStart).count());
}

SimulationResult RequestSimulation::run(RequestPolicy &Policy) {
  Result.ClassResults.resize(Mix.Classes.size());
  TimePoint LoadEnd =
      StartTime + Micros(static_cast<int64_t>(LoadSeconds * 1e6));
  TimePoint NextArrival = drawNextArrival(Now);
  constexpr Millis TickLength{5};
  TimePoint NextTick = Now;
  TimePoint SimulationEnd = LoadEnd + Millis(20'000);
  while (Now < SimulationEnd && (Now < LoadEnd || !Requests.empty())) {
    TimePoint NextEvent = NextTick;
    if (NextArrival < LoadEnd)
      NextEvent = std::min(NextEvent, NextArrival);
    if (!PendingEnds.empty())
      NextEvent = std::min(NextEvent, PendingEnds.top().EndTime);
    Now = NextEvent;
    if (Now == NextArrival && NextArrival < LoadEnd) {
      admitArrival(Policy);
      NextArrival = drawNextArrival(Now);
    }
    while (!PendingEnds.empty() && PendingEnds.top().EndTime <= Now) {
      AttemptEnd End = PendingEnds.top();
      PendingEnds.pop();
      finishAttempt(Policy, End);
    }
    bool AtTick = Now >= NextTick;
    if (AtTick)
      NextTick = Now + TickLength;
    startRequests(Policy, AtTick);
  }
  return std::move(Result);
}

config::ClusterConfig makeConfig(const WorkloadMix &Mix) {
  config::ClusterConfig Config;
  for (const RequestClass &Class : Mix.Classes)
    Config.Classes.push_back(
        {.Name = Class.Name, .WaitingTarget = Class.WaitingTarget});
  Config.Services.push_back({.Name = Mix.Name,
                             .Class = Mix.Classes.front().Name,
                             .RunLimit = RunLimit,
                             .SlotsPerEndpoint = SlotsPerEndpoint});
  return Config;
}

void printResult(const std::string &PolicyName, const WorkloadMix &Mix,
                 const SimulationResult &Result) {
  for (size_t I = 0; I < Mix.Classes.size(); ++I) {
    const ClassResult &Outcome = Result.ClassResults[I];
    auto Percent = [&](size_t Count) {
      return Outcome.OfferedCount
                 ? 100.0 * static_cast<double>(Count) /
                       static_cast<double>(Outcome.OfferedCount)
                 : 0;
    };
    fmt::print(
        "| {} | {} ({} ms) | {:.1f} | {:.1f} | {:.1f} % | {:.1f} % | "
        "{:.1f} % | {:.1f} |\n",
        PolicyName, Mix.Classes[I].Name, Mix.Classes[I].WaitingTarget.count(),
        quantile(Outcome.WaitingMs, 0.5), quantile(Outcome.WaitingMs, 0.99),
        Percent(Outcome.MissedCount), Percent(Outcome.RefusedCount),
        Percent(Outcome.UnknownCount), Result.WastedSlotSeconds);
  }
}

void runScenario(const WorkloadMix &Mix, const Faults &ActiveFaults,
                 double LoadFactor) {
  fmt::print("\n### {}, {} times capacity, {}\n\n", Mix.Name, LoadFactor,
             ActiveFaults.Name);
  fmt::print("| policy | class (target) | p50 ms | p99 ms | missed | refused | "
             "unknown | wasted slot s |\n|---|---|---|---|---|---|---|---|\n");
  config::ClusterConfig Config = makeConfig(Mix);
  {
    RequestSimulation Simulation(Mix, ActiveFaults, LoadFactor);
    SlackPolicy Policy(Config, Mix.EndpointCount, Simulation.Requests);
    printResult("slack", Mix, Simulation.run(Policy));
  }
  {
    RequestSimulation Simulation(Mix, ActiveFaults, LoadFactor);
    FifoPolicy Policy(Mix.EndpointCount, Simulation.Requests, false);
    printResult("FIFO, first free", Mix, Simulation.run(Policy));
  }
  {
    RequestSimulation Simulation(Mix, ActiveFaults, LoadFactor);
    FifoPolicy Policy(Mix.EndpointCount, Simulation.Requests, true);
    printResult("FIFO, two choices", Mix, Simulation.run(Policy));
  }
}

} // namespace

void runRequestScenarios() {
  const std::vector<WorkloadMix> Mixes = {
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
  const std::vector<double> LoadFactors = {0.5, 0.9, 1.2, 3};
  for (const WorkloadMix &Mix : Mixes) {
    for (double LoadFactor : LoadFactors)
      runScenario(Mix, {.Name = "no faults"}, LoadFactor);
    runScenario(
        Mix,
        {.Name = "one endpoint 10 times slower", .FirstEndpointSlowdown = 10},
        0.9);
    runScenario(
        Mix, {.Name = "one endpoint silent", .FirstEndpointSilent = true}, 0.9);
  }
}

} // namespace daisylanding::bench
