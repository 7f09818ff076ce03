#include "Fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace daisylanding::review {

namespace {

constexpr Millis TurnInterval{5};
constexpr Millis HeartbeatInterval{1'500};
constexpr Millis MaxHold{10'000};
constexpr Millis GangWait{3'000};
constexpr Millis CheckpointInterval{2'000};
/// After which a run on a grey executor fails.
constexpr Millis GreyFailureTime{300};
constexpr int64_t MaxListWaitMs = 2'000;
constexpr size_t MaxListedEnds = 500;

/// ID.K.STEP of a task's name.
std::string stepOf(const std::string &Task) {
  return Task.substr(0, Task.rfind('.'));
}

/// ID.STEP, without the occurrence.
std::string workKey(const std::string &Task) {
  std::string Step = stepOf(Task);
  return Step.substr(0, Step.find('.')) + Step.substr(Step.rfind('.'));
}

/// A checkpoint: the progress in ms and the task or gang that it belongs to,
/// eight hexadecimal digits each.
std::string checkpointOf(const std::string &Owner, Millis Progress) {
  auto Hash = static_cast<uint32_t>(std::hash<std::string>()(Owner));
  return fmt::format("{:08x}{:08x}", Progress.count(), Hash);
}

} // namespace

Executor::Json Executor::document() const {
  return {{"service", Settings.Service},
          {"address", fmt::format("127.0.0.1:{}", Settings.Port)},
          {"zone", "za"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold-left-ms", 0},
          {"capacity",
           {{"cpu", Settings.MilliCores}, {"mem-mb", 65'536}, {"gpu", 0}}},
          {"labels", {Settings.Kind, "r1-1"}},
          {"born", BornMs},
          {"clock-ms", clockMs(monotonicNow())},
          {"seq-no", Parent.Beats}};
}

Executor::Json Executor::stamped(Json Body) const {
  Body["clock-ms"] = clockMs(monotonicNow());
  Body["born"] = BornMs;
  return Body;
}

void Executor::handle(http::Request Request, http::Responder Respond) {
  std::lock_guard<std::mutex> Lock(Parent.Mutex);
  if (!IsUp || IsCutOff)
    return;
  const std::string *Expected =
      http::findHeader(Request.Headers, "X-Daisylanding-Expect-Instance");
  if (Expected && *Expected != Settings.Id) {
    sendJson(Respond, http::StatusMisdirected, stamped(Json::object()));
    return;
  }
  Json Body = Json::parse(Request.Body);
  auto CallToken = Body.value("fencing-token", uint64_t{0});
  if (CallToken < Token) {
    sendJson(Respond, http::StatusConflict, stamped({{"reason", "fence"}}));
    return;
  }
  Token = CallToken;
  std::string_view Path = http::targetPath(Request.Target);
  if (Path == "/-/run-start")
    start(Body, Respond);
  else if (Path == "/-/run-stop")
    stop(Body, Respond);
  else if (Path == "/-/hold")
    hold(Body, std::move(Respond));
  else
    sendJson(Respond, http::StatusOk, stamped(Json::object()));
}

/// Never shortens the lease; a longer one than allowed is cut.
void Executor::extendLease(const Json &Body) {
  int64_t Longest = clockMs(monotonicNow()) + MaxHold.count();
  LeaseEndMs = std::max(LeaseEndMs,
                        std::min(Body.at("expiry-ms").get<int64_t>(), Longest));
}

void Executor::start(const Json &Body, const http::Responder &Respond) {
  TimePoint Now = monotonicNow();
  std::string Task = Body.at("task");
  uint32_t RunId = Body.at("run-id");
  std::string Checkpoint = Body.value("checkpoint", std::string());
  if (Body.at("expiry-ms").get<int64_t>() <= clockMs(Now)) {
    sendJson(Respond, http::StatusConflict, stamped({{"reason", "late"}}));
    return;
  }
  extendLease(Body);
  auto Found = Runs.find(Task);
  bool IsThere = Found != Runs.end() && Found->second.Id == RunId;
  if (!IsThere && (Found != Runs.end() || RunId <= LastOver[Task])) {
    sendJson(Respond, http::StatusConflict, stamped({{"reason", "old"}}));
    return;
  }
  if (!IsThere) {
    Run Begun{.Id = RunId,
              .StartedAt = Now,
              .IsAtWork = !Parent.workOf(Task).Gang,
              .IsFailing = IsGrey,
              .Saved = Checkpoint};
    if (!Checkpoint.empty())
      Begun.Base = Millis(std::stoll(Checkpoint.substr(0, 8), nullptr, 16));
    Begun.Progress = Begun.Base;
    Runs.emplace(Task, std::move(Begun));
    Parent.Starts.push_back({.At = Now,
                             .Executor = Settings.Id,
                             .Service = Settings.Service,
                             .Task = Task,
                             .Run = RunId,
                             .Checkpoint = Checkpoint});
    Parent.Log.line("start executor={} service={} task={} run={} token={} "
                    "checkpoint={}",
                    Settings.Id, Settings.Service, Task, RunId, Token,
                    Checkpoint);
  }
  sendJson(Respond, http::StatusOk, stamped(Json::object()));
}

void Executor::stop(const Json &Body, const http::Responder &Respond) {
  std::string Task = Body.at("task");
  uint32_t RunId = Body.at("run-id");
  auto Found = Runs.find(Task);
  if (Found != Runs.end() && Found->second.Id == RunId) {
    // A stop produces a new checkpoint.
    if (Parent.workOf(Task).Checkpointing)
      Parent.save(Task, Found->second, Found->second.Progress);
    endRun(Task, "stopped");
  }
  LastOver[Task] = std::max(LastOver[Task], RunId);
  sendJson(Respond, http::StatusOk, stamped(Json::object()));
}

void Executor::hold(const Json &Body, http::Responder Respond) {
  if (GrantDelay && Body.contains("expiry-ms")) {
    Parent.Log.line("hold executor={} expiry_ms={} isn't answered, and is "
                    "carried out {} ms later",
                    Settings.Id, Body.at("expiry-ms").get<int64_t>(),
                    GrantDelay->count());
    DelayedGrant.emplace(monotonicNow() + *GrantDelay, Body);
    GrantDelay.reset();
    return;
  }
  if (Body.contains("expiry-ms"))
    extendLease(Body);
  auto LastSeen = Body.value("last-seen", uint64_t{0});
  Json Left = Json::array();
  for (const Json &End : Ends) {
    auto Number = End.at(0).get<uint64_t>();
    if (Number > LastSeen)
      Left.push_back(End);
    else
      Parent.EndsSeen[EndEvents[Number - 1]].TakenNoteAt = monotonicNow();
  }
  Ends = std::move(Left);
  int64_t WaitMs = std::min(Body.value("wait-ms", int64_t{0}), MaxListWaitMs);
  TimePoint Now = monotonicNow();
  Holds.push_back({.Until = Now + Millis(WaitMs), .Respond = Respond});
  Parent.answerHolds(*this, Now);
}

void Executor::endRun(const std::string &Task, const char *How) {
  const Run Ended = Runs.at(Task);
  Runs.erase(Task);
  LastOver[Task] = std::max(LastOver[Task], Ended.Id);
  Parent.EndsSeen.push_back({.At = monotonicNow(),
                             .Executor = Settings.Id,
                             .Task = Task,
                             .Run = Ended.Id,
                             .How = How,
                             .Saved = Ended.Saved});
  EndEvents.push_back(Parent.EndsSeen.size() - 1);
  Ends.push_back({EndEvents.size(), Task, Ended.Id, How, Ended.Saved});
  Parent.Log.line("end executor={} task={} run={} how={} saved={}", Settings.Id,
                  Task, Ended.Id, How, Ended.Saved);
}

Executor::Json Executor::lists() const {
  constexpr int64_t Whole = 100;
  Json Running = Json::array();
  for (const auto &[Task, Run] : Runs) {
    const Work &What = Parent.workOf(Task);
    int64_t Percent =
        What.LongRunning
            ? Whole
            : std::min(Whole - 1, Whole * Run.Progress / What.Duration);
    Running.push_back({Task, Run.Id, Run.Saved, Percent, 0});
  }
  Json Listed = Json::array();
  for (size_t I = 0; I < std::min(MaxListedEnds, Ends.size()); ++I)
    Listed.push_back(Ends[I]);
  return stamped({{"running", Running}, {"finished", Listed}});
}

Fleet::Fleet(Store &Rows, Record &Log) : Rows(Rows), Log(Log) {
  Clock.start("clock", [this] {
    while (!Clock.stopping()) {
      advance(monotonicNow());
      std::this_thread::sleep_for(TurnInterval);
    }
  });
}

Fleet::~Fleet() {
  Clock.requestStop();
  Clock.join();
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (auto &Entry : Executors)
      Entry.second->Holds.clear();
  }
  for (auto &Entry : Executors)
    Entry.second->Server->stop(Millis(0));
}

bool Fleet::add(ExecutorSettings Settings) {
  http::ServerOptions Options;
  Options.Port = Settings.Port;
  std::string Id = Settings.Id;
  auto One = std::make_unique<Executor>(*this, std::move(Settings));
  One->Server = std::make_unique<http::Server>(Options, *One);
  if (One->Server->start())
    return false;
  std::lock_guard<std::mutex> Lock(Mutex);
  Rows.put("servers", Id, One->document());
  Executors.emplace(Id, std::move(One));
  return true;
}

void Fleet::setWork(const std::string &JobId, uint32_t Step, Work What) {
  std::lock_guard<std::mutex> Lock(Mutex);
  WorkByStep[fmt::format("{}.{}", JobId, Step)] = What;
}

const Work &Fleet::workOf(const std::string &Task) const {
  static const Work Unknown;
  auto Found = WorkByStep.find(workKey(Task));
  return Found == WorkByStep.end() ? Unknown : Found->second;
}

void Fleet::crash(const std::string &Id) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Executor &One = *Executors.at(Id);
  One.IsUp = false;
  One.Runs.clear();
  One.Holds.clear();
  Log.line("crash executor={}", Id);
}

void Fleet::restart(const std::string &Id) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Executor &One = *Executors.at(Id);
  One.BornAt = monotonicNow();
  One.BornMs = wallMicros() / 1'000;
  One.Token = 0;
  One.LeaseEndMs = 0;
  One.Runs.clear();
  One.LastOver.clear();
  One.Ends = Executor::Json::array();
  One.EndEvents.clear();
  One.Holds.clear();
  Rows.put("servers", Id, One.document());
  Log.line("crash executor={}, which starts again under its id", Id);
}

void Fleet::cutOff(const std::string &Id, bool IsCutOff) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Executors.at(Id)->IsCutOff = IsCutOff;
  Executors.at(Id)->Holds.clear();
  Log.line("executor={} cut_off={}", Id, IsCutOff);
}

void Fleet::delayNextGrant(const std::string &Id, Millis Delay) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Executors.at(Id)->GrantDelay = Delay;
}

bool Fleet::isDelayedGrantDone() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return DelayedGrantDone;
}

void Fleet::setGrey(const std::string &Id, bool IsGrey) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Executors.at(Id)->IsGrey = IsGrey;
  Log.line("executor={} grey={}", Id, IsGrey);
}

void Fleet::failRuns(const std::string &JobId) {
  std::lock_guard<std::mutex> Lock(Mutex);
  for (auto &Entry : Executors) {
    std::vector<std::string> Failing;
    for (const auto &TaskRun : Entry.second->Runs) {
      if (TaskRun.first.starts_with(JobId + "."))
        Failing.push_back(TaskRun.first);
    }
    for (const std::string &Task : Failing)
      Entry.second->endRun(Task, "failed");
  }
}

std::vector<StartEvent> Fleet::starts() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Starts;
}

