#include "http/DirectCalls.h"

#include "common/Log.h"
#include "http/ConnectionPool.h"
#include "http/ResponseReader.h"
#include "http/Url.h"

#include <fmt/format.h>

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace daisylanding::http {

/// A server that closed a kept connection before a request came is heard of
/// within a round trip. One that closes later has given up on the request.
constexpr Millis StaleCloseTime{500};

/// How long a call waits for the connection of another that was just sent to
/// its host, if a new one would replace a kept one.
constexpr Millis ReleaseWait{10};

/// A call and what has been received of its response.
struct Exchange {
  Call Request;
  CallDone Done;
  std::string Output; ///< The request as sent.
  size_t Sent = 0;
  bool RequestIssued = false; ///< A byte of it may have been sent.
  ResponseReader Reader;
  TimePoint StartedAt{};
  TimePoint IssuedAt{};   ///< When it was last given to an open connection.
  TimePoint LastByteAt{}; ///< Of the response; its start before any.
  std::optional<TimePoint> OpensAt; ///< Until then it waits for a release.
  std::optional<TimePoint> ConnectingSince;
  Host *Peer = nullptr;
  Connection *Carrier = nullptr; ///< None while it waits for one.
  std::multimap<TimePoint, Exchange *>::iterator Deadline;
  std::list<std::unique_ptr<Exchange>>::iterator Position;
  std::error_code Failure;

  explicit Exchange(Call Started)
      : Request(std::move(Started)), Reader(Request.MaxResponseBytes) {}

  /// When the call is late if nothing further arrives.
  TimePoint endsAt() const {
    TimePoint End = StartedAt + Request.Timeout;
    if (ConnectingSince)
      End = std::min(End, *ConnectingSince + Request.ConnectTimeout);
    if (Request.StallTimeout > Millis(0))
      End = std::min(End, LastByteAt + Request.StallTimeout);
    return End;
  }

  /// Whether its time is over, as its loop was held up. It isn't sent then:
  /// what it says was decided before.
  bool isOutOfTime(TimePoint Now) const {
    return Now >= StartedAt + Request.Timeout;
  }

  bool awaitsRelease(TimePoint Now) const {
    return !Carrier && OpensAt && Now < *OpensAt;
  }

  /// When there may be something to do for it if nothing further arrives.
  TimePoint dueAt() const {
    return !Carrier && OpensAt ? std::min(*OpensAt, endsAt()) : endsAt();
  }

  /// Whether it may be sent once more, on a new connection, if the kept one
  /// that carries it is closed by its server.
  bool mayBeRepeated(TimePoint Now) const {
    bool IsIdempotent = Request.Method == "GET" || Request.Idempotent;
    bool HasResponse = Reader.response().BeganAt != TimePoint{};
    return !RequestIssued ||
           (IsIdempotent && !HasResponse && Now - IssuedAt <= StaleCloseTime);
  }
};

namespace {

/// Marks the event data of direct connections; the rest is their id.
constexpr uint64_t EventMark = uint64_t{1} << 63;
constexpr size_t ReadBufferBytes = 64 << 10;

bool hasControlCharacter(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(), [](char Character) {
    return static_cast<unsigned char>(Character) < ' ';
  });
}

/// Whether no part of the request can be taken for another part of it.
bool isWellFormed(const Call &Request) {
  if (hasControlCharacter(Request.Url) ||
      Request.Url.find(' ') != std::string::npos)
    return false;
  return std::none_of(Request.Headers.begin(), Request.Headers.end(),
                      [](const Header &Field) {
                        return hasControlCharacter(Field.first) ||
                               hasControlCharacter(Field.second);
                      });
}

std::string writeRequest(const Call &Request) {
  std::string Output = fmt::format(
      "{} {} HTTP/1.1\r\nHost: {}\r\nAccept: */*\r\n", Request.Method,
      targetOfUrl(Request.Url), hostOfUrl(Request.Url));
  for (const Header &Field : Request.Headers)
    Output += fmt::format("{}: {}\r\n", Field.first, Field.second);
  if (Request.Method != "GET")
    Output += fmt::format("Content-Length: {}\r\n", Request.Body.size());
  Output += "\r\n";
  if (Request.Method != "GET")
    Output += Request.Body;
  return Output;
}

void logIncomplete(const Exchange &Ended, std::error_code Failure) {
  const Response &Received = Ended.Reader.response();
  const std::string *Length = findHeader(Received.Headers, "Content-Length");
  logWarn("answer-incomplete", "url={} received={} length={} took_ms={} why={}",
          Ended.Request.Url, Received.Body.size(), Length ? *Length : "-",
          toMillis(monotonicNow() - Ended.StartedAt),
          Failure == Errc::Timeout ? "timeout" : "broken-off");
}

} // namespace

