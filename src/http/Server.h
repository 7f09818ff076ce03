#ifndef DAISYLANDING_HTTP_SERVER_H
#define DAISYLANDING_HTTP_SERVER_H

#include "common/Error.h"
#include "common/Metrics.h"
#include "common/Time.h"
#include "http/Message.h"
#include "http/RequestBudget.h"
#include "http/RequestScanner.h"

#include <functional>
#include <memory>
#include <string>

namespace daisylanding::http {

/// Sends the response to a request. Must be called exactly once; any thread may
/// call it.
using Responder = std::function<void(Response)>;

/// Handles the requests of a server. Called on the server's thread; must not
/// block.
class Handler {
public:
  virtual ~Handler() = default;
  virtual void handle(Request Incoming, Responder Respond) = 0;
};

struct ServerOptions {
  std::string Address = "127.0.0.1";
  uint16_t Port = 0;
  std::string ThreadName = "http";
  size_t MaxConnections = 1024;
  size_t MaxPipelinedRequests = 16;
  /// With `Limits` only; in place of the two above.
  BudgetLimits Budget;
  /// A socket with this descriptor and above takes the place of an earlier one.
  size_t MaxSocketHandle = SIZE_MAX;
  Metrics *Counters = nullptr; ///< Of refusals; may be null.
  size_t MaxBodyBytes = 1 << 20;
  Millis ReadTimeout{60'000};
  Millis HandleTimeout{600'000};
  /// Returns the limits in force; called on the server's thread. If empty,
  /// clients are trusted, and a malformed request only ends its connection.
  std::function<RequestLimits()> Limits;
};

/// A single-threaded HTTP/1.1 server. Pipelined requests are answered in order.
/// If ServerOptions::Limits is set, violations are answered with 400, 405, 408,
/// 413 or 431 and a body that names the field.
class Server {
public:
  Server(ServerOptions Options, Handler &RequestHandler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Binds and starts serving. Errors: SystemFailure.
  std::error_code start();
  /// Waits at most \p Timeout for pending responses to be written, then closes
  /// all connections.
  void stop(Millis Timeout);

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace daisylanding::http

#endif
