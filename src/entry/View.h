#ifndef DAISYLANDING_ENTRY_VIEW_H
#define DAISYLANDING_ENTRY_VIEW_H

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
  bool Alive = false;   ///< Its row changed lately.
  TimePoint LastChange; ///< When this process saw the row change.

  /// The name under which it holds credits.
  std::string holder() const { return Name + "/" + Incarnation; }
};

/// A shard as its ownership row stands.
struct Shard {
  std::string Id; ///< zone.index
  std::string Owner;
  std::string OwnerIncarnation;
  uint64_t Epoch = 0;
  uint64_t RowVersion = 0;
  std::string Snapshot;          ///< Object key; empty before the first.
  uint64_t SnapshotSequence = 0; ///< The journal up to here is in it.
};

/// What the sync loop knows, published as a whole and never changed.
struct View {
  std::shared_ptr<const config::ClusterConfig> Config; ///< Null at first.
  table::InstanceSnapshot List;
  std::vector<Member> Members;
  std::vector<Shard> Shards;
  std::vector<Shard> Owned; ///< Those that this process owns.
  bool PlatformReachable = false;
  /// When the last round that found this process's ownership began.
  TimePoint Confirmed{};
};

/// Hands the newest view from the sync loop to all others.
class ViewBox {
public:
  std::shared_ptr<const View> current() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Newest;
  }
  void publish(std::shared_ptr<const View> Next) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Newest = std::move(Next);
  }

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const View> Newest = std::make_shared<View>();
};

/// What entries tell each other about load.
struct LoadDigest {
  std::string Entry;
  std::string AvailabilityZone;
  std::string PeerAddress;
  /// Free slots less waiting requests, by service.
  std::map<std::string, int64_t, std::less<>> Spare;
  TimePoint Received{};
};

/// The newest digest of each peer, and this process's own.
class DigestBox {
public:
  void setOwn(std::map<std::string, int64_t> Spare) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Own = std::move(Spare);
  }
  std::map<std::string, int64_t> own() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Own;
  }
  void setPeer(LoadDigest Digest) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Peers[Digest.Entry] = std::move(Digest);
    ++Changes;
  }
  /// Grows with each digest; tells when `peers` is worth reading again.
  uint64_t changes() const { return Changes.load(); }
  std::vector<LoadDigest> peers() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::vector<LoadDigest> Out;
    for (const auto &Each : Peers)
      Out.push_back(Each.second);
    return Out;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, int64_t> Own;
  std::map<std::string, LoadDigest> Peers;
  std::atomic<uint64_t> Changes{0};
};

} // namespace daisylanding::entry

#endif
