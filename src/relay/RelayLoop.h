#ifndef DAISYLANDING_RELAY_RELAYLOOP_H
#define DAISYLANDING_RELAY_RELAYLOOP_H

#include "cell/Offer.h"
#include "common/Ring.h"
#include "common/Thread.h"
#include "common/WakePipe.h"
#include "config/Settings.h"
#include "executor/AdvicePort.h"

#include <future>

/// Calls between the entries of one cell, by Cap'n Proto RPC.
namespace daisylanding::relay {

/// A call for advice on another entry's line. `Done` runs on the relay's
/// thread.
struct RelayAdviceCall {
  std::string Address; ///< host:port of the other entry's relay.
  executor::AdviceCall Request;
  executor::AdviceDone Done;
};

/// Hands a job to the owner of its service in another entry. `Done` runs on
/// the relay's thread. Errors: Unreachable, when it surely was not stored;
/// AnswerLost, when it may have been, or will be.
struct RelayOffer {
  std::string Address;
  std::string Service;
  std::string Job;    ///< Its stored form.
  Millis TimeLeft{0}; ///< For the owner: until when its word is of use.
  Millis Timeout{0};  ///< Of this call.
  std::function<void(Result<cell::Verdict>)> Done;
};

struct RelayOptions {
  config::Listen Listen;
  Millis ConnectTimeout{300};
};

/// One thread that serves other entries' calls on this entry's line, and
/// makes calls on theirs.
class RelayLoop {
public:
  /// Passes a call to this entry's own line; false when its queue is full.
  using LocalAdviceQueue =
      std::function<bool(executor::AdviceCall, executor::AdviceDone)>;

  RelayLoop(RelayOptions Options, LocalAdviceQueue AdviceQueue,
            cell::OfferDesk &LocalOffers);
  ~RelayLoop();
  RelayLoop(const RelayLoop &) = delete;
  RelayLoop &operator=(const RelayLoop &) = delete;

  /// Errors: SystemFailure, when the address can't be bound.
  std::error_code start();
  void stop();

  SharedQueue<RelayAdviceCall> AdviceCalls;
  SharedQueue<RelayOffer> Offers;

private:
  struct Impl;
  void wake() const { Waker.wake(); }

  RelayOptions Options;
  LocalAdviceQueue AdviceQueue;
  cell::OfferDesk &LocalOffers;
  WakePipe Waker;
  std::promise<bool> Ready;
  Thread Loop;
};

} // namespace daisylanding::relay

#endif
