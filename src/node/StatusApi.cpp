#include "node/StatusApi.h"

#include "node/ConfigDocument.h"
#include "node/OwnerGauges.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace daisylanding::node {

namespace {

using nlohmann::json;

constexpr size_t TimelineLimit = 5'000;
constexpr std::string_view JobsPath = "/v1/jobs";
constexpr std::string_view RetryAfterSeconds = "1";

http::Response jsonResponse(uint16_t Status, const json &Body) {
  return {.Status = Status,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = Body.dump()};
}

http::Response errorResponse(uint16_t Status, Errc Code, std::string_view Field,
                             std::string_view Allowed) {
  return jsonResponse(Status, {{"code", make_error_code(Code).message()},
                               {"field", Field},
                               {"allowed", Allowed}});
}

json jobToJson(const JobStatus &Job, const std::string &Service) {
  return {
      {"id", Job.Id},       {"queue", Job.Queue},        {"service", Service},
      {"phase", Job.Phase}, {"open_runs", Job.OpenRuns}, {"age_ms", Job.AgeMs}};
}

/// Whether the owner's figures are known, and as of when.
json figuresToJson(const std::string &Service, const ServiceStatus &Status,
                   TimePoint Now) {
  FiguresState Figures = Status.figures(Now);
  json Shown = {{"service", Service},
                {"figures", figuresStateName(Figures)},
                {"status_age_ms", Status.age(Now).count()}};
  if (Figures == FiguresState::Known)
    Shown["jobs_read_ms_ago"] = Status.State.JobReadingAge.count();
  return Shown;
}

json figuresToJson(const std::map<std::string, ServiceStatus> &Owned,
                   TimePoint Now) {
  json Services = json::array();
  for (const auto &[Service, Status] : Owned)
    Services.push_back(figuresToJson(Service, Status, Now));
  return Services;
}

size_t countKnown(const std::map<std::string, ServiceStatus> &Owned,
                  TimePoint Now) {
  size_t Known = 0;
  for (const auto &[Service, Status] : Owned)
    Known += Status.figures(Now) == FiguresState::Known ? 1 : 0;
  return Known;
}

/// For jobs of which an owner here can't tell whether there are any.
http::Response
jobsUnknownResponse(const std::map<std::string, ServiceStatus> &Owned,
                    TimePoint Now) {
  http::Response Response = jsonResponse(
      http::StatusUnavailable,
      {{"code", make_error_code(Errc::NotReady).message()},
       {"field", "jobs"},
       {"detail", "the jobs of a service that this entry owns are not known"},
       {"services", figuresToJson(Owned, Now)}});
  Response.Headers.emplace_back("Retry-After", RetryAfterSeconds);
  return Response;
}

http::Response
noSuchJobResponse(const std::map<std::string, ServiceStatus> &Owned,
                  TimePoint Now) {
  return jsonResponse(
      http::StatusNotFound,
      {{"code", make_error_code(Errc::NotFound).message()},
       {"field", "id"},
       {"allowed",
        "a live job of a service that this entry owns; see /v1/status"},
       {"services", figuresToJson(Owned, Now)}});
}

json useToJson(const std::string &Service, const cell::WorkspaceStatus &Use) {
  return {{"service", Service},
          {"used",
           {{"milli_cores", Use.Used.MilliCores},
            {"memory_mb", Use.Used.MemoryMb},
            {"accelerators", Use.Used.Accelerators}}},
          {"used_share", Use.UsedShare},
          {"fair_share", Use.FairShare},
          {"beyond_share", Use.IsBeyondShare},
          {"waiting_steps", Use.WaitingSteps},
          {"oldest_wait_ms", Use.OldestWait.count()},
          {"refused", Use.Refused}};
}

/// What the owners in this process know of the workspace.
json usesOf(const std::string &Workspace,
            const std::map<std::string, ServiceStatus> &Owned, TimePoint Now) {
  json Uses = json::array();
  for (const auto &[Service, Status] : Owned) {
    if (Status.figures(Now) != FiguresState::Known)
      continue;
    for (const cell::WorkspaceStatus &Use : Status.State.Workspaces) {
      if (Use.Name == Workspace)
        Uses.push_back(useToJson(Service, Use));
    }
  }
  return Uses;
}

} // namespace

