#ifndef DAISYLANDING_ENTRY_PEERLOADS_H
#define DAISYLANDING_ENTRY_PEERLOADS_H

#include "entry/ClusterView.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::entry {

/// The newest load of each peer, less what was forwarded to it since.
class PeerLoads {
public:
  explicit PeerLoads(std::string AvailabilityZone)
      : AvailabilityZone(std::move(AvailabilityZone)) {}

  /// Takes new digests over, if there are any.
  void refresh(const LoadDigestStore &LoadDigests);

  /// The peer with the most spare slots for \p Service among those heard of
  /// lately; null when there is none.
  LoadDigest *leastLoadedPeer(std::string_view Service, bool HomeZoneOnly,
                              TimePoint Now);

  /// Spare slots of \p Peer for a service that it serves.
  static int64_t freeSlots(const LoadDigest &Peer, std::string_view Service) {
    return Peer.FreeSlots.find(Service)->second;
  }
  /// Notes that one request went to \p Peer.
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
