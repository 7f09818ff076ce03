#ifndef DAISYLANDING_ENTRY_RESCUELOOP_H
#define DAISYLANDING_ENTRY_RESCUELOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "entry/EntryContext.h"
#include "entry/JournalStore.h"

namespace daisylanding::entry {

/// Plans the group that moves the movable jobs of a lost shard to other zones.
/// The leases of its tasks must have expired. Jobs bound to the zone stay.
shard::JournalGroup planRescue(shard::ShardState &State,
                               std::span<const table::Instance> Instances,
                               const config::ClusterConfig &Config,
                               std::string_view LostZone,
                               uint32_t ShardsPerZone, TimePoint Now);

/// Moves jobs of movable classes out of a lost zone. It acquires each shard of
/// the zone, so that the previous owner can start nothing more, waits until all
/// leases granted there have expired, hands the jobs to shards of other zones
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
  std::set<std::string> RescuedShards; ///< No movable jobs left.
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