void StatusApi::handle(http::Request Request, http::Responder Respond) {
  Respond(route(Request, monotonicNow()));
}

http::Response StatusApi::route(const http::Request &Request,
                                TimePoint Now) const {
  std::string_view Path = http::targetPath(Request.Target);
  if (Request.Method != "GET")
    return errorResponse(
        http::StatusMethodNotAllowed, Errc::OutOfRange, "method",
        "GET; changes are made through the cell's configuration");
  if (Path == "/metrics")
    return {.Status = http::StatusOk,
            .Headers = {{"Content-Type", "text/plain; version=0.0.4"}},
            .Body = metrics(Now)};
  if (Path == "/v1/status")
    return status(Now);
  if (Path == "/v1/config")
    return config();
  if (Path == "/v1/workspaces")
    return workspaces(Now);
  if (Path == "/v1/timeline")
    return timeline(Request);
  if (Path == JobsPath)
    return jobs("", Now);
  if (Path.starts_with(JobsPath) && Path[JobsPath.size()] == '/')
    return jobs(Path.substr(JobsPath.size() + 1), Now);
  return errorResponse(http::StatusNotFound, Errc::NotFound, "path",
                       "a path of the operator API");
}

/// Gauges of a service are those of its owner here: they end with it, and are
/// left out when they don't tell of the present.
std::string StatusApi::metrics(TimePoint Now) const {
  std::map<std::string, double> Samples; // Sorted, so that series stay grouped.
  for (const auto &[Service, Status] : Context.OwnedServices.all()) {
    bool IsKnown = Status.figures(Now) == FiguresState::Known;
    Samples[serviceSeries("figures_known", Service)] = IsKnown ? 1 : 0;
    Samples[serviceSeries("status_age_ms", Service)] =
        static_cast<double>(Status.age(Now).count());
    if (!IsKnown)
      continue;
    for (const Gauge &Shown : Status.Gauges)
      Samples[Shown.Name] = Shown.Value;
  }
  std::string Text = Context.EntryMetrics.render();
  for (const auto &[Name, Value] : Samples)
    Text += renderSample(Name, Value);
  return Text;
}

http::Response StatusApi::status(TimePoint Now) const {
  auto Config = Context.Config.current();
  json Status = {{"entry", Context.Options.Name},
                 {"zone", Context.Options.AvailabilityZone},
                 {"incarnation", Context.Incarnation},
                 {"config_version", Config ? Config->Version : 0},
                 {"draining", Context.Draining.load()},
                 {"store_silent_ms", nullptr},
                 {"store_read_ms", nullptr},
                 {"services", json::array()}};
  TimePoint StoreAnsweredAt = Context.StoreHealth.lastAnswer();
  if (StoreAnsweredAt != TimePoint{}) {
    Status["store_silent_ms"] = toMillis(Now - StoreAnsweredAt);
    Status["store_read_ms"] = Context.StoreHealth.readLatencyMs();
  }
  auto Owned = Context.OwnedServices.all();
  for (const std::string &Service :
       Config ? Config->Services : std::vector<std::string>()) {
    json ServiceJson = {{"service", Service},
                        {"owner_relay", nullptr},
                        {"owner_read_ms_ago", nullptr},
                        {"owned_here", Owned.count(Service) > 0}};
    auto OwnerRow = Context.Pending.of(Service);
    if (OwnerRow->RowVersion != 0) {
      ServiceJson["owner_relay"] = Context.Owners.relayAddress(Service);
      ServiceJson["owner_read_ms_ago"] = toMillis(Now - OwnerRow->SentAt);
    }
    auto It = Owned.find(Service);
    if (It != Owned.end()) {
      ServiceJson["epoch"] = It->second.Epoch;
      ServiceJson.update(figuresToJson(Service, It->second, Now));
    }
    if (It != Owned.end() && It->second.figures(Now) == FiguresState::Known) {
      const cell::OwnerStatus &State = It->second.State;
      ServiceJson["live_jobs"] = State.LiveJobs;
      ServiceJson["waiting_steps"] = State.WaitingSteps;
      ServiceJson["open_runs"] = State.OpenRuns;
      ServiceJson["executors"] = State.Executors;
      ServiceJson["usable"] = State.Usable;
    }
    Status["services"].push_back(std::move(ServiceJson));
  }
  return jsonResponse(http::StatusOk, Status);
}

