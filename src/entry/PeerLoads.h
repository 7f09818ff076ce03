#ifndef DAISYLANDING_ENTRY_PEERLOADS_H
#define DAISYLANDING_ENTRY_PEERLOADS_H

#include "entry/View.h"

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
  void refresh(const DigestBox &Digests);

  /// The peer with the most spare slots for \p Service among those heard of
  /// lately; null when there is none.
  LoadDigest *best(std::string_view Service, bool HomeZoneOnly, TimePoint Now);

  /// Spare slots of \p Peer for a service that it serves.
  static int64_t spareOf(const LoadDigest &Peer, std::string_view Service) {
    return Peer.Spare.find(Service)->second;
  }
  /// Notes that one request went to \p Peer.
  static void forwardedTo(LoadDigest &Peer, std::string_view Service) {
    --Peer.Spare.find(Service)->second;
  }

private:
  std::string AvailabilityZone;
  std::vector<LoadDigest> Peers;
  uint64_t SeenChanges = 0;
};

} // namespace daisylanding::entry

#endif
