#include "standin/CellPlatform.h"

#include "common/Base64.h"

#include <fmt/format.h>

#include <algorithm>

namespace daisylanding::standin {

namespace {

constexpr Millis LateBy{1'000};
constexpr Millis RunTime{250};
constexpr uint32_t DiceSides = 10;

} // namespace

int64_t CellPlatform::clockMs() {
  return toMillis(monotonicNow().time_since_epoch());
}

void CellPlatform::reply(const http::Responder &Respond, uint16_t Status,
                         const Json &Body) {
  Respond({.Status = Status,
           .Headers = {{"Content-Type", "application/json"}},
           .Body = Body.dump()});
}

void CellPlatform::handle(http::Request Incoming, http::Responder Respond) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (!Later)
    return;
  std::string_view Path = http::targetPath(Incoming.Target);
  if (Path.starts_with("/-/rows-"))
    store(Incoming, std::move(Respond));
  else if (Path == "/-/advise")
    advise(Json::parse(Incoming.Body), std::move(Respond));
  else
    executor(Incoming, std::move(Respond));
}

void CellPlatform::shutDown() {
  std::unique_ptr<DelayQueue> Ending;
  std::vector<std::shared_ptr<Waiter>> Unanswered;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Ending = std::move(Later);
    Unanswered = std::move(Waiters);
    Waiters.clear();
  }
}

void CellPlatform::setFaults(CellPlatformFaults Next) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Faults = Next;
}

void CellPlatform::store(const http::Request &Incoming,
                         http::Responder Respond) {
  if (Faults.StoreSilent)
    return;
  if (Faults.StoreRefuses) {
    reply(Respond, http::StatusUnavailable, Json::object());
    return;
  }
  std::string_view Path = http::targetPath(Incoming.Target);
  if (Path == "/-/rows-tx")
    transaction(Json::parse(Incoming.Body), Respond);
  else if (Path == "/-/rows-get")
    reply(Respond, http::StatusOk, rowsOf(Incoming));
  else
    feed(Incoming, std::move(Respond));
}

void CellPlatform::transaction(const Json &Body,
                               const http::Responder &Respond) {
  uint32_t Dice = static_cast<uint32_t>(Writes++ % DiceSides);
  if (Dice < Faults.LateWrites) {
    Later->after(LateBy, [this, Body] {
      std::lock_guard<std::mutex> Lock(Mutex);
      bool Held = false;
      apply(Body, Held);
    });
    return;
  }
  bool Held = false;
  Json Answer = apply(Body, Held);
  if (DiceSides - 1 - Dice < Faults.LostAnswers)
    return;
  reply(Respond, Held ? http::StatusOk : http::StatusPreconditionFailed,
        Answer);
}

CellPlatform::Json CellPlatform::apply(const Json &Body, bool &Held) {
  Json Current = Json::array();
  Held = true;
  auto KeyOf = [](const Json &Row) {
    return Key{Row.at("table"), Row.at("part"), Row.at("key")};
  };
  for (const Json &Each : Body.at("expected-rev")) {
    auto Found = Rows.find(KeyOf(Each));
    bool Present = Found != Rows.end() && !Found->second.Deleted;
    uint64_t Is = Present ? Found->second.Version : 0;
    Held = Held && Is == Each.at("row-version").get<uint64_t>();
    if (Present)
      Current.push_back(rowJson(Found->first, Found->second));
  }
  if (!Held)
    return {{"rows", Current}, {"row-version", Version}, {"now-ms", clockMs()}};
  ++Version;
  std::vector<std::string> Tables;
  for (const Json &Each : Body.at("writes")) {
    Key At = KeyOf(Each);
    if (At[0] == "op" || At[0] == "servers")
      Broken.push_back("write to " + At[0]);
    Rows[At] = {Each.at("value"), Version, false};
    Tables.push_back(At[0]);
  }
  for (const Json &Each : Body.at("remove")) {
    Rows[KeyOf(Each)] = {"", Version, true};
    Tables.push_back(KeyOf(Each)[0]);
  }
  for (const std::string &Each : Tables)
    wakeFeeds(Each);
  return {{"row-version", Version}, {"now-ms", clockMs()}};
}

CellPlatform::Json CellPlatform::rowJson(const Key &At, const Stored &Row) {
  Json Out = {{"table", At[0]},
              {"part", At[1]},
              {"key", At[2]},
              {"row-version", Row.Version}};
  if (Row.Deleted)
    Out["deleted"] = true;
  else
    Out["value"] = Row.Value;
  return Out;
}

