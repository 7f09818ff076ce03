#ifndef DAISYLANDING_HTTP_CONNECTIONLIMITER_H
#define DAISYLANDING_HTTP_CONNECTIONLIMITER_H

#include "common/LogLimiter.h"
#include "common/Metrics.h"
#include "http/RequestBudget.h"
#include "http/RequestScanner.h"

#include <asio.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace daisylanding::http {

class ConnectionLimiter;

using PeerAddress = asio::ip::tcp::endpoint;

/// Requests that the process has let go of, on any thread.
class ReleasedRequests {
public:
  struct Entry {
    RequestBudget::ConnectionId Connection = 0;
    size_t Bytes = 0;
  };

  void add(const Entry &Released) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Entries.push_back(Released);
  }
  std::vector<Entry> take() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return std::exchange(Entries, {});
  }

private:
  std::mutex Mutex;
  std::vector<Entry> Entries;
};

/// Bytes of answers that a connection's client hasn't received.
using UnsentBytes = std::shared_ptr<std::atomic<size_t>>;

/// Accounts for a request until the last copy of what refers to it is gone.
class RequestTicket {
public:
  RequestTicket(std::shared_ptr<ReleasedRequests> Released,
                const ReleasedRequests::Entry &Held, UnsentBytes Unsent)
      : Released(std::move(Released)), Held(Held), Unsent(std::move(Unsent)) {}
  ~RequestTicket() { Released->add(Held); }
  RequestTicket(const RequestTicket &) = delete;
  RequestTicket &operator=(const RequestTicket &) = delete;

  /// The answer was handed to the server.
  void recordAnswer(size_t Bytes) {
    AnswerBytes = Bytes;
    Unsent->fetch_add(Bytes);
  }
  /// It was sent, or its connection has ended.
  void recordSent() { Unsent->fetch_sub(AnswerBytes); }

private:
  std::shared_ptr<ReleasedRequests> Released;
  ReleasedRequests::Entry Held;
  UnsentBytes Unsent;
  size_t AnswerBytes = 0;
};

/// An open connection tracked by a ConnectionLimiter.
class LimitedConnection {
public:
  LimitedConnection(ConnectionLimiter &Limiter, RequestBudget::ConnectionId Id,
                    int SocketHandle, const PeerAddress &Peer,
                    TimePoint OpenedAt);
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
  void checkTimeouts(const RequestLimits &Limits, TimePoint Now);
  void refuse(Refusal Reason, TimePoint Now);
  void sendRefusal();
  /// Tells the client that its request isn't run, if it can be told.
  void evict(Overrun Reason);
  void disconnect() const;
  std::shared_ptr<RequestTicket> takeTicket();

  ConnectionLimiter &Limiter;
  RequestBudget::ConnectionId Id;
  int SocketHandle; ///< Owned by the socket, which outlives this object.
  PeerAddress Peer;
  RequestScanner Scanner;
  uint64_t ForwardedMessages = 0; ///< Complete messages passed to the parser.
  uint64_t OpenRequests = 0;      ///< Forwarded, with no response written yet.
  std::optional<Refusal> RefusalReason;
  TimePoint RefusedAt{};
  bool RefusalSent = false;
  bool Evicted = false;
  std::deque<size_t> WholeBytes; ///< Of requests not yet handed over.
  UnsentBytes Unsent = std::make_shared<std::atomic<size_t>>(0);
};

/// Enforces RequestLimits and a RequestBudget on all connections of a server:
/// answers violations with an error response, closes connections that exceed a
/// timeout, and those that the budget names. Used on the server's
/// thread only. Registered as a service of the I/O context, where sockets look
/// it up.
class ConnectionLimiter : public asio::execution_context::service {
public:
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  static asio::execution_context::id id;

  explicit ConnectionLimiter(asio::execution_context &Context)
      : asio::execution_context::service(Context) {}

  struct Options {
    BudgetLimits Budget;
    /// Sockets with this number and above leave too few descriptors.
    size_t MaxSocketHandle = SIZE_MAX;
    std::string Server;                    ///< Its name in logs and metrics.
    Metrics *Counters = nullptr;           ///< Of refusals; may be null.
    std::function<RequestLimits()> Limits; ///< Those in force.
  };

  /// Starts enforcing the limits. Until then all input is forwarded unchecked.
  void enable(asio::io_context &Context, Options Enforced);
  bool isEnabled() const { return Budget != nullptr; }

  std::shared_ptr<LimitedConnection>
  track(int SocketHandle, const PeerAddress &Peer, TimePoint Now);
  /// A ticket for the next request of \p Peer; null if it isn't tracked.
  std::shared_ptr<RequestTicket> takeTicket(const PeerAddress &Peer);
  /// Counts a response written to \p Peer.
  void onResponseWritten(const PeerAddress &Peer);

private:
  friend class LimitedConnection;

  static constexpr uint64_t MaxRefusalLinesPerSecond = 10;

  void shutdown() noexcept override { SweepTimer.reset(); }
  void scheduleSweep();
  void sweep(TimePoint Now);
  void releaseRequests();
  void evictAll(std::span<const RequestBudget::Eviction> Evictions);
  void recordRefusal(std::string_view Reason, const LimitedConnection &Refused);

  Options Enforced;
  std::unique_ptr<RequestBudget> Budget;
  std::shared_ptr<ReleasedRequests> Released =
      std::make_shared<ReleasedRequests>();
  RequestBudget::ConnectionId LastId = 0;
  std::map<RequestBudget::ConnectionId, LimitedConnection *> Connections;
  std::map<PeerAddress, LimitedConnection *> ConnectionsByPeer;
  LogLimiter RefusalLog{MaxRefusalLinesPerSecond};
  std::unique_ptr<asio::steady_timer> SweepTimer;
};

} // namespace daisylanding::http

#endif
