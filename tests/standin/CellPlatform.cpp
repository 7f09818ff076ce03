#include "standin/CellPlatform.h"

#include "common/Base64.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace daisylanding::standin {

namespace {

constexpr Millis LateWriteDelay{1'000};
constexpr uint32_t WritesPerCycle = 10;
constexpr size_t MaxPageRows = 500;
constexpr size_t MaxTransactionEntries = 100;
constexpr size_t MaxTransactionBytes = 1'000'000;
constexpr size_t MaxRowBytes = 65'536;

} // namespace

int64_t CellPlatform::clockMs() {
  return toMillis(monotonicNow().time_since_epoch());
}

void CellPlatform::sendJson(const http::Responder &Responder, uint16_t Status,
                            const Json &Body) {
  Responder({.Status = Status,
             .Headers = {{"Content-Type", "application/json"}},
             .Body = Body.dump()});
}

void CellPlatform::handle(http::Request Request, http::Responder Responder) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (!DelayedActions)
    return;
  std::string_view Path = http::targetPath(Request.Target);
  if (Path.starts_with("/-/rows-"))
    handleStoreCall(Request, std::move(Responder));
  else if (Path == "/-/advise")
    handleAdviceCall(Json::parse(Request.Body), std::move(Responder));
  else
    handleExecutorCall(Request, std::move(Responder));
}

void CellPlatform::shutDown() {
  std::unique_ptr<DelayQueue> CancelledActions;
  std::vector<std::shared_ptr<FeedRequest>> CancelledFeeds;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    CancelledActions = std::move(DelayedActions);
    CancelledFeeds = std::move(PendingFeeds);
    PendingFeeds.clear();
  }
}

void CellPlatform::putRow(const std::string &Table, const std::string &Part,
                          const std::string &Key, const std::string &Value) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Rows[{Table, Part, Key}] = {encodeBase64(Value), ++StoreVersion, false};
  answerFeeds(Table);
}

std::string CellPlatform::rowValue(const std::string &Table,
                                   const std::string &Part,
                                   const std::string &Key) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto Found = Rows.find({Table, Part, Key});
  if (Found == Rows.end() || Found->second.Deleted)
    return {};
  auto Value = decodeBase64(Found->second.Value);
  return Value ? *Value : std::string();
}

void CellPlatform::setFaults(CellPlatformFaults NewFaults) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Faults = std::move(NewFaults);
}

void CellPlatform::handleStoreCall(const http::Request &Request,
                                   http::Responder Responder) {
  if (Faults.StoreUnresponsive)
    return;
  if (Faults.StoreUnavailable) {
    sendJson(Responder, http::StatusUnavailable, Json::object());
    return;
  }
  std::string_view Path = http::targetPath(Request.Target);
  if (Path == "/-/rows-tx")
    handleTransactionCall(Request.Body, Responder);
  else if (Path == "/-/rows-get")
    handleRead(Request, std::move(Responder));
  else
    handleFeed(Request, std::move(Responder));
}

void CellPlatform::handleRead(const http::Request &Request,
                              http::Responder Responder) {
  bool IsRefused =
      !Faults.RefusedTable.empty() &&
      http::queryValue(Request.Target, "table") == Faults.RefusedTable;
  if (IsRefused) {
    sendJson(Responder, http::StatusUnavailable, Json::object());
    return;
  }
  Json Page = readRows(Request);
  constexpr size_t MicrosPerSecond = 1'000'000;
  Micros AnswerTime = Faults.ReadTime;
  if (Faults.ReadBytesPerSecond > 0)
    AnswerTime += Micros(static_cast<int64_t>(
        Page.dump().size() * MicrosPerSecond / Faults.ReadBytesPerSecond));
  if (AnswerTime == Micros(0)) {
    sendJson(Responder, http::StatusOk, Page);
    return;
  }
  DelayedActions->schedule(
      AnswerTime, [Page = std::move(Page), Responder = std::move(Responder)] {
        sendJson(Responder, http::StatusOk, Page);
      });
}

