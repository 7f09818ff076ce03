#ifndef DAISYLANDING_HTTP_CLIENT_H
#define DAISYLANDING_HTTP_CLIENT_H

#include "common/Error.h"
#include "common/Time.h"
#include "http/Message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace daisylanding::http {

struct Call {
  std::string Method = "GET";
  std::string Url;
  std::vector<Header> Headers;
  std::string Body;
  Millis ConnectTimeout{1'000};
  /// Of the whole call.
  Millis Timeout{5'000};
  /// Ends the call sooner if no byte of the response arrives for this long, so
  /// that `Timeout` may leave a long response its time; 0 for no such limit.
  Millis StallTimeout{0};
  size_t MaxResponseBytes = 8 << 20;
  /// The request has the same effect if it is carried out twice, so that a
  /// MultiClient may send it again when a kept connection turns out to be
  /// closed. Every GET is.
  bool Idempotent = false;
  /// Opens a new connection for this call. For named hosts, libcurl resends a
  /// request, even a POST, when a reused connection closes before the response
  /// arrives, so a request that must not be repeated needs a new connection.
  bool FreshConnection = false;
};

/// The response to a call. Errors: Unreachable (nothing was sent); AnswerLost,
/// Timeout (the request may have been executed; also of a stalled response).
using CallResult = Result<Response>;
using CallDone = std::function<void(CallResult)>;

/// Blocking client with persistent connections. Not thread-safe. Ignores
/// `StallTimeout`.
class Client {
public:
  Client();
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  CallResult perform(const Call &Request);

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

struct MultiClientOptions {
  /// Includes idle connections.
  long MaxConnectionsPerHost = 64;
  long MaxIdleConnections = 1024;
  /// Connections that have been idle for longer are closed. Less than servers
  /// usually wait for the next request. Not for hosts that are named otherwise
  /// than by an address.
  Millis MaxIdleTime{50'000};
};

/// Runs many calls concurrently on the thread that calls `poll`.
class MultiClient {
public:
  explicit MultiClient(MultiClientOptions Options);
  ~MultiClient();
  MultiClient(const MultiClient &) = delete;
  MultiClient &operator=(const MultiClient &) = delete;

  /// Starts a call; \p Done runs inside a later `poll`.
  void start(Call Request, CallDone Done);
  /// Drives all calls; returns after progress, a `wake`, or \p Timeout.
  void poll(Millis Timeout);
  /// Interrupts a running `poll`; callable from any thread.
  void wake();
  size_t activeCalls() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace daisylanding::http

#endif
