#include "http/ConnectionGuard.h"

#include "common/Log.h"
#include "http/Message.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

namespace daisylanding::http {

namespace {

constexpr Millis SweepInterval{250};
/// How long a refused caller may take to read its answer: closed at once, what
/// it still sends would wipe the answer out.
constexpr Millis ReadAnswerIn{1'000};

std::string nameOf(const Endpoint &Peer) {
  return fmt::format("{}:{}", Peer.address().to_string(), Peer.port());
}

std::string refusalText(const Refusal &Why) {
  nlohmann::json Body = {
      {"error", "invalid"}, {"field", Why.Field}, {"allowed", Why.Allowed}};
  std::string Text = Body.dump();
  return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
                     "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                     Why.Status, reasonPhrase(Why.Status), Text.size(), Text);
}

} // namespace

asio::execution_context::id ConnectionGuard::id;

GuardedConnection::GuardedConnection(ConnectionGuard &Owner, int Handle,
                                     const Endpoint &Peer, TimePoint Opened)
    : Owner(Owner), Handle(Handle), Peer(Peer), Scanner(Opened) {
  Owner.Connections.push_back(this);
  Place = std::prev(Owner.Connections.end());
  Owner.ByPeer[Peer] = this;
}

GuardedConnection::~GuardedConnection() {
  Owner.Connections.erase(Place);
  auto Found = Owner.ByPeer.find(Peer);
  if (Found != Owner.ByPeer.end() && Found->second == this)
    Owner.ByPeer.erase(Found);
}

size_t GuardedConnection::admit(std::string_view Bytes, TimePoint Now) {
  auto Wrong = Scanner.feed(Bytes, Owner.Limits(), Now);
  Open += Scanner.complete() - Passed;
  Passed = Scanner.complete();
  if (!Wrong)
    return Bytes.size();
  refuse(std::move(*Wrong), Now);
  return Scanner.wholeBytes();
}

void GuardedConnection::answered() {
  Open -= std::min<uint64_t>(Open, 1);
  if (refused() && Open == 0)
    sendRefusal();
}

void GuardedConnection::refuse(Refusal Reason, TimePoint Now) {
  logInfo("message-refused", "peer={} status={} field={} open={}", nameOf(Peer),
          Reason.Status, Reason.Field, Open);
  Why = std::move(Reason);
  RefusedAt = Now;
  // Answers go out in the order of their requests.
  if (Open == 0)
    sendRefusal();
}

void GuardedConnection::sendRefusal() {
  if (Sent)
    return;
  Sent = true;
  std::string Text = refusalText(*Why);
  // Nothing else is being written, so its buffer has room for it.
  (void)!::send(Handle, Text.data(), Text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  ::shutdown(Handle, SHUT_WR);
}

void GuardedConnection::cutOff() const { ::shutdown(Handle, SHUT_RDWR); }

void ConnectionGuard::watch(asio::io_context &Context, size_t Most,
                            std::function<RequestLimits()> Source) {
  MaxConnections = Most;
  Limits = std::move(Source);
  Sweep = std::make_unique<asio::steady_timer>(Context);
  sweepLater();
}

std::shared_ptr<GuardedConnection>
ConnectionGuard::open(int Handle, const Endpoint &Peer, TimePoint Now) {
  if (Connections.size() >= MaxConnections)
    makeRoom();
  return std::make_shared<GuardedConnection>(*this, Handle, Peer, Now);
}

void ConnectionGuard::answered(const Endpoint &Peer) {
  auto Found = ByPeer.find(Peer);
  if (Found != ByPeer.end())
    Found->second->answered();
}

/// Ends the connection that has been idle longest. If none is idle, the new
/// one is one too many, for which the server keeps some places.
void ConnectionGuard::makeRoom() {
  const GuardedConnection *Longest = nullptr;
  for (const GuardedConnection *Each : Connections) {
    bool Better = !Longest || Each->Scanner.since() < Longest->Scanner.since();
    if (Each->idle() && !Each->refused() && Better)
      Longest = Each;
  }
  if (!Longest)
    return;
  logInfo("idle-connection-ended", "peer={} connections={}",
          nameOf(Longest->Peer), Connections.size());
  Longest->cutOff();
}

void ConnectionGuard::sweepLater() {
  Sweep->expires_after(SweepInterval);
  Sweep->async_wait([this](const asio::error_code &Failure) {
    if (Failure || !Sweep)
      return;
    sweep(monotonicNow());
    sweepLater();
  });
}

void ConnectionGuard::sweep(TimePoint Now) {
  RequestLimits Present = Limits();
  for (GuardedConnection *Each : Connections) {
    if (Each->refused()) {
      if (Now > Each->RefusedAt + ReadAnswerIn && Each->Open == 0)
        Each->cutOff();
      continue;
    }
    if (auto Late = Each->Scanner.late(Present, Now))
      Each->refuse(std::move(*Late), Now);
    else if (Each->idle() && Now > Each->Scanner.since() + Present.IdleTimeout)
      Each->cutOff();
  }
}

} // namespace daisylanding::http