std::vector<EndEvent> Fleet::ends() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return EndsSeen;
}

std::vector<std::string> Fleet::executorsOf(const std::string &JobId,
                                            uint32_t Step) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::map<std::string, std::string> ByTask;
  for (const auto &[Id, One] : Executors) {
    for (const auto &[Task, Run] : One->Runs) {
      if (Run.IsAtWork && workKey(Task) == fmt::format("{}.{}", JobId, Step))
        ByTask[Task] = Id;
    }
  }
  std::vector<std::string> Ids;
  for (const auto &Entry : ByTask)
    Ids.push_back(Entry.second);
  return Ids;
}

std::optional<Millis> Fleet::workedFor(const std::string &JobId,
                                       uint32_t Step) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &Entry : Executors) {
    for (const auto &[Task, Run] : Entry.second->Runs) {
      if (Run.IsAtWork && workKey(Task) == fmt::format("{}.{}", JobId, Step))
        return std::chrono::duration_cast<Millis>(Run.Progress - Run.Base);
    }
  }
  return std::nullopt;
}

bool Fleet::runsTaskOf(const std::string &JobId) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &Entry : Executors) {
    for (const auto &TaskRun : Entry.second->Runs) {
      if (TaskRun.first.starts_with(JobId + "."))
        return true;
    }
  }
  return false;
}