struct DirectCalls::Impl {
  MultiClientOptions Options;
  ConnectionPool Pool;
  std::list<std::unique_ptr<Exchange>> Active;
  std::deque<std::unique_ptr<Exchange>> Completed;
  /// A call may be due later than its entry says, but not earlier.
  std::multimap<TimePoint, Exchange *> Deadlines;
  std::vector<char> ReadBuffer = std::vector<char>(ReadBufferBytes);

  Impl(int Epoll, const MultiClientOptions &Options)
      : Options(Options),
        Pool(Epoll, EventMark,
             static_cast<size_t>(std::max(1L, Options.MaxIdleConnections))) {}

  void start(Call Request, CallDone Done, TimePoint Now) {
    auto Owned = std::make_unique<Exchange>(std::move(Request));
    Exchange &Started = *Owned;
    Started.Done = std::move(Done);
    Started.StartedAt = Now;
    Started.LastByteAt = Now;
    Started.Position = Active.insert(Active.end(), std::move(Owned));
    Started.Deadline = Deadlines.emplace(Started.endsAt(), &Started);
    if (!isWellFormed(Started.Request)) {
      complete(Started, Errc::Unreachable);
      return;
    }
    Started.Output = writeRequest(Started.Request);
    Started.Peer = &Pool.hostOf(hostOfUrl(Started.Request.Url));
    if (isReleaseNear(*Started.Peer, Now)) {
      Started.OpensAt = Now + ReleaseWait;
      rescheduleDeadline(Started);
    }
    Started.Peer->Waiting.push_back(&Started);
    serveWaiting(*Started.Peer, Now);
  }

  bool isReleaseNear(const Host &Peer, TimePoint Now) const {
    return Pool.isFull() && Peer.Idle.empty() && Peer.OpenCount > 0 &&
           Now - Peer.LastCarriedAt <= ReleaseWait;
  }

  /// Gives connections to the calls that wait for one. \p Peer may be gone
  /// afterwards.
  void serveWaiting(Host &Peer, TimePoint Now) {
    while (!Peer.Waiting.empty()) {
      Exchange &Next = *Peer.Waiting.front();
      if (Next.isOutOfTime(Now)) {
        Peer.Waiting.pop_front();
        complete(Next, failureOf(Next));
        continue;
      }
      Connection *Carrier = takeConnection(Next, Now);
      if (!Carrier)
        break;
      Peer.Waiting.pop_front();
      carry(*Carrier, Next, Now);
    }
    if (Peer.OpenCount == 0)
      endWaiting(Peer);
    Pool.forgetIfUnused(Peer);
  }

  /// One to send on, or to connect; null if the host has as many as it may
  /// have, or no socket can be opened.
  Connection *takeConnection(const Exchange &Next, TimePoint Now) {
    // The server may have closed all kept connections, not just the one on
    // which this call was sent before.
    bool IsRepeat = Next.RequestIssued;
    Connection *Taken = IsRepeat ? openConnection(Next, Now) : nullptr;
    if (!Taken)
      Taken = Pool.takeIdle(*Next.Peer);
    bool AwaitsRelease = Next.Peer->OpenCount > 0 && Next.awaitsRelease(Now);
    if (!Taken && !IsRepeat && !AwaitsRelease)
      Taken = openConnection(Next, Now);
    return Taken;
  }

  Connection *openConnection(const Exchange &Next, TimePoint Now) {
    auto MaxCount =
        static_cast<size_t>(std::max(1L, Options.MaxConnectionsPerHost));
    return Next.Peer->OpenCount < MaxCount ? Pool.open(*Next.Peer, Now)
                                           : nullptr;
  }

  /// No connection to the host is left that could be released, and none can be
  /// opened.
  void endWaiting(Host &Peer) {
    while (!Peer.Waiting.empty()) {
      Exchange &Unserved = *Peer.Waiting.front();
      Peer.Waiting.pop_front();
      complete(Unserved, failureOf(Unserved));
    }
  }

