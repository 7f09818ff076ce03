#include "standin/WorkerService.h"

#include "standin/Program.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylanding::standin {

using namespace worker;

namespace {

constexpr Millis TickInterval{10};

std::string describe(const AttemptId &Id) {
  return fmt::format("{}/{} attempt={}", Id.Job, Id.Index, Id.Attempt);
}

} // namespace

void WorkerModel::start(const StartCommand &Command, TimePoint Now,
                        History &Log) {
  if (Tasks.count(Command.Id) || Ended.count(Command.Id))
    return;
  if (Command.Leased && Now >= LeaseUntil)
    return;
  Running Each;
  Each.Size = Command.Size;
  Each.Started = Now;
  Each.Leased = Command.Leased;
  if (Command.RunTime > Millis(0)) {
    auto Span = static_cast<double>(Micros(Command.RunTime).count());
    Each.Ends = Now + Micros(static_cast<int64_t>(Span * RunTimeFactor));
  }
  Tasks.emplace(Command.Id, Each);
  Log.add(fmt::format("start {} {} cores={} memory={} accelerators={}", Name,
                      describe(Command.Id), Command.Size.MilliCores,
                      Command.Size.MemoryMb, Command.Size.Accelerators));
  if (FailEverything)
    end(Command.Id, AttemptResult::Failed, Now, Log);
}

void WorkerModel::end(const AttemptId &Id, AttemptResult Result, TimePoint Now,
                      History &Log) {
  auto Found = Tasks.find(Id);
  if (Found == Tasks.end())
    return;
  Ended[Id] = {.Id = Id,
               .Result = Result,
               .PeakUsage = Found->second.Size,
               .RunTime = Millis(toMillis(Now - Found->second.Started))};
  Tasks.erase(Found);
  Log.add(fmt::format("end {} {} result={}", Name, describe(Id),
                      resultName(Result)));
}

void WorkerModel::advance(TimePoint Now, History &Log) {
  std::vector<std::pair<AttemptId, AttemptResult>> Over;
  for (const auto &[Id, Each] : Tasks) {
    if (Each.Leased && Now >= LeaseUntil)
      Over.emplace_back(Id, AttemptResult::Expired);
    else if (Each.Ends && Now >= *Each.Ends)
      Over.emplace_back(Id, AttemptResult::Succeeded);
  }
  for (const auto &[Id, Outcome] : Over)
    end(Id, Outcome, Now, Log);
}

table::Resources WorkerModel::usedBy(const Running &Each) const {
  auto Scaled = [&](uint32_t Amount) {
    return static_cast<uint32_t>(Amount * UseFactor);
  };
  return {.MilliCores = Scaled(Each.Size.MilliCores),
          .MemoryMb = Scaled(Each.Size.MemoryMb),
          .Accelerators = Each.Size.Accelerators};
}

void WorkerModel::obey(const SyncRequest &Request, TimePoint Now,
                       History &Log) {
  TimePoint Renewed(Millis(Request.LeaseEndMs));
  LeaseUntil = std::max(LeaseUntil, Renewed);
  ThrottlePercent = Request.ThrottlePercent;
  for (const AttemptId &Id : Request.Acknowledged)
    Ended.erase(Id);
  for (const StopCommand &Each : Request.Stops)
    end(Each.Id, AttemptResult::Stopped, Now, Log);
  for (const StartCommand &Each : Request.Starts)
    start(Each, Now, Log);
}

std::optional<SyncReport> WorkerModel::sync(const SyncRequest &Request,
                                            TimePoint Now, History &Log) {
  advance(Now, Log);
  auto &Last = Newest[Request.Shard];
  std::pair<uint64_t, uint64_t> Order(Request.Epoch, Request.Sequence);
  if (Order <= Last)
    return std::nullopt;
  Last = Order;
  if (Request.Boot == Boot)
    obey(Request, Now, Log);
  SyncReport Report{.Boot = Boot,
                    .ClockMs = toMillis(Now.time_since_epoch()),
                    .Epoch = Request.Epoch};
  for (const auto &[Id, Each] : Tasks)
    Report.Running.push_back({.Id = Id, .Usage = usedBy(Each)});
  for (const auto &[Id, Each] : Ended)
    Report.Ended.push_back(Each);
  return Report;
}

WorkerService::WorkerService(WorkerOptions Options) : Log(Options.HistoryFile) {
  std::string Boot = std::to_string(monotonicNow().time_since_epoch().count());
  for (uint32_t I = 0; I < Options.Count; ++I) {
    std::string Name = fmt::format("{}{}", Options.NamePrefix, I);
    Workers.emplace(fmt::format("w{}", I), WorkerModel(Name, Boot));
  }
  Later.after(TickInterval, [this] { tick(); });
}

void WorkerService::tick() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (auto &Each : Workers)
      Each.second.advance(monotonicNow(), Log);
  }
  Later.after(TickInterval, [this] { tick(); });
}

void WorkerService::handle(http::Request Incoming, http::Responder Respond) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Respond(answer(Incoming));
}

http::Response WorkerService::setFaults(const http::Request &Incoming) {
  auto Faults = nlohmann::json::parse(Incoming.Body);
  auto Found = Workers.find(Faults.at("worker").get<std::string>());
  if (Found == Workers.end())
    return jsonResponse(http::StatusNotFound, "{}");
  Found->second.FailEverything = Faults.value("failing", false);
  Found->second.RunTimeFactor = Faults.value("run_time_factor", 1.0);
  return jsonResponse(http::StatusOk, "{}");
}

http::Response WorkerService::answer(const http::Request &Incoming) {
  std::string_view Path = http::targetPath(Incoming.Target);
  if (Path == "/control/faults")
    return setFaults(Incoming);
  size_t End = Path.find('/', 1);
  auto Found = Workers.find(std::string(Path.substr(1, End - 1)));
  Result<SyncRequest> Request = syncRequestFromText(Incoming.Body);
  if (Found == Workers.end() || !Request)
    return jsonResponse(http::StatusBadRequest, "{}");
  auto Report = Found->second.sync(*Request, monotonicNow(), Log);
  if (!Report)
    return jsonResponse(http::StatusConflict, "{}");
  return jsonResponse(http::StatusOk, toText(*Report));
}

} // namespace daisylanding::standin
