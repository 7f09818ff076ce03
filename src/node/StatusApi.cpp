#include "node/StatusApi.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace daisylanding::node {

namespace {

using nlohmann::json;

constexpr size_t TimelineLimit = 5'000;
constexpr std::string_view JobsPath = "/v1/jobs";

http::Response document(uint16_t Status, const json &Body) {
  return {.Status = Status,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = Body.dump()};
}

http::Response problem(uint16_t Status, Errc Code, std::string_view Field,
                       std::string_view Allowed) {
  return document(Status, {{"code", make_error_code(Code).message()},
                           {"field", Field},
                           {"allowed", Allowed}});
}

json jobToJson(const OwnedJob &Job, const std::string &Service) {
  return {
      {"id", Job.Id},       {"queue", Job.Queue},        {"service", Service},
      {"phase", Job.Phase}, {"open_runs", Job.OpenRuns}, {"age_ms", Job.AgeMs}};
}

} // namespace

void StatusApi::handle(http::Request Incoming, http::Responder Respond) {
  Respond(answer(Incoming));
}

http::Response StatusApi::answer(const http::Request &Incoming) const {
  std::string_view Path = http::targetPath(Incoming.Target);
  if (Incoming.Method != "GET")
    return problem(http::StatusMethodNotAllowed, Errc::OutOfRange, "method",
                   "GET; a cell is changed through its configuration");
  if (Path == "/metrics")
    return {.Status = http::StatusOk,
            .Headers = {{"Content-Type", "text/plain; version=0.0.4"}},
            .Body = Common.Numbers.render()};
  if (Path == "/v1/status")
    return status();
  if (Path == "/v1/config")
    return config();
  if (Path == "/v1/timeline")
    return timeline(Incoming);
  if (Path == JobsPath)
    return jobs("");
  if (Path.starts_with(JobsPath) && Path[JobsPath.size()] == '/')
    return jobs(Path.substr(JobsPath.size() + 1));
  return problem(http::StatusNotFound, Errc::NotFound, "path",
                 "a path of the operators' interface");
}

http::Response StatusApi::status() const {
  TimePoint Now = monotonicNow();
  auto Config = Common.Config.current();
  json Out = {{"entry", Common.Options.Name},
              {"zone", Common.Options.AvailabilityZone},
              {"incarnation", Common.Incarnation},
              {"config_version", Config ? Config->Version : 0},
              {"draining", Common.Draining.load()},
              {"store_silent_ms", toMillis(Now - Common.Store.lastAnswer())},
              {"store_read_ms", Common.Store.readMillis()},
              {"services", json::array()}};
  auto Owned = Common.Board.all();
  for (const std::string &Service :
       Config ? Config->Services : std::vector<std::string>()) {
    json Each = {{"service", Service},
                 {"owner_relay", Common.Owners.of(Service)},
                 {"owned_here", Owned.count(Service) > 0}};
    auto Found = Owned.find(Service);
    if (Found != Owned.end()) {
      const cell::OwnerState &State = Found->second.State;
      Each["epoch"] = Found->second.Epoch;
      Each["live_jobs"] = State.LiveJobs;
      Each["waiting_steps"] = State.WaitingSteps;
      Each["open_runs"] = State.OpenRuns;
      Each["executors"] = State.Executors;
      Each["usable"] = State.Usable;
    }
    Out["services"].push_back(std::move(Each));
  }
  return document(http::StatusOk, Out);
}

http::Response StatusApi::config() const {
  auto Config = Common.Config.current();
  if (!Config)
    return problem(http::StatusUnavailable, Errc::NotReady, "config",
                   "none is in force yet");
  json Queues = json::array();
  for (const cell::Queue &Each : Config->Queues)
    Queues.push_back({{"name", Each.Name},
                      {"host", Each.Host},
                      {"path_prefix", Each.PathPrefix},
                      {"service", Each.Service},
                      {"priority", Each.Priority},
                      {"max_attempts", Each.MaxAttempts},
                      {"stretch", Each.Stretch},
                      {"target_latency_ms", Each.TargetLatency.count()}});
  return document(http::StatusOk,
                  {{"version", Config->Version}, {"queues", Queues}});
}

/// Of the services that this entry owns, as of the last second.
http::Response StatusApi::jobs(std::string_view Id) const {
  json Out = json::array();
  for (const auto &[Service, Owned] : Common.Board.all()) {
    for (const OwnedJob &Each : Owned.Jobs) {
      if (Id.empty() || Each.Id == Id)
        Out.push_back(jobToJson(Each, Service));
    }
  }
  if (Id.empty())
    return document(http::StatusOk, {{"jobs", Out}});
  if (Out.empty())
    return problem(http::StatusNotFound, Errc::NotFound, "id",
                   "a live job of a service owned here; status names owners");
  return document(http::StatusOk, Out.front());
}

http::Response StatusApi::timeline(const http::Request &Incoming) const {
  std::string Text = http::queryValue(Incoming.Target, "after");
  uint64_t After = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), After);
  if (!Text.empty() &&
      (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size()))
    return problem(http::StatusBadRequest, Errc::OutOfRange, "after",
                   "a stamp of the time line");
  json Out = json::array();
  for (const Event &Each : Common.Events.since(After, TimelineLimit))
    Out.push_back({{"stamp", Each.Stamp},
                   {"wall_us", HybridClock::wallMicros(Each.Stamp)},
                   {"entry", Each.Entry},
                   {"kind", Each.Kind},
                   {"subject", Each.Subject},
                   {"detail", Each.Detail}});
  return document(http::StatusOk, {{"events", Out}});
}

} // namespace daisylanding::node
