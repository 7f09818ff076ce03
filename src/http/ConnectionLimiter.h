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

/// One open connection as its guard sees it.
class LimitedConnection {
public:
  LimitedConnection(ConnectionLimiter &Limiter, int SocketHandle,
                    const PeerAddress &Peer, TimePoint OpenedAt);
  ~LimitedConnection();
  LimitedConnection(const LimitedConnection &) = delete;
  LimitedConnection &operator=(const LimitedConnection &) = delete;

  /// Takes bytes that were read; returns how many may be passed on. If not
  /// all, the caller is told, and what follows is to be read and dropped.
  size_t scanReceived(std::string_view Bytes, TimePoint Now);
  /// An answer was written.
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
  int SocketHandle; ///< Of the socket, which outlives this.
  PeerAddress Peer;
  RequestScanner Scanner;
  uint64_t ForwardedMessages = 0; ///< Messages passed on.
  uint64_t OpenRequests = 0;      ///< Of these, without an answer yet.
  std::optional<Refusal> RefusalReason;
  TimePoint RefusedAt{};
  bool RefusalSent = false;
  std::list<LimitedConnection *>::iterator Position;
};

/// Watches all connections of one server: refuses what the limits forbid with
/// an answer that says why, ends what takes too long, and lets the connection
/// that was idle longest give way to a new one. Used on the server's thread
/// only. A service of its I/O context, so that sockets find it.
class ConnectionLimiter : public asio::execution_context::service {
public:
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  static asio::execution_context::id id;

  explicit ConnectionLimiter(asio::execution_context &Context)
      : asio::execution_context::service(Context) {}

  /// Without limits nothing is watched.
  void enable(asio::io_context &Context, size_t MaxConnections,
              std::function<RequestLimits()> Source);
  bool isEnabled() const { return static_cast<bool>(LimitsSource); }

  std::shared_ptr<LimitedConnection>
  track(int SocketHandle, const PeerAddress &Peer, TimePoint Now);
  /// The answer to a request of that peer was written.
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
