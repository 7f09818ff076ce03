#ifndef DAISYLANDING_ENTRY_RESCUELOOP_H
#define DAISYLANDING_ENTRY_RESCUELOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "entry/EntryContext.h"
#include "entry/JournalStore.h"

namespace daisylanding::entry {

/// The group that moves a lost shard's movable jobs to other zones. Its leased
/// tasks must be over when this is called. Jobs bound to the zone stay.
shard::JournalGroup planRescue(shard::ShardState &State,
                               std::span<const table::Instance> Instances,
                               const config::ClusterConfig &Config,
                               std::string_view LostZone,
                               uint32_t ShardsPerZone, TimePoint Now);

/// Moves the work of classes that move out of a zone that is lost: takes each
/// of its shards over, so that its owner can start nothing more, waits until
/// every lease given there has lapsed, hands the jobs to other zones' shards
/// and releases the shard.
class RescueLoop {
public:
  explicit RescueLoop(EntryContext &Context) : Context(Context) {}

  void start() {
    Loop.start("rescue", [this] { run(); });
  }
  void stop() {
    Loop.requestStop();
    Wake.wake();
    Loop.join();
  }

private:
  void run();
  void rescueLostShards(table::HttpPlatform &Platform);
  bool moveJobs(JournalStore &Journal, const std::string &Zone);
  std::optional<std::string>
  lostZone(const ShardRow &Shard, const ClusterView &View, TimePoint Now) const;
  bool waitUntil(TimePoint Until);

  EntryContext &Context;
  Waker Wake;
  std::set<std::string> RescuedShards; ///< Shards with nothing left to move.
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
