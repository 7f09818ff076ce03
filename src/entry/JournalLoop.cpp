#include "entry/JournalLoop.h"

#include "common/Log.h"

namespace daisylanding::entry {

namespace {

constexpr size_t RingCapacity = 1'024;
constexpr Millis IdleWait{50};
constexpr Millis InboxInterval{500};
constexpr Millis RetryInterval{100};

} // namespace

JournalLoop::JournalLoop(EntryContext &Context,
                         std::function<void()> WakeShards)
    : Calls(RingCapacity, [this] { Wake.wake(); }),
      Replies(RingCapacity, std::move(WakeShards)), Context(Context),
      Pacer({.WritesPerSecond = Context.Options.WritesPerSecond}) {}

void JournalLoop::run() {
  Platform = Context.connectPlatform();
  while (!Loop.stopping()) {
    JournalCall Call;
    while (Calls.pop(Call))
      handleCall(std::move(Call));
    TimePoint Now = monotonicNow();
    for (auto Entry = Shards.begin(); Entry != Shards.end();) {
      processShard(Entry->first, Entry->second, Now);
      Entry = Entry->second.Store ? std::next(Entry) : Shards.erase(Entry);
    }
    readInboxes(Now);
    while (!PendingReplies.empty() && Replies.push(PendingReplies.front()))
      PendingReplies.pop_front();
    Micros Delay = IdleWait;
    for (const auto &Entry : Shards) {
      if (Entry.second.PendingGroup)
        Delay = std::min<Micros>(
            Delay,
            std::max<Micros>(
                Pacer.delay(Entry.second.PendingGroup->Row.Records.size(),
                            Context.WriteBudget.level(Now), Now),
                RetryAt - Now));
    }
    if (Delay > Micros(0))
      Wake.wait(Delay);
  }
}

void JournalLoop::addReply(const std::string &ShardId, uint64_t Epoch,
                           decltype(JournalReply::Content) Content) {
  PendingReplies.push_back({ShardId, Epoch, std::move(Content)});
}

JournalLoop::OpenShard *JournalLoop::findShard(const std::string &ShardId,
                                               uint64_t Epoch) {
  auto Found = Shards.find(ShardId);
  if (Found == Shards.end() || Found->second.Epoch != Epoch ||
      !Found->second.Store)
    return nullptr;
  return &Found->second;
}

void JournalLoop::handleCall(JournalCall Call) {
  if (auto *OpenCall = std::get_if<OpenJournal>(&Call)) {
    OpenShard &Shard = Shards[OpenCall->OwnedShard.Id];
    Shard = {};
    Shard.Epoch = OpenCall->OwnedShard.Epoch;
    Shard.Store = std::make_unique<JournalStore>(*Platform, *Platform,
                                                 OpenCall->OwnedShard);
  } else if (auto *AppendCall = std::get_if<AppendGroup>(&Call)) {
    if (OpenShard *Shard = findShard(AppendCall->ShardId, AppendCall->Epoch))
      Shard->PendingGroup = std::move(AppendCall->Group);
  } else if (auto *CompactCall = std::get_if<CompactJournal>(&Call)) {
    compactJournal(*CompactCall);
  } else if (auto *AdjustCall = std::get_if<AdjustShare>(&Call)) {
    adjustShare(*AdjustCall);
  } else if (auto *ReleaseCall = std::get_if<ReleaseJournal>(&Call)) {
    if (OpenShard *Shard = findShard(ReleaseCall->ShardId, ReleaseCall->Epoch))
      Shard->Releasing = true;
  }
}

void JournalLoop::reportFenced(const std::string &ShardId, OpenShard &Shard) {
  Context.Events.add("shard-fenced", ShardId,
                     fmt::format("epoch={}", Shard.Epoch));
  addReply(ShardId, Shard.Epoch, JournalFenced{});
  Shard.Store.reset();
}

void JournalLoop::processShard(const std::string &ShardId, OpenShard &Shard,
                               TimePoint Now) {
  if (Now < RetryAt)
    return;
  if (!Shard.Loaded)
    loadShard(ShardId, Shard);
  else if (Shard.PendingGroup)
    appendGroup(ShardId, Shard, Now);
  else if (Shard.Releasing && !Shard.Store->release())
    reportFenced(ShardId, Shard);
}

void JournalLoop::loadShard(const std::string &ShardId, OpenShard &Shard) {
  auto Content = Shard.Store->load();
  if (Content) {
    Shard.Loaded = true;
    addReply(ShardId, Shard.Epoch, JournalOpened{std::move(*Content)});
    return;
  }
  if (Content.error() == Errc::Malformed)
    logError("journal-unreadable", "shard={}", ShardId);
  if (Content.error() == Errc::Fenced)
    reportFenced(ShardId, Shard);
  else
    RetryAt = monotonicNow() + RetryInterval;
}

void JournalLoop::appendGroup(const std::string &ShardId, OpenShard &Shard,
                              TimePoint Now) {
  size_t RecordCount = Shard.PendingGroup->Row.Records.size();
  if (Pacer.delay(RecordCount, Context.WriteBudget.level(Now), Now) > Micros(0))
    return;
  std::error_code Failure = Shard.Store->append(*Shard.PendingGroup);
  Pacer.noteWrite(monotonicNow());
  if (Failure == Errc::Fenced) {
    reportFenced(ShardId, Shard);
    return;
  }
  if (Failure) {
    RetryAt = monotonicNow() + RetryInterval;
    return;
  }
  Context.ProcessMetrics.count("journal_groups_total");
  Context.ProcessMetrics.count("journal_records_total",
                               static_cast<double>(RecordCount));
  GroupWritten Written{.Sequence = Shard.PendingGroup->Sequence,
                       .JournalLength = Shard.Store->journalLength()};
  Shard.PendingGroup.reset();
  addReply(ShardId, Shard.Epoch, Written);
}

void JournalLoop::readInboxes(TimePoint Now) {
  if (!InboxPollRequested.exchange(false) && Now < NextInboxRead)
    return;
  NextInboxRead = Now + InboxInterval;
  for (auto &[ShardId, Shard] : Shards) {
    if (!Shard.Loaded || !Shard.Store)
      continue;
    auto Items = Shard.Store->readInbox();
    if (Items && !Items->empty())
      addReply(ShardId, Shard.Epoch, InboxRead{std::move(*Items)});
  }
}

void JournalLoop::adjustShare(const AdjustShare &Call) {
  OpenShard *Shard = findShard(Call.ShardId, Call.Epoch);
  if (!Shard)
    return;
  ShareAdjusted Adjusted{
      .Team = Call.Team,
      .Share = Shard->Store->adjustShare(Call.Team, Call.Quota, Call.Demand)};
  addReply(Call.ShardId, Call.Epoch, std::move(Adjusted));
}

void JournalLoop::compactJournal(const CompactJournal &Call) {
  OpenShard *Shard = findShard(Call.ShardId, Call.Epoch);
  if (!Shard || Shard->Store->compact(Call.Snapshot, Call.Sequence))
    return;
  Context.Events.add("journal-compacted", Call.ShardId,
                     fmt::format("sequence={}", Call.Sequence));
}

} // namespace daisylanding::entry
