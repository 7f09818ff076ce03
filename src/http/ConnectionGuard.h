#ifndef DAISYLANDING_HTTP_CONNECTIONGUARD_H
#define DAISYLANDING_HTTP_CONNECTIONGUARD_H

#include "http/RequestScanner.h"

#include <asio.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace daisylanding::http {

class ConnectionGuard;

using Endpoint = asio::ip::tcp::endpoint;

/// One open connection as its guard sees it.
class GuardedConnection {
public:
  GuardedConnection(ConnectionGuard &Owner, int Handle, const Endpoint &Peer,
                    TimePoint Opened);
  ~GuardedConnection();
  GuardedConnection(const GuardedConnection &) = delete;
  GuardedConnection &operator=(const GuardedConnection &) = delete;

  /// Takes bytes that were read; returns how many may be passed on. If not
  /// all, the caller is told, and what follows is to be read and dropped.
  size_t admit(std::string_view Bytes, TimePoint Now);
  /// An answer was written.
  void answered();
  bool refused() const { return Why.has_value(); }

private:
  friend class ConnectionGuard;

  using Endpoint = asio::ip::tcp::endpoint;

  bool idle() const {
    return Scanner.part() == RequestScanner::Part::Between && Open == 0;
  }
  void refuse(Refusal Reason, TimePoint Now);
  void sendRefusal();
  void cutOff() const;

  ConnectionGuard &Owner;
  int Handle; ///< Of the socket, which outlives this.
  Endpoint Peer;
  RequestScanner Scanner;
  uint64_t Passed = 0; ///< Messages passed on.
  uint64_t Open = 0;   ///< Of these, without an answer yet.
  std::optional<Refusal> Why;
  TimePoint RefusedAt{};
  bool Sent = false;
  std::list<GuardedConnection *>::iterator Place;
};

/// Watches all connections of one server: refuses what the limits forbid with
/// an answer that says why, ends what takes too long, and lets the connection
/// that was idle longest give way to a new one. Used on the server's thread
/// only. A service of its I/O context, so that sockets find it.
class ConnectionGuard : public asio::execution_context::service {
public:
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  static asio::execution_context::id id;

  explicit ConnectionGuard(asio::execution_context &Context)
      : asio::execution_context::service(Context) {}

  /// Without limits nothing is watched.
  void watch(asio::io_context &Context, size_t MaxConnections,
             std::function<RequestLimits()> Limits);
  bool watching() const { return static_cast<bool>(Limits); }

  std::shared_ptr<GuardedConnection> open(int Handle, const Endpoint &Peer,
                                          TimePoint Now);
  /// The answer to a request of that peer was written.
  void answered(const Endpoint &Peer);

private:
  friend class GuardedConnection;

  void shutdown() noexcept override { Sweep.reset(); }
  void sweepLater();
  void sweep(TimePoint Now);
  void makeRoom();

  size_t MaxConnections = 0;
  std::function<RequestLimits()> Limits;
  std::list<GuardedConnection *> Connections;
  std::map<Endpoint, GuardedConnection *> ByPeer;
  std::unique_ptr<asio::steady_timer> Sweep;
};

} // namespace daisylanding::http

#endif
