#ifndef DAISYLANDING_ENTRY_JOURNALLOOP_H
#define DAISYLANDING_ENTRY_JOURNALLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "entry/EntryContext.h"
#include "entry/JournalStore.h"
#include "policy/CommitPacer.h"

#include <deque>
#include <memory>
#include <variant>

namespace daisylanding::entry {

/// Calls to the journal loop. A call whose epoch is not that of the open shard
/// is ignored.
struct OpenJournal {
  ShardRow OwnedShard;
};
struct AppendGroup {
  std::string ShardId;
  uint64_t Epoch = 0;
  shard::JournalGroup Group;
};
struct CompactJournal {
  std::string ShardId;
  uint64_t Epoch = 0;
  std::string Snapshot;
  uint64_t Sequence = 0;
};
struct AdjustShare {
  std::string ShardId;
  uint64_t Epoch = 0;
  std::string Team;
  table::Resources Quota;
  shard::QuotaDemand Demand;
};
struct ReleaseJournal {
  std::string ShardId;
  uint64_t Epoch = 0;
};
using JournalCall = std::variant<OpenJournal, AppendGroup, CompactJournal,
                                 AdjustShare, ReleaseJournal>;

/// Replies of the journal loop. `Epoch` tells replies for an earlier ownership
/// from those for the current one.
struct JournalOpened {
  LoadedShard Content;
};
struct GroupWritten {
  uint64_t Sequence = 0;
  uint64_t JournalLength = 0;
};
struct InboxRead {
  std::vector<shard::InboxItem> Items;
};
struct ShareAdjusted {
  std::string Team;
  Result<table::Resources> Share = Errc::Unreachable;
};
struct JournalFenced {}; ///< The shard has another owner or was released.
struct JournalReply {
  std::string ShardId;
  uint64_t Epoch = 0;
  std::variant<JournalOpened, GroupWritten, InboxRead, ShareAdjusted,
               JournalFenced>
      Content;
};

/// The thread that reads and writes the journals of the owned shards. A write
/// is retried until it is known to be written or fenced.
class JournalLoop {
public:
  JournalLoop(EntryContext &Context, std::function<void()> WakeShards);

  void start() {
    Loop.start("journal", [this] { run(); });
  }
  void stop() {
    Loop.requestStop();
    Wake.wake();
    Loop.join();
  }
  /// Reads the inboxes without waiting for the next poll; called when another
  /// entry has added an item.
  void pollInbox() {
    InboxPollRequested.store(true);
    Wake.wake();
  }

  Ring<JournalCall> Calls;
  Ring<JournalReply> Replies;

private:
  struct OpenShard {
    uint64_t Epoch = 0;
    std::unique_ptr<JournalStore> Store;
    bool Loaded = false;
    std::optional<shard::JournalGroup> PendingGroup; ///< Not yet written.
    bool Releasing = false;
  };

  void run();
  void handleCall(JournalCall Call);
  OpenShard *findShard(const std::string &ShardId, uint64_t Epoch);
  void processShard(const std::string &ShardId, OpenShard &Shard,
                    TimePoint Now);
  void loadShard(const std::string &ShardId, OpenShard &Shard);
  void appendGroup(const std::string &ShardId, OpenShard &Shard, TimePoint Now);
  void readInboxes(TimePoint Now);
  void adjustShare(const AdjustShare &Call);
  void compactJournal(const CompactJournal &Call);
  void reportFenced(const std::string &ShardId, OpenShard &Shard);
  void addReply(const std::string &ShardId, uint64_t Epoch,
                decltype(JournalReply::Content) Content);

  EntryContext &Context;
  Waker Wake;
  std::atomic<bool> InboxPollRequested{false};
  std::unique_ptr<table::HttpPlatform> Platform;
  policy::CommitPacer Pacer;
  std::map<std::string, OpenShard> Shards;
  std::deque<JournalReply> PendingReplies;
  TimePoint NextInboxRead{};
  TimePoint RetryAt{}; ///< Set after a failed read or write.
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