/// Whether the store takes a transaction of this size.
bool CellPlatform::isTaken(const Json &Body, size_t Bytes) {
  size_t Entries = Body.at("expected-rev").size() + Body.at("writes").size() +
                   Body.at("remove").size();
  if (Entries > MaxTransactionEntries || Bytes > MaxTransactionBytes)
    return false;
  const Json &Writes = Body.at("writes");
  return std::all_of(Writes.begin(), Writes.end(), [](const Json &Write) {
    auto Value = decodeBase64(Write.at("value").get<std::string>());
    return Value && Value->size() <= MaxRowBytes;
  });
}

void CellPlatform::handleTransactionCall(const std::string &Text,
                                         const http::Responder &Responder) {
  Json Body = Json::parse(Text);
  if (isTaken(Body, Text.size())) {
    handleTransaction(Body, Responder);
    return;
  }
  Violations.push_back("transaction of " + std::to_string(Text.size()) +
                       " bytes beyond the store's limits");
  sendJson(Responder, http::StatusBadRequest, Json::object());
}

void CellPlatform::queueTransaction(const Json &Body,
                                    const http::Responder &Responder) {
  TimePoint Now = monotonicNow();
  TimePoint &IdleAt =
      PartitionIdleAt[Body.at("expected-rev").empty()
                          ? Body.at("writes").at(0).at("part")
                          : Body.at("expected-rev").at(0).at("part")];
  if (IdleAt > Now + Faults.TransactionTime) {
    sendJson(Responder, http::StatusTooManyRequests, Json::object());
    return;
  }
  IdleAt = std::max(IdleAt, Now) + Faults.TransactionTime;
  DelayedActions->schedule(IdleAt - Now, [this, Body, Responder] {
    std::lock_guard<std::mutex> Lock(Mutex);
    bool ConditionsMet = false;
    Json Outcome = applyTransaction(Body, ConditionsMet);
    sendJson(Responder,
             ConditionsMet ? http::StatusOk : http::StatusPreconditionFailed,
             Outcome);
  });
}

void CellPlatform::handleTransaction(const Json &Body,
                                     const http::Responder &Responder) {
  if (Faults.TransactionTime > Millis(0)) {
    queueTransaction(Body, Responder);
    return;
  }
  uint32_t CyclePosition = static_cast<uint32_t>(WriteCount++ % WritesPerCycle);
  if (CyclePosition < Faults.LateWritesPerTen) {
    DelayedActions->schedule(LateWriteDelay, [this, Body] {
      std::lock_guard<std::mutex> Lock(Mutex);
      bool ConditionsMet = false;
      applyTransaction(Body, ConditionsMet);
    });
    return;
  }
  bool ConditionsMet = false;
  Json Outcome = applyTransaction(Body, ConditionsMet);
  if (WritesPerCycle - 1 - CyclePosition < Faults.LostResponsesPerTen)
    return;
  sendJson(Responder,
           ConditionsMet ? http::StatusOk : http::StatusPreconditionFailed,
           Outcome);
}

