#include "entry/PeerLoads.h"

namespace daisylanding::entry {

namespace {

constexpr Millis DigestMaxAge{3'000};

} // namespace

void PeerLoads::refresh(const LoadDigestStore &LoadDigests) {
  uint64_t Changes = LoadDigests.changeCount();
  if (Changes == SeenChangeCount)
    return;
  SeenChangeCount = Changes;
  Peers = LoadDigests.peers();
}

LoadDigest *PeerLoads::leastLoadedPeer(std::string_view Service,
                                       bool HomeZoneOnly, TimePoint Now) {
  LoadDigest *Best = nullptr;
  for (LoadDigest &Peer : Peers) {
    bool InHomeZone = Peer.AvailabilityZone == AvailabilityZone;
    bool ServesService = Peer.FreeSlots.find(Service) != Peer.FreeSlots.end();
    if (!ServesService || (HomeZoneOnly && !InHomeZone) ||
        Now - Peer.ReceivedAt > DigestMaxAge)
      continue;
    if (!Best || freeSlots(Peer, Service) > freeSlots(*Best, Service))
      Best = &Peer;
  }
  return Best;
}

} // namespace daisylanding::entry
