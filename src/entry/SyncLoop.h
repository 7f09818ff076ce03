#ifndef DAISYLANDING_ENTRY_SYNCLOOP_H
#define DAISYLANDING_ENTRY_SYNCLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "entry/EntryContext.h"
#include "entry/Ownership.h"

#include <optional>

namespace daisylanding::entry {

/// Keeps this process's view of the platform: the instance list, the
/// configuration, the members, and which shards it owns.
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

  /// A configuration heard from a peer; it was committed, so a higher version
  /// may be applied. Callable from one thread.
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
  /// When the last full round ended; silence of others counts only while
  /// this process was itself watching.
  TimePoint LastMemberRead{};
  TimePoint NextListPoll{};
  TimePoint NextConfigPoll{};
  TimePoint NextHeartbeat{};
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
