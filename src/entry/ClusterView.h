#ifndef DAISYLANDING_ENTRY_CLUSTERVIEW_H
#define DAISYLANDING_ENTRY_CLUSTERVIEW_H

#include "common/Time.h"
#include "config/ClusterConfig.h"
#include "table/InstanceList.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace daisylanding::entry {

/// An entry process as described by its heartbeat row, with its liveness as
/// observed on this process's clock.
struct Member {
  std::string Name;
  std::string Incarnation; ///< Unique to each process start.
  std::string AvailabilityZone;
  std::string PeerAddress;
  std::string OperatorAddress;
  uint64_t ConfigVersion = 0;
  uint64_t ListVersion = 0;
  bool Draining = false;
  bool Alive = false;     ///< The row changed within the takeover time.
  TimePoint LastChangeAt; ///< On this process's clock.

  /// The name under which the entry holds credits.
  std::string holderName() const { return Name + "/" + Incarnation; }
};

/// A shard's ownership row.
struct ShardRow {
  std::string Id; ///< `zone.index`
  std::string Owner;
  std::string OwnerIncarnation;
  uint64_t Epoch = 0;
  uint64_t RowVersion = 0;
  std::string Snapshot; ///< Object key; empty before the first snapshot.
  /// Last journal sequence that the snapshot includes.
  uint64_t SnapshotSequence = 0;
};

/// What the sync loop knows of the cluster; immutable once published.
struct ClusterView {
  /// Null until the first configuration.
  std::shared_ptr<const config::ClusterConfig> Config;
  table::InstanceSnapshot List;
  std::vector<Member> Members;
  std::vector<ShardRow> Shards;
  std::vector<ShardRow> OwnedShards; ///< Owned by this process.
  bool PlatformReachable = false;
  /// Start of the last round that read the ownership rows. Limits how long the
  /// leases of the owned shards are renewed.
  TimePoint OwnershipConfirmedAt{};
};

/// Passes the latest view from the sync loop to all other loops. Thread-safe.
class ViewStore {
public:
  std::shared_ptr<const ClusterView> current() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Current;
  }
  void publish(std::shared_ptr<const ClusterView> View) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Current = std::move(View);
  }

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const ClusterView> Current = std::make_shared<ClusterView>();
};

/// An entry's load as gossiped between entries.
struct LoadDigest {
  std::string Entry;
  std::string AvailabilityZone;
  std::string PeerAddress;
  /// By service: free slots minus waiting requests.
  std::map<std::string, int64_t, std::less<>> FreeSlots;
  TimePoint ReceivedAt{};
};

/// The latest digest of each peer and of this process. Thread-safe.
class LoadDigestStore {
public:
  void setOwn(std::map<std::string, int64_t> FreeSlots) {
    std::lock_guard<std::mutex> Lock(Mutex);
    OwnFreeSlots = std::move(FreeSlots);
  }
  std::map<std::string, int64_t> own() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return OwnFreeSlots;
  }
  void setPeer(LoadDigest Digest) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Peers[Digest.Entry] = std::move(Digest);
    ++ChangeCount;
  }
  /// Increases with each peer digest; an unchanged count means that `peers`
  /// returns what it returned before.
  uint64_t changeCount() const { return ChangeCount.load(); }
  std::vector<LoadDigest> peers() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::vector<LoadDigest> Digests;
    for (const auto &Peer : Peers)
      Digests.push_back(Peer.second);
    return Digests;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, int64_t> OwnFreeSlots;
  std::map<std::string, LoadDigest> Peers;
  std::atomic<uint64_t> ChangeCount{0};
};

} // namespace daisylanding::entry

#endif
