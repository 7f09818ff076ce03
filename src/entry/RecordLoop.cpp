#include "entry/RecordLoop.h"

#include "common/Log.h"

#include <kj/encoding.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylanding::entry {

using nlohmann::json;

namespace {

constexpr size_t MaxGroup = 64;
constexpr size_t RingCapacity = 4'096;
constexpr Millis IdleWait{50};

/// Completions kept while the table is away; older ones are let go, and
/// their requests stay unresolved for later tries.
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
  json Out = {{"token", Record.Token},
              {"body_hash", Record.BodyHash},
              {"answered", Record.Answered}};
  if (Record.Answered) {
    Out["status"] = Record.Answer.Status;
    Out["headers"] = Record.Answer.Headers;
    Out["body"] = encodeBody(Record.Answer.Body);
  }
  return Out.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<RequestRecord> recordFromText(std::string_view Text) {
  try {
    json Source = json::parse(Text);
    RequestRecord Out;
    Out.Token = Source.at("token");
    Out.BodyHash = Source.at("body_hash");
    Out.Answered = Source.at("answered");
    if (Out.Answered) {
      Out.Answer.Status = Source.at("status");
      Out.Answer.Headers =
          Source.at("headers").get<std::vector<http::Header>>();
      Out.Answer.Body = decodeBody(Source.at("body"));
    }
    return Out;
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
}

void RecordWriter::remember(const std::string &Key, uint64_t Version) {
  // A forgotten version is read again from the table.
  if (Versions.size() >= MaxBacklog)
    Versions.clear();
  Versions[Key] = Version;
}

void RecordWriter::settle(Pending &Each, RecordStatus Status,
                          std::string_view RowText,
                          std::vector<RecordReply> &Replies) {
  Each.Settled = true;
  RecordReply Reply{
      .Kind = Each.Call.Kind, .Id = Each.Call.Id, .Status = Status};
  if (Status == RecordStatus::Exists) {
    if (auto Earlier = recordFromText(RowText))
      Reply.Earlier = std::move(*Earlier);
  }
  if (Each.Call.Kind == RecordKind::Complete ||
      Each.Call.Kind == RecordKind::Release)
    Versions.erase(Each.Call.Key);
  Replies.push_back(std::move(Reply));
}

/// Finds the version of the row that a completion or release changes.
bool RecordWriter::locate(Pending &Each) {
  if (Each.Call.Kind == RecordKind::Reserve ||
      Each.Call.Kind == RecordKind::Lookup)
    return true;
  auto Known = Versions.find(Each.Call.Key);
  if (Known != Versions.end()) {
    Each.Version = Known->second;
    return true;
  }
  auto Row = Store.read(Each.Call.Key);
  if (!Row)
    return false;
  auto Record = recordFromText(Row->Value);
  bool Mine = Record && Record->Token == Each.Call.Record.Token;
  Each.Settled = !Mine || Record->Answered;
  Each.Version = Row->Version;
  return true;
}

namespace {

table::Mutation mutationOf(const RecordCall &Call, uint64_t Version) {
  table::Mutation Out{.Key = Call.Key, .ExpectedVersion = Version};
  switch (Call.Kind) {
  case RecordKind::Reserve:
  case RecordKind::Complete:
    Out.Kind = table::Operation::Put;
    Out.Value = recordToText(Call.Record);
    break;
  case RecordKind::Release:
    Out.Kind = table::Operation::Delete;
    break;
  case RecordKind::Lookup:
    Out.Kind = table::Operation::Check;
    break;
  }
  return Out;
}

} // namespace

/// One transaction over the unsettled calls; true when all are settled or
/// nothing more can be done now.
bool RecordWriter::attempt(std::vector<Pending> &Group,
                           std::vector<RecordReply> &Replies) {
  std::vector<table::Mutation> Mutations;
  std::vector<Pending *> Order;
  for (Pending &Each : Group) {
    if (Each.Settled)
      continue;
    Mutations.push_back(mutationOf(Each.Call, Each.Version));
    Order.push_back(&Each);
  }
  if (Order.empty())
    return true;
  auto Outcome = Store.commit(Mutations);
  if (!Outcome) {
    if (Outcome.error() != Errc::Unreachable &&
        Outcome.error() != Errc::BudgetExhausted)
      resolve(Group, Replies);
    return true;
  }
  if (Outcome->Committed) {
    for (size_t I = 0; I < Order.size(); ++I) {
      if (Order[I]->Call.Kind == RecordKind::Reserve)
        remember(Order[I]->Call.Key, Outcome->Versions[I]);
      settle(*Order[I], RecordStatus::Done, {}, Replies);
    }
    return true;
  }
  for (const table::Row &Row : Outcome->Conflicts) {
    for (Pending *Each : Order) {
      if (Each->Call.Key == Row.Key && !Each->Settled)
        settle(*Each, RecordStatus::Exists, Row.Value, Replies);
    }
  }
  return false;
}

/// After a lost answer: reads each row to learn whether the write took.
void RecordWriter::resolve(std::vector<Pending> &Group,
                           std::vector<RecordReply> &Replies) {
  for (Pending &Each : Group) {
    if (Each.Settled)
      continue;
    auto Row = Store.read(Each.Call.Key);
    if (!Row)
      continue;
    auto Record = recordFromText(Row->Value);
    bool Mine = Record && Record->Token == Each.Call.Record.Token;
    switch (Each.Call.Kind) {
    case RecordKind::Reserve:
      if (Mine) {
        remember(Each.Call.Key, Row->Version);
        settle(Each, RecordStatus::Done, {}, Replies);
      } else if (Record) {
        settle(Each, RecordStatus::Exists, Row->Value, Replies);
      }
      break;
    case RecordKind::Complete:
      if (!Mine || Record->Answered)
        settle(Each, RecordStatus::Done, {}, Replies);
      break;
    case RecordKind::Release:
      if (!Mine)
        settle(Each, RecordStatus::Done, {}, Replies);
      break;
    case RecordKind::Lookup:
      settle(Each, Record ? RecordStatus::Exists : RecordStatus::Done,
             Row->Value, Replies);
      break;
    }
  }
}

void RecordWriter::commitGroup(std::vector<Pending> &Group,
                               std::vector<RecordReply> &Replies) {
  for (Pending &Each : Group) {
    if (!locate(Each))
      break; // The table is away; what is unsettled is handled below.
  }
  constexpr int MaxRounds = 8;
  for (int Round = 0; Round < MaxRounds; ++Round) {
    if (attempt(Group, Replies))
      break;
  }
  for (Pending &Each : Group) {
    if (Each.Settled)
      continue;
    bool Lasting = Each.Call.Kind == RecordKind::Complete ||
                   Each.Call.Kind == RecordKind::Release;
    if (!Lasting)
      settle(Each, RecordStatus::Unavailable, {}, Replies);
    else if (Unwritten.size() < MaxBacklog)
      Unwritten.push_back(std::move(Each.Call));
  }
}

std::vector<RecordReply> RecordWriter::write(std::vector<RecordCall> Calls) {
  std::vector<RecordReply> Replies;
  std::vector<Pending> Group;
  // A completion must not overtake the reservation of the same key, and one
  // transaction can't hold a key twice.
  std::deque<RecordCall> Queue;
  std::swap(Queue, Unwritten);
  for (RecordCall &Each : Calls)
    Queue.push_back(std::move(Each));
  while (!Queue.empty()) {
    Group.clear();
    std::deque<RecordCall> Later;
    for (RecordCall &Each : Queue) {
      bool Taken =
          std::any_of(Group.begin(), Group.end(), [&](const Pending &Other) {
            return Other.Call.Key == Each.Key;
          });
      if (Taken || Group.size() >= MaxGroup)
        Later.push_back(std::move(Each));
      else
        Group.push_back({.Call = std::move(Each)});
    }
    Queue = std::move(Later);
    size_t Before = Unwritten.size();
    commitGroup(Group, Replies);
    if (Unwritten.size() > Before && !Queue.empty()) {
      // The table is away: keep what lasts, answer the rest at once.
      for (RecordCall &Each : Queue) {
        Pending Rest{.Call = std::move(Each)};
        bool Lasting = Rest.Call.Kind == RecordKind::Complete ||
                       Rest.Call.Kind == RecordKind::Release;
        if (Lasting && Unwritten.size() < MaxBacklog)
          Unwritten.push_back(std::move(Rest.Call));
        else
          settle(Rest, RecordStatus::Unavailable, {}, Replies);
      }
      break;
    }
  }
  return Replies;
}

RecordLoop::RecordLoop(Context &Shared, std::function<void()> WakeFront)
    : Calls(RingCapacity, [this] { Wake.wake(); }),
      Replies(RingCapacity, std::move(WakeFront)), Shared(Shared) {}

void RecordLoop::run() {
  auto Platform = Shared.connectPlatform();
  RecordWriter Writer(*Platform);
  policy::CommitPacer Pacer(
      {.WritesPerSecond = Shared.Options.WritesPerSecond});
  std::vector<RecordCall> Group;
  std::deque<RecordReply> Undelivered;
  while (!Loop.stopping()) {
    RecordCall Call;
    while (Calls.pop(Call))
      Group.push_back(std::move(Call));
    TimePoint Now = monotonicNow();
    bool HasWork = !Group.empty() || Writer.backlog() > 0;
    Micros Delay = Pacer.delay(Group.size(), Shared.Budget.level(Now), Now);
    if (!HasWork || Delay > Micros(0)) {
      Wake.wait(HasWork ? std::min<Micros>(Delay, IdleWait) : IdleWait);
    } else {
      for (RecordReply &Each : Writer.write(std::exchange(Group, {})))
        Undelivered.push_back(std::move(Each));
      Pacer.noteWrite(monotonicNow());
      if (Writer.backlog() > 0)
        Wake.wait(IdleWait);
    }
    while (!Undelivered.empty() && Replies.push(Undelivered.front()))
      Undelivered.pop_front();
  }
}

} // namespace daisylanding::entry
