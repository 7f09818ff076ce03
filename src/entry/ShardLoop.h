#ifndef DAISYLANDING_ENTRY_SHARDLOOP_H
#define DAISYLANDING_ENTRY_SHARDLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "entry/Context.h"
#include "entry/JournalLoop.h"
#include "worker/WorkerLoop.h"

#include <memory>

namespace daisylanding::entry {

/// What operators are told of the shards that this entry owns.
struct ShardReport {
  std::string Id;
  uint64_t Epoch = 0;
  size_t Jobs = 0;
  size_t Pending = 0;
  size_t Running = 0;
  size_t Instances = 0;
  size_t EjectedWorkers = 0;
  double Packing = 0;
};

struct ShardAnswer {
  std::vector<shard::JobStatus> Jobs;
  std::vector<ShardReport> Shards;
};

/// A question to the shard loop; `Answer` is called on the loop's thread.
struct ShardQuery {
  std::string Job; ///< Empty: all jobs.
  std::function<void(ShardAnswer)> Answer;
};

/// The loop that runs the owned shards: it feeds each `ShardOwner` what the
/// other loops bring and carries what comes out to them.
class ShardLoop {
public:
  explicit ShardLoop(Context &Shared);

  void start();
  /// Hands all shards over, at most for \p Longest, then stops.
  void stop(Millis Longest);

  SharedQueue<ShardQuery> Queries;
  void pollInbox() { Journal.pollInbox(); }

private:
  struct Running {
    Shard Owned;
    std::unique_ptr<shard::ShardOwner> Owner; ///< Null until it is loaded.
    bool Compacting = false;
    std::set<std::string> SharesAsked;
    std::map<std::string, TimePoint> ShareChanged;
    bool Releasing = false;
  };

  void run();
  void applyView(TimePoint Now);
  void open(const Shard &Each);
  void feedView(Running &Each, TimePoint Now);
  void takeMessages(TimePoint Now);
  void onJournal(JournalReply Reply, TimePoint Now);
  void onOpened(Running &Each, const LoadedShard &Content, TimePoint Now);
  void onWritten(Running &Each, const GroupWritten &Written, TimePoint Now);
  void advance(Running &Each, TimePoint Now);
  void askShares(Running &Each, TimePoint Now);
  void note(const Running &Each, const shard::StartNotice &Notice);
  void answer(const ShardQuery &Query);
  ShardReport report(const Running &Each) const;
  void publishMetrics(TimePoint Now);
  void publishCost();
  void release(Running &Each);

  Context &Shared;
  Waker Wake;
  JournalLoop Journal;
  worker::WorkerLoop Workers;
  std::map<std::string, Running> Shards;
  std::shared_ptr<const View> Seen;
  TimePoint NextMetrics{};
  std::atomic<size_t> OwnedCount{0};
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