double Fleet::usedShare() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  double Used = 0;
  double Total = 0;
  for (const auto &Entry : Executors) {
    if (!Entry.second->IsUp)
      continue;
    Total += Entry.second->Settings.MilliCores;
    for (const auto &TaskRun : Entry.second->Runs)
      Used += workOf(TaskRun.first).MilliCores;
  }
  return Total > 0 ? Used / Total : 1;
}

void Fleet::save(const std::string &Task, Executor::Run &Run,
                 Micros Progress) const {
  auto Worked = std::chrono::duration_cast<Millis>(Progress);
  if (Worked > Millis(0))
    Run.Saved = checkpointOf(workOf(Task).Gang ? stepOf(Task) : Task, Worked);
}

void Fleet::advance(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(Mutex);
  for (auto &Entry : Executors) {
    if (Entry.second->IsUp)
      advanceExecutor(*Entry.second, Now);
  }
  AdvancedAt = Now;
  advanceGangs(Now);
  for (auto &Entry : Executors)
    answerHolds(*Entry.second, Now);
  if (Now < NextHeartbeat)
    return;
  NextHeartbeat = Now + HeartbeatInterval;
  heartbeat();
}

/// Leases, checkpoints, and the ends of tasks that work alone.
void Fleet::advanceExecutor(Executor &One, TimePoint Now) {
  if (One.DelayedGrant && Now >= One.DelayedGrant->first) {
    One.extendLease(One.DelayedGrant->second);
    One.DelayedGrant.reset();
    DelayedGrantDone = true;
    Log.line("hold executor={} is carried out late: lease until {} ms on its "
             "clock, which reads {}",
             One.Settings.Id, One.LeaseEndMs, One.clockMs(Now));
  }
  std::vector<std::pair<std::string, const char *>> Over;
  bool HasLapsed = One.clockMs(Now) > One.LeaseEndMs;
  for (auto &[Task, Run] : One.Runs) {
    const Work &What = workOf(Task);
    if (Run.IsAtWork)
      Run.Progress += Now - std::max(AdvancedAt, Run.StartedAt);
    Micros Since = Run.Progress - Run.Base;
    if (What.Checkpointing && Since >= CheckpointInterval)
      save(Task, Run,
           Run.Base + (Since / CheckpointInterval) * CheckpointInterval);
    bool EndsAlone = !What.Gang && !What.LongRunning;
    bool HasFailed =
        Run.IsFailing && Run.Progress >= Run.Base + GreyFailureTime;
    if (HasLapsed)
      Over.emplace_back(Task, "lapsed");
    else if (HasFailed)
      Over.emplace_back(Task, "failed");
    else if (EndsAlone && Run.Progress >= What.Duration)
      Over.emplace_back(Task, Run.Id <= What.FailingRuns ? "failed" : "done");
  }
  for (const auto &[Task, How] : Over)
    One.endRun(Task, How);
}