http::Response StatusApi::config() const {
  auto Config = Context.Config.current();
  if (!Config)
    return errorResponse(http::StatusUnavailable, Errc::NotReady, "config",
                         "no configuration has been loaded yet");
  return jsonResponse(http::StatusOk, configToJson(*Config));
}

/// The workspaces of the configuration, and what they use of the services that
/// this entry owns.
http::Response StatusApi::workspaces(TimePoint Now) const {
  auto Config = Context.Config.current();
  if (!Config)
    return errorResponse(http::StatusUnavailable, Errc::NotReady, "config",
                         "no configuration has been loaded yet");
  std::vector<size_t> KeyCounts = cell::countKeys(*Config);
  auto Owned = Context.OwnedServices.all();
  json Workspaces = json::array();
  for (size_t I = 0; I < Config->Workspaces.size(); ++I) {
    json Shown = workspaceToJson(Config->Workspaces[I], KeyCounts[I]);
    Shown["services"] = usesOf(Config->Workspaces[I].Name, Owned, Now);
    Workspaces.push_back(std::move(Shown));
  }
  json Services = json::array();
  for (const auto &[Service, Status] : Owned)
    Services.push_back(Service);
  return jsonResponse(http::StatusOk, {{"config_version", Config->Version},
                                       {"services_owned_here", Services},
                                       {"services", figuresToJson(Owned, Now)},
                                       {"workspaces", Workspaces}});
}

/// Jobs of the services that this entry owns, as far as they are known.
http::Response StatusApi::jobs(std::string_view Id, TimePoint Now) const {
  json Jobs = json::array();
  auto Owned = Context.OwnedServices.all();
  for (const auto &[Service, Status] : Owned) {
    if (Status.figures(Now) != FiguresState::Known)
      continue;
    for (const JobStatus &Job : Status.Jobs) {
      if (!Id.empty() && Job.Id != Id)
        continue;
      Jobs.push_back(jobToJson(Job, Service));
      Jobs.back()["status_age_ms"] = Status.age(Now).count();
    }
  }
  size_t Known = countKnown(Owned, Now);
  bool IsComplete = Known == Owned.size();
  if (!Id.empty() && !Jobs.empty())
    return jsonResponse(http::StatusOk, Jobs.front());
  if (!IsComplete && (!Id.empty() || Known == 0))
    return jobsUnknownResponse(Owned, Now);
  if (!Id.empty())
    return noSuchJobResponse(Owned, Now);
  return jsonResponse(http::StatusOk, {{"complete", IsComplete},
                                       {"services", figuresToJson(Owned, Now)},
                                       {"jobs", Jobs}});
}

http::Response StatusApi::timeline(const http::Request &Request) const {
  std::string Text = http::queryValue(Request.Target, "after");
  uint64_t After = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), After);
  if (!Text.empty() &&
      (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size()))
    return errorResponse(http::StatusBadRequest, Errc::OutOfRange, "after",
                         "a timeline stamp");
  json Events = json::array();
  for (const Event &TimelineEvent : Context.Events.since(After, TimelineLimit))
    Events.push_back({{"stamp", TimelineEvent.Stamp},
                      {"wall_us", HybridClock::wallMicros(TimelineEvent.Stamp)},
                      {"entry", TimelineEvent.Entry},
                      {"kind", TimelineEvent.Kind},
                      {"subject", TimelineEvent.Subject},
                      {"detail", TimelineEvent.Detail}});
  return jsonResponse(http::StatusOk, {{"events", Events}});
}

} // namespace daisylanding::node
