#include "entry/JournalStore.h"

#include "entry/Ownership.h"
#include "table/Wire.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace daisylanding::entry {

using nlohmann::json;

std::string inboxPrefix(std::string_view Shard) {
  return fmt::format("inbox/{}/", Shard);
}

std::string inboxAccept(const shard::JobAccepted &Job) {
  json Out = {{"accept", config::jobSpecToJson(Job.Spec)},
              {"wall", Job.WallMicros},
              {"done", Job.SucceededTasks},
              {"attempt_base", Job.AttemptBase}};
  return Out.dump();
}

std::string inboxStop(std::string_view Job) {
  json Out = {{"stop", Job}};
  return Out.dump();
}

Result<shard::InboxItem> inboxFromRow(const table::Row &Row) {
  try {
    json Source = json::parse(Row.Value);
    shard::InboxItem Out{.Key = Row.Key,
                         .Version = Row.Version,
                         .StoppedJob = Source.value("stop", "")};
    if (!Source.contains("accept"))
      return Out;
    config::InputProblem Problem;
    auto Spec = config::jobSpecFromJson(Source.at("accept"), Problem);
    if (!Spec)
      return Spec.error();
    Out.AcceptedJob =
        shard::JobAccepted{std::move(*Spec), Source.at("wall"),
                           Source.at("done"), Source.at("attempt_base")};
    return Out;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

std::string jobRowKey(std::string_view Job) {
  return fmt::format("job/{}", Job);
}

std::string jobRowText(std::string_view Shard, const config::JobSpec &Spec,
                       std::string_view State) {
  json Out = {{"shard", Shard},
              {"spec", config::jobSpecToJson(Spec)},
              {"state", State}};
  return Out.dump();
}

JournalStore::JournalStore(table::Table &Store, table::ObjectStore &Objects,
                           Shard Owned)
    : Store(Store), Objects(Objects), Owned(std::move(Owned)) {}

std::string JournalStore::rowKey(uint64_t Sequence) const {
  return fmt::format("journal/{}/{:012}", Owned.Id, Sequence);
}

table::Mutation JournalStore::ownershipCheck() const {
  return {.Kind = table::Operation::Check,
          .Key = shardRowKey(Owned.Id),
          .ExpectedVersion = Owned.RowVersion};
}

/// Reads the ownership row again: Fenced when its epoch is another.
std::error_code JournalStore::refreshOwnership() {
  auto Row = Store.read(shardRowKey(Owned.Id));
  if (!Row)
    return Row.error();
  auto Current = shardFromRow(*Row);
  if (!Current)
    return Current.error();
  if (Current->Epoch != Owned.Epoch ||
      Current->OwnerIncarnation != Owned.OwnerIncarnation)
    return Errc::Fenced;
  Owned = std::move(*Current);
  return {};
}

Result<LoadedShard> JournalStore::load() {
  if (auto Failure = refreshOwnership())
    return Failure;
  LoadedShard Out;
  Out.LastSequence = Owned.SnapshotSequence;
  if (!Owned.Snapshot.empty()) {
    auto Text = Objects.fetch(Owned.Snapshot);
    if (!Text)
      return Text.error();
    Out.Snapshot = std::move(*Text);
  }
  std::string Prefix = fmt::format("journal/{}/", Owned.Id);
  auto Rows = Store.scan(Prefix);
  if (!Rows)
    return Rows.error();
  for (const table::Row &Row : *Rows) {
    uint64_t Sequence = 0;
    const char *End = Row.Key.data() + Row.Key.size();
    std::from_chars(Row.Key.data() + Prefix.size(), End, Sequence);
    RowVersions[Sequence] = Row.Version;
    if (Sequence <= Owned.SnapshotSequence)
      continue; // Covered; its deletion is still to come.
    auto Parsed = shard::journalRowFromText(Row.Value);
    if (!Parsed)
      return Parsed.error();
    Out.Rows.push_back(std::move(*Parsed));
    Out.LastSequence = Sequence;
  }
  Last = Out.LastSequence;
  return Out;
}

/// Whether the row of the group's sequence holds this very group.
Result<bool> JournalStore::alreadyWritten(const shard::JournalGroup &Group) {
  auto Row = Store.read(rowKey(Group.Sequence));
  if (!Row)
    return Row.error();
  if (Row->Version == table::AbsentVersion)
    return false;
  auto Parsed = shard::journalRowFromText(Row->Value);
  if (!Parsed)
    return Parsed.error();
  if (Parsed->Token != Group.Row.Token)
    return Errc::Fenced;
  RowVersions[Group.Sequence] = Row->Version;
  return true;
}

/// Adds the writes that mark the group's ended jobs in their own rows.
std::error_code
JournalStore::closeJobs(const shard::JournalGroup &Group,
                        std::vector<table::Mutation> &Mutations) {
  for (const shard::JobEnded &Each : Group.EndedJobs) {
    auto Row = Store.read(jobRowKey(Each.Job));
    if (!Row)
      return Row.error();
    json Document = json::parse(Row->Value, nullptr, false);
    if (!Document.is_object())
      continue;
    Document["state"] = shard::outcomeName(Each.Outcome);
    Mutations.push_back({.Key = Row->Key,
                         .Value = Document.dump(),
                         .ExpectedVersion = Row->Version});
  }
  return {};
}

/// Adds the writes that hand the group's moved jobs to other shards.
std::error_code
JournalStore::moveJobs(const shard::JournalGroup &Group,
                       std::vector<table::Mutation> &Mutations) {
  for (const shard::JobMove &Each : Group.MovedJobs) {
    const config::JobSpec &Spec = Each.Job.Spec;
    auto Row = Store.read(jobRowKey(Spec.Id));
    if (!Row)
      return Row.error();
    Mutations.push_back(
        {.Key = Row->Key,
         .Value = jobRowText(Each.TargetShard, Spec, "accepted"),
         .ExpectedVersion = Row->Version});
    Mutations.push_back(
        {.Key = inboxPrefix(Each.TargetShard) + Spec.Id + ":accept",
         .Value = inboxAccept(Each.Job)});
  }
  return {};
}

std::error_code JournalStore::append(const shard::JournalGroup &Group) {
  if (Group.Sequence <= Last)
    return {};
  std::vector<table::Mutation> Mutations = {ownershipCheck()};
  Mutations.push_back({.Key = rowKey(Group.Sequence),
                       .Value = shard::journalRowToText(Group.Row)});
  for (const shard::InboxItem &Each : Group.ConsumedItems)
    Mutations.push_back({.Kind = table::Operation::Delete,
                         .Key = Each.Key,
                         .ExpectedVersion = Each.Version});
  if (auto Failure = closeJobs(Group, Mutations))
    return Failure;
  if (auto Failure = moveJobs(Group, Mutations))
    return Failure;
  auto Outcome = Store.commit(Mutations);
  if (Outcome && Outcome->Committed) {
    RowVersions[Group.Sequence] = Outcome->Versions[1];
    Last = Group.Sequence;
    return {};
  }
  if (!Outcome && (Outcome.error() == Errc::Unreachable ||
                   Outcome.error() == Errc::BudgetExhausted))
    return Outcome.error();
  // Lost answer or conflict: the row itself tells whether it was written.
  auto Written = alreadyWritten(Group);
  if (!Written)
    return Written.error();
  if (*Written) {
    Last = Group.Sequence;
    return {};
  }
  if (auto Failure = refreshOwnership())
    return Failure;
  return Errc::Conflict;
}

std::error_code JournalStore::compact(const std::string &Snapshot,
                                      uint64_t Sequence) {
  std::string Key =
      fmt::format("snapshot/{}/{}-{}", Owned.Id, Owned.Epoch, Sequence);
  if (auto Failure = Objects.put(Key, Snapshot))
    return Failure;
  Shard Next = Owned;
  Next.Snapshot = Key;
  Next.SnapshotSequence = Sequence;
  std::vector<table::Mutation> Mutations = {
      {.Key = shardRowKey(Owned.Id),
       .Value = shardToText(Next),
       .ExpectedVersion = Owned.RowVersion}};
  for (const auto &[Covered, Version] : RowVersions) {
    if (Covered <= Sequence)
      Mutations.push_back({.Kind = table::Operation::Delete,
                           .Key = rowKey(Covered),
                           .ExpectedVersion = Version});
  }
  auto Outcome = Store.commit(Mutations);
  if (!Outcome || !Outcome->Committed)
    return refreshOwnership();
  Next.RowVersion = Outcome->Versions.front();
  Owned = std::move(Next);
  std::erase_if(RowVersions,
                [&](const auto &Each) { return Each.first <= Sequence; });
  return {};
}

Result<std::vector<shard::InboxItem>> JournalStore::readInbox() {
  auto Rows = Store.scan(inboxPrefix(Owned.Id));
  if (!Rows)
    return Rows.error();
  std::vector<shard::InboxItem> Out;
  for (const table::Row &Row : *Rows) {
    auto Item = inboxFromRow(Row);
    if (Item)
      Out.push_back(std::move(*Item));
  }
  return Out;
}

Result<table::Resources>
JournalStore::moveShare(const std::string &Team, const table::Resources &Quota,
                        const shard::QuotaDemand &Demand) {
  std::string Key = fmt::format("quota/{}", Team);
  auto Row = Store.read(Key);
  if (!Row)
    return Row.error();
  policy::QuotaShares Shares;
  json Document = json::parse(Row->Value, nullptr, false);
  if (!Document.is_object())
    Document = json::object();
  for (const auto &Each : Document.items())
    Shares[Each.key()] = table::resourcesFromJson(Each.value());
  table::Resources Held = Shares[Owned.Id];
  table::Resources Next =
      policy::planShare(Shares, Quota, Owned.Id, Demand.Used, Demand.Wanted);
  if (Next == Held && !OpenShares.count(Team))
    return Held;
  Document[Owned.Id] = table::resourcesToJson(Next);
  std::vector<table::Mutation> Mutations = {
      ownershipCheck(),
      {.Key = Key, .Value = Document.dump(), .ExpectedVersion = Row->Version}};
  auto Outcome = Store.commit(Mutations);
  if (!Outcome) {
    OpenShares.insert(Team);
    return Outcome.error();
  }
  OpenShares.erase(Team);
  if (!Outcome->Committed)
    return Errc::Conflict;
  return Next;
}

std::error_code JournalStore::release() {
  if (auto Failure = refreshOwnership())
    return Failure;
  return releaseShard(Store, Owned) ? std::error_code() : Errc::Conflict;
}

} // namespace daisylanding::entry
