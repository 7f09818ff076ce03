#ifndef DAISYLANDING_HTTP_CONNECTIONPOOL_H
#define DAISYLANDING_HTTP_CONNECTIONPOOL_H

#include "common/Time.h"

#include <netinet/in.h>

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The connections of DirectCalls: opened, kept while idle, and closed.
namespace daisylanding::http {

struct Exchange;
struct Host;

struct Connection {
  uint64_t Id = 0;
  int Socket = -1;
  Host *Peer = nullptr;
  Exchange *Current = nullptr; ///< None while idle.
  bool IsConnecting = true;
  bool HasServed = false;
  uint32_t WatchedEvents = 0;
  TimePoint IdleSince{};
  std::list<Connection *>::iterator IdlePosition; ///< Among all idle ones.
};

struct Host {
  std::string Name;
  sockaddr_in Address{};
  std::vector<Connection *> Idle; ///< The last used one is at the end.
  size_t OpenCount = 0;
  TimePoint LastCarriedAt{};      ///< When one of them was last given a call.
  std::deque<Exchange *> Waiting; ///< For a connection.
};

class ConnectionPool {
public:
  /// Sockets are watched by \p Epoll; the data of an event is the connection's
  /// id and \p EventMark.
  ConnectionPool(int Epoll, uint64_t EventMark, size_t MaxConnections);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool &) = delete;
  ConnectionPool &operator=(const ConnectionPool &) = delete;

  /// The host that is named by an address.
  Host &hostOf(std::string_view Name);
  /// The connection with this id; null if it was closed.
  Connection *find(uint64_t Id) const;
  /// The last used idle connection to the host that can carry a call, no longer
  /// idle; null if there is none.
  Connection *takeIdle(Host &Peer);
  /// Whether the connection is open and nothing has arrived on it: bytes that
  /// answer no request must not be taken for the answer to the next one.
  static bool isUsable(const Connection &Checked);
  /// A new connection whose socket is not connected yet; null if no socket can
  /// be opened.
  Connection *open(Host &Peer, TimePoint Now);
  /// Begins to connect. Returns false on failure.
  bool connect(Connection &Opened);
  void watch(Connection &Watched, uint32_t Events) const;
  /// Keeps a connection that has no call any more for later ones, and closes
  /// the one that has been idle for longest if there are too many.
  void keep(Connection &Kept, TimePoint Now);
  void trim();
  /// Of a connection that is neither idle nor carries a call.
  void close(Connection &Closed);
  void closeIdle(Connection &Closed);
  /// Closes what has been idle since before \p Time.
  void closeIdleSince(TimePoint Time);
  void forgetIfUnused(const Host &Peer);
  size_t size() const { return Connections.size(); }
  /// A further connection replaces one that is kept.
  bool isFull() const { return Connections.size() >= MaxConnections; }

private:
  int openSocket();
  void logSocketFailure(int Error, TimePoint Now);
  void takeFromIdle(Connection &Taken);
  void closeLongestIdle();

  int Epoll;
  uint64_t EventMark;
  size_t MaxConnections;
  std::unordered_map<std::string, std::unique_ptr<Host>> Hosts;
  std::unordered_map<uint64_t, std::unique_ptr<Connection>> Connections;
  std::list<Connection *> Idle; ///< The first has been idle for longest.
  uint64_t LastConnectionId = 0;
  size_t SocketFailures = 0; ///< Since the last line about them.
  std::optional<TimePoint> SocketFailureLoggedAt;
};

} // namespace daisylanding::http

#endif
