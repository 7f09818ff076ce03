#include "operator/OperatorApi.h"

#include "common/Log.h"
#include "entry/JournalStore.h"
#include "entry/Ownership.h"
#include "operator/Problems.h"
#include "table/Wire.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace daisylanding::op {

using nlohmann::json;

namespace {

constexpr size_t CallQueueCapacity = 256;
constexpr Millis IdleWait{100};
constexpr Millis PeerResponseTimeout{3'000};
constexpr uint32_t MaxTimelineEvents = 20'000;
constexpr std::string_view ConfigRowKey = "config";

/// Number of change ids that the configuration keeps, newest last, so that a
/// change whose response was lost is recognized as committed.
constexpr size_t MaxRecentChanges = 64;

json jobToJson(const shard::JobStatus &Status) {
  return {{"spec", config::jobSpecToJson(Status.Spec)},
          {"pending", Status.Pending},
          {"running", Status.Running},
          {"succeeded", Status.Succeeded},
          {"failures", Status.Failures},
          {"stopping", Status.Stopping}};
}

json shardToJson(const entry::ShardReport &Report) {
  return {{"id", Report.Id},
          {"epoch", Report.Epoch},
          {"jobs", Report.Jobs},
          {"pending", Report.Pending},
          {"running", Report.Running},
          {"instances", Report.Instances},
          {"ejected_workers", Report.EjectedWorkers},
          {"packing", Report.Packing}};
}

json memberToJson(const entry::Member &Member) {
  return {{"name", Member.Name},
          {"zone", Member.AvailabilityZone},
          {"alive", Member.Alive},
          {"draining", Member.Draining},
          {"config_version", Member.ConfigVersion},
          {"list_version", Member.ListVersion},
          {"operator", Member.OperatorAddress}};
}

/// Concatenates the lists named \p ListName of all documents.
json mergeLists(const std::vector<std::string> &Documents,
                const char *ListName) {
  json Elements = json::array();
  for (const std::string &Text : Documents) {
    json Document = json::parse(Text, nullptr, false);
    if (!Document.is_object())
      continue;
    for (json &Element : Document[ListName])
      Elements.push_back(std::move(Element));
  }
  return Elements;
}

/// Counts all entries and the alive ones of each zone. A zone without an alive
/// entry is reported as cut off.
json zonesToJson(std::span<const entry::Member> Members) {
  // Total and alive entries by zone.
  std::map<std::string, std::pair<size_t, size_t>> EntryCounts;
  for (const entry::Member &Member : Members) {
    auto &[Total, Alive] = EntryCounts[Member.AvailabilityZone];
    ++Total;
    Alive += Member.Alive;
  }
  json Zones = json::object();
  for (const auto &[Zone, Count] : EntryCounts)
    Zones[Zone] = {{"entries", Count.first},
                   {"alive", Count.second},
                   {"cut_off", Count.second == 0}};
  return Zones;
}

bool matchPath(std::string_view Path, std::string_view Prefix,
               std::string_view Suffix, std::string &Segment) {
  if (Path.size() <= Prefix.size() + Suffix.size() ||
      !Path.starts_with(Prefix) || !Path.ends_with(Suffix))
    return false;
  Path.remove_prefix(Prefix.size());
  Path.remove_suffix(Suffix.size());
  Segment = Path;
  return true;
}

} // namespace

bool requestJobsDocument(entry::ShardLoop &Shards, const std::string &JobId,
                         std::function<void(std::string)> Done) {
  return Shards.Queries.push(
      {JobId, [Done = std::move(Done)](const entry::ShardAnswer &Answer) {
         json Document = {{"shards", json::array()}, {"jobs", json::array()}};
         for (const entry::ShardReport &Report : Answer.Shards)
           Document["shards"].push_back(shardToJson(Report));
         for (const shard::JobStatus &Status : Answer.Jobs)
           Document["jobs"].push_back(jobToJson(Status));
         Done(Document.dump());
       }});
}

OperatorApi::OperatorApi(entry::EntryContext &Context, entry::ShardLoop &Shards,
                         peer::PeerLoop &Peers)
    : Context(Context), Shards(Shards), Peers(Peers),
      PendingCalls(CallQueueCapacity, [this] { LoopWaker.wake(); }) {}

void OperatorApi::handle(http::Request Request, http::Responder Responder) {
  if (!PendingCalls.push({std::move(Request), Responder}))
    Responder(makeProblemResponse(Errc::QueueFull));
}

void OperatorApi::run() {
  Platform = Context.connectPlatform();
  while (!LoopThread.stopping()) {
    PendingCall Call;
    while (PendingCalls.pop(Call))
      Call.Responder(route(Call.Request));
    LoopWaker.wait(IdleWait);
  }
}

http::Response OperatorApi::route(const http::Request &Request) {
  std::string_view Path = http::targetPath(Request.Target);
  bool IsPost = Request.Method == "POST";
  if (IsPost && Context.Draining.load())
    return makeProblemResponse(Errc::ShuttingDown);
  std::string JobId;
  if (Path == "/v1/status")
    return showStatus();
  if (Path == "/v1/config" && !IsPost)
    return showConfig(!http::queryValue(Request.Target, "newest").empty());
  if (Path == "/v1/config/changes" && IsPost)
    return changeConfig(Request);
  if (Path == "/v1/jobs")
    return IsPost ? submitJob(Request) : listJobs();
  if (IsPost && matchPath(Path, "/v1/jobs/", "/stop", JobId))
    return stopJob(JobId);
  if (!IsPost && matchPath(Path, "/v1/jobs/", "", JobId))
    return showJob(JobId);
  if (Path == "/v1/timeline")
    return showTimeline(Request);
  if (Path == "/metrics")
    return showMetrics();
  return makeProblemResponse(Errc::NotFound, "path",
                             "a path of the operator API");
}

/// Documents of the entries that answer. Errors: QueueFull, Unreachable; then
/// nothing is known of any entry's jobs.
Result<std::vector<std::string>>
OperatorApi::collectJobDocuments(const std::string &JobId) {
  auto Promise = std::make_shared<std::promise<std::vector<std::string>>>();
  auto Future = Promise->get_future();
  if (!Peers.JobsCalls.push({JobId, Promise}))
    return Errc::QueueFull;
  if (Future.wait_for(PeerResponseTimeout) != std::future_status::ready)
    return Errc::Unreachable;
  return Future.get();
}

http::Response OperatorApi::showStatus() {
  auto View = Context.Views.current();
  json Document = {{"entry", Context.Options.Name},
                   {"zone", Context.Options.AvailabilityZone},
                   {"platform_reachable", View->PlatformReachable},
                   {"config_version", View->Config ? View->Config->Version : 0},
                   {"list_version", View->List.Version},
                   {"draining", Context.Draining.load()},
                   {"spare_slots", Context.LoadDigests.own()},
                   {"zones", zonesToJson(View->Members)},
                   {"entries", json::array()},
                   {"shard_owners", json::object()}};
  for (const entry::Member &Member : View->Members)
    Document["entries"].push_back(memberToJson(Member));
  for (const entry::ShardRow &Shard : View->Shards)
    Document["shard_owners"][Shard.Id] = {{"owner", Shard.Owner},
                                          {"epoch", Shard.Epoch}};
  auto ShardDocuments = collectJobDocuments("(none)");
  if (ShardDocuments)
    Document["shards"] = mergeLists(*ShardDocuments, "shards");
  else
    Document["shards_unknown"] = ShardDocuments.error().message();
  return makeJsonResponse(http::StatusOk, Document);
}

/// Returns the configuration in force on this entry, or the newest accepted
/// one.
http::Response OperatorApi::showConfig(bool Newest) {
  if (Newest) {
    auto Row = Platform->read(ConfigRowKey);
    if (!Row)
      return makeProblemResponse(Row.error());
    json Document = json::parse(Row->Value, nullptr, false);
    if (!Document.is_object())
      Document = config::configToJson({});
    return makeJsonResponse(http::StatusOk, Document);
  }
  auto View = Context.Views.current();
  if (!View->Config)
    return makeProblemResponse(Errc::NotReady);
  return makeJsonResponse(http::StatusOk, config::configToJson(*View->Config));
}

/// Changes the configuration by compare-and-set. The client names the version
/// that its change is based on; a conflict response gives the newest version.
http::Response OperatorApi::changeConfig(const http::Request &Request) {
  json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("expect_version") ||
      !Body["expect_version"].is_number_unsigned() || !Body.contains("change"))
    return makeProblemResponse(Errc::Malformed, "(body)",
                               "an object with expect_version and change");
  config::InputProblem Problem;
  auto Change = config::changeFromJson(Body["change"], Problem);
  if (!Change)
    return makeProblemResponse(Problem);
  auto BaseRow = Platform->read(ConfigRowKey);
  if (!BaseRow)
    return makeProblemResponse(BaseRow.error());
  config::ClusterConfig Config;
  if (BaseRow->Version != table::AbsentVersion) {
    auto BaseConfig = config::configFromText(BaseRow->Value);
    if (!BaseConfig)
      return makeProblemResponse(BaseConfig.error());
    Config = std::move(*BaseConfig);
  }
  uint64_t ExpectedVersion = Body["expect_version"];
  if (Config.Version != ExpectedVersion) {
    http::Response Response = makeProblemResponse(
        Errc::Conflict, "expect_version", std::to_string(Config.Version));
    json Document = json::parse(Response.Body);
    Document["winner"] = config::configToJson(Config);
    Response.Body = Document.dump();
    return Response;
  }
  if (config::applyChange(Config, *Change, Problem))
    return makeProblemResponse(Problem);
  std::string ChangeId =
      fmt::format("{}:{}", Context.Incarnation, ++ChangeCount);
  Config.RecentChangeIds.push_back(ChangeId);
  if (Config.RecentChangeIds.size() > MaxRecentChanges)
    Config.RecentChangeIds.erase(Config.RecentChangeIds.begin());
  table::Mutation ConfigWrite{.Key = std::string(ConfigRowKey),
                              .Value = config::configToJson(Config).dump(),
                              .ExpectedVersion = BaseRow->Version};
  auto Outcome = Platform->commit({&ConfigWrite, 1});
  if (Outcome && Outcome->Committed) {
    Context.Events.add("config-accepted", "config",
                       fmt::format("version={}", Config.Version));
    return makeJsonResponse(http::StatusOk, {{"version", Config.Version}});
  }
  auto CurrentRow = Platform->read(ConfigRowKey);
  if (!Outcome && (!CurrentRow || CurrentRow->Version == BaseRow->Version))
    return makeProblemResponse(Outcome.error());
  auto CurrentConfig =
      config::configFromText(CurrentRow ? CurrentRow->Value : "");
  if (!CurrentConfig)
    return makeProblemResponse(Errc::Conflict, "expect_version");
  const auto &RecentChanges = CurrentConfig->RecentChangeIds;
  if (std::find(RecentChanges.begin(), RecentChanges.end(), ChangeId) !=
      RecentChanges.end())
    return makeJsonResponse(http::StatusOk, {{"version", Config.Version}});
  return makeProblemResponse(Errc::Conflict, "expect_version",
                             std::to_string(CurrentConfig->Version));
}

