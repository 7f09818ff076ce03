#ifndef DAISYLANDING_PEER_PEERLOOP_H
#define DAISYLANDING_PEER_PEERLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "common/WakePipe.h"
#include "entry/EntryContext.h"
#include "entry/RequestMessages.h"

#include <functional>
#include <future>
#include <memory>

namespace daisylanding::peer {

/// What the peers' loop hands to the rest of the process.
struct PeerHooks {
  /// Gives a peer's request to the request loop; false when it is full.
  std::function<bool(entry::IncomingRequest)> Serve;
  /// Reports the end of a forwarded request; false when the ring is full.
  std::function<bool(entry::ForwardReply)> Forwarded;
  /// Offers a configuration heard from a peer.
  std::function<bool(std::string)> OfferConfig;
  std::function<void()> PollInbox;
  /// Asks for the JSON of jobs on the own shards; the answer comes on another
  /// thread. False when it can't be asked for now.
  std::function<bool(const std::string &Job,
                     std::function<void(std::string)> Done)>
      AskJobsDocument;
};

/// Work for the loop from operators' calls.
struct WakeInboxCall {
  std::string PeerAddress;
};
struct EventsCall {
  uint64_t After = 0;
  uint32_t Limit = 0;
  std::shared_ptr<std::promise<std::vector<Event>>> Answer;
};
struct JobsCall {
  std::string Job;
  std::shared_ptr<std::promise<std::vector<std::string>>> Answer;
};

/// The thread that speaks with other entries, both as server and as client.
/// Peers of another deployment or protocol version are turned away.
class PeerLoop {
public:
  PeerLoop(entry::EntryContext &Shared, PeerHooks Hooks);
  ~PeerLoop();
  PeerLoop(const PeerLoop &) = delete;
  PeerLoop &operator=(const PeerLoop &) = delete;

  /// Binds and starts. Errors: SystemFailure.
  std::error_code start();
  void stop();

  Ring<entry::ForwardCall> Forwards; ///< From the request loop.
  SharedQueue<WakeInboxCall> Wakes;
  SharedQueue<EventsCall> Events;
  SharedQueue<JobsCall> Jobs;

private:
  struct Impl;
  void wake() const { Waker.wake(); }

  entry::EntryContext &Shared;
  PeerHooks Hooks;
  std::promise<bool> Ready; ///< Set when the listener is bound, or can't be.
  WakePipe Waker;
  Thread Loop;
};

} // namespace daisylanding::peer

#endif