CellPlatform::Json CellPlatform::applyTransaction(const Json &Body,
                                                  bool &ConditionsMet) {
  Json CurrentRows = Json::array();
  ConditionsMet = true;
  auto KeyOfDocument = [](const Json &Document) {
    return RowKey{Document.at("table"), Document.at("part"),
                  Document.at("key")};
  };
  for (const Json &Condition : Body.at("expected-rev")) {
    auto It = Rows.find(KeyOfDocument(Condition));
    bool RowExists = It != Rows.end() && !It->second.Deleted;
    uint64_t CurrentVersion = RowExists ? It->second.Version : 0;
    ConditionsMet =
        ConditionsMet &&
        CurrentVersion == Condition.at("row-version").get<uint64_t>();
    if (RowExists)
      CurrentRows.push_back(rowToJson(It->first, It->second));
  }
  if (!ConditionsMet)
    return {{"rows", CurrentRows},
            {"row-version", StoreVersion},
            {"now-ms", clockMs()}};
  ++StoreVersion;
  std::vector<std::string> Tables;
  for (const Json &Write : Body.at("writes")) {
    RowKey Key = KeyOfDocument(Write);
    if (Key[0] == "op" || Key[0] == "servers")
      Violations.push_back("write to read-only table " + Key[0]);
    Rows[Key] = {Write.at("value"), StoreVersion, false};
    Tables.push_back(Key[0]);
  }
  for (const Json &Removal : Body.at("remove")) {
    Rows[KeyOfDocument(Removal)] = {"", StoreVersion, true};
    Tables.push_back(KeyOfDocument(Removal)[0]);
  }
  for (const std::string &Table : Tables)
    answerFeeds(Table);
  return {{"row-version", StoreVersion}, {"now-ms", clockMs()}};
}

CellPlatform::Json CellPlatform::rowToJson(const RowKey &Key,
                                           const StoredRow &Row) {
  Json Document = {{"table", Key[0]},
                   {"part", Key[1]},
                   {"key", Key[2]},
                   {"row-version", Row.Version}};
  if (Row.Deleted)
    Document["deleted"] = true;
  else
    Document["value"] = Row.Value;
  return Document;
}

CellPlatform::Json CellPlatform::readRows(const http::Request &Request) const {
  std::string Table = http::queryValue(Request.Target, "table");
  std::string Part = http::queryValue(Request.Target, "part");
  std::string FirstKey = http::queryValue(Request.Target, "from");
  std::string EndKey = http::queryValue(Request.Target, "to");
  std::string LimitText = http::queryValue(Request.Target, "limit");
  size_t MaxRows = LimitText.empty() ? MaxPageRows : std::stoul(LimitText);
  Json MatchingRows = Json::array();
  bool HasMore = false;
  for (const auto &[Key, Row] : Rows) {
    bool Matches = Key[0] == Table && Key[1] == Part && !Row.Deleted &&
                   Key[2] >= FirstKey && (EndKey.empty() || Key[2] < EndKey);
    if (!Matches)
      continue;
    HasMore = MatchingRows.size() == MaxRows;
    if (HasMore)
      break;
    MatchingRows.push_back(rowToJson(Key, Row));
  }
  return {{"rows", MatchingRows},
          {"has-more", HasMore},
          {"row-version", StoreVersion},
          {"now-ms", clockMs()}};
}

CellPlatform::Json CellPlatform::changedRows(const std::string &Table,
                                             uint64_t AfterVersion) const {
  std::map<uint64_t, Json> RowsByVersion;
  for (const auto &[Key, Row] : Rows) {
    if (Key[0] != Table || Row.Version <= AfterVersion)
      continue;
    RowsByVersion.try_emplace(Row.Version, Json::array())
        .first->second.push_back(rowToJson(Key, Row));
  }
  Json Changes = Json::array();
  for (const auto &VersionRows : RowsByVersion)
    Changes.insert(Changes.end(), VersionRows.second.begin(),
                   VersionRows.second.end());
  return {
      {"rows", Changes}, {"row-version", StoreVersion}, {"now-ms", clockMs()}};
}

void CellPlatform::handleFeed(const http::Request &Request,
                              http::Responder Responder) {
  std::string Table = http::queryValue(Request.Target, "table");
  if (Faults.FeedHistoryGone) {
    ++RefusedFeeds[Table];
    sendJson(Responder, http::StatusGone, Json::object());
    return;
  }
  uint64_t AfterVersion =
      std::stoull(http::queryValue(Request.Target, "after"));
  Json Changes = changedRows(Table, AfterVersion);
  if (!Changes.at("rows").empty()) {
    sendJson(Responder, http::StatusOk, Changes);
    return;
  }
  auto Feed = std::make_shared<FeedRequest>(
      FeedRequest{Table, AfterVersion, std::move(Responder), false});
  PendingFeeds.push_back(Feed);
  Millis Wait(std::stoll(http::queryValue(Request.Target, "wait-ms")));
  DelayedActions->schedule(Wait, [this, Feed] {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (std::exchange(Feed->Answered, true))
      return;
    std::erase(PendingFeeds, Feed);
    sendJson(Feed->Responder, http::StatusOk,
             changedRows(Feed->Table, Feed->AfterVersion));
  });
}