bool OperatorApi::checkReferences(const config::JobSpec &Spec,
                                  config::InputProblem &Problem) const {
  auto Config = Context.Views.current()->Config;
  if (!Config->findClass(Spec.Class)) {
    Problem = {Errc::OutOfRange, "class", "the name of a class"};
    return false;
  }
  if (Spec.Team.empty())
    return true;
  const config::Team *Team = Config->findTeam(Spec.Team);
  if (!Team) {
    Problem = {Errc::OutOfRange, "team", "the name of a team, or none"};
    return false;
  }
  uint64_t ConcurrentTasks =
      Spec.Kind == config::JobKind::Gang ? Spec.Tasks : 1;
  bool Fits =
      Spec.Size.MilliCores * ConcurrentTasks <= Team->Quota.MilliCores &&
      Spec.Size.MemoryMb * ConcurrentTasks <= Team->Quota.MemoryMb &&
      Spec.Size.Accelerators * ConcurrentTasks <= Team->Quota.Accelerators;
  if (!Fits)
    Problem = {Errc::OverQuota, "team",
               "tasks that fit into the team's total quota"};
  return Fits;
}

/// Rejects a job that no shard could ever hold, with the reason in \p Problem.
Result<std::string>
OperatorApi::chooseShard(const config::JobSpec &Spec,
                         config::InputProblem &Problem) const {
  auto View = Context.Views.current();
  auto ShardId = entry::chooseShard(View->List.Instances, Spec,
                                    Context.Options.ShardsPerZone, {});
  if (ShardId)
    return *ShardId;
  Problem = {
      Errc::Infeasible, "tasks",
      "a task size and count that fit on the instances of one empty shard"};
  return Errc::Infeasible;
}

