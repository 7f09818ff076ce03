#ifndef DAISYLANDING_RELAY_RELAYLOOP_H
#define DAISYLANDING_RELAY_RELAYLOOP_H

#include "cell/Offer.h"
#include "common/Ring.h"
#include "common/Thread.h"
#include "common/WakePipe.h"
#include "config/Settings.h"
#include "executor/AdvicePort.h"

#include <future>

/// Calls between the entries of one cell over Cap'n Proto RPC.
namespace daisylanding::relay {

/// An advice call for another entry's advice queue. `Done` runs on the relay's
/// thread.
struct RelayAdviceCall {
  std::string Address; ///< host:port of the other entry's relay.
  executor::AdviceCall Request;
  executor::AdviceDone Done;
};

/// An offer of a job to its service's owner in another entry. `Done` runs on
/// the relay's thread. Errors: Unreachable if the job was certainly not stored;
/// AnswerLost if it may have been, or may be later.
struct RelayOffer {
  std::string Address;
  std::string Service;
  std::string Job;              ///< As encoded for the store.
  uint64_t SearchedVersion = 0; ///< As in `cell::Offer`.
  /// The entry then stops waiting and may store the job itself.
  Millis Timeout{0};
  std::function<void(Result<cell::OfferOutcome>)> Done;
};

struct RelayOptions {
  config::ListenAddress Listen;
  Millis ConnectTimeout{300};
};

/// One thread that serves other entries' advice calls and offers, and sends
/// this entry's own to them.
class RelayLoop {
public:
  /// Adds a call to this entry's advice queue; false if the queue is full.
  using LocalAdviceQueue =
      std::function<bool(executor::AdviceCall, executor::AdviceDone)>;

  RelayLoop(RelayOptions Options, LocalAdviceQueue AdviceQueue,
            cell::OfferRegistry &LocalOffers);
  ~RelayLoop();
  RelayLoop(const RelayLoop &) = delete;
  RelayLoop &operator=(const RelayLoop &) = delete;

  /// Errors: SystemFailure if the address can't be bound.
  std::error_code start();
  void stop();

  SharedQueue<RelayAdviceCall> AdviceCalls;
  SharedQueue<RelayOffer> Offers;

private:
  struct Impl;
  void wake() const { Waker.wake(); }

  RelayOptions Options;
  LocalAdviceQueue AdviceQueue;
  cell::OfferRegistry &LocalOffers;
  WakePipe Waker;
  std::promise<bool> Ready;
  Thread Loop;
};

} // namespace daisylanding::relay

#endif
