#include "review/standin-3/ExecutorFarm.h"

#include <fmt/format.h>

#include <algorithm>

namespace daisylanding::review {

namespace {

constexpr Millis TickInterval{20};
constexpr int64_t MaxLeaseMs = 10'000;
constexpr size_t MaxListedEnds = 500;

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

} // namespace

ExecutorFarm::ExecutorFarm(Record Write) : Write(std::move(Write)) {
  Ticker = std::thread([this] {
    while (!Stopping.load()) {
      std::this_thread::sleep_for(TickInterval);
      tick();
    }
  });
}

ExecutorFarm::~ExecutorFarm() { shutDown(); }

void ExecutorFarm::shutDown() {
  Stopping.store(true);
  if (Ticker.joinable())
    Ticker.join();
  std::lock_guard<std::mutex> Lock(Mutex);
  constexpr bool HasNews = true;
  for (auto &Entry : Executors)
    answerHolds(Entry.second, HasNews, monotonicNow());
}

void ExecutorFarm::add(const std::string &Id, int64_t BornMs) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Executors[Id] = {.Id = Id, .BornMs = BornMs, .StartedAt = monotonicNow()};
}

void ExecutorFarm::answer(const http::Responder &Respond, uint16_t Status,
                          Json Body, const Executor &Called) const {
  Body["clock-ms"] = Called.clockMs(monotonicNow());
  Respond({.Status = Status,
           .Headers = {{"Content-Type", "application/json"}},
           .Body = Body.dump()});
}

void ExecutorFarm::handle(http::Request Request, http::Responder Respond) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Stopping.load()) {
    Respond({.Status = http::StatusUnavailable, .Body = "{}"});
    return;
  }
  const std::string *Id =
      http::findHeader(Request.Headers, "X-Daisylanding-Expect-Instance");
  auto Found = Id ? Executors.find(*Id) : Executors.end();
  Json Body = Json::parse(Request.Body, nullptr, false);
  if (Found == Executors.end() || !Body.is_object()) {
    bool IsMisdirected = Found == Executors.end();
    Respond({.Status = IsMisdirected ? http::StatusMisdirected
                                     : http::StatusBadRequest,
             .Body = "{}"});
    return;
  }
  Executor &Called = Found->second;
  if (isFenced(Called, Body, Respond))
    return;
  if (Request.Target == "/-/run-start")
    start(Called, Body, Respond);
  else if (Request.Target == "/-/run-stop")
    stop(Called, Body, Respond);
  else if (Request.Target == "/-/hold")
    hold(Called, Body, std::move(Respond));
  else
    answer(Respond, http::StatusOk, Json::object(), Called);
}

bool ExecutorFarm::isFenced(Executor &Called, const Json &Body,
                            const http::Responder &Respond) {
  auto Token = Body.value("fencing-token", uint64_t{0});
  if (Token < Called.FencingToken) {
    answer(Respond, http::StatusConflict, {{"reason", "fence"}}, Called);
    return true;
  }
  Called.FencingToken = Token;
  return false;
}

void ExecutorFarm::extendLease(Executor &Called, const Json &Body,
                               TimePoint Now) {
  int64_t Wanted = Body.value("expiry-ms", int64_t{0});
  int64_t Longest = Called.clockMs(Now) + MaxLeaseMs;
  Called.LeaseEndMs = std::max(Called.LeaseEndMs, std::min(Wanted, Longest));
}

void ExecutorFarm::start(Executor &Called, const Json &Body,
                         const http::Responder &Respond) {
  TimePoint Now = monotonicNow();
  std::string Task = Body.at("task");
  uint32_t Number = Body.at("run-id");
  auto Running = Called.Running.find(Task);
  if (Running != Called.Running.end() && Running->second.Number == Number) {
    extendLease(Called, Body, Now);
    answer(Respond, http::StatusOk, Json::object(), Called);
    return;
  }
  if (Body.value("expiry-ms", int64_t{0}) <= Called.clockMs(Now)) {
    answer(Respond, http::StatusConflict, {{"reason", "late"}}, Called);
    return;
  }
  extendLease(Called, Body, Now);
  if (Running != Called.Running.end() || Number <= Called.HighestEnded[Task]) {
    answer(Respond, http::StatusConflict, {{"reason", "old"}}, Called);
    return;
  }
  Called.Running[Task] = {.Number = Number, .StartedAt = Now};
  LastOpenAt[jobOf(Task)] = Now;
  Write(
      fmt::format("start task={} run={} executor={}", Task, Number, Called.Id));
  answer(Respond, http::StatusOk, Json::object(), Called);
}