http::Response OperatorApi::submitJob(const http::Request &Request) {
  if (!Context.Views.current()->Config)
    return makeProblemResponse(Errc::NotReady);
  config::InputProblem Problem;
  json Body = json::parse(Request.Body, nullptr, false);
  auto Spec = config::jobSpecFromJson(Body, Problem);
  if (!Spec)
    return makeProblemResponse(Problem);
  if (!checkReferences(*Spec, Problem))
    return makeProblemResponse(Problem);
  auto ShardId = chooseShard(*Spec, Problem);
  if (!ShardId)
    return makeProblemResponse(Problem);
  return commitJob(*Spec, *ShardId);
}

http::Response OperatorApi::respondToExistingJob(const config::JobSpec &Spec,
                                                 const table::Row &Row) const {
  json ExistingJob = json::parse(Row.Value, nullptr, false);
  if (ExistingJob.is_object() &&
      ExistingJob["spec"] == config::jobSpecToJson(Spec))
    return makeJsonResponse(http::StatusAccepted,
                            {{"id", Spec.Id}, {"shard", ExistingJob["shard"]}});
  return makeProblemResponse(Errc::Conflict, "id",
                             "an id that no other job uses");
}

/// Commits the job's row and the command to its shard's owner in one
/// transaction. A job is reported as accepted only after this commit.
http::Response OperatorApi::commitJob(const config::JobSpec &Spec,
                                      const std::string &ShardId) {
  std::vector<table::Mutation> Mutations = {
      {.Key = entry::jobRowKey(Spec.Id),
       .Value = entry::jobRowText(ShardId, Spec, "accepted")},
      {.Key = entry::inboxPrefix(ShardId) + Spec.Id + ":accept",
       .Value = entry::inboxAcceptText({Spec, wallMicros()})}};
  auto Outcome = Platform->commit(Mutations);
  if (Outcome && Outcome->Committed) {
    Context.Events.add("job-accepted", Spec.Id, "shard=" + ShardId);
    notifyShardOwner(ShardId);
    return makeJsonResponse(http::StatusAccepted,
                            {{"id", Spec.Id}, {"shard", ShardId}});
  }
  if (!Outcome && Outcome.error() != Errc::AnswerLost &&
      Outcome.error() != Errc::Timeout)
    return makeProblemResponse(Outcome.error());
  auto Row = Platform->read(entry::jobRowKey(Spec.Id));
  if (!Row)
    return makeProblemResponse(Errc::AnswerLost);
  if (Row->Version == table::AbsentVersion)
    return makeProblemResponse(Outcome ? make_error_code(Errc::Conflict)
                                       : Outcome.error());
  return respondToExistingJob(Spec, *Row);
}

