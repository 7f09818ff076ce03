#ifndef DAISYLANDING_HTTP_SERVER_H
#define DAISYLANDING_HTTP_SERVER_H

#include "common/Error.h"
#include "common/Time.h"
#include "http/Message.h"
#include "http/RequestScanner.h"

#include <functional>
#include <memory>
#include <string>

namespace daisylanding::http {

/// Answers one request, exactly once, from any thread.
using Responder = std::function<void(Response)>;

/// What a server does with a request. Called on the server's thread; it
/// must not block.
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
  size_t MaxBodyBytes = 1 << 20;
  Millis ReadTimeout{60'000};
  Millis HandleTimeout{600'000};
  /// Asked on the server's thread for the limits in force. Without it callers
  /// are trusted: what can't be read only ends their connection.
  std::function<RequestLimits()> Limits;
};

/// An HTTP/1.1 server with one thread. Pipelined requests are answered in
/// their order. With limits in force, what breaks them is answered with 400,
/// 405, 408, 413 or 431 and a body that names the field.
class Server {
public:
  Server(ServerOptions Options, Handler &RequestHandler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Binds and starts serving. Errors: SystemFailure.
  std::error_code start();
  /// Waits, at most \p Longest, until every answer given so far was written,
  /// then closes all connections.
  void stop(Millis Timeout);

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace daisylanding::http

#endif