CellPlatform::Json CellPlatform::rowsOf(const http::Request &Incoming) const {
  std::string Table = http::queryValue(Incoming.Target, "table");
  std::string Part = http::queryValue(Incoming.Target, "part");
  std::string From = http::queryValue(Incoming.Target, "from");
  std::string To = http::queryValue(Incoming.Target, "to");
  Json Out = Json::array();
  for (const auto &[At, Row] : Rows) {
    bool Wanted = At[0] == Table && At[1] == Part && !Row.Deleted &&
                  At[2] >= From && (To.empty() || At[2] < To);
    if (Wanted)
      Out.push_back(rowJson(At, Row));
  }
  return {{"rows", Out},
          {"has-more", false},
          {"row-version", Version},
          {"now-ms", clockMs()}};
}

CellPlatform::Json CellPlatform::changesOf(const std::string &Table,
                                           uint64_t After) const {
  std::map<uint64_t, Json> Ordered;
  for (const auto &[At, Row] : Rows) {
    if (At[0] != Table || Row.Version <= After)
      continue;
    Ordered.try_emplace(Row.Version, Json::array())
        .first->second.push_back(rowJson(At, Row));
  }
  Json Out = Json::array();
  for (const auto &Each : Ordered)
    Out.insert(Out.end(), Each.second.begin(), Each.second.end());
  return {{"rows", Out}, {"row-version", Version}, {"now-ms", clockMs()}};
}

void CellPlatform::feed(const http::Request &Incoming,
                        http::Responder Respond) {
  std::string Table = http::queryValue(Incoming.Target, "table");
  uint64_t After = std::stoull(http::queryValue(Incoming.Target, "after"));
  Json Now = changesOf(Table, After);
  if (!Now.at("rows").empty()) {
    reply(Respond, http::StatusOk, Now);
    return;
  }
  auto Each =
      std::make_shared<Waiter>(Waiter{Table, After, std::move(Respond), false});
  Waiters.push_back(Each);
  Millis Wait(std::stoll(http::queryValue(Incoming.Target, "wait-ms")));
  Later->after(Wait, [this, Each] {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (std::exchange(Each->Answered, true))
      return;
    std::erase(Waiters, Each);
    reply(Each->Respond, http::StatusOk, changesOf(Each->Table, Each->After));
  });
}

void CellPlatform::wakeFeeds(const std::string &Table) {
  std::vector<std::shared_ptr<Waiter>> Left;
  for (const auto &Each : Waiters) {
    if (Each->Table != Table || Each->Answered) {
      Left.push_back(Each);
      continue;
    }
    Each->Answered = true;
    reply(Each->Respond, http::StatusOk, changesOf(Table, Each->After));
  }
  Waiters = std::move(Left);
}

