#include "entry/RecordLoop.h"

#include "common/Log.h"

#include <kj/encoding.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylanding::entry {

using nlohmann::json;

namespace {

constexpr size_t MaxGroupSize = 64;
constexpr size_t RingCapacity = 4'096;
constexpr Millis IdleWait{50};

/// Limit of completions and releases kept while the table is unavailable.
/// Further completions are dropped, and their requests stay unresolved for
/// later tries.
constexpr size_t MaxBacklog = 4'096;

std::string encodeBody(const std::string &Body) {
  auto Bytes = kj::arrayPtr(reinterpret_cast<const kj::byte *>(Body.data()),
                            Body.size());
  return kj::encodeBase64(Bytes).cStr();
}

std::string decodeBody(const std::string &Text) {
  auto Bytes = kj::decodeBase64(kj::arrayPtr(Text.data(), Text.size()));
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

} // namespace

std::string recordToText(const RequestRecord &Record) {
  json Document = {{"token", Record.Token},
                   {"body_hash", Record.BodyHash},
                   {"answered", Record.Answered}};
  if (Record.Answered) {
    Document["status"] = Record.Answer.Status;
    Document["headers"] = Record.Answer.Headers;
    Document["body"] = encodeBody(Record.Answer.Body);
  }
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<RequestRecord> recordFromText(std::string_view Text) {
  try {
    json Document = json::parse(Text);
    RequestRecord Record;
    Record.Token = Document.at("token");
    Record.BodyHash = Document.at("body_hash");
    Record.Answered = Document.at("answered");
    if (Record.Answered) {
      Record.Answer.Status = Document.at("status");
      Record.Answer.Headers =
          Document.at("headers").get<std::vector<http::Header>>();
      Record.Answer.Body = decodeBody(Document.at("body"));
    }
    return Record;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

void RecordWriter::cacheVersion(const std::string &Key, uint64_t Version) {
  // A version that is not cached is read from the table.
  if (ReservedVersions.size() >= MaxBacklog)
    ReservedVersions.clear();
  ReservedVersions[Key] = Version;
}

void RecordWriter::addReply(PendingCall &Pending, RecordStatus Status,
                            std::string_view RowText,
                            std::vector<RecordReply> &Replies) {
  Pending.Resolved = true;
  RecordReply Reply{.Operation = Pending.Call.Operation,
                    .Id = Pending.Call.Id,
                    .Status = Status};
  if (Status == RecordStatus::Exists) {
    if (auto EarlierRecord = recordFromText(RowText))
      Reply.EarlierRecord = std::move(*EarlierRecord);
  }
  if (Pending.Call.Operation == RecordOperation::Complete ||
      Pending.Call.Operation == RecordOperation::Release)
    ReservedVersions.erase(Pending.Call.Key);
  Replies.push_back(std::move(Reply));
}

/// Sets the version of the row that a completion or release replaces. Returns
/// false if the table could not be read.
bool RecordWriter::findRowVersion(PendingCall &Pending) {
  if (Pending.Call.Operation == RecordOperation::Reserve ||
      Pending.Call.Operation == RecordOperation::Lookup)
    return true;
  auto CachedVersion = ReservedVersions.find(Pending.Call.Key);
  if (CachedVersion != ReservedVersions.end()) {
    Pending.Version = CachedVersion->second;
    return true;
  }
  auto Row = Store.read(Pending.Call.Key);
  if (!Row)
    return false;
  auto Record = recordFromText(Row->Value);
  bool OwnRecord = Record && Record->Token == Pending.Call.Record.Token;
  Pending.Resolved = !OwnRecord || Record->Answered;
  Pending.Version = Row->Version;
  return true;
}

namespace {

table::Mutation mutationOf(const RecordCall &Call, uint64_t Version) {
  table::Mutation Mutation{.Key = Call.Key, .ExpectedVersion = Version};
  switch (Call.Operation) {
  case RecordOperation::Reserve:
  case RecordOperation::Complete:
    Mutation.Kind = table::Operation::Put;
    Mutation.Value = recordToText(Call.Record);
    break;
  case RecordOperation::Release:
    Mutation.Kind = table::Operation::Delete;
    break;
  case RecordOperation::Lookup:
    Mutation.Kind = table::Operation::Check;
    break;
  }
  return Mutation;
}

} // namespace

/// Commits the unresolved calls in one transaction. Returns true if all are
/// resolved or nothing more can be done now, false after a conflict.
bool RecordWriter::tryCommit(std::vector<PendingCall> &Group,
                             std::vector<RecordReply> &Replies) {
  std::vector<table::Mutation> Mutations;
  std::vector<PendingCall *> Sent;
  for (PendingCall &Pending : Group) {
    if (Pending.Resolved)
      continue;
    Mutations.push_back(mutationOf(Pending.Call, Pending.Version));
    Sent.push_back(&Pending);
  }
  if (Sent.empty())
    return true;
  auto Outcome = Store.commit(Mutations);
  if (!Outcome) {
    if (Outcome.error() != Errc::Unreachable &&
        Outcome.error() != Errc::BudgetExhausted)
      resolveFromRows(Group, Replies);
    return true;
  }
  if (Outcome->Committed) {
    for (size_t I = 0; I < Sent.size(); ++I) {
      if (Sent[I]->Call.Operation == RecordOperation::Reserve)
        cacheVersion(Sent[I]->Call.Key, Outcome->Versions[I]);
      addReply(*Sent[I], RecordStatus::Done, {}, Replies);
    }
    return true;
  }
  for (const table::Row &Row : Outcome->Conflicts) {
    for (PendingCall *Pending : Sent) {
      if (Pending->Call.Key == Row.Key && !Pending->Resolved)
        addReply(*Pending, RecordStatus::Exists, Row.Value, Replies);
    }
  }
  return false;
}

/// After a lost answer: reads each row to learn whether its write committed.
void RecordWriter::resolveFromRows(std::vector<PendingCall> &Group,
                                   std::vector<RecordReply> &Replies) {
  for (PendingCall &Pending : Group) {
    if (Pending.Resolved)
      continue;
    auto Row = Store.read(Pending.Call.Key);
    if (!Row)
      continue;
    auto Record = recordFromText(Row->Value);
    bool OwnRecord = Record && Record->Token == Pending.Call.Record.Token;
    switch (Pending.Call.Operation) {
    case RecordOperation::Reserve:
      if (OwnRecord) {
        cacheVersion(Pending.Call.Key, Row->Version);
        addReply(Pending, RecordStatus::Done, {}, Replies);
      } else if (Record) {
        addReply(Pending, RecordStatus::Exists, Row->Value, Replies);
      }
      break;
    case RecordOperation::Complete:
      if (!OwnRecord || Record->Answered)
        addReply(Pending, RecordStatus::Done, {}, Replies);
      break;
    case RecordOperation::Release:
      if (!OwnRecord)
        addReply(Pending, RecordStatus::Done, {}, Replies);
      break;
    case RecordOperation::Lookup:
      addReply(Pending, Record ? RecordStatus::Exists : RecordStatus::Done,
               Row->Value, Replies);
      break;
    }
  }
}

void RecordWriter::commitGroup(std::vector<PendingCall> &Group,
                               std::vector<RecordReply> &Replies) {
  for (PendingCall &Pending : Group) {
    if (!findRowVersion(Pending))
      break; // The table is unavailable; unresolved calls are handled below.
  }
  constexpr int MaxRounds = 8;
  for (int Round = 0; Round < MaxRounds; ++Round) {
    if (tryCommit(Group, Replies))
      break;
  }
  for (PendingCall &Pending : Group) {
    if (Pending.Resolved)
      continue;
    bool MustPersist = Pending.Call.Operation == RecordOperation::Complete ||
                       Pending.Call.Operation == RecordOperation::Release;
    if (!MustPersist)
      addReply(Pending, RecordStatus::Unavailable, {}, Replies);
    else if (Backlog.size() < MaxBacklog)
      Backlog.push_back(std::move(Pending.Call));
  }
}

std::vector<RecordReply> RecordWriter::write(std::vector<RecordCall> Calls) {
  std::vector<RecordReply> Replies;
  std::vector<PendingCall> Group;
  // A completion must not overtake the reservation of its key, and a
  // transaction can't hold a key twice.
  std::deque<RecordCall> Queue;
  std::swap(Queue, Backlog);
  for (RecordCall &Call : Calls)
    Queue.push_back(std::move(Call));
  while (!Queue.empty()) {
    Group.clear();
    std::deque<RecordCall> Deferred;
    for (RecordCall &Call : Queue) {
      bool KeyTaken = std::any_of(
          Group.begin(), Group.end(),
          [&](const PendingCall &Other) { return Other.Call.Key == Call.Key; });
      if (KeyTaken || Group.size() >= MaxGroupSize)
        Deferred.push_back(std::move(Call));
      else
        Group.push_back({.Call = std::move(Call)});
    }
    Queue = std::move(Deferred);
    size_t BacklogBefore = Backlog.size();
    commitGroup(Group, Replies);
    if (Backlog.size() > BacklogBefore && !Queue.empty()) {
      // The table is unavailable: keep completions and releases, answer the
      // rest.
      for (RecordCall &Call : Queue) {
        PendingCall Remaining{.Call = std::move(Call)};
        bool MustPersist =
            Remaining.Call.Operation == RecordOperation::Complete ||
            Remaining.Call.Operation == RecordOperation::Release;
        if (MustPersist && Backlog.size() < MaxBacklog)
          Backlog.push_back(std::move(Remaining.Call));
        else
          addReply(Remaining, RecordStatus::Unavailable, {}, Replies);
      }
      break;
    }
  }
  return Replies;
}

RecordLoop::RecordLoop(EntryContext &Context,
                       std::function<void()> WakeRequestLoop)
    : Calls(RingCapacity, [this] { Wake.wake(); }),
      Replies(RingCapacity, std::move(WakeRequestLoop)), Context(Context) {}

void RecordLoop::run() {
  auto Platform = Context.connectPlatform();
  RecordWriter Writer(*Platform);
  policy::CommitPacer Pacer(
      {.WritesPerSecond = Context.Options.WritesPerSecond});
  std::vector<RecordCall> Group;
  std::deque<RecordReply> PendingReplies;
  while (!Loop.stopping()) {
    RecordCall Call;
    while (Calls.pop(Call))
      Group.push_back(std::move(Call));
    TimePoint Now = monotonicNow();
    bool HasWork = !Group.empty() || Writer.backlog() > 0;
    Micros Delay =
        Pacer.delay(Group.size(), Context.WriteBudget.level(Now), Now);
    if (!HasWork || Delay > Micros(0)) {
      Wake.wait(HasWork ? std::min<Micros>(Delay, IdleWait) : IdleWait);
    } else {
      for (RecordReply &Reply : Writer.write(std::exchange(Group, {})))
        PendingReplies.push_back(std::move(Reply));
      Pacer.noteWrite(monotonicNow());
      if (Writer.backlog() > 0)
        Wake.wait(IdleWait);
    }
    while (!PendingReplies.empty() && Replies.push(PendingReplies.front()))
      PendingReplies.pop_front();
  }
}

} // namespace daisylanding::entry
