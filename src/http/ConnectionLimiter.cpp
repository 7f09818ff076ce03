#include "http/ConnectionLimiter.h"

#include "common/Log.h"
#include "http/Message.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

namespace daisylanding::http {

namespace {

constexpr Millis SweepInterval{250};
/// Time for a refused client to read the error response. If the socket were
/// closed at once, data still arriving would reset the connection and discard
/// the response.
constexpr Millis RefusalReadTimeout{1'000};

std::string formatAddress(const PeerAddress &Peer) {
  return fmt::format("{}:{}", Peer.address().to_string(), Peer.port());
}

std::string formatResponse(uint16_t Status, std::string_view Fields,
                           const nlohmann::json &Body) {
  std::string Text = Body.dump();
  return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n{}"
                     "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                     Status, reasonPhrase(Status), Fields, Text.size(), Text);
}

std::string formatRefusal(const Refusal &Reason) {
  return formatResponse(Reason.Status, "",
                        {{"error", "invalid"},
                         {"field", Reason.Field},
                         {"allowed", Reason.Allowed}});
}

std::string formatEviction(Overrun Reason) {
  bool IsOwn = Reason == Overrun::ConnectionBytes ||
               Reason == Overrun::AddressBytes ||
               Reason == Overrun::AddressConnections;
  uint16_t Status = IsOwn ? StatusTooManyRequests : StatusUnavailable;
  return formatResponse(Status, "Retry-After: 1\r\n",
                        {{"error", overrunName(Reason)}});
}

void sendAtOnce(int SocketHandle, std::string_view Text) {
  // No other write is in progress, so the send buffer has room.
  (void)!::send(SocketHandle, Text.data(), Text.size(),
                MSG_NOSIGNAL | MSG_DONTWAIT);
}

} // namespace

asio::execution_context::id ConnectionLimiter::id;

LimitedConnection::LimitedConnection(ConnectionLimiter &Limiter,
                                     RequestBudget::ConnectionId Id,
                                     int SocketHandle, const PeerAddress &Peer,
                                     TimePoint OpenedAt)
    : Limiter(Limiter), Id(Id), SocketHandle(SocketHandle), Peer(Peer),
      Scanner(OpenedAt) {
  Limiter.Connections[Id] = this;
  Limiter.ConnectionsByPeer[Peer] = this;
}

LimitedConnection::~LimitedConnection() {
  for (size_t Bytes : WholeBytes)
    Limiter.Budget->release(Id, Bytes);
  Limiter.Budget->close(Id);
  Limiter.Connections.erase(Id);
  auto Found = Limiter.ConnectionsByPeer.find(Peer);
  if (Found != Limiter.ConnectionsByPeer.end() && Found->second == this)
    Limiter.ConnectionsByPeer.erase(Found);
}

size_t LimitedConnection::scanReceived(std::string_view Bytes, TimePoint Now) {
  auto Error = Scanner.feed(Bytes, Limiter.Enforced.Limits(), Now);
  const std::vector<size_t> &Completed = Scanner.completedSizes();
  WholeBytes.insert(WholeBytes.end(), Completed.begin(), Completed.end());
  Limiter.releaseRequests();
  Limiter.evictAll(Limiter.Budget->receive(Id,
                                           {.PartialBytes = Scanner.heldBytes(),
                                            .Since = Scanner.lastBoundary(),
                                            .WholeBytes = Completed},
                                           Now));
  if (Evicted)
    return 0;
  OpenRequests += Scanner.completedMessages() - ForwardedMessages;
  ForwardedMessages = Scanner.completedMessages();
  if (!Error)
    return Bytes.size();
  refuse(std::move(*Error), Now);
  return Scanner.completeBytes();
}

std::shared_ptr<RequestTicket> LimitedConnection::takeTicket() {
  if (WholeBytes.empty())
    return nullptr;
  size_t Bytes = WholeBytes.front();
  WholeBytes.pop_front();
  return std::make_shared<RequestTicket>(
      Limiter.Released,
      ReleasedRequests::Entry{.Connection = Id, .Bytes = Bytes}, Unsent);
}

void LimitedConnection::onResponseWritten() {
  OpenRequests -= std::min<uint64_t>(OpenRequests, 1);
  Limiter.Budget->recordAnswer(Id);
  if (isRefused() && OpenRequests == 0)
    sendRefusal();
}

void LimitedConnection::refuse(Refusal Reason, TimePoint Now) {
  Limiter.recordRefusal(fmt::format("{}-{}", Reason.Status, Reason.Field),
                        *this);
  RefusalReason = std::move(Reason);
  RefusedAt = Now;
  // Responses are sent in request order, so the refusal waits for open ones.
  if (OpenRequests == 0)
    sendRefusal();
}

void LimitedConnection::sendRefusal() {
  if (RefusalSent)
    return;
  RefusalSent = true;
  sendAtOnce(SocketHandle, formatRefusal(*RefusalReason));
  ::shutdown(SocketHandle, SHUT_WR);
}

void LimitedConnection::checkTimeouts(const RequestLimits &Limits,
                                      TimePoint Now) {
  if (Evicted)
    return;
  if (Unsent->load() > Limiter.Enforced.Budget.MaxUnsentBytes) {
    evict(Overrun::UnsentBytes);
    return;
  }
  if (isRefused()) {
    if (Now > RefusedAt + RefusalReadTimeout && OpenRequests == 0)
      disconnect();
    return;
  }
  if (auto Timeout = Scanner.checkTimeout(Limits, Now))
    refuse(std::move(*Timeout), Now);
  else if (isIdle() && Now > Scanner.lastBoundary() + Limits.IdleTimeout)
    disconnect();
}

/// What the connection holds is freed as soon as it is closed, so that its
/// client isn't waited for. An idle one is closed without an answer.
void LimitedConnection::evict(Overrun Reason) {
  Limiter.recordRefusal(overrunName(Reason), *this);
  Evicted = true;
  bool MakesRoom = Reason == Overrun::Connections ||
                   Reason == Overrun::AddressConnections ||
                   Reason == Overrun::Descriptors;
  if (OpenRequests == 0 && !RefusalSent && !(MakesRoom && isIdle()))
    sendAtOnce(SocketHandle, formatEviction(Reason));
  disconnect();
}

void LimitedConnection::disconnect() const {
  ::shutdown(SocketHandle, SHUT_RDWR);
}

void ConnectionLimiter::enable(asio::io_context &Context, Options Enforced) {
  this->Enforced = std::move(Enforced);
  Budget = std::make_unique<RequestBudget>(this->Enforced.Budget);
  SweepTimer = std::make_unique<asio::steady_timer>(Context);
  scheduleSweep();
}

std::shared_ptr<LimitedConnection>
ConnectionLimiter::track(int SocketHandle, const PeerAddress &Peer,
                         TimePoint Now) {
  auto Tracked = std::make_shared<LimitedConnection>(*this, ++LastId,
                                                     SocketHandle, Peer, Now);
  bool FewDescriptorsLeft =
      static_cast<size_t>(SocketHandle) >= Enforced.MaxSocketHandle;
  evictAll(Budget->open(Tracked->Id, Peer.address().to_string(),
                        FewDescriptorsLeft, Now));
  return Tracked;
}

std::shared_ptr<RequestTicket>
ConnectionLimiter::takeTicket(const PeerAddress &Peer) {
  auto Found = ConnectionsByPeer.find(Peer);
  return Found == ConnectionsByPeer.end() ? nullptr
                                          : Found->second->takeTicket();
}

void ConnectionLimiter::onResponseWritten(const PeerAddress &Peer) {
  auto Found = ConnectionsByPeer.find(Peer);
  if (Found != ConnectionsByPeer.end())
    Found->second->onResponseWritten();
}

void ConnectionLimiter::releaseRequests() {
  for (const ReleasedRequests::Entry &Request : Released->take())
    Budget->release(Request.Connection, Request.Bytes);
}

void ConnectionLimiter::evictAll(
    std::span<const RequestBudget::Eviction> Evictions) {
  for (const RequestBudget::Eviction &Next : Evictions) {
    auto Found = Connections.find(Next.Connection);
    if (Found != Connections.end())
      Found->second->evict(Next.Reason);
  }
}

void ConnectionLimiter::recordRefusal(std::string_view Reason,
                                      const LimitedConnection &Refused) {
  if (Enforced.Counters)
    Enforced.Counters->count(fmt::format(
        "refusals{{server=\"{}\",reason=\"{}\"}}", Enforced.Server, Reason));
  uint64_t Dropped = 0;
  if (!RefusalLog.admit(monotonicNow(), Dropped))
    return;
  logInfo("message-refused",
          "server={} peer={} why={} open={} connections={} held_bytes={} "
          "not_logged={}",
          Enforced.Server, formatAddress(Refused.Peer), Reason,
          Refused.OpenRequests, Budget->openConnections(), Budget->heldBytes(),
          Dropped);
}

void ConnectionLimiter::scheduleSweep() {
  SweepTimer->expires_after(SweepInterval);
  SweepTimer->async_wait([this](const asio::error_code &Failure) {
    if (Failure || !SweepTimer)
      return;
    sweep(monotonicNow());
    scheduleSweep();
  });
}

void ConnectionLimiter::sweep(TimePoint Now) {
  releaseRequests();
  if (Enforced.Counters)
    Enforced.Counters->gauge(
        fmt::format("request_bytes{{server=\"{}\"}}", Enforced.Server),
        static_cast<double>(Budget->heldBytes()));
  RequestLimits Limits = Enforced.Limits();
  for (auto &[Id, Connection] : Connections)
    Connection->checkTimeouts(Limits, Now);
}

} // namespace daisylanding::http
