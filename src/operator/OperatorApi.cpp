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

constexpr size_t CallCapacity = 256;
constexpr Millis IdleWait{100};
constexpr Millis AnswerPatience{3'000};
constexpr uint32_t TimelineLimit = 20'000;
constexpr std::string_view ConfigKey = "config";

/// How many of the newest changes a configuration remembers by their ids, so
/// that a change whose answer was lost is recognized.
constexpr size_t RememberedChanges = 64;

json jobToJson(const shard::JobStatus &Status) {
  return {{"spec", config::jobSpecToJson(Status.Spec)},
          {"pending", Status.Pending},
          {"running", Status.Running},
          {"succeeded", Status.Succeeded},
          {"failures", Status.Failures},
          {"stopping", Status.Stopping}};
}

json shardToJson(const entry::ShardReport &Each) {
  return {{"id", Each.Id},
          {"epoch", Each.Epoch},
          {"jobs", Each.Jobs},
          {"pending", Each.Pending},
          {"running", Each.Running},
          {"instances", Each.Instances},
          {"ejected_workers", Each.EjectedWorkers},
          {"packing", Each.Packing}};
}

json memberToJson(const entry::Member &Each) {
  return {{"name", Each.Name},
          {"zone", Each.AvailabilityZone},
          {"alive", Each.Alive},
          {"draining", Each.Draining},
          {"config_version", Each.ConfigVersion},
          {"list_version", Each.ListVersion},
          {"operator", Each.OperatorAddress}};
}

/// The elements of one list in all documents.
json gathered(const std::vector<std::string> &Documents, const char *List) {
  json Out = json::array();
  for (const std::string &Text : Documents) {
    json Document = json::parse(Text, nullptr, false);
    if (!Document.is_object())
      continue;
    for (json &Each : Document[List])
      Out.push_back(std::move(Each));
  }
  return Out;
}

/// Each zone's entries, and whether none of them was heard of lately.
json zonesToJson(std::span<const entry::Member> Members) {
  std::map<std::string, std::pair<size_t, size_t>> Counts; ///< All, alive.
  for (const entry::Member &Each : Members) {
    auto &[All, Alive] = Counts[Each.AvailabilityZone];
    ++All;
    Alive += Each.Alive;
  }
  json Out = json::object();
  for (const auto &[Zone, Count] : Counts)
    Out[Zone] = {{"entries", Count.first},
                 {"alive", Count.second},
                 {"cut_off", Count.second == 0}};
  return Out;
}

bool matches(std::string_view Path, std::string_view Start,
             std::string_view End, std::string &Middle) {
  if (Path.size() <= Start.size() + End.size() || !Path.starts_with(Start) ||
      !Path.ends_with(End))
    return false;
  Path.remove_prefix(Start.size());
  Path.remove_suffix(End.size());
  Middle = Path;
  return true;
}

} // namespace

bool askJobsDocument(entry::ShardLoop &Shards, const std::string &Job,
                     std::function<void(std::string)> Done) {
  return Shards.Queries.push(
      {Job, [Done = std::move(Done)](const entry::ShardAnswer &Answer) {
         json Out = {{"shards", json::array()}, {"jobs", json::array()}};
         for (const entry::ShardReport &Each : Answer.Shards)
           Out["shards"].push_back(shardToJson(Each));
         for (const shard::JobStatus &Each : Answer.Jobs)
           Out["jobs"].push_back(jobToJson(Each));
         Done(Out.dump());
       }});
}

OperatorApi::OperatorApi(entry::EntryContext &Shared, entry::ShardLoop &Shards,
                         peer::PeerLoop &Peers)
    : Shared(Shared), Shards(Shards), Peers(Peers),
      Calls(CallCapacity, [this] { Wake.wake(); }) {}

void OperatorApi::handle(http::Request Incoming, http::Responder Respond) {
  if (!Calls.push({std::move(Incoming), Respond}))
    Respond(problem(Errc::QueueFull));
}

void OperatorApi::run() {
  Platform = Shared.connectPlatform();
  while (!Loop.stopping()) {
    Call Next;
    while (Calls.pop(Next))
      Next.Respond(route(Next.Incoming));
    Wake.wait(IdleWait);
  }
}

