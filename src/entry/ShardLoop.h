#ifndef DAISYLANDING_ENTRY_SHARDLOOP_H
#define DAISYLANDING_ENTRY_SHARDLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "entry/EntryContext.h"
#include "entry/JournalLoop.h"
#include "worker/WorkerLoop.h"

#include <memory>

namespace daisylanding::entry {

/// The state of an owned shard, for operators.
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

/// A query to the shard loop. `Done` is called on the loop's thread.
struct ShardQuery {
  std::string Job; ///< Empty: all jobs.
  std::function<void(ShardAnswer)> Done;
};

/// The loop that runs the owned shards. It passes views, journal replies and
/// worker reports to each `ShardOwner`, and its journal writes and worker calls
/// to the other loops.
class ShardLoop {
public:
  explicit ShardLoop(EntryContext &Context);

  void start();
  /// Waits until all shards are released, at most for \p Limit, then stops.
  void stop(Millis Limit);

  SharedQueue<ShardQuery> Queries;
  void pollInbox() { Journal.pollInbox(); }

private:
  struct RunningShard {
    ShardRow OwnedShard;
    /// Null until the journal is loaded.
    std::unique_ptr<shard::ShardOwner> Owner;
    bool Compacting = false;
    std::set<std::string> RequestedShares;
    std::map<std::string, TimePoint> ShareChangedAt;
    bool Releasing = false;
  };

  void run();
  void applyView(TimePoint Now);
  void openShard(const ShardRow &Shard);
  void applyViewTo(RunningShard &Shard, TimePoint Now);
  void handleMessages(TimePoint Now);
  void onJournal(JournalReply Reply, TimePoint Now);
  void onJournalOpened(RunningShard &Shard, const LoadedShard &Content,
                       TimePoint Now);
  void onGroupWritten(RunningShard &Shard, const GroupWritten &Written,
                      TimePoint Now);
  void advance(RunningShard &Shard, TimePoint Now);
  void requestShares(RunningShard &Shard, TimePoint Now);
  void recordStart(const RunningShard &Shard, const shard::StartNotice &Notice);
  void answerQuery(const ShardQuery &Query);
  ShardReport report(const RunningShard &Shard) const;
  void publishMetrics(TimePoint Now);
  void publishProcessMetrics();
  void requestRelease(RunningShard &Shard);

  EntryContext &Context;
  Waker Wake;
  JournalLoop Journal;
  worker::WorkerLoop Workers;
  std::map<std::string, RunningShard> Shards;
  std::shared_ptr<const ClusterView> View;
  TimePoint NextMetricsAt{};
  std::atomic<size_t> OwnedCount{0};
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