/// Makes the shard's owner read its inbox now instead of at its next poll.
void OperatorApi::notifyShardOwner(const std::string &ShardId) {
  auto View = Context.Views.current();
  for (const entry::ShardRow &Shard : View->Shards) {
    if (Shard.Id != ShardId)
      continue;
    if (Shard.Owner == Context.Options.Name)
      Shards.pollInbox();
    for (const entry::Member &Member : View->Members) {
      if (Member.Name == Shard.Owner)
        (void)Peers.WakeInboxCalls.push({Member.PeerAddress});
    }
  }
}

http::Response OperatorApi::showJob(const std::string &JobId) {
  auto Row = Platform->read(entry::jobRowKey(JobId));
  if (!Row)
    return makeProblemResponse(Row.error());
  if (Row->Version == table::AbsentVersion)
    return makeProblemResponse(Errc::NotFound, "id",
                               "the id of an accepted job");
  json Document = json::parse(Row->Value);
  auto JobDocuments = collectJobDocuments(JobId);
  if (!JobDocuments) {
    Document["progress_unknown"] = JobDocuments.error().message();
    return makeJsonResponse(http::StatusOk, Document);
  }
  json Progress = mergeLists(*JobDocuments, "jobs");
  if (!Progress.empty())
    Document["progress"] = std::move(Progress.front());
  return makeJsonResponse(http::StatusOk, Document);
}

