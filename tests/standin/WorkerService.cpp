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

void WorkerModel::startAttempt(const StartCommand &Command, TimePoint Now,
                               History &HistoryLog) {
  if (RunningAttempts.count(Command.Id) || EndedAttempts.count(Command.Id))
    return;
  if (Command.Leased && Now >= LeaseExpiry)
    return;
  RunningAttempt Attempt;
  Attempt.Size = Command.Size;
  Attempt.StartTime = Now;
  Attempt.Leased = Command.Leased;
  if (Command.RunTime > Millis(0)) {
    auto DeclaredMicros = static_cast<double>(Micros(Command.RunTime).count());
    Attempt.EndTime =
        Now + Micros(static_cast<int64_t>(DeclaredMicros * RunTimeFactor));
  }
  RunningAttempts.emplace(Command.Id, Attempt);
  HistoryLog.append(
      fmt::format("start {} {} cores={} memory={} accelerators={}", Name,
                  describe(Command.Id), Command.Size.MilliCores,
                  Command.Size.MemoryMb, Command.Size.Accelerators));
  if (FailAllAttempts)
    endAttempt(Command.Id, AttemptResult::Failed, Now, HistoryLog);
}

void WorkerModel::endAttempt(const AttemptId &Id, AttemptResult Result,
                             TimePoint Now, History &HistoryLog) {
  auto It = RunningAttempts.find(Id);
  if (It == RunningAttempts.end())
    return;
  EndedAttempts[Id] = {.Id = Id,
                       .Result = Result,
                       .PeakUsage = It->second.Size,
                       .RunTime = Millis(toMillis(Now - It->second.StartTime))};
  RunningAttempts.erase(It);
  HistoryLog.append(fmt::format("end {} {} result={}", Name, describe(Id),
                                resultName(Result)));
}

void WorkerModel::advance(TimePoint Now, History &HistoryLog) {
  std::vector<std::pair<AttemptId, AttemptResult>> EndedNow;
  for (const auto &[Id, Attempt] : RunningAttempts) {
    if (Attempt.Leased && Now >= LeaseExpiry)
      EndedNow.emplace_back(Id, AttemptResult::Expired);
    else if (Attempt.EndTime && Now >= *Attempt.EndTime)
      EndedNow.emplace_back(Id, AttemptResult::Succeeded);
  }
  for (const auto &[Id, Result] : EndedNow)
    endAttempt(Id, Result, Now, HistoryLog);
}

table::Resources WorkerModel::usageOf(const RunningAttempt &Attempt) const {
  auto ScaledAmount = [&](uint32_t Amount) {
    return static_cast<uint32_t>(Amount * UsageFactor);
  };
  return {.MilliCores = ScaledAmount(Attempt.Size.MilliCores),
          .MemoryMb = ScaledAmount(Attempt.Size.MemoryMb),
          .Accelerators = Attempt.Size.Accelerators};
}

void WorkerModel::applyCommands(const SyncRequest &Request, TimePoint Now,
                                History &HistoryLog) {
  TimePoint RequestedExpiry(Millis(Request.LeaseEndMs));
  LeaseExpiry = std::max(LeaseExpiry, RequestedExpiry);
  ThrottlePercent = Request.ThrottlePercent;
  for (const AttemptId &Id : Request.Acknowledged)
    EndedAttempts.erase(Id);
  for (const StopCommand &Command : Request.Stops)
    endAttempt(Command.Id, AttemptResult::Stopped, Now, HistoryLog);
  for (const StartCommand &Command : Request.Starts)
    startAttempt(Command, Now, HistoryLog);
}

std::optional<SyncReport> WorkerModel::sync(const SyncRequest &Request,
                                            TimePoint Now,
                                            History &HistoryLog) {
  advance(Now, HistoryLog);
  auto &LatestOrder = LatestSyncs[Request.Shard];
  std::pair<uint64_t, uint64_t> Order(Request.Epoch, Request.Sequence);
  if (Order <= LatestOrder)
    return std::nullopt;
  LatestOrder = Order;
  if (Request.Boot == Boot)
    applyCommands(Request, Now, HistoryLog);
  SyncReport Report{.Boot = Boot,
                    .ClockMs = toMillis(Now.time_since_epoch()),
                    .Epoch = Request.Epoch};
  for (const auto &[Id, Attempt] : RunningAttempts)
    Report.Running.push_back({.Id = Id, .Usage = usageOf(Attempt)});
  for (const auto &[Id, End] : EndedAttempts)
    Report.Ended.push_back(End);
  return Report;
}

WorkerService::WorkerService(WorkerOptions Options)
    : HistoryLog(Options.HistoryFile) {
  std::string Boot = std::to_string(monotonicNow().time_since_epoch().count());
  for (uint32_t Index = 0; Index < Options.Count; ++Index) {
    std::string Name = fmt::format("{}{}", Options.NamePrefix, Index);
    Workers.emplace(fmt::format("w{}", Index), WorkerModel(Name, Boot));
  }
  TickQueue.schedule(TickInterval, [this] { tick(); });
}

void WorkerService::tick() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (auto &Worker : Workers)
      Worker.second.advance(monotonicNow(), HistoryLog);
  }
  TickQueue.schedule(TickInterval, [this] { tick(); });
}

void WorkerService::handle(http::Request Request, http::Responder Responder) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Responder(handleRequest(Request));
}

http::Response WorkerService::setFaults(const http::Request &Request) {
  auto Faults = nlohmann::json::parse(Request.Body);
  auto It = Workers.find(Faults.at("worker").get<std::string>());
  if (It == Workers.end())
    return jsonResponse(http::StatusNotFound, "{}");
  It->second.FailAllAttempts = Faults.value("failing", false);
  It->second.RunTimeFactor = Faults.value("run_time_factor", 1.0);
  return jsonResponse(http::StatusOk, "{}");
}

http::Response WorkerService::handleRequest(const http::Request &Request) {
  std::string_view Path = http::targetPath(Request.Target);
  if (Path == "/control/faults")
    return setFaults(Request);
  size_t End = Path.find('/', 1);
  auto It = Workers.find(std::string(Path.substr(1, End - 1)));
  Result<SyncRequest> SyncCall = syncRequestFromText(Request.Body);
  if (It == Workers.end() || !SyncCall)
    return jsonResponse(http::StatusBadRequest, "{}");
  auto Report = It->second.sync(*SyncCall, monotonicNow(), HistoryLog);
  if (!Report)
    return jsonResponse(http::StatusConflict, "{}");
  return jsonResponse(http::StatusOk, toText(*Report));
}

} // namespace daisylanding::standin
