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

/// Callbacks from the peer loop to the other loops of the process.
struct PeerHooks {
  /// Hands a peer's request to the request loop; false if its queue is full.
  std::function<bool(entry::IncomingRequest)> ServeRequest;
  /// Reports how a forwarded request ended; false if the queue is full.
  std::function<bool(entry::ForwardReply)> ReportForwardDone;
  /// Passes on a configuration received from a peer; false if the queue is
  /// full.
  std::function<bool(std::string)> OfferConfig;
  std::function<void()> PollInbox;
  /// Requests JSON of the jobs on this entry's shards. \c Done is called on
  /// another thread. False if the request could not be queued.
  std::function<bool(const std::string &JobId,
                     std::function<void(std::string)> Done)>
      RequestJobsDocument;
};

/// Calls from the operator API, carried out on the loop's thread.
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

/// The thread that communicates with other entries, as server and as client.
/// Peers of another deployment or protocol version are refused.
class PeerLoop {
public:
  PeerLoop(entry::EntryContext &Context, PeerHooks Hooks);
  ~PeerLoop();
  PeerLoop(const PeerLoop &) = delete;
  PeerLoop &operator=(const PeerLoop &) = delete;

  /// Binds the listener and starts the thread. Errors: SystemFailure.
  std::error_code start();
  void stop();

  Ring<entry::ForwardCall> ForwardCalls; ///< From the request loop.
  SharedQueue<WakeInboxCall> WakeInboxCalls;
  SharedQueue<EventsCall> EventsCalls;
  SharedQueue<JobsCall> JobsCalls;

private:
  struct Impl;
  void wake() const { WakeupPipe.wake(); }

  entry::EntryContext &Context;
  PeerHooks Hooks;
  /// True once the listener is bound; false if the loop ended with an error.
  std::promise<bool> ListenerBound;
  WakePipe WakeupPipe;
  Thread LoopThread;
};

} // namespace daisylanding::peer

#endif