http::Response OperatorApi::route(const http::Request &Incoming) {
  std::string_view Path = http::targetPath(Incoming.Target);
  bool Posts = Incoming.Method == "POST";
  if (Posts && Shared.Draining.load())
    return problem(Errc::ShuttingDown);
  std::string Name;
  if (Path == "/v1/status")
    return status();
  if (Path == "/v1/config" && !Posts)
    return showConfig(!http::queryValue(Incoming.Target, "newest").empty());
  if (Path == "/v1/config/changes" && Posts)
    return changeConfig(Incoming);
  if (Path == "/v1/jobs")
    return Posts ? submitJob(Incoming) : listJobs();
  if (Posts && matches(Path, "/v1/jobs/", "/stop", Name))
    return stopJob(Name);
  if (!Posts && matches(Path, "/v1/jobs/", "", Name))
    return showJob(Name);
  if (Path == "/v1/timeline")
    return timeline(Incoming);
  if (Path == "/metrics")
    return metrics();
  return problem(Errc::NotFound, "path", "a path of the operators' interface");
}

std::vector<std::string> OperatorApi::jobDocuments(const std::string &Job) {
  auto Promise = std::make_shared<std::promise<std::vector<std::string>>>();
  auto Future = Promise->get_future();
  if (!Peers.Jobs.push({Job, Promise}) ||
      Future.wait_for(AnswerPatience) != std::future_status::ready)
    return {};
  return Future.get();
}

http::Response OperatorApi::status() {
  auto View = Shared.Views.current();
  json Out = {{"entry", Shared.Options.Name},
              {"zone", Shared.Options.AvailabilityZone},
              {"platform_reachable", View->PlatformReachable},
              {"config_version", View->Config ? View->Config->Version : 0},
              {"list_version", View->List.Version},
              {"draining", Shared.Draining.load()},
              {"spare_slots", Shared.LoadDigests.own()},
              {"zones", zonesToJson(View->Members)},
              {"entries", json::array()},
              {"shards", json::array()},
              {"shard_owners", json::object()}};
  for (const entry::Member &Each : View->Members)
    Out["entries"].push_back(memberToJson(Each));
  for (const entry::ShardRow &Each : View->Shards)
    Out["shard_owners"][Each.Id] = {{"owner", Each.Owner},
                                    {"epoch", Each.Epoch}};
  Out["shards"] = gathered(jobDocuments("(none)"), "shards");
  return answer(http::StatusOk, Out);
}

/// The configuration in force here, or the newest that was accepted.
http::Response OperatorApi::showConfig(bool Newest) {
  if (Newest) {
    auto Row = Platform->read(ConfigKey);
    if (!Row)
      return problem(Row.error());
    json Document = json::parse(Row->Value, nullptr, false);
    if (!Document.is_object())
      Document = config::configToJson({});
    return answer(http::StatusOk, Document);
  }
  auto View = Shared.Views.current();
  if (!View->Config)
    return problem(Errc::NotReady);
  return answer(http::StatusOk, config::configToJson(*View->Config));
}

/// One compare-and-set on the configuration. The caller names the version it
/// saw; the loser of a race is shown the winner's.
http::Response OperatorApi::changeConfig(const http::Request &Incoming) {
  json Body = json::parse(Incoming.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("expect_version") ||
      !Body["expect_version"].is_number_unsigned() || !Body.contains("change"))
    return problem(Errc::Malformed, "(body)",
                   "an object with expect_version and change");
  config::InputProblem Problem;
  auto Change = config::changeFromJson(Body["change"], Problem);
  if (!Change)
    return problem(Problem);
  auto Row = Platform->read(ConfigKey);
  if (!Row)
    return problem(Row.error());
  config::ClusterConfig Config;
  if (Row->Version != table::AbsentVersion) {
    auto Parsed = config::configFromText(Row->Value);
    if (!Parsed)
      return problem(Parsed.error());
    Config = std::move(*Parsed);
  }
  uint64_t Expected = Body["expect_version"];
  if (Config.Version != Expected) {
    http::Response Lost = problem(Errc::Conflict, "expect_version",
                                  std::to_string(Config.Version));
    json Document = json::parse(Lost.Body);
    Document["winner"] = config::configToJson(Config);
    Lost.Body = Document.dump();
    return Lost;
  }
  if (config::applyChange(Config, *Change, Problem))
    return problem(Problem);
  std::string ChangeId =
      fmt::format("{}:{}", Shared.Incarnation, ++ChangeCount);
  Config.RecentChangeIds.push_back(ChangeId);
  if (Config.RecentChangeIds.size() > RememberedChanges)
    Config.RecentChangeIds.erase(Config.RecentChangeIds.begin());
  table::Mutation Put{.Key = std::string(ConfigKey),
                      .Value = config::configToJson(Config).dump(),
                      .ExpectedVersion = Row->Version};
  auto Outcome = Platform->commit({&Put, 1});
  if (Outcome && Outcome->Committed) {
    Shared.Events.add("config-accepted", "config",
                      fmt::format("version={}", Config.Version));
    return answer(http::StatusOk, {{"version", Config.Version}});
  }
  auto Current = Platform->read(ConfigKey);
  if (!Outcome && (!Current || Current->Version == Row->Version))
    return problem(Outcome.error());
  auto Winner = config::configFromText(Current ? Current->Value : "");
  if (!Winner)
    return problem(Errc::Conflict, "expect_version");
  const auto &Recent = Winner->RecentChangeIds;
  if (std::find(Recent.begin(), Recent.end(), ChangeId) != Recent.end())
    return answer(http::StatusOk, {{"version", Config.Version}});
  return problem(Errc::Conflict, "expect_version",
                 std::to_string(Winner->Version));
}