http::Response OperatorApi::listJobs() {
  auto JobDocuments = collectJobDocuments("");
  if (!JobDocuments)
    return makeProblemResponse(JobDocuments.error());
  return makeJsonResponse(http::StatusOk,
                          {{"jobs", mergeLists(*JobDocuments, "jobs")}});
}

http::Response OperatorApi::stopJob(const std::string &JobId) {
  auto Row = Platform->read(entry::jobRowKey(JobId));
  if (!Row)
    return makeProblemResponse(Row.error());
  if (Row->Version == table::AbsentVersion)
    return makeProblemResponse(Errc::NotFound, "id",
                               "the id of an accepted job");
  json Job = json::parse(Row->Value);
  if (Job["state"] != "accepted")
    return makeJsonResponse(http::StatusOk,
                            {{"id", JobId}, {"state", Job["state"]}});
  std::string ShardId = Job["shard"];
  table::Mutation StopCommand{.Key =
                                  entry::inboxPrefix(ShardId) + JobId + ":stop",
                              .Value = entry::inboxStopText(JobId)};
  auto Outcome = Platform->commit({&StopCommand, 1});
  // A conflict means that the inbox already holds the same command.
  if (!Outcome)
    return makeProblemResponse(Outcome.error());
  notifyShardOwner(ShardId);
  return makeJsonResponse(http::StatusAccepted,
                          {{"id", JobId}, {"state", "stopping"}});
}

http::Response OperatorApi::showTimeline(const http::Request &Request) {
  std::string AfterText = http::queryValue(Request.Target, "after");
  uint64_t AfterStamp = 0;
  auto Parsed = std::from_chars(
      AfterText.data(), AfterText.data() + AfterText.size(), AfterStamp);
  if (!AfterText.empty() && (Parsed.ec != std::errc() ||
                             Parsed.ptr != AfterText.data() + AfterText.size()))
    return makeProblemResponse(Errc::OutOfRange, "after", "a timeline stamp");
  auto Promise = std::make_shared<std::promise<std::vector<Event>>>();
  auto Future = Promise->get_future();
  std::vector<Event> Events;
  if (Peers.EventsCalls.push({AfterStamp, MaxTimelineEvents, Promise}) &&
      Future.wait_for(PeerResponseTimeout) == std::future_status::ready)
    Events = Future.get();
  else
    Events = Context.Events.since(AfterStamp, MaxTimelineEvents);
  std::stable_sort(Events.begin(), Events.end(),
                   [](const Event &Left, const Event &Right) {
                     return Left.Stamp < Right.Stamp;
                   });
  json Document = {{"events", json::array()}};
  for (const Event &TimelineEvent : Events)
    Document["events"].push_back(
        {{"stamp", TimelineEvent.Stamp},
         {"wall_us", HybridClock::wallMicros(TimelineEvent.Stamp)},
         {"entry", TimelineEvent.Entry},
         {"kind", TimelineEvent.Kind},
         {"subject", TimelineEvent.Subject},
         {"detail", TimelineEvent.Detail}});
  return makeJsonResponse(http::StatusOk, Document);
}

http::Response OperatorApi::showMetrics() {
  return {.Status = http::StatusOk,
          .Headers = {{"Content-Type", "text/plain; version=0.0.4"}},
          .Body = Context.ProcessMetrics.render()};
}

} // namespace daisylanding::op
