#ifndef DAISYLANDING_HTTP_DIRECTCALLS_H
#define DAISYLANDING_HTTP_DIRECTCALLS_H

#include "common/Time.h"
#include "http/Client.h"

#include <cstdint>
#include <memory>
#include <optional>

/// HTTP/1.1 calls over persistent connections to hosts that are named by an
/// IPv4 address. A call over an open connection costs one send and one receive:
/// its socket stays registered, and no list grows with the open connections.
///
/// A request is sent once. It is sent again, on a new connection, if the kept
/// one that it was sent on is closed by its server right away without a byte of
/// the response, and either no byte of the request was sent or the request is
/// idempotent. The sockets are watched by the epoll
/// instance of a MultiClient, whose loop passes on their events.
namespace daisylanding::http {

class DirectCalls {
public:
  DirectCalls(int Epoll, const MultiClientOptions &Options);
  ~DirectCalls();
  DirectCalls(const DirectCalls &) = delete;
  DirectCalls &operator=(const DirectCalls &) = delete;

  /// Whether the call is one for this class.
  static bool accepts(const Call &Request);
  /// Whether the data of an epoll event belongs to this object.
  static bool ownsEvent(uint64_t EventData);

  /// Sends the request if a connection is open. \p Done runs inside a later
  /// `finishCompleted` or `finishLate`.
  void start(Call Request, CallDone Done, TimePoint Now);
  void onEvent(uint64_t EventData, uint32_t Events, TimePoint Now);
  /// Passes on the results of the calls that have ended. Returns whether there
  /// were any.
  bool finishCompleted();
  /// Ends the calls that are out of time or whose responses have stalled.
  void finishLate(TimePoint Now);
  /// No call is late before this; none if no call is active.
  std::optional<TimePoint> nextDeadline() const;
  bool hasCompleted() const;
  size_t activeCalls() const;
  /// Idle ones included.
  size_t openConnections() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace daisylanding::http

#endif