void CellPlatform::configure(uint64_t Number, bool WithAdvice) {
  Json Route = {
      {"name", "q"},      {"host", "jobs.example"},     {"path-prefix", "/q/"},
      {"service", "s"},   {"target-latency-ms", 1'000}, {"stretch", 2.0},
      {"max-attempts", 2}};
  if (WithAdvice)
    Route["advice"] = {
        {"decision-ms", 5.0}, {"period-ms", 0.5}, {"validity-ms", 1'500}};
  Json Config = {{"version", Number},
                 {"routes", {Route}},
                 {"services", {{{"name", "s"}}}}};
  std::lock_guard<std::mutex> Lock(Mutex);
  Rows[{"op", "", "config"}] = {encodeBase64(Config.dump()), ++Version, false};
  wakeFeeds("op");
}

void CellPlatform::addExecutor(const std::string &Id,
                               const std::string &Address,
                               uint32_t MilliCores) {
  Json Entry = {{"service", "s"},
                {"address", Address},
                {"zone", "za"},
                {"state", "ready"},
                {"capacity", {{"cpu", MilliCores}, {"mem-mb", 10'000}}},
                {"labels", {"a", "r1"}}};
  std::lock_guard<std::mutex> Lock(Mutex);
  Executors[Id].MilliCores = MilliCores;
  Rows[{"servers", "", Id}] = {encodeBase64(Entry.dump()), ++Version, false};
  // Beside it, an entry of another writer that can't be read.
  Rows[{"servers", "", Id + "-odd"}] = {encodeBase64("\xff{"), Version, false};
  wakeFeeds("servers");
}

void CellPlatform::killExecutor(const std::string &Id) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Executors.at(Id).Dead = true;
  Executors.at(Id).Running.clear();
}

size_t CellPlatform::starts() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Started;
}

std::vector<std::string> CellPlatform::violations() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Broken;
}

void CellPlatform::advise(const Json &Body, http::Responder Respond) {
  Json Allowed = Json::array();
  for (const Json &Each : Body.at("workers"))
    Allowed.push_back({Each, "ticket-" + Each.get<std::string>()});
  Later->after(Millis(5), [Allowed, Respond = std::move(Respond)] {
    reply(Respond, http::StatusOk,
          {{"allowed", Allowed}, {"validity-ms", 1'500}});
  });
}

void CellPlatform::executor(const http::Request &Incoming,
                            http::Responder Respond) {
  const std::string *Life =
      http::findHeader(Incoming.Headers, "X-Daisylanding-Expect-Instance");
  auto Found = Life ? Executors.find(*Life) : Executors.end();
  if (Found == Executors.end()) {
    reply(Respond, http::StatusMisdirected, Json::object());
    return;
  }
  if (Found->second.Dead)
    return;
  Json Body = Json::parse(Incoming.Body);
  Executor &At = Found->second;
  move(At);
  auto Token = Body.at("fencing-token").get<uint64_t>();
  if (Token < At.Token) {
    reply(Respond, http::StatusConflict,
          {{"clock-ms", clockMs()}, {"reason", "fence"}});
    return;
  }
  At.Token = Token;
  if (Body.contains("expiry-ms"))
    At.LeaseEnd = std::max(At.LeaseEnd, Body.at("expiry-ms").get<int64_t>());
  std::string_view Path = http::targetPath(Incoming.Target);
  if (Path == "/-/run-start")
    start(At, Body, Respond);
  else if (Path == "/-/run-stop")
    stop(At, Body, Respond);
  else
    hold(At, Body, std::move(Respond));
}

void CellPlatform::start(Executor &At, const Json &Body,
                         const http::Responder &Respond) {
  auto Task = Body.at("task").get<std::string>();
  auto Number = Body.at("run-id").get<uint32_t>();
  auto Running = At.Running.find(Task);
  bool There = Running != At.Running.end() && Running->second.Number == Number;
  if (!There && Number <= At.Over[Task]) {
    reply(Respond, http::StatusConflict,
          {{"clock-ms", clockMs()}, {"reason", "old"}});
    return;
  }
  if (!There) {
    for (const auto &Each : Executors) {
      if (!Each.second.Dead && Each.second.Running.count(Task))
        Broken.push_back("twice at once: " + Task);
    }
    if (NotedDone.count(Task))
      Broken.push_back("begun after done: " + Task);
    At.Running[Task] = {.Number = Number, .Ends = monotonicNow() + RunTime};
    ++Started;
  }
  reply(Respond, http::StatusOk, {{"clock-ms", clockMs()}});
}

void CellPlatform::stop(Executor &At, const Json &Body,
                        const http::Responder &Respond) {
  auto Task = Body.at("task").get<std::string>();
  auto Number = Body.at("run-id").get<uint32_t>();
  if (At.Running.count(Task) && At.Running[Task].Number == Number)
    end(At, Task, "stopped");
  At.Over[Task] = std::max(At.Over[Task], Number);
  reply(Respond, http::StatusOk, {{"clock-ms", clockMs()}});
}

void CellPlatform::hold(Executor &At, const Json &Body,
                        http::Responder Respond) {
  auto Seen = Body.at("last-seen").get<uint64_t>();
  Json Left = Json::array();
  for (const Json &Each : At.Finished) {
    if (Each[0].get<uint64_t>() > Seen)
      Left.push_back(Each);
    else if (Each[3] == "done")
      NotedDone[Each[1]] = true;
  }
  At.Finished = Left;
  auto Answer = [this, &At, Respond = std::move(Respond)] {
    std::lock_guard<std::mutex> Lock(Mutex);
    move(At);
    Json Running = Json::array();
    for (const auto &[Task, Run] : At.Running)
      Running.push_back({Task, Run.Number, "", 50, 0});
    reply(Respond, http::StatusOk,
          {{"clock-ms", clockMs()},
           {"running", Running},
           {"finished", At.Finished}});
  };
  // Short of the wait asked for, so that ends are heard soon.
  constexpr Millis Longest{100};
  Millis Wait(Left.empty() ? Body.value("wait-ms", int64_t{0}) : 0);
  Later->after(std::min(Wait, Longest), Answer);
}

void CellPlatform::end(Executor &At, const std::string &Task, const char *How) {
  uint32_t Number = At.Running.at(Task).Number;
  At.Running.erase(Task);
  At.Over[Task] = std::max(At.Over[Task], Number);
  At.Finished.push_back({++At.Ends, Task, Number, How, ""});
}

void CellPlatform::move(Executor &At) {
  std::vector<std::pair<std::string, const char *>> Ends;
  bool Lapsed = clockMs() > At.LeaseEnd;
  for (const auto &[Task, Run] : At.Running) {
    if (Lapsed)
      Ends.emplace_back(Task, "lapsed");
    else if (monotonicNow() >= Run.Ends)
      Ends.emplace_back(Task, "done");
  }
  for (const auto &[Task, How] : Ends)
    end(At, Task, How);
}

} // namespace daisylanding::standin