bool OperatorApi::checkReferences(const config::JobSpec &Spec,
                                  config::InputProblem &Problem) const {
  auto Config = Shared.Views.current()->Config;
  if (!Config->findClass(Spec.Class)) {
    Problem = {Errc::OutOfRange, "class", "the name of a class"};
    return false;
  }
  if (Spec.Team.empty())
    return true;
  const config::Team *Owner = Config->findTeam(Spec.Team);
  if (!Owner) {
    Problem = {Errc::OutOfRange, "team", "the name of a team, or none"};
    return false;
  }
  uint64_t AtOnce = Spec.Kind == config::JobKind::Gang ? Spec.Tasks : 1;
  bool Fits = Spec.Size.MilliCores * AtOnce <= Owner->Quota.MilliCores &&
              Spec.Size.MemoryMb * AtOnce <= Owner->Quota.MemoryMb &&
              Spec.Size.Accelerators * AtOnce <= Owner->Quota.Accelerators;
  if (!Fits)
    Problem = {Errc::OverQuota, "team",
               "work that fits into the team's whole quota"};
  return Fits;
}

/// A job that no shard could ever hold is told so now, with the reason.
Result<std::string>
OperatorApi::chooseShard(const config::JobSpec &Spec,
                         config::InputProblem &Problem) const {
  auto View = Shared.Views.current();
  auto Shard = entry::chooseShard(View->List.Instances, Spec,
                                  Shared.Options.ShardsPerZone, {});
  if (Shard)
    return *Shard;
  Problem = {Errc::Infeasible, "tasks",
             "a size and number of tasks that the instances of one shard "
             "could hold when empty"};
  return Errc::Infeasible;
}

http::Response OperatorApi::submitJob(const http::Request &Incoming) {
  if (!Shared.Views.current()->Config)
    return problem(Errc::NotReady);
  config::InputProblem Problem;
  json Body = json::parse(Incoming.Body, nullptr, false);
  auto Spec = config::jobSpecFromJson(Body, Problem);
  if (!Spec)
    return problem(Problem);
  if (!checkReferences(*Spec, Problem))
    return problem(Problem);
  auto Shard = chooseShard(*Spec, Problem);
  if (!Shard)
    return problem(Problem);
  return writeJob(*Spec, *Shard);
}

http::Response OperatorApi::acceptedOrConflict(const config::JobSpec &Spec,
                                               const table::Row &Row) const {
  json Known = json::parse(Row.Value, nullptr, false);
  if (Known.is_object() && Known["spec"] == config::jobSpecToJson(Spec))
    return answer(http::StatusAccepted,
                  {{"id", Spec.Id}, {"shard", Known["shard"]}});
  return problem(Errc::Conflict, "id", "an id that no other job has");
}