  /// Sends the call, or begins to connect for it. It waits again if the
  /// connection turns out to be closed before a byte of it was sent.
  void carry(Connection &Carrier, Exchange &Carried, TimePoint Now) {
    Carrier.Current = &Carried;
    Carried.Carrier = &Carrier;
    Carried.Peer->LastCarriedAt = Now;
    if (Carrier.IsConnecting) {
      Carried.ConnectingSince = Now;
      rescheduleDeadline(Carried);
      if (!Pool.connect(Carrier))
        drop(Carrier, Now);
      return;
    }
    if (!issue(Carrier, Now))
      drop(Carrier, Now);
  }

  bool issue(Connection &Carrier, TimePoint Now) {
    Exchange &Issued = *Carrier.Current;
    Issued.ConnectingSince.reset();
    Issued.IssuedAt = Now;
    return sendRequest(Carrier);
  }

  /// Sends as much as the socket takes. Returns false on failure.
  bool sendRequest(Connection &Carrier) {
    Exchange &Current = *Carrier.Current;
    while (Current.Sent < Current.Output.size()) {
      std::string_view Left =
          std::string_view(Current.Output).substr(Current.Sent);
      ssize_t Count =
          ::send(Carrier.Socket, Left.data(), Left.size(), MSG_NOSIGNAL);
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (Count < 0)
        return false;
      Current.RequestIssued = true;
      Current.Sent += static_cast<size_t>(Count);
    }
    bool IsAllSent = Current.Sent == Current.Output.size();
    Pool.watch(Carrier, IsAllSent ? EPOLLIN : EPOLLIN | EPOLLOUT);
    return true;
  }

  void onEvent(uint64_t Id, uint32_t Events, TimePoint Now) {
    Connection *Found = Pool.find(Id);
    if (!Found)
      return;
    Connection &Ready = *Found;
    if (Ready.IsConnecting) {
      onConnected(Ready, Now);
      return;
    }
    if (!Ready.Current) {
      // Closed by its server, or not in a state to carry a call.
      Pool.closeIdle(Ready);
      return;
    }
    if ((Events & (EPOLLIN | EPOLLERR | EPOLLHUP)) && !receive(Ready, Now))
      return;
    if ((Events & EPOLLOUT) && !sendRequest(Ready))
      fail(Ready, Now);
  }

  void onConnected(Connection &Ready, TimePoint Now) {
    int Failure = 0;
    socklen_t Size = sizeof(Failure);
    ::getsockopt(Ready.Socket, SOL_SOCKET, SO_ERROR, &Failure, &Size);
    if (Failure != 0 || Ready.Current->isOutOfTime(Now)) {
      fail(Ready, Now);
      return;
    }
    Ready.IsConnecting = false;
    if (!ConnectionPool::isUsable(Ready) || !issue(Ready, Now))
      fail(Ready, Now);
  }

  /// Returns false if the connection no longer carries the call.
  bool receive(Connection &Ready, TimePoint Now) {
    Exchange &Current = *Ready.Current;
    while (true) {
      ssize_t Count =
          ::recv(Ready.Socket, ReadBuffer.data(), ReadBuffer.size(), 0);
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return true;
      if (Count <= 0) {
        fail(Ready, Now);
        return false;
      }
      if (!Current.RequestIssued) {
        // These bytes answer nothing.
        fail(Ready, Now);
        return false;
      }
      auto Size = static_cast<size_t>(Count);
      Response &Received = Current.Reader.response();
      if (Received.BeganAt == TimePoint{})
        Received.BeganAt = Now;
      Current.LastByteAt = Now;
      auto State = Current.Reader.read(std::span(ReadBuffer).first(Size));
      if (State == ResponseReader::State::Malformed) {
        fail(Ready, Now);
        return false;
      }
      if (State == ResponseReader::State::Complete) {
        onResponse(Ready, Now);
        return false;
      }
      if (Size < ReadBuffer.size())
        return true;
    }
  }

  void onResponse(Connection &Ready, TimePoint Now) {
    Exchange &Answered = *Ready.Current;
    bool IsReusable = Answered.Reader.mayReuseConnection() &&
                      Answered.Sent == Answered.Output.size();
    complete(Answered, {});
    Ready.Current = nullptr;
    Ready.HasServed = true;
    Host &Peer = *Ready.Peer;
    if (!IsReusable) {
      Pool.close(Ready);
      serveWaiting(Peer, Now);
      return;
    }
    Pool.keep(Ready, Now);
    serveWaiting(Peer, Now);
    Pool.trim();
  }

  /// Ends the connection, and its call unless that may be repeated.
  void fail(Connection &Failed, TimePoint Now) {
    Host &Peer = *Failed.Peer;
    drop(Failed, Now);
    serveWaiting(Peer, Now);
  }

