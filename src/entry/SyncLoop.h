#ifndef DAISYLANDING_ENTRY_SYNCLOOP_H
#define DAISYLANDING_ENTRY_SYNCLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "entry/EntryContext.h"
#include "entry/Ownership.h"

#include <optional>

namespace daisylanding::entry {

/// Maintains this process's view of the cluster: the instance list, the
/// configuration, the members, and the shards that it owns.
class SyncLoop {
public:
  explicit SyncLoop(EntryContext &Context);

  void start() {
    Loop.start("sync", [this] { run(); });
  }
  void stop() {
    Wake.wake();
    Loop.join();
  }

  /// Configurations received from peers. They are committed, so one with a
  /// higher version can be applied. Pushed by a single thread.
  Ring<std::string> PeerConfigs;

private:
  void run();
  void pollList(table::InstanceList &List);
  void pollConfig(table::Table &Store);
  void applyConfig(std::string_view Text);
  void syncMembership(table::Table &Store, TimePoint Now);
  bool writeHeartbeat(table::Table &Store);
  void readMembers(table::Table &Store, TimePoint Now);
  std::optional<std::vector<ShardRow>> readShards(table::Table &Store) const;
  void acquireShards(table::Table &Store, TimePoint Now);
  void acquire(table::Table &Store, ShardRow &Shard, const Member &Self);
  void publish();

  EntryContext &Context;
  Waker Wake;
  ClusterView WorkingView;
  std::string ConfigText;
  uint64_t HeartbeatVersion = 0;
  uint64_t HeartbeatCount = 0;
  std::map<std::string, uint64_t> MemberRowVersions;
  /// When the member rows were last read. The silence of another entry counts
  /// only while this process was reading them itself.
  TimePoint LastMemberRead{};
  TimePoint NextListPoll{};
  TimePoint NextConfigPoll{};
  TimePoint NextHeartbeat{};
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
