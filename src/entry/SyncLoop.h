#ifndef DAISYLANDING_ENTRY_SYNCLOOP_H
#define DAISYLANDING_ENTRY_SYNCLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "entry/Context.h"
#include "entry/Ownership.h"

#include <optional>

namespace daisylanding::entry {

/// Keeps this process's view of the platform: the instance list, the
/// configuration, the members, and which shards it owns.
class SyncLoop {
public:
  explicit SyncLoop(Context &Shared);

  void start() {
    Loop.start("sync", [this] { run(); });
  }
  void stop() {
    Wake.wake();
    Loop.join();
  }

  /// A configuration heard from a peer; it was committed, so a higher version
  /// may be applied. Callable from one thread.
  Ring<std::string> FromPeers;

private:
  void run();
  void pollList(table::InstanceList &List);
  void pollConfig(table::Table &Store);
  void offerConfig(std::string_view Text);
  void beat(table::Table &Store, TimePoint Now);
  bool writeHeartbeat(table::Table &Store);
  void readMembers(table::Table &Store, TimePoint Now);
  std::optional<std::vector<Shard>> readShards(table::Table &Store) const;
  void claimShards(table::Table &Store, TimePoint Now);
  void claim(table::Table &Store, Shard &Each, const Member &Self);
  void publish();

  Context &Shared;
  Waker Wake;
  View Draft;
  std::string ConfigText;
  uint64_t HeartbeatVersion = 0;
  uint64_t HeartbeatCount = 0;
  std::map<std::string, uint64_t> MemberRowVersions;
  /// When the last full round ended; silence of others counts only while
  /// this process was itself watching.
  TimePoint LastRound{};
  TimePoint NextList{};
  TimePoint NextConfig{};
  TimePoint NextBeat{};
  Thread Loop;
};

} // namespace daisylanding::entry

#endif