void CellPlatform::answerFeeds(const std::string &Table) {
  std::vector<std::shared_ptr<FeedRequest>> Remaining;
  for (const auto &Feed : PendingFeeds) {
    if (Feed->Table != Table || Feed->Answered) {
      Remaining.push_back(Feed);
      continue;
    }
    Feed->Answered = true;
    sendJson(Feed->Responder, http::StatusOk,
             changedRows(Table, Feed->AfterVersion));
  }
  PendingFeeds = std::move(Remaining);
}

void CellPlatform::configure(uint64_t Version, bool WithAdvice,
                             size_t FurtherQueues) {
  Json Route = {
      {"name", "q"},      {"host", "jobs.example"},     {"path-prefix", "/q/"},
      {"service", "s"},   {"target-latency-ms", 1'000}, {"stretch", 2.0},
      {"max-attempts", 2}};
  if (WithAdvice)
    Route["advice"] = {
        {"decision-ms", 5.0}, {"period-ms", 0.5}, {"validity-ms", 1'500}};
  Json Routes = {Route};
  for (size_t I = 0; I < FurtherQueues; ++I) {
    Route["name"] = fmt::format("q{}", I);
    Route["path-prefix"] = fmt::format("/q{}/", I);
    Routes.push_back(Route);
  }
  putConfig({{"version", Version},
             {"routes", Routes},
             {"services", {{{"name", "s"}}}}});
}

void CellPlatform::configureKeys(uint64_t Version,
                                 const std::vector<std::string> &Keys) {
  Json Route = {{"name", "q"},
                {"host", "jobs.example"},
                {"path-prefix", "/q/"},
                {"service", "s"}};
  Json Open = Route;
  Open.update({{"name", "open"}, {"path-prefix", "/open/"}, {"public", true}});
  putConfig({{"version", Version},
             {"routes", {Route, Open}},
             {"services", {{{"name", "s"}}}},
             {"tenants", {{{"name", "a"}, {"api-keys", Keys}}}}});
}

void CellPlatform::putConfig(const Json &Config) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Rows[{"op", "", "config"}] = {encodeBase64(Config.dump()), ++StoreVersion,
                                false};
  answerFeeds("op");
}

void CellPlatform::putExecutorRow(const std::string &Id) {
  const ExecutorState &Executor = Executors.at(Id);
  Json Document = {
      {"service", "s"},
      {"address", Executor.Address},
      {"zone", "za"},
      {"state", "ready"},
      {"capacity", {{"cpu", Executor.MilliCores}, {"mem-mb", 10'000}}},
      {"labels", {"a", "r1"}},
      {"born", Executor.BornMs}};
  Rows[{"servers", "", Id}] = {encodeBase64(Document.dump()), ++StoreVersion,
                               false};
  // A malformed row of another writer, which entries must skip.
  Rows[{"servers", "", Id + "-odd"}] = {encodeBase64("\xff{"), StoreVersion,
                                        false};
  answerFeeds("servers");
}

void CellPlatform::addExecutor(const std::string &Id,
                               const std::string &Address,
                               uint32_t MilliCores) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Executors[Id] = {.MilliCores = MilliCores,
                   .Address = Address,
                   .BornMs = toMillis(Micros(wallMicros()))};
  putExecutorRow(Id);
}

void CellPlatform::restartExecutor(const std::string &Id, Millis RowDelay) {
  std::lock_guard<std::mutex> Lock(Mutex);
  ExecutorState &Executor = Executors.at(Id);
  Executor = {
      .MilliCores = Executor.MilliCores,
      .Address = Executor.Address,
      .BornMs = std::max(toMillis(Micros(wallMicros())), Executor.BornMs + 1)};
  DelayedActions->schedule(RowDelay, [this, Id] {
    std::lock_guard<std::mutex> RowLock(Mutex);
    putExecutorRow(Id);
  });
}

void CellPlatform::killExecutor(const std::string &Id) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Executors.at(Id).Killed = true;
  Executors.at(Id).RunsByTask.clear();
}

size_t CellPlatform::refusedFeeds(const std::string &Table) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto Found = RefusedFeeds.find(Table);
  return Found == RefusedFeeds.end() ? 0 : Found->second;
}

void CellPlatform::setRunTimes(CellRunTimes NewTimes) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Times = NewTimes;
}

size_t CellPlatform::runsStarted() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return RunsStarted;
}

