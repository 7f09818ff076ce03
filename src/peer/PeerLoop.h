#ifndef DAISYLANDING_PEER_PEERLOOP_H
#define DAISYLANDING_PEER_PEERLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "common/WakePipe.h"
#include "entry/Context.h"
#include "entry/FrontMessages.h"

#include <functional>
#include <future>
#include <memory>

namespace daisylanding::peer {

/// What the peers' loop hands to the rest of the process.
struct PeerHooks {
  /// Gives a peer's request to the front loop; false when it is full.
  std::function<bool(entry::FrontRequest)> ServeRequest;
  /// Reports the end of a forwarded request; false when the ring is full.
  std::function<bool(entry::ForwardDone)> ReportForwardDone;
  /// Offers a configuration heard from a peer.
  std::function<bool(std::string)> OfferConfig;
  std::function<void()> PollInbox;
  /// Asks for the JSON of jobs on the own shards; the answer comes on another
  /// thread. False when it can't be asked for now.
  std::function<bool(const std::string &JobId,
                     std::function<void(std::string)> Done)>
      RequestJobsDocument;
};

/// Work for the loop from operators' calls.
struct WakeInboxCall {
  std::string PeerAddress;
};
struct EventsCall {
  uint64_t AfterStamp = 0;
  uint32_t Limit = 0;
  std::shared_ptr<std::promise<std::vector<Event>>> ResultPromise;
};
struct JobsCall {
  std::string JobId;
  std::shared_ptr<std::promise<std::vector<std::string>>> ResultPromise;
};

/// The thread that speaks with other entries, both as server and as client.
/// Peers of another deployment or protocol version are turned away.
class PeerLoop {
public:
  PeerLoop(entry::Context &Context, PeerHooks Hooks);
  ~PeerLoop();
  PeerLoop(const PeerLoop &) = delete;
  PeerLoop &operator=(const PeerLoop &) = delete;

  /// Binds and starts. Errors: SystemFailure.
  std::error_code start();
  void stop();

  Ring<entry::ForwardCall> ForwardCalls; ///< From the front loop.
  SharedQueue<WakeInboxCall> WakeInboxCalls;
  SharedQueue<EventsCall> EventsCalls;
  SharedQueue<JobsCall> JobsCalls;

private:
  struct Impl;
  void wake() const { WakeupPipe.wake(); }

  entry::Context &Context;
  PeerHooks Hooks;
  std::promise<bool>
      ListenerBound; ///< Set when the listener is bound, or can't be.
  WakePipe WakeupPipe;
  Thread LoopThread;
};

} // namespace daisylanding::peer

#endif
