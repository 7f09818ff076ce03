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
  Millis Timeout{5'000};
  size_t MaxResponseBytes = 8 << 20;
  /// Opens a connection of its own. libcurl repeats a request whose reused
  /// connection closes before an answer, also a POST; a request that must
  /// not be repeated therefore never takes a reused connection.
  bool FreshConnection = false;
};

/// How a call ended. Errors: Unreachable (nothing was sent), AnswerLost,
/// Timeout (both: it may have been carried out).
using CallResult = Result<Response>;
using CallDone = std::function<void(CallResult)>;

/// Blocking calls over kept-alive connections. One thread at a time.
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
  /// The most connections to one host, idle ones included.
  long MaxConnectionsPerHost = 64;
  long MaxIdleConnections = 1024;
};

/// Many calls at once on the calling thread's loop.
class MultiClient {
public:
  explicit MultiClient(MultiClientOptions Options);
  ~MultiClient();
  MultiClient(const MultiClient &) = delete;
  MultiClient &operator=(const MultiClient &) = delete;

  /// Starts a call; \p Done runs inside a later `poll`.
  void start(Call Request, CallDone Done);
  /// Drives all calls; returns after progress, a `wake`, or \p Longest.
  void poll(Millis Timeout);
  /// Ends a running `poll`; callable from any thread.
  void wake();
  size_t activeCalls() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace daisylanding::http

#endif