std::vector<std::string> CellPlatform::violations() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Violations;
}

void CellPlatform::handleAdviceCall(const Json &Body,
                                    http::Responder Responder) {
  Json AllowedWorkers = Json::array();
  for (const Json &WorkerName : Body.at("workers"))
    AllowedWorkers.push_back(
        {WorkerName, "ticket-" + WorkerName.get<std::string>()});
  DelayedActions->schedule(
      Millis(5), [AllowedWorkers, Responder = std::move(Responder)] {
        sendJson(Responder, http::StatusOk,
                 {{"allowed", AllowedWorkers}, {"validity-ms", 1'500}});
      });
}

void CellPlatform::handleExecutorCall(const http::Request &Request,
                                      http::Responder Responder) {
  const std::string *ExpectedInstance =
      http::findHeader(Request.Headers, "X-Daisylanding-Expect-Instance");
  auto It =
      ExpectedInstance ? Executors.find(*ExpectedInstance) : Executors.end();
  if (It == Executors.end()) {
    sendJson(Responder, http::StatusMisdirected, Json::object());
    return;
  }
  if (It->second.Killed)
    return;
  Json Body = Json::parse(Request.Body);
  ExecutorState &Executor = It->second;
  advanceRuns(Executor);
  auto FencingToken = Body.at("fencing-token").get<uint64_t>();
  if (FencingToken < Executor.FencingToken) {
    sendJson(Responder, http::StatusConflict,
             {{"clock-ms", executorClockMs(Executor)}, {"reason", "fence"}});
    return;
  }
  Executor.FencingToken = FencingToken;
  if (Body.contains("expiry-ms"))
    Executor.LeaseExpiryMs =
        std::max(Executor.LeaseExpiryMs, Body.at("expiry-ms").get<int64_t>());
  std::string_view Path = http::targetPath(Request.Target);
  if (Path == "/-/run-start")
    startRun(Executor, Body, Responder);
  else if (Path == "/-/run-stop")
    stopRun(Executor, Body, Responder);
  else
    renewLeases(Executor, Body, std::move(Responder));
}

void CellPlatform::startRun(ExecutorState &Executor, const Json &Body,
                            const http::Responder &Responder) {
  auto Task = Body.at("task").get<std::string>();
  auto RunId = Body.at("run-id").get<uint32_t>();
  auto It = Executor.RunsByTask.find(Task);
  bool AlreadyRunning =
      It != Executor.RunsByTask.end() && It->second.Id == RunId;
  if (!AlreadyRunning && RunId <= Executor.LastEndedRun[Task]) {
    sendJson(Responder, http::StatusConflict,
             {{"clock-ms", executorClockMs(Executor)}, {"reason", "old"}});
    return;
  }
  if (!AlreadyRunning) {
    for (const auto &Other : Executors) {
      if (!Other.second.Killed && Other.second.RunsByTask.count(Task))
        Violations.push_back("task runs twice at the same time: " + Task);
    }
    if (AcknowledgedTasks.count(Task))
      Violations.push_back("task started after it was done: " + Task);
    Executor.RunsByTask[Task] = {.Id = RunId,
                                 .EndTime = monotonicNow() + Times.RunDuration};
    ++RunsStarted;
  }
  sendJson(Responder, http::StatusOk,
           {{"clock-ms", executorClockMs(Executor)}});
}

void CellPlatform::stopRun(ExecutorState &Executor, const Json &Body,
                           const http::Responder &Responder) {
  auto Task = Body.at("task").get<std::string>();
  auto RunId = Body.at("run-id").get<uint32_t>();
  if (Executor.RunsByTask.count(Task) && Executor.RunsByTask[Task].Id == RunId)
    endRun(Executor, Task, "stopped");
  Executor.LastEndedRun[Task] = std::max(Executor.LastEndedRun[Task], RunId);
  sendJson(Responder, http::StatusOk,
           {{"clock-ms", executorClockMs(Executor)}});
}

void CellPlatform::renewLeases(ExecutorState &Executor, const Json &Body,
                               http::Responder Responder) {
  auto LastSeenSequence = Body.at("last-seen").get<uint64_t>();
  Json Unacknowledged = Json::array();
  for (const Json &RunEnd : Executor.UnacknowledgedEnds) {
    if (RunEnd[0].get<uint64_t>() > LastSeenSequence)
      Unacknowledged.push_back(RunEnd);
    else if (RunEnd[3] == "done")
      AcknowledgedTasks[RunEnd[1]] = true;
  }
  Executor.UnacknowledgedEnds = Unacknowledged;
  auto SendReport = [this, &Executor, Born = Executor.BornMs,
                     Responder = std::move(Responder)] {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Executor.BornMs != Born)
      return; // Calls that wait end with their incarnation.
    advanceRuns(Executor);
    // Rows of task, run id, checkpoint, percent done and usage.
    Json Runs = Json::array();
    for (const auto &[Task, Run] : Executor.RunsByTask)
      Runs.push_back({Task, Run.Id, "", 50, 0});
    sendJson(Responder, http::StatusOk,
             {{"clock-ms", executorClockMs(Executor)},
              {"born", Executor.BornMs},
              {"running", Runs},
              {"finished", Executor.UnacknowledgedEnds}});
  };
  Millis Wait(Unacknowledged.empty() ? Body.value("wait-ms", int64_t{0}) : 0);
  DelayedActions->schedule(renewalWait(Executor, Wait), SendReport);
}

/// Until the next end of a run that has begun, at most for \p Requested.
Micros CellPlatform::renewalWait(const ExecutorState &Executor,
                                 Millis Requested) const {
  TimePoint Now = monotonicNow();
  Micros Wait = std::min(Requested, Times.MaxRenewalWait);
  for (const auto &[Task, Run] : Executor.RunsByTask)
    Wait = std::clamp(Micros(Run.EndTime - Now), Micros(0), Wait);
  return Wait;
}

void CellPlatform::endRun(ExecutorState &Executor, const std::string &Task,
                          const char *EndKind) {
  uint32_t RunId = Executor.RunsByTask.at(Task).Id;
  Executor.RunsByTask.erase(Task);
  Executor.LastEndedRun[Task] = std::max(Executor.LastEndedRun[Task], RunId);
  Executor.UnacknowledgedEnds.push_back(
      {++Executor.EndCount, Task, RunId, EndKind, ""});
}

void CellPlatform::advanceRuns(ExecutorState &Executor) {
  std::vector<std::pair<std::string, const char *>> EndedRuns;
  bool LeaseExpired = executorClockMs(Executor) > Executor.LeaseExpiryMs;
  for (const auto &[Task, Run] : Executor.RunsByTask) {
    if (LeaseExpired)
      EndedRuns.emplace_back(Task, "lapsed");
    else if (monotonicNow() >= Run.EndTime)
      EndedRuns.emplace_back(Task, "done");
  }
  for (const auto &[Task, EndKind] : EndedRuns)
    endRun(Executor, Task, EndKind);
}

} // namespace daisylanding::standin
