#ifndef DAISYLANDING_ENTRY_PEERLOADS_H
#define DAISYLANDING_ENTRY_PEERLOADS_H

#include "entry/ClusterView.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::entry {

/// The latest load of each peer, with the requests forwarded to it since then
/// subtracted from its free slots.
class PeerLoads {
public:
  explicit PeerLoads(std::string AvailabilityZone)
      : AvailabilityZone(std::move(AvailabilityZone)) {}

  /// Copies the digests if any has changed.
  void refresh(const LoadDigestStore &LoadDigests);

  /// Returns the peer with the most free slots for \p Service among those with
  /// a recent digest; null if there is none.
  LoadDigest *leastLoadedPeer(std::string_view Service, bool HomeZoneOnly,
                              TimePoint Now);

  /// Free slots of \p Peer for a service that it serves.
  static int64_t freeSlots(const LoadDigest &Peer, std::string_view Service) {
    return Peer.FreeSlots.find(Service)->second;
  }
  /// Subtracts one request forwarded to \p Peer.
  static void countForward(LoadDigest &Peer, std::string_view Service) {
    --Peer.FreeSlots.find(Service)->second;
  }

private:
  std::string AvailabilityZone;
  std::vector<LoadDigest> Peers;
  uint64_t SeenChangeCount = 0;
};

} // namespace daisylanding::entry

#endif