/// A gang works from the moment when all of its tasks are present, and ends
/// `done` together; once one has ended otherwise, the others end as `broken`.
void Fleet::advanceGangs(TimePoint Now) {
  struct Member {
    Executor *On;
    std::string Task;
  };
  std::map<std::string, std::vector<Member>> Gangs; ///< By step and run.
  for (auto &Entry : Executors) {
    for (const auto &[Task, Run] : Entry.second->Runs) {
      if (workOf(Task).Gang)
        Gangs[fmt::format("{}#{}", stepOf(Task), Run.Id)].push_back(
            {Entry.second.get(), Task});
    }
  }
  for (const auto &[Name, Members] : Gangs) {
    const Work &What = workOf(Members.front().Task);
    bool IsWhole = Members.size() == What.Count;
    if (IsWhole && WholeGangs.insert(Name).second) {
      for (const Member &One : Members)
        One.On->Runs.at(One.Task).IsAtWork = true;
      Log.line("gang {} works", Name);
    }
    bool IsBroken = !IsWhole && WholeGangs.count(Name);
    for (const Member &One : Members) {
      const Executor::Run &Run = One.On->Runs.at(One.Task);
      if (IsBroken)
        One.On->endRun(One.Task, "broken");
      else if (!IsWhole && Now > Run.StartedAt + GangWait)
        One.On->endRun(One.Task, "alone");
      else if (IsWhole && Run.Progress >= What.Duration)
        One.On->endRun(One.Task, "done");
    }
  }
}

void Fleet::answerHolds(Executor &One, TimePoint Now) {
  std::vector<Executor::WaitingHold> Waiting;
  for (Executor::WaitingHold &Hold : One.Holds) {
    if (One.Ends.empty() && Now < Hold.Until)
      Waiting.push_back(std::move(Hold));
    else
      sendJson(Hold.Respond, http::StatusOk, One.lists());
  }
  One.Holds = std::move(Waiting);
}

/// Rows of executors that have been silent for three intervals are removed.
void Fleet::heartbeat() {
  ++Beats;
  for (auto &[Id, One] : Executors) {
    if (One->IsUp)
      Rows.put("servers", Id, One->document());
  }
}

} // namespace daisylanding::review
