#ifndef DAISYLANDING_ENDPOINT_ENDPOINTLOOP_H
#define DAISYLANDING_ENDPOINT_ENDPOINTLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "http/Client.h"

#include <deque>

namespace daisylanding::endpoint {

/// One request to one endpoint.
struct EndpointCall {
  uint64_t Id = 0;
  std::string Address;
  std::string Service;
  std::string IdempotencyKey;
  std::string ContentType;
  std::string Body;
  Millis Timeout{0};
  bool Repeatable = false;
};

struct EndpointDone {
  uint64_t Id = 0;
  http::CallResult Answer = Errc::Unreachable;
};

struct EndpointLoopOptions {
  size_t RingCapacity = 4'096;
  /// An endpoint's 64 connections over at most 8 entries.
  long ConnectionsPerEndpoint = 8;
  Millis ConnectTimeout{1'000};
};

/// The thread that talks to endpoints. A request that must not be repeated
/// gets a connection of its own; the others reuse connections, and one that
/// timed out is closed.
class EndpointLoop {
public:
  EndpointLoop(EndpointLoopOptions Options, std::function<void()> WakeFront);

  void start();
  void stop() {
    Loop.requestStop();
    Client.wake();
    Loop.join();
  }

  Ring<EndpointCall> Calls;
  Ring<EndpointDone> Done;

private:
  void run();
  void begin(EndpointCall Call);
  void deliver();

  EndpointLoopOptions Options;
  http::MultiClient Client;
  std::deque<EndpointDone> Finished; ///< Not yet taken by the ring.
  Thread Loop;
};

} // namespace daisylanding::endpoint

#endif
