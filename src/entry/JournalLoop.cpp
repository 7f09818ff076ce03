#include "entry/JournalLoop.h"

#include "common/Log.h"

namespace daisylanding::entry {

namespace {

constexpr size_t RingCapacity = 1'024;
constexpr Millis IdleWait{50};
constexpr Millis InboxInterval{500};
constexpr Millis RetryInterval{100};

} // namespace

JournalLoop::JournalLoop(Context &Shared, std::function<void()> WakeShards)
    : Calls(RingCapacity, [this] { Wake.wake(); }),
      Replies(RingCapacity, std::move(WakeShards)), Shared(Shared),
      Pacer({.WritesPerSecond = Shared.Options.WritesPerSecond}) {}

void JournalLoop::run() {
  Platform = Shared.connectPlatform();
  while (!Loop.stopping()) {
    JournalCall Call;
    while (Calls.pop(Call))
      accept(std::move(Call));
    TimePoint Now = monotonicNow();
    for (auto Each = Shards.begin(); Each != Shards.end();) {
      work(Each->first, Each->second, Now);
      Each = Each->second.Store ? std::next(Each) : Shards.erase(Each);
    }
    readInboxes(Now);
    while (!Undelivered.empty() && Replies.push(Undelivered.front()))
      Undelivered.pop_front();
    Micros Delay = IdleWait;
    for (const auto &Each : Shards) {
      if (Each.second.Group)
        Delay = std::min<Micros>(
            Delay,
            std::max<Micros>(Pacer.delay(Each.second.Group->Row.Records.size(),
                                         Shared.Budget.level(Now), Now),
                             RetryAt - Now));
    }
    if (Delay > Micros(0))
      Wake.wait(Delay);
  }
}

void JournalLoop::reply(const std::string &Id, uint64_t Epoch,
                        decltype(JournalReply::Content) Content) {
  Undelivered.push_back({Id, Epoch, std::move(Content)});
}

JournalLoop::OpenShard *JournalLoop::find(const std::string &Shard,
                                          uint64_t Epoch) {
  auto Found = Shards.find(Shard);
  if (Found == Shards.end() || Found->second.Epoch != Epoch ||
      !Found->second.Store)
    return nullptr;
  return &Found->second;
}

void JournalLoop::accept(JournalCall Call) {
  if (auto *Open = std::get_if<OpenJournal>(&Call)) {
    OpenShard &Each = Shards[Open->Owned.Id];
    Each = {};
    Each.Epoch = Open->Owned.Epoch;
    Each.Store =
        std::make_unique<JournalStore>(*Platform, *Platform, Open->Owned);
  } else if (auto *Append = std::get_if<AppendGroup>(&Call)) {
    if (OpenShard *Each = find(Append->Shard, Append->Epoch))
      Each->Group = std::move(Append->Group);
  } else if (auto *Compact = std::get_if<CompactJournal>(&Call)) {
    compact(*Compact);
  } else if (auto *Move = std::get_if<MoveShare>(&Call)) {
    moveShare(*Move);
  } else if (auto *Release = std::get_if<ReleaseJournal>(&Call)) {
    if (OpenShard *Each = find(Release->Shard, Release->Epoch))
      Each->Releasing = true;
  }
}

void JournalLoop::fence(const std::string &Id, OpenShard &Each) {
  Shared.Events.add("shard-fenced", Id, fmt::format("epoch={}", Each.Epoch));
  reply(Id, Each.Epoch, JournalFenced{});
  Each.Store.reset();
}

void JournalLoop::work(const std::string &Id, OpenShard &Each, TimePoint Now) {
  if (Now < RetryAt)
    return;
  if (!Each.Loaded)
    load(Id, Each);
  else if (Each.Group)
    append(Id, Each, Now);
  else if (Each.Releasing && !Each.Store->release())
    fence(Id, Each);
}

void JournalLoop::load(const std::string &Id, OpenShard &Each) {
  auto Content = Each.Store->load();
  if (Content) {
    Each.Loaded = true;
    reply(Id, Each.Epoch, JournalOpened{std::move(*Content)});
    return;
  }
  if (Content.error() == Errc::Malformed)
    logError("journal-unreadable", "shard={}", Id);
  if (Content.error() == Errc::Fenced)
    fence(Id, Each);
  else
    RetryAt = monotonicNow() + RetryInterval;
}

void JournalLoop::append(const std::string &Id, OpenShard &Each,
                         TimePoint Now) {
  size_t Items = Each.Group->Row.Records.size();
  if (Pacer.delay(Items, Shared.Budget.level(Now), Now) > Micros(0))
    return;
  std::error_code Failure = Each.Store->append(*Each.Group);
  Pacer.noteWrite(monotonicNow());
  if (Failure == Errc::Fenced) {
    fence(Id, Each);
    return;
  }
  if (Failure) {
    RetryAt = monotonicNow() + RetryInterval;
    return;
  }
  Shared.Numbers.count("journal_groups_total");
  Shared.Numbers.count("journal_records_total", static_cast<double>(Items));
  GroupWritten Written{.Sequence = Each.Group->Sequence,
                       .JournalLength = Each.Store->journalLength()};
  Each.Group.reset();
  reply(Id, Each.Epoch, Written);
}

void JournalLoop::readInboxes(TimePoint Now) {
  if (!PollNow.exchange(false) && Now < NextInbox)
    return;
  NextInbox = Now + InboxInterval;
  for (auto &[Id, Each] : Shards) {
    if (!Each.Loaded || !Each.Store)
      continue;
    auto Items = Each.Store->readInbox();
    if (Items && !Items->empty())
      reply(Id, Each.Epoch, InboxRead{std::move(*Items)});
  }
}

void JournalLoop::moveShare(const MoveShare &Call) {
  OpenShard *Each = find(Call.Shard, Call.Epoch);
  if (!Each)
    return;
  ShareMoved Moved{
      .Team = Call.Team,
      .Share = Each->Store->moveShare(Call.Team, Call.Quota, Call.Demand)};
  reply(Call.Shard, Call.Epoch, std::move(Moved));
}

void JournalLoop::compact(const CompactJournal &Call) {
  OpenShard *Each = find(Call.Shard, Call.Epoch);
  if (!Each || Each->Store->compact(Call.Snapshot, Call.Sequence))
    return;
  Shared.Events.add("journal-compacted", Call.Shard,
                    fmt::format("sequence={}", Call.Sequence));
}

} // namespace daisylanding::entry
