#ifndef DAISYLANDING_CALLER_CALLERSERVER_H
#define DAISYLANDING_CALLER_CALLERSERVER_H

#include "caller/CallerRequest.h"
#include "entry/EntryContext.h"
#include "entry/RequestMessages.h"
#include "http/Server.h"

#include <functional>

namespace daisylanding::caller {

/// Serves callers' requests and the load balancer's health check.
class CallerServer final : public http::Handler {
public:
  /// Queues a request for processing; false if the queue is full.
  using RequestSink = std::function<bool(entry::IncomingRequest)>;

  CallerServer(entry::EntryContext &EntryContext, RequestSink Sink);

  std::error_code start() { return HttpServer.start(); }
  /// Waits at most \p Timeout for pending responses to be written.
  void stop(Millis Timeout) { HttpServer.stop(Timeout); }

  void handle(http::Request Incoming, http::Responder Respond) override;

private:
  http::Response health() const;

  entry::EntryContext &EntryContext;
  RequestSink Sink;
  http::Server HttpServer;
};

} // namespace daisylanding::caller

#endif