  /// As `fail`, but leaves it to the caller to serve the calls that wait.
  void drop(Connection &Failed, TimePoint Now) {
    Exchange &Lost = *Failed.Current;
    bool IsRepeated = Failed.HasServed && Lost.mayBeRepeated(Now);
    Failed.Current = nullptr;
    Pool.close(Failed);
    if (!IsRepeated) {
      complete(Lost, failureOf(Lost));
      return;
    }
    Lost.Carrier = nullptr;
    Lost.Sent = 0;
    Lost.Peer->Waiting.push_front(&Lost);
  }

  static Errc failureOf(const Exchange &Lost) {
    return Lost.RequestIssued ? Errc::AnswerLost : Errc::Unreachable;
  }

  void complete(Exchange &Ended, std::error_code Failure) {
    Deadlines.erase(Ended.Deadline);
    Ended.Carrier = nullptr;
    Ended.Failure = Failure;
    Completed.push_back(std::move(*Ended.Position));
    Active.erase(Ended.Position);
  }

  void rescheduleDeadline(Exchange &Rescheduled) {
    Deadlines.erase(Rescheduled.Deadline);
    Rescheduled.Deadline = Deadlines.emplace(Rescheduled.dueAt(), &Rescheduled);
  }

  static CallResult resultOf(Exchange &Ended) {
    Response &Received = Ended.Reader.response();
    if (!Ended.Failure)
      return std::move(Received);
    if (!Received.Body.empty())
      logIncomplete(Ended, Ended.Failure);
    return Ended.Failure;
  }

  bool finishCompleted() {
    // Calls that are started here, and end at once, are for the next round.
    std::deque<std::unique_ptr<Exchange>> Finished;
    Finished.swap(Completed);
    for (const std::unique_ptr<Exchange> &Ended : Finished)
      Ended->Done(resultOf(*Ended));
    return !Finished.empty();
  }

  void finishLate(TimePoint Now) {
    while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
      Exchange &Due = *Deadlines.begin()->second;
      if (Due.endsAt() <= Now) {
        endLate(Due, Now);
      } else if (Due.dueAt() <= Now) {
        Due.OpensAt.reset();
        rescheduleDeadline(Due);
        serveWaiting(*Due.Peer, Now);
      } else {
        rescheduleDeadline(Due);
      }
    }
    Pool.closeIdleSince(Now - Options.MaxIdleTime);
    finishCompleted();
  }

  void endLate(Exchange &Late, TimePoint Now) {
    Connection *Carrier = Late.Carrier;
    Host &Peer = *Late.Peer;
    if (!Carrier)
      std::erase(Peer.Waiting, &Late);
    complete(Late, Late.RequestIssued ? Errc::Timeout : Errc::Unreachable);
    if (!Carrier)
      return;
    Carrier->Current = nullptr;
    Pool.close(*Carrier);
    serveWaiting(Peer, Now);
  }
};

DirectCalls::DirectCalls(int Epoll, const MultiClientOptions &Options)
    : Pimpl(std::make_unique<Impl>(Epoll, Options)) {}

DirectCalls::~DirectCalls() = default;

bool DirectCalls::accepts(const Call &Request) {
  return !Request.FreshConnection && Request.Url.starts_with(HttpScheme) &&
         addressOfHost(hostOfUrl(Request.Url)).has_value();
}

bool DirectCalls::ownsEvent(uint64_t EventData) {
  return (EventData & EventMark) != 0;
}

void DirectCalls::start(Call Request, CallDone Done, TimePoint Now) {
  Pimpl->start(std::move(Request), std::move(Done), Now);
}

void DirectCalls::onEvent(uint64_t EventData, uint32_t Events, TimePoint Now) {
  Pimpl->onEvent(EventData & ~EventMark, Events, Now);
}

bool DirectCalls::finishCompleted() { return Pimpl->finishCompleted(); }

void DirectCalls::finishLate(TimePoint Now) { Pimpl->finishLate(Now); }

std::optional<TimePoint> DirectCalls::nextDeadline() const {
  if (Pimpl->Deadlines.empty())
    return std::nullopt;
  return Pimpl->Deadlines.begin()->first;
}

bool DirectCalls::hasCompleted() const { return !Pimpl->Completed.empty(); }

size_t DirectCalls::activeCalls() const {
  return Pimpl->Active.size() + Pimpl->Completed.size();
}

size_t DirectCalls::openConnections() const { return Pimpl->Pool.size(); }

} // namespace daisylanding::http
