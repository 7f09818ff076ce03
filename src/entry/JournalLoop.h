#ifndef DAISYLANDING_ENTRY_JOURNALLOOP_H
#define DAISYLANDING_ENTRY_JOURNALLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "entry/Context.h"
#include "entry/JournalStore.h"
#include "policy/CommitPacer.h"

#include <deque>
#include <memory>
#include <variant>

namespace daisylanding::entry {

/// Calls to the journal loop; each names the shard and its epoch.
struct OpenJournal {
  Shard Owned;
};
struct AppendGroup {
  std::string Shard;
  uint64_t Epoch = 0;
  shard::JournalGroup Group;
};
struct CompactJournal {
  std::string Shard;
  uint64_t Epoch = 0;
  std::string Snapshot;
  uint64_t Sequence = 0;
};
struct MoveShare {
  std::string Shard;
  uint64_t Epoch = 0;
  std::string Team;
  table::Resources Quota;
  shard::QuotaDemand Demand;
};
struct ReleaseJournal {
  std::string Shard;
  uint64_t Epoch = 0;
};
using JournalCall = std::variant<OpenJournal, AppendGroup, CompactJournal,
                                 MoveShare, ReleaseJournal>;

/// What the journal loop reports; `Epoch` tells old reports from new ones.
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
struct ShareMoved {
  std::string Team;
  Result<table::Resources> Share = Errc::Unreachable;
};
struct JournalFenced {}; ///< Another owner has the shard, or it was released.
struct JournalReply {
  std::string Shard;
  uint64_t Epoch = 0;
  std::variant<JournalOpened, GroupWritten, InboxRead, ShareMoved,
               JournalFenced>
      Content;
};

/// The thread that writes and reads the journals of the owned shards. A write
/// is tried until it is known to be written or fenced.
class JournalLoop {
public:
  JournalLoop(Context &Shared, std::function<void()> WakeShards);

  void start() {
    Loop.start("journal", [this] { run(); });
  }
  void stop() {
    Loop.requestStop();
    Wake.wake();
    Loop.join();
  }
  /// Reads the inboxes at once; another entry put something in.
  void pollInbox() {
    PollNow.store(true);
    Wake.wake();
  }

  Ring<JournalCall> Calls;
  Ring<JournalReply> Replies;

private:
  struct OpenShard {
    uint64_t Epoch = 0;
    std::unique_ptr<JournalStore> Store;
    bool Loaded = false;
    std::optional<shard::JournalGroup> Group; ///< To be written.
    bool Releasing = false;
  };

  void run();
  void accept(JournalCall Call);
  OpenShard *find(const std::string &Shard, uint64_t Epoch);
  void work(const std::string &Id, OpenShard &Each, TimePoint Now);
  void load(const std::string &Id, OpenShard &Each);
  void append(const std::string &Id, OpenShard &Each, TimePoint Now);
  void readInboxes(TimePoint Now);
  void moveShare(const MoveShare &Call);
  void compact(const CompactJournal &Call);
  void fence(const std::string &Id, OpenShard &Each);
  void reply(const std::string &Id, uint64_t Epoch,
             decltype(JournalReply::Content) Content);

  Context &Shared;
  Waker Wake;
  std::atomic<bool> PollNow{false};
  std::unique_ptr<table::HttpPlatform> Platform;
  policy::CommitPacer Pacer;
  std::map<std::string, OpenShard> Shards;
  std::deque<JournalReply> Undelivered;
  TimePoint NextInbox{};
  TimePoint RetryAt{}; ///< After a failed write.
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