void ExecutorFarm::stop(Executor &Called, const Json &Body,
                        const http::Responder &Respond) {
  std::string Task = Body.at("task");
  uint32_t Number = Body.at("run-id");
  Write(
      fmt::format("stop task={} run={} executor={}", Task, Number, Called.Id));
  uint32_t &Highest = Called.HighestEnded[Task];
  Highest = std::max(Highest, Number);
  auto Running = Called.Running.find(Task);
  if (Running != Called.Running.end() && Running->second.Number <= Number)
    endRun(Called, Task, "stopped");
  answer(Respond, http::StatusOk, Json::object(), Called);
}

void ExecutorFarm::hold(Executor &Called, const Json &Body,
                        http::Responder Respond) {
  TimePoint Now = monotonicNow();
  extendLease(Called, Body, Now);
  auto LastSeen = Body.value("last-seen", uint64_t{0});
  Json Kept = Json::array();
  for (Json &End : Called.Finished) {
    if (End.at(0).get<uint64_t>() > LastSeen)
      Kept.push_back(std::move(End));
  }
  Called.Finished = std::move(Kept);
  Millis Wait(Body.value("wait-ms", int64_t{0}));
  Called.Holds.push_back({std::move(Respond), Now + Wait});
  answerHolds(Called, !Called.Finished.empty(), Now);
}

void ExecutorFarm::endRun(Executor &Ended, const std::string &Task,
                          const std::string &How) {
  auto Running = Ended.Running.find(Task);
  uint32_t Number = Running->second.Number;
  Ended.Finished.push_back({++Ended.EndCount, Task, Number, How, ""});
  uint32_t &Highest = Ended.HighestEnded[Task];
  Highest = std::max(Highest, Number);
  Ended.Running.erase(Running);
  LastOpenAt[jobOf(Task)] = monotonicNow();
  Write(fmt::format("end task={} run={} executor={} how={}", Task, Number,
                    Ended.Id, How));
}

/// Answers the calls whose wait is over, or all if there is an end to list.
void ExecutorFarm::answerHolds(Executor &Asked, bool HasNews, TimePoint Now) {
  std::erase_if(Asked.Holds, [&](const Hold &Waiting) {
    if (!HasNews && Now < Waiting.AnswerAt)
      return false;
    Json Running = Json::array();
    for (const auto &[Task, Open] : Asked.Running)
      Running.push_back({Task, Open.Number, "", 100, 0});
    Json Finished = Json::array();
    for (const Json &End : Asked.Finished) {
      if (Finished.size() < MaxListedEnds)
        Finished.push_back(End);
    }
    answer(
        Waiting.Respond, http::StatusOk,
        {{"born", Asked.BornMs}, {"running", Running}, {"finished", Finished}},
        Asked);
    return true;
  });
}

void ExecutorFarm::tick() {
  std::lock_guard<std::mutex> Lock(Mutex);
  TimePoint Now = monotonicNow();
  for (auto &[Id, Ticked] : Executors) {
    bool HasLapsed = Ticked.clockMs(Now) > Ticked.LeaseEndMs;
    while (HasLapsed && !Ticked.Running.empty())
      endRun(Ticked, std::string(Ticked.Running.begin()->first), "lapsed");
    // A call waits for an end, also of a run that was stopped.
    answerHolds(Ticked, !Ticked.Finished.empty(), Now);
  }
}

size_t ExecutorFarm::endRuns(const std::string &JobId, const std::string &How) {
  std::lock_guard<std::mutex> Lock(Mutex);
  TimePoint Now = monotonicNow();
  size_t Count = 0;
  std::vector<Executor *> Changed;
  for (auto &[Id, Ended] : Executors) {
    std::vector<std::string> Tasks;
    for (const auto &Entry : Ended.Running) {
      if (jobOf(Entry.first) == JobId)
        Tasks.push_back(Entry.first);
    }
    for (const std::string &Task : Tasks)
      endRun(Ended, Task, How);
    Count += Tasks.size();
    if (!Tasks.empty())
      Changed.push_back(&Ended);
  }
  for (Executor *Ended : Changed)
    answerHolds(*Ended, true, Now);
  return Count;
}

size_t ExecutorFarm::openRuns(const std::string &JobId) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  size_t Count = 0;
  for (const auto &Entry : Executors) {
    for (const auto &Open : Entry.second.Running)
      Count += jobOf(Open.first) == JobId ? 1 : 0;
  }
  return Count;
}

Millis ExecutorFarm::idleTime(const std::string &JobId) const {
  if (openRuns(JobId) > 0)
    return Millis(0);
  std::lock_guard<std::mutex> Lock(Mutex);
  auto Found = LastOpenAt.find(JobId);
  return Found == LastOpenAt.end() ? Millis(0)
                                   : std::chrono::duration_cast<Millis>(
                                         monotonicNow() - Found->second);
}

} // namespace daisylanding::review
