#ifndef DAISYLANDING_ENDPOINT_ENDPOINTLOOP_H
#define DAISYLANDING_ENDPOINT_ENDPOINTLOOP_H

#include "common/Ring.h"
#include "common/Thread.h"
#include "http/Client.h"

#include <deque>

namespace daisylanding::endpoint {

/// A request to an endpoint.
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

struct EndpointReply {
  uint64_t Id = 0;
  http::CallResult Answer = Errc::Unreachable;
};

struct EndpointLoopOptions {
  size_t RingCapacity = 4'096;
  /// 64 connections per endpoint, shared by at most 8 entries.
  long ConnectionsPerEndpoint = 8;
  Millis ConnectTimeout{1'000};
};

/// The thread that calls endpoints. A non-repeatable request gets a new
/// connection; others reuse connections. The connection of a request that timed
/// out is closed.
class EndpointLoop {
public:
  EndpointLoop(EndpointLoopOptions Options, std::function<void()> WakeConsumer);

  void start();
  void stop() {
    Loop.requestStop();
    Client.wake();
    Loop.join();
  }

  Ring<EndpointCall> Calls;
  Ring<EndpointReply> Replies;

private:
  void run();
  void startCall(EndpointCall Call);
  void deliverReplies();

  EndpointLoopOptions Options;
  http::MultiClient Client;
  std::deque<EndpointReply> PendingReplies; ///< Not yet pushed to `Replies`.
  Thread Loop;
};

} // namespace daisylanding::endpoint

#endif