/// Accepted means committed: the job's row and the command to its shard's
/// owner are written in one transaction.
http::Response OperatorApi::writeJob(const config::JobSpec &Spec,
                                     const std::string &Shard) {
  std::vector<table::Mutation> Mutations = {
      {.Key = entry::jobRowKey(Spec.Id),
       .Value = entry::jobRowText(Shard, Spec, "accepted")},
      {.Key = entry::inboxPrefix(Shard) + Spec.Id + ":accept",
       .Value = entry::inboxAcceptText({Spec, wallMicros()})}};
  auto Outcome = Platform->commit(Mutations);
  if (Outcome && Outcome->Committed) {
    Shared.Events.add("job-accepted", Spec.Id, "shard=" + Shard);
    wakeOwner(Shard);
    return answer(http::StatusAccepted, {{"id", Spec.Id}, {"shard", Shard}});
  }
  if (!Outcome && Outcome.error() != Errc::AnswerLost &&
      Outcome.error() != Errc::Timeout)
    return problem(Outcome.error());
  auto Row = Platform->read(entry::jobRowKey(Spec.Id));
  if (!Row)
    return problem(Errc::AnswerLost);
  if (Row->Version == table::AbsentVersion)
    return problem(Outcome ? make_error_code(Errc::Conflict) : Outcome.error());
  return acceptedOrConflict(Spec, *Row);
}

/// Tells the shard's owner to look into its inbox now; without it the owner
/// finds the command at its next poll.
void OperatorApi::wakeOwner(const std::string &Shard) {
  auto View = Shared.Views.current();
  for (const entry::ShardRow &Each : View->Shards) {
    if (Each.Id != Shard)
      continue;
    if (Each.Owner == Shared.Options.Name)
      Shards.pollInbox();
    for (const entry::Member &Member : View->Members) {
      if (Member.Name == Each.Owner)
        (void)Peers.Wakes.push({Member.PeerAddress});
    }
  }
}

http::Response OperatorApi::showJob(const std::string &Id) {
  auto Row = Platform->read(entry::jobRowKey(Id));
  if (!Row)
    return problem(Row.error());
  if (Row->Version == table::AbsentVersion)
    return problem(Errc::NotFound, "id", "the id of an accepted job");
  json Out = json::parse(Row->Value);
  json Progress = gathered(jobDocuments(Id), "jobs");
  if (!Progress.empty())
    Out["progress"] = std::move(Progress.front());
  return answer(http::StatusOk, Out);
}

http::Response OperatorApi::listJobs() {
  return answer(http::StatusOk, {{"jobs", gathered(jobDocuments(""), "jobs")}});
}

http::Response OperatorApi::stopJob(const std::string &Id) {
  auto Row = Platform->read(entry::jobRowKey(Id));
  if (!Row)
    return problem(Row.error());
  if (Row->Version == table::AbsentVersion)
    return problem(Errc::NotFound, "id", "the id of an accepted job");
  json Known = json::parse(Row->Value);
  if (Known["state"] != "accepted")
    return answer(http::StatusOk, {{"id", Id}, {"state", Known["state"]}});
  std::string Shard = Known["shard"];
  table::Mutation Put{.Key = entry::inboxPrefix(Shard) + Id + ":stop",
                      .Value = entry::inboxStopText(Id)};
  auto Outcome = Platform->commit({&Put, 1});
  // A conflict means that the same command waits there already.
  if (!Outcome)
    return problem(Outcome.error());
  wakeOwner(Shard);
  return answer(http::StatusAccepted, {{"id", Id}, {"state", "stopping"}});
}

http::Response OperatorApi::timeline(const http::Request &Incoming) {
  std::string Text = http::queryValue(Incoming.Target, "after");
  uint64_t After = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), After);
  if (!Text.empty() &&
      (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size()))
    return problem(Errc::OutOfRange, "after", "a stamp of the time line");
  auto Promise = std::make_shared<std::promise<std::vector<Event>>>();
  auto Future = Promise->get_future();
  std::vector<Event> Events;
  if (Peers.Events.push({After, TimelineLimit, Promise}) &&
      Future.wait_for(AnswerPatience) == std::future_status::ready)
    Events = Future.get();
  else
    Events = Shared.Events.since(After, TimelineLimit);
  std::stable_sort(Events.begin(), Events.end(),
                   [](const Event &Left, const Event &Right) {
                     return Left.Stamp < Right.Stamp;
                   });
  json Out = {{"events", json::array()}};
  for (const Event &Each : Events)
    Out["events"].push_back({{"stamp", Each.Stamp},
                             {"wall_us", HybridClock::wallMicros(Each.Stamp)},
                             {"entry", Each.Entry},
                             {"kind", Each.Kind},
                             {"subject", Each.Subject},
                             {"detail", Each.Detail}});
  return answer(http::StatusOk, Out);
}

http::Response OperatorApi::metrics() {
  return {.Status = http::StatusOk,
          .Headers = {{"Content-Type", "text/plain; version=0.0.4"}},
          .Body = Shared.ProcessMetrics.render()};
}

} // namespace daisylanding::op
