#include "entry/JournalStore.h"

#include "entry/Ownership.h"
#include "table/Wire.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace daisylanding::entry {

using nlohmann::json;

std::string inboxPrefix(std::string_view ShardId) {
  return fmt::format("inbox/{}/", ShardId);
}

std::string inboxAcceptText(const shard::JobAccepted &Job) {
  json Document = {{"accept", config::jobSpecToJson(Job.Spec)},
                   {"wall", Job.WallMicros},
                   {"done", Job.SucceededTasks},
                   {"attempt_base", Job.AttemptBase}};
  return Document.dump();
}

std::string inboxStopText(std::string_view Job) {
  json Document = {{"stop", Job}};
  return Document.dump();
}

Result<shard::InboxItem> inboxFromRow(const table::Row &Row) {
  try {
    json Document = json::parse(Row.Value);
    shard::InboxItem Item{.Key = Row.Key,
                          .Version = Row.Version,
                          .StoppedJob = Document.value("stop", "")};
    if (!Document.contains("accept"))
      return Item;
    config::InputProblem Problem;
    auto Spec = config::jobSpecFromJson(Document.at("accept"), Problem);
    if (!Spec)
      return Spec.error();
    Item.AcceptedJob =
        shard::JobAccepted{std::move(*Spec), Document.at("wall"),
                           Document.at("done"), Document.at("attempt_base")};
    return Item;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

std::string jobRowKey(std::string_view Job) {
  return fmt::format("job/{}", Job);
}

std::string jobRowText(std::string_view ShardId, const config::JobSpec &Spec,
                       std::string_view State) {
  json Document = {{"shard", ShardId},
                   {"spec", config::jobSpecToJson(Spec)},
                   {"state", State}};
  return Document.dump();
}

JournalStore::JournalStore(table::Table &Store, table::ObjectStore &Objects,
                           ShardRow OwnedShard)
    : Store(Store), Objects(Objects), OwnedShard(std::move(OwnedShard)) {}

std::string JournalStore::rowKey(uint64_t Sequence) const {
  return fmt::format("journal/{}/{:012}", OwnedShard.Id, Sequence);
}

table::Mutation JournalStore::ownershipCheck() const {
  return {.Kind = table::Operation::Check,
          .Key = shardRowKey(OwnedShard.Id),
          .ExpectedVersion = OwnedShard.RowVersion};
}

/// Reads the ownership row again. Fenced if it has another epoch or owner.
std::error_code JournalStore::refreshOwnership() {
  auto Row = Store.read(shardRowKey(OwnedShard.Id));
  if (!Row)
    return Row.error();
  auto Current = shardFromRow(*Row);
  if (!Current)
    return Current.error();
  if (Current->Epoch != OwnedShard.Epoch ||
      Current->OwnerIncarnation != OwnedShard.OwnerIncarnation)
    return Errc::Fenced;
  OwnedShard = std::move(*Current);
  return {};
}

Result<LoadedShard> JournalStore::load() {
  if (auto Failure = refreshOwnership())
    return Failure;
  LoadedShard Content;
  Content.LastSequence = OwnedShard.SnapshotSequence;
  if (!OwnedShard.Snapshot.empty()) {
    auto Text = Objects.fetch(OwnedShard.Snapshot);
    if (!Text)
      return Text.error();
    Content.Snapshot = std::move(*Text);
  }
  std::string Prefix = fmt::format("journal/{}/", OwnedShard.Id);
  auto Rows = Store.scan(Prefix);
  if (!Rows)
    return Rows.error();
  for (const table::Row &Row : *Rows) {
    uint64_t Sequence = 0;
    const char *End = Row.Key.data() + Row.Key.size();
    std::from_chars(Row.Key.data() + Prefix.size(), End, Sequence);
    RowVersions[Sequence] = Row.Version;
    if (Sequence <= OwnedShard.SnapshotSequence)
      continue; // In the snapshot; not yet deleted.
    auto Parsed = shard::journalRowFromText(Row.Value);
    if (!Parsed)
      return Parsed.error();
    Content.Rows.push_back(std::move(*Parsed));
    Content.LastSequence = Sequence;
  }
  LastSequence = Content.LastSequence;
  return Content;
}

/// Whether the row at the group's sequence holds this group. Fenced if it holds
/// another owner's group.
Result<bool> JournalStore::isWritten(const shard::JournalGroup &Group) {
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

/// Adds the writes that set the state of the group's ended jobs in their rows.
std::error_code
JournalStore::addJobStateWrites(const shard::JournalGroup &Group,
                                std::vector<table::Mutation> &Mutations) {
  for (const shard::JobEnded &End : Group.EndedJobs) {
    auto Row = Store.read(jobRowKey(End.Job));
    if (!Row)
      return Row.error();
    json Document = json::parse(Row->Value, nullptr, false);
    if (!Document.is_object())
      continue;
    Document["state"] = shard::outcomeName(End.Outcome);
    Mutations.push_back({.Key = Row->Key,
                         .Value = Document.dump(),
                         .ExpectedVersion = Row->Version});
  }
  return {};
}

/// Adds the writes that hand the group's moved jobs to other shards.
std::error_code
JournalStore::addJobMoveWrites(const shard::JournalGroup &Group,
                               std::vector<table::Mutation> &Mutations) {
  for (const shard::JobMove &Move : Group.MovedJobs) {
    const config::JobSpec &Spec = Move.Job.Spec;
    auto Row = Store.read(jobRowKey(Spec.Id));
    if (!Row)
      return Row.error();
    Mutations.push_back(
        {.Key = Row->Key,
         .Value = jobRowText(Move.TargetShard, Spec, "accepted"),
         .ExpectedVersion = Row->Version});
    Mutations.push_back(
        {.Key = inboxPrefix(Move.TargetShard) + Spec.Id + ":accept",
         .Value = inboxAcceptText(Move.Job)});
  }
  return {};
}

std::error_code JournalStore::append(const shard::JournalGroup &Group) {
  if (Group.Sequence <= LastSequence)
    return {};
  std::vector<table::Mutation> Mutations = {ownershipCheck()};
  Mutations.push_back({.Key = rowKey(Group.Sequence),
                       .Value = shard::journalRowToText(Group.Row)});
  for (const shard::InboxItem &Item : Group.ConsumedItems)
    Mutations.push_back({.Kind = table::Operation::Delete,
                         .Key = Item.Key,
                         .ExpectedVersion = Item.Version});
  if (auto Failure = addJobStateWrites(Group, Mutations))
    return Failure;
  if (auto Failure = addJobMoveWrites(Group, Mutations))
    return Failure;
  auto Outcome = Store.commit(Mutations);
  if (Outcome && Outcome->Committed) {
    RowVersions[Group.Sequence] = Outcome->Versions[1];
    LastSequence = Group.Sequence;
    return {};
  }
  if (!Outcome && (Outcome.error() == Errc::Unreachable ||
                   Outcome.error() == Errc::BudgetExhausted))
    return Outcome.error();
  // Lost answer or conflict: the row tells whether the group was written.
  auto Written = isWritten(Group);
  if (!Written)
    return Written.error();
  if (*Written) {
    LastSequence = Group.Sequence;
    return {};
  }
  if (auto Failure = refreshOwnership())
    return Failure;
  return Errc::Conflict;
}

std::error_code JournalStore::compact(const std::string &Snapshot,
                                      uint64_t Sequence) {
  std::string Key = fmt::format("snapshot/{}/{}-{}", OwnedShard.Id,
                                OwnedShard.Epoch, Sequence);
  if (auto Failure = Objects.put(Key, Snapshot))
    return Failure;
  ShardRow NewRow = OwnedShard;
  NewRow.Snapshot = Key;
  NewRow.SnapshotSequence = Sequence;
  std::vector<table::Mutation> Mutations = {
      {.Key = shardRowKey(OwnedShard.Id),
       .Value = shardToText(NewRow),
       .ExpectedVersion = OwnedShard.RowVersion}};
  for (const auto &[Covered, Version] : RowVersions) {
    if (Covered <= Sequence)
      Mutations.push_back({.Kind = table::Operation::Delete,
                           .Key = rowKey(Covered),
                           .ExpectedVersion = Version});
  }
  auto Outcome = Store.commit(Mutations);
  if (!Outcome || !Outcome->Committed)
    return refreshOwnership();
  NewRow.RowVersion = Outcome->Versions.front();
  OwnedShard = std::move(NewRow);
  std::erase_if(RowVersions,
                [&](const auto &Item) { return Item.first <= Sequence; });
  return {};
}

Result<std::vector<shard::InboxItem>> JournalStore::readInbox() {
  auto Rows = Store.scan(inboxPrefix(OwnedShard.Id));
  if (!Rows)
    return Rows.error();
  std::vector<shard::InboxItem> Items;
  for (const table::Row &Row : *Rows) {
    auto Item = inboxFromRow(Row);
    if (Item)
      Items.push_back(std::move(*Item));
  }
  return Items;
}

Result<table::Resources>
JournalStore::adjustShare(const std::string &Team,
                          const table::Resources &Quota,
                          const shard::QuotaDemand &Demand) {
  std::string Key = fmt::format("quota/{}", Team);
  auto Row = Store.read(Key);
  if (!Row)
    return Row.error();
  policy::QuotaShares Shares;
  json Document = json::parse(Row->Value, nullptr, false);
  if (!Document.is_object())
    Document = json::object();
  for (const auto &Item : Document.items())
    Shares[Item.key()] = table::resourcesFromJson(Item.value());
  table::Resources CurrentShare = Shares[OwnedShard.Id];
  table::Resources NewShare = policy::planShare(Shares, Quota, OwnedShard.Id,
                                                Demand.Used, Demand.Wanted);
  if (NewShare == CurrentShare && !UnresolvedShares.count(Team))
    return CurrentShare;
  Document[OwnedShard.Id] = table::resourcesToJson(NewShare);
  std::vector<table::Mutation> Mutations = {
      ownershipCheck(),
      {.Key = Key, .Value = Document.dump(), .ExpectedVersion = Row->Version}};
  auto Outcome = Store.commit(Mutations);
  if (!Outcome) {
    UnresolvedShares.insert(Team);
    return Outcome.error();
  }
  UnresolvedShares.erase(Team);
  if (!Outcome->Committed)
    return Errc::Conflict;
  return NewShare;
}

std::error_code JournalStore::release() {
  if (auto Failure = refreshOwnership())
    return Failure;
  return releaseShard(Store, OwnedShard) ? std::error_code() : Errc::Conflict;
}

} // namespace daisylanding::entry
