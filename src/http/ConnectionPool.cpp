#include "http/ConnectionPool.h"

#include "common/Log.h"
#include "http/Url.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace daisylanding::http {

namespace {

/// Between two log lines about sockets that can't be opened.
constexpr Millis SocketLogInterval{10'000};

} // namespace

ConnectionPool::ConnectionPool(int Epoll, uint64_t EventMark,
                               size_t MaxConnections)
    : Epoll(Epoll), EventMark(EventMark), MaxConnections(MaxConnections) {}

ConnectionPool::~ConnectionPool() {
  for (const auto &IdAndConnection : Connections)
    ::close(IdAndConnection.second->Socket);
}

Host &ConnectionPool::hostOf(std::string_view Name) {
  std::string Key(Name);
  std::unique_ptr<Host> &Found = Hosts[Key];
  if (!Found) {
    Found = std::make_unique<Host>();
    Found->Address = *addressOfHost(Name);
    Found->Name = std::move(Key);
  }
  return *Found;
}

Connection *ConnectionPool::find(uint64_t Id) const {
  auto Found = Connections.find(Id);
  return Found == Connections.end() ? nullptr : Found->second.get();
}

bool ConnectionPool::isUsable(const Connection &Checked) {
  char Byte = 0;
  return ::recv(Checked.Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

Connection *ConnectionPool::takeIdle(Host &Peer) {
  while (!Peer.Idle.empty()) {
    Connection &Taken = *Peer.Idle.back();
    takeFromIdle(Taken);
    if (isUsable(Taken))
      return &Taken;
    close(Taken);
  }
  return nullptr;
}

Connection *ConnectionPool::open(Host &Peer, TimePoint Now) {
  int Socket = openSocket();
  if (Socket < 0) {
    logSocketFailure(errno, Now);
    return nullptr;
  }
  auto Owned = std::make_unique<Connection>();
  Connection &Opened = *Owned;
  Opened.Id = ++LastConnectionId;
  Opened.Socket = Socket;
  Opened.Peer = &Peer;
  Connections.emplace(Opened.Id, std::move(Owned));
  ++Peer.OpenCount;
  return &Opened;
}

/// Closes the connection that has been idle for longest if there are no
/// descriptors left. Returns -1 on failure.
int ConnectionPool::openSocket() {
  constexpr int Type = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
  int Socket = ::socket(AF_INET, Type, 0);
  if (Socket < 0 && !Idle.empty()) {
    closeLongestIdle();
    Socket = ::socket(AF_INET, Type, 0);
  }
  int Enabled = 1;
  if (Socket >= 0)
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
  return Socket;
}

void ConnectionPool::logSocketFailure(int Error, TimePoint Now) {
  ++SocketFailures;
  if (SocketFailureLoggedAt && Now - *SocketFailureLoggedAt < SocketLogInterval)
    return;
  logWarn("socket-not-opened", "errno={} failures={} connections={}", Error,
          SocketFailures, Connections.size());
  SocketFailureLoggedAt = Now;
  SocketFailures = 0;
}

bool ConnectionPool::connect(Connection &Opened) {
  const sockaddr_in &Address = Opened.Peer->Address;
  if (::connect(Opened.Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) != 0 &&
      errno != EINPROGRESS)
    return false;
  watch(Opened, EPOLLOUT);
  return true;
}

void ConnectionPool::watch(Connection &Watched, uint32_t Events) const {
  if (Watched.WatchedEvents == Events)
    return;
  int Operation = Watched.WatchedEvents == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  epoll_event Event{.events = Events, .data = {.u64 = EventMark | Watched.Id}};
  if (epoll_ctl(Epoll, Operation, Watched.Socket, &Event) != 0)
    logWarn("socket-not-watched", "errno={}", errno);
  Watched.WatchedEvents = Events;
}

void ConnectionPool::keep(Connection &Kept, TimePoint Now) {
  Kept.IdleSince = Now;
  Kept.Peer->Idle.push_back(&Kept);
  Kept.IdlePosition = Idle.insert(Idle.end(), &Kept);
}

void ConnectionPool::trim() {
  if (Connections.size() > MaxConnections)
    closeLongestIdle();
}

void ConnectionPool::close(Connection &Closed) {
  ::close(Closed.Socket);
  --Closed.Peer->OpenCount;
  Connections.erase(Closed.Id);
}

void ConnectionPool::closeIdle(Connection &Closed) {
  const Host &Peer = *Closed.Peer;
  takeFromIdle(Closed);
  close(Closed);
  forgetIfUnused(Peer);
}

void ConnectionPool::closeIdleSince(TimePoint Time) {
  while (!Idle.empty() && Idle.front()->IdleSince < Time)
    closeLongestIdle();
}

void ConnectionPool::closeLongestIdle() {
  if (!Idle.empty())
    closeIdle(*Idle.front());
}

void ConnectionPool::takeFromIdle(Connection &Taken) {
  std::erase(Taken.Peer->Idle, &Taken);
  Idle.erase(Taken.IdlePosition);
}

void ConnectionPool::forgetIfUnused(const Host &Peer) {
  if (Peer.OpenCount == 0 && Peer.Waiting.empty())
    Hosts.erase(std::string(Peer.Name));
}

} // namespace daisylanding::http
