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

std::string formatRefusal(const Refusal &Reason) {
  nlohmann::json Body = {{"error", "invalid"},
                         {"field", Reason.Field},
                         {"allowed", Reason.Allowed}};
  std::string Text = Body.dump();
  return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
                     "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                     Reason.Status, reasonPhrase(Reason.Status), Text.size(),
                     Text);
}

} // namespace

asio::execution_context::id ConnectionLimiter::id;

LimitedConnection::LimitedConnection(ConnectionLimiter &Limiter,
                                     int SocketHandle, const PeerAddress &Peer,
                                     TimePoint OpenedAt)
    : Limiter(Limiter), SocketHandle(SocketHandle), Peer(Peer),
      Scanner(OpenedAt) {
  Limiter.Connections.push_back(this);
  Position = std::prev(Limiter.Connections.end());
  Limiter.ConnectionsByPeer[Peer] = this;
}

LimitedConnection::~LimitedConnection() {
  Limiter.Connections.erase(Position);
  auto Found = Limiter.ConnectionsByPeer.find(Peer);
  if (Found != Limiter.ConnectionsByPeer.end() && Found->second == this)
    Limiter.ConnectionsByPeer.erase(Found);
}

size_t LimitedConnection::scanReceived(std::string_view Bytes, TimePoint Now) {
  auto Error = Scanner.feed(Bytes, Limiter.LimitsSource(), Now);
  OpenRequests += Scanner.completedMessages() - ForwardedMessages;
  ForwardedMessages = Scanner.completedMessages();
  if (!Error)
    return Bytes.size();
  refuse(std::move(*Error), Now);
  return Scanner.completeBytes();
}

void LimitedConnection::onResponseWritten() {
  OpenRequests -= std::min<uint64_t>(OpenRequests, 1);
  if (isRefused() && OpenRequests == 0)
    sendRefusal();
}

void LimitedConnection::refuse(Refusal Reason, TimePoint Now) {
  logInfo("message-refused", "peer={} status={} field={} open={}",
          formatAddress(Peer), Reason.Status, Reason.Field, OpenRequests);
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
  std::string Text = formatRefusal(*RefusalReason);
  // No other write is in progress, so the send buffer has room.
  (void)!::send(SocketHandle, Text.data(), Text.size(),
                MSG_NOSIGNAL | MSG_DONTWAIT);
  ::shutdown(SocketHandle, SHUT_WR);
}

void LimitedConnection::disconnect() const {
  ::shutdown(SocketHandle, SHUT_RDWR);
}

void ConnectionLimiter::enable(asio::io_context &Context, size_t MaxConnections,
                               std::function<RequestLimits()> Source) {
  ConnectionLimit = MaxConnections;
  LimitsSource = std::move(Source);
  SweepTimer = std::make_unique<asio::steady_timer>(Context);
  scheduleSweep();
}

std::shared_ptr<LimitedConnection>
ConnectionLimiter::track(int SocketHandle, const PeerAddress &Peer,
                         TimePoint Now) {
  if (Connections.size() >= ConnectionLimit)
    closeLongestIdle();
  return std::make_shared<LimitedConnection>(*this, SocketHandle, Peer, Now);
}

void ConnectionLimiter::onResponseWritten(const PeerAddress &Peer) {
  auto Found = ConnectionsByPeer.find(Peer);
  if (Found != ConnectionsByPeer.end())
    Found->second->onResponseWritten();
}

/// Closes the connection that has been idle longest. If none is idle, the new
/// connection stays open as one of the server's ExtraConnections.
void ConnectionLimiter::closeLongestIdle() {
  const LimitedConnection *LongestIdle = nullptr;
  for (const LimitedConnection *Connection : Connections) {
    bool IdleLonger = !LongestIdle || Connection->Scanner.lastBoundary() <
                                          LongestIdle->Scanner.lastBoundary();
    if (Connection->isIdle() && !Connection->isRefused() && IdleLonger)
      LongestIdle = Connection;
  }
  if (!LongestIdle)
    return;
  logInfo("idle-connection-ended", "peer={} connections={}",
          formatAddress(LongestIdle->Peer), Connections.size());
  LongestIdle->disconnect();
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
  RequestLimits Limits = LimitsSource();
  for (LimitedConnection *Connection : Connections) {
    if (Connection->isRefused()) {
      if (Now > Connection->RefusedAt + RefusalReadTimeout &&
          Connection->OpenRequests == 0)
        Connection->disconnect();
      continue;
    }
    if (auto Timeout = Connection->Scanner.checkTimeout(Limits, Now))
      Connection->refuse(std::move(*Timeout), Now);
    else if (Connection->isIdle() &&
             Now > Connection->Scanner.lastBoundary() + Limits.IdleTimeout)
      Connection->disconnect();
  }
}

} // namespace daisylanding::http
