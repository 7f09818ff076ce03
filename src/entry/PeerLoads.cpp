#include "entry/PeerLoads.h"

namespace daisylanding::entry {

namespace {

constexpr Millis DigestMaxAge{3'000};

} // namespace

void PeerLoads::refresh(const DigestBox &Digests) {
  uint64_t Changes = Digests.changes();
  if (Changes == SeenChanges)
    return;
  SeenChanges = Changes;
  Peers = Digests.peers();
}

LoadDigest *PeerLoads::best(std::string_view Service, bool HomeZoneOnly,
                            TimePoint Now) {
  LoadDigest *Best = nullptr;
  for (LoadDigest &Peer : Peers) {
    bool Home = Peer.AvailabilityZone == AvailabilityZone;
    bool Known = Peer.Spare.find(Service) != Peer.Spare.end();
    if (!Known || (HomeZoneOnly && !Home) || Now - Peer.Received > DigestMaxAge)
      continue;
    if (!Best || spareOf(Peer, Service) > spareOf(*Best, Service))
      Best = &Peer;
  }
  return Best;
}

} // namespace daisylanding::entry
