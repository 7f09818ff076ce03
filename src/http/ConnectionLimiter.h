#ifndef DAISYLANDING_HTTP_CONNECTIONLIMITER_H
#define DAISYLANDING_HTTP_CONNECTIONLIMITER_H

#include "http/RequestScanner.h"

#include <asio.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace daisylanding::http {

class ConnectionLimiter;

using PeerAddress = asio::ip::tcp::endpoint;

/// An open connection tracked by a ConnectionLimiter.
class LimitedConnection {
public:
  LimitedConnection(ConnectionLimiter &Limiter, int SocketHandle,
                    const PeerAddress &Peer, TimePoint OpenedAt);
  ~LimitedConnection();
  LimitedConnection(const LimitedConnection &) = delete;
  LimitedConnection &operator=(const LimitedConnection &) = delete;

  /// Scans received bytes and returns how many to forward to the parser. If not
  /// all, the connection is refused and later input must be discarded.
  size_t scanReceived(std::string_view Bytes, TimePoint Now);
  /// Counts a written response; after the last one sends a pending refusal.
  void onResponseWritten();
  bool isRefused() const { return RefusalReason.has_value(); }

private:
  friend class ConnectionLimiter;

  using PeerAddress = asio::ip::tcp::endpoint;

  bool isIdle() const {
    return Scanner.phase() == RequestScanner::Phase::BetweenMessages &&
           OpenRequests == 0;
  }
  void refuse(Refusal Reason, TimePoint Now);
  void sendRefusal();
  void disconnect() const;

  ConnectionLimiter &Limiter;
  int SocketHandle; ///< Owned by the socket, which outlives this object.
  PeerAddress Peer;
  RequestScanner Scanner;
  uint64_t ForwardedMessages = 0; ///< Complete messages passed to the parser.
  uint64_t OpenRequests = 0;      ///< Forwarded, with no response written yet.
  std::optional<Refusal> RefusalReason;
  TimePoint RefusedAt{};
  bool RefusalSent = false;
  std::list<LimitedConnection *>::iterator Position;
};

/// Enforces RequestLimits on all connections of a server: answers violations
/// with an error response, closes connections that exceed a timeout, and closes
/// the longest-idle connection to make room for a new one. Used on the server's
/// thread only. Registered as a service of the I/O context, where sockets look
/// it up.
class ConnectionLimiter : public asio::execution_context::service {
public:
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  static asio::execution_context::id id;

  explicit ConnectionLimiter(asio::execution_context &Context)
      : asio::execution_context::service(Context) {}

  /// Starts enforcing the limits that \p Source returns. Until then all input
  /// is forwarded unchecked.
  void enable(asio::io_context &Context, size_t MaxConnections,
              std::function<RequestLimits()> Source);
  bool isEnabled() const { return static_cast<bool>(LimitsSource); }

  std::shared_ptr<LimitedConnection>
  track(int SocketHandle, const PeerAddress &Peer, TimePoint Now);
  /// Counts a response written to \p Peer.
  void onResponseWritten(const PeerAddress &Peer);

private:
  friend class LimitedConnection;

  void shutdown() noexcept override { SweepTimer.reset(); }
  void scheduleSweep();
  void sweep(TimePoint Now);
  void closeLongestIdle();

  size_t ConnectionLimit = 0;
  std::function<RequestLimits()> LimitsSource;
  std::list<LimitedConnection *> Connections;
  std::map<PeerAddress, LimitedConnection *> ConnectionsByPeer;
  std::unique_ptr<asio::steady_timer> SweepTimer;
};

} // namespace daisylanding::http

#endif
