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

/// An entry process as its heartbeat row and this process's clock show it.
struct Member {
  std::string Name;
  std::string Incarnation; ///< Differs for each process.
  std::string AvailabilityZone;
  std::string PeerAddress;
  std::string OperatorAddress;
  uint64_t ConfigVersion = 0;
  uint64_t ListVersion = 0;
  bool Draining = false;
  bool Alive = false;     ///< Its row changed lately.
  TimePoint LastChangeAt; ///< When this process saw the row change.

  /// The name under which it holds credits.
  std::string holderName() const { return Name + "/" + Incarnation; }
};

/// A shard as its ownership row stands.
struct ShardRow {
  std::string Id; ///< zone.index
  std::string Owner;
  std::string OwnerIncarnation;
  uint64_t Epoch = 0;
  uint64_t RowVersion = 0;
  std::string Snapshot;          ///< Object key; empty before the first.
  uint64_t SnapshotSequence = 0; ///< The journal up to here is in it.
};

/// What the sync loop knows, published as a whole and never changed.
struct ClusterView {
  std::shared_ptr<const config::ClusterConfig> Config; ///< Null at first.
  table::InstanceSnapshot List;
  std::vector<Member> Members;
  std::vector<ShardRow> Shards;
  std::vector<ShardRow> OwnedShards; ///< Those that this process owns.
  bool PlatformReachable = false;
  /// When the last round that found this process's ownership began.
  TimePoint OwnershipConfirmedAt{};
};

/// Hands the newest view from the sync loop to all others.
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

/// What entries tell each other about load.
struct LoadDigest {
  std::string Entry;
  std::string AvailabilityZone;
  std::string PeerAddress;
  /// Free slots less waiting requests, by service.
  std::map<std::string, int64_t, std::less<>> FreeSlots;
  TimePoint ReceivedAt{};
};

/// The newest digest of each peer, and this process's own.
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
  /// Grows with each digest; tells when `peers` is worth reading again.
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
