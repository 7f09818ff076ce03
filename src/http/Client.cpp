#include "http/Client.h"

#include "common/Log.h"
#include "common/WakePipe.h"
#include "http/DirectCalls.h"
#include "http/PollRounds.h"

#include <curl/curl.h>

#include <strings.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>

namespace daisylanding::http {

namespace {

void initializeCurl() {
  static std::once_flag Initialized;
  std::call_once(Initialized, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

/// A call in progress. Owns the request data that libcurl refers to and the
/// response received so far.
struct Transfer {
  Call Request;
  Response Reply;
  curl_slist *Headers = nullptr;
  CURL *Handle = nullptr;
  /// The request may have been sent, on this or an earlier connection.
  bool RequestIssued = false;
  TimePoint StartedAt{};
  TimePoint LastByteAt{}; ///< Of the response; its start before any.
  std::multimap<TimePoint, CURL *>::iterator Deadline; ///< In a MultiClient.
  CallDone Done;

  void recordBytes(TimePoint Now) {
    if (Reply.BeganAt == TimePoint{})
      Reply.BeganAt = Now;
    LastByteAt = Now;
  }
  TimePoint stallsAt() const { return LastByteAt + Request.StallTimeout; }

  Transfer() = default;
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;
  ~Transfer() { curl_slist_free_all(Headers); }
};

size_t onBody(char *Data, size_t Size, size_t Count, void *UserData) {
  auto *CurrentTransfer = static_cast<Transfer *>(UserData);
  size_t Bytes = Size * Count;
  if (CurrentTransfer->Reply.Body.size() + Bytes >
      CurrentTransfer->Request.MaxResponseBytes)
    return 0;
  CurrentTransfer->recordBytes(monotonicNow());
  CurrentTransfer->Reply.Body.append(Data, Bytes);
  return Bytes;
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && (Text.back() == '\r' || Text.back() == '\n'))
    Text.remove_suffix(1);
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  return Text;
}

size_t onHeader(char *Data, size_t Size, size_t Count, void *UserData) {
  auto *CurrentTransfer = static_cast<Transfer *>(UserData);
  CurrentTransfer->recordBytes(monotonicNow());
  std::string_view Line(Data, Size * Count);
  if (Line.substr(0, 5) == "HTTP/")
    CurrentTransfer->Reply.Headers.clear();
  size_t Colon = Line.find(':');
  if (Colon != std::string_view::npos) {
    CurrentTransfer->Reply.Headers.emplace_back(
        std::string(Line.substr(0, Colon)),
        std::string(trim(Line.substr(Colon + 1))));
  }
  return Size * Count;
}

/// libcurl calls this when a connection is established, right before it sends
/// the request.
int onBeforeRequest(void *UserData, char *, char *, int, int) {
  static_cast<Transfer *>(UserData)->RequestIssued = true;
  return CURL_PREREQFUNC_OK;
}

void configure(Transfer &CurrentTransfer, CURL *Handle) {
  CurrentTransfer.Handle = Handle;
  const Call &Request = CurrentTransfer.Request;
  curl_easy_reset(Handle);
  curl_easy_setopt(Handle, CURLOPT_URL, Request.Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT,
                   Request.FreshConnection ? 1L : 0L);
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Request.ConnectTimeout.count()));
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &CurrentTransfer);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, &CurrentTransfer);
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, onBeforeRequest);
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, &CurrentTransfer);
  if (Request.Method != "GET") {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Request.Body.data());
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.Body.size()));
  }
  CurrentTransfer.Headers = curl_slist_append(nullptr, "Expect:");
  for (const Header &Field : Request.Headers) {
    std::string Line = Field.first + ": " + Field.second;
    CurrentTransfer.Headers =
        curl_slist_append(CurrentTransfer.Headers, Line.c_str());
  }
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, CurrentTransfer.Headers);
}

/// A response delimited only by the end of its connection cannot be told apart
/// from a truncated one.
bool hasVerifiableLength(const Response &Received) {
  constexpr uint16_t StatusNoContent = 204;
  return Received.Status == StatusNoContent ||
         findHeader(Received.Headers, "Content-Length") ||
         findHeader(Received.Headers, "Transfer-Encoding");
}

/// An answer of which a part was received tells a slow transfer from a server
/// that doesn't answer.
void logIncomplete(const Transfer &CurrentTransfer, CURLcode Code) {
  const std::string *Length =
      findHeader(CurrentTransfer.Reply.Headers, "Content-Length");
  logWarn("answer-incomplete", "url={} received={} length={} took_ms={} why={}",
          CurrentTransfer.Request.Url, CurrentTransfer.Reply.Body.size(),
          Length ? *Length : "-",
          toMillis(monotonicNow() - CurrentTransfer.StartedAt),
          Code == CURLE_OPERATION_TIMEDOUT ? "timeout" : "broken-off");
}

CallResult makeResult(Transfer &CurrentTransfer, CURLcode Code) {
  if (Code == CURLE_OK) {
    long Status = 0;
    curl_easy_getinfo(CurrentTransfer.Handle, CURLINFO_RESPONSE_CODE, &Status);
    CurrentTransfer.Reply.Status = static_cast<uint16_t>(Status);
    if (!hasVerifiableLength(CurrentTransfer.Reply))
      return Errc::AnswerLost;
    return std::move(CurrentTransfer.Reply);
  }
  if (!CurrentTransfer.Reply.Body.empty())
    logIncomplete(CurrentTransfer, Code);
  // The error code alone is not enough: libcurl resends the request when a
  // reused connection closes, and may then fail to connect although the request
  // was sent before.
  if (!CurrentTransfer.RequestIssued)
    return Errc::Unreachable;
  return Code == CURLE_OPERATION_TIMEDOUT ? Errc::Timeout : Errc::AnswerLost;
}

} // namespace

struct Client::Impl {
  CURL *Handle = curl_easy_init();
};

Client::Client() {
  initializeCurl();
  Pimpl = std::make_unique<Impl>();
}

Client::~Client() { curl_easy_cleanup(Pimpl->Handle); }

CallResult Client::perform(const Call &Request) {
  Transfer CurrentTransfer;
  CurrentTransfer.Request = Request;
  CurrentTransfer.StartedAt = monotonicNow();
  configure(CurrentTransfer, Pimpl->Handle);
  curl_easy_setopt(
      Pimpl->Handle, CURLOPT_TIMEOUT_MS,
      static_cast<long>(std::max<int64_t>(1, Request.Timeout.count())));
  CURLcode Code = curl_easy_perform(Pimpl->Handle);
  return makeResult(CurrentTransfer, Code);
}

/// The sockets of all calls in an epoll instance, so that a poll costs as much
/// as there are events, not as many calls as are open. Hosts that are named by
/// an address are called directly, others by a curl multi handle: at the end of
/// each call, libcurl walks all open connections and all cached names.
struct MultiClient::Impl {
  CURLM *Multi = curl_multi_init();
  int Epoll = epoll_create1(EPOLL_CLOEXEC);
  WakePipe Wake;
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> ActiveTransfers;
  std::unordered_set<Transfer *> StallLimited; ///< Those with a StallTimeout.
  std::multimap<TimePoint, CURL *> Deadlines;
  std::vector<CURL *> IdleHandles;
  /// When curl wants to be called without an event; none if it doesn't.
  std::optional<TimePoint> CurlTimerAt;
  size_t CurlSockets = 0; ///< Watched for curl.
  DirectCalls Direct;

  explicit Impl(const MultiClientOptions &Options) : Direct(Epoll, Options) {
    curl_multi_setopt(Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      Options.MaxConnectionsPerHost);
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, Options.MaxIdleConnections);
    curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, onSocket);
    curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, onTimer);
    curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
    if (auto Failure = Wake.open())
      logError("wake-pipe-failed", "error={}", Failure.message());
    watch(Wake.readEnd(), EPOLLIN, EPOLL_CTL_ADD);
  }

  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  ~Impl() {
    for (auto &HandleAndTransfer : ActiveTransfers) {
      curl_multi_remove_handle(Multi, HandleAndTransfer.first);
      curl_easy_cleanup(HandleAndTransfer.first);
    }
    for (CURL *Handle : IdleHandles)
      curl_easy_cleanup(Handle);
    curl_multi_cleanup(Multi);
    close(Epoll);
  }

  void watch(int Socket, uint32_t Events, int Operation) const {
    epoll_event Event{.events = Events,
                      .data = {.u64 = static_cast<uint32_t>(Socket)}};
    if (epoll_ctl(Epoll, Operation, Socket, &Event) != 0)
      logWarn("socket-not-watched", "errno={}", errno);
  }

  static int onSocket(CURL *, curl_socket_t Socket, int Wanted, void *UserData,
                      void *SocketData) {
    auto *Self = static_cast<Impl *>(UserData);
    if (Wanted == CURL_POLL_REMOVE) {
      // Fails for a socket that curl has closed, which epoll forgets by itself.
      epoll_ctl(Self->Epoll, EPOLL_CTL_DEL, Socket, nullptr);
      Self->CurlSockets -= SocketData ? 1 : 0;
      return 0;
    }
    uint32_t Events = 0;
    if (Wanted & CURL_POLL_IN)
      Events |= EPOLLIN;
    if (Wanted & CURL_POLL_OUT)
      Events |= EPOLLOUT;
    bool IsKnown = SocketData != nullptr;
    Self->CurlSockets += IsKnown ? 0 : 1;
    Self->watch(Socket, Events, IsKnown ? EPOLL_CTL_MOD : EPOLL_CTL_ADD);
    curl_multi_assign(Self->Multi, Socket, Self);
    return 0;
  }

  static int onTimer(CURLM *, long TimeoutMs, void *UserData) {
    auto *Self = static_cast<Impl *>(UserData);
    Self->CurlTimerAt.reset();
    if (TimeoutMs >= 0)
      Self->CurlTimerAt = monotonicNow() + Millis(TimeoutMs);
    return 0;
  }

  CURL *acquireHandle() {
    if (IdleHandles.empty())
      return curl_easy_init();
    CURL *Handle = IdleHandles.back();
    IdleHandles.pop_back();
    return Handle;
  }

  void begin(std::unique_ptr<Transfer> Beginning) {
    CURL *Handle = Beginning->Handle;
    if (Beginning->Request.StallTimeout > Millis(0))
      StallLimited.insert(Beginning.get());
    Beginning->Deadline = Deadlines.emplace(
        Beginning->StartedAt + Beginning->Request.Timeout, Handle);
    ActiveTransfers.emplace(Handle, std::move(Beginning));
    curl_multi_add_handle(Multi, Handle);
  }

  void finishTransfer(CURL *Handle, CURLcode Code) {
    auto Found = ActiveTransfers.find(Handle);
    std::unique_ptr<Transfer> CurrentTransfer = std::move(Found->second);
    ActiveTransfers.erase(Found);
    StallLimited.erase(CurrentTransfer.get());
    Deadlines.erase(CurrentTransfer->Deadline);
    CallResult Outcome = makeResult(*CurrentTransfer, Code);
    curl_multi_remove_handle(Multi, Handle);
    IdleHandles.push_back(Handle);
    CurrentTransfer->Done(std::move(Outcome));
  }

  bool finishCompleted() {
    bool AnyFinished = Direct.finishCompleted();
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      finishTransfer(Message->easy_handle, Message->data.result);
      AnyFinished = true;
    }
    return AnyFinished;
  }

  /// Ends the calls that are out of time or whose responses have stalled.
  void finishLate(TimePoint Now) {
    std::vector<CURL *> Late;
    for (auto It = Deadlines.begin(); It != Deadlines.end() && It->first <= Now;
         ++It)
      Late.push_back(It->second);
    for (const Transfer *Limited : StallLimited) {
      bool IsOutOfTime = Limited->Deadline->first <= Now;
      if (Limited->stallsAt() <= Now && !IsOutOfTime)
        Late.push_back(Limited->Handle);
    }
    for (CURL *Handle : Late)
      finishTransfer(Handle, CURLE_OPERATION_TIMEDOUT);
    Direct.finishLate(Now);
  }

  /// Until a call is late or curl wants to be called, but at most \p Timeout.
  Millis pollTime(Millis Timeout, TimePoint Now) const {
    auto LimitTo = [&](TimePoint At) {
      auto Left = std::chrono::ceil<Millis>(At - Now);
      Timeout = std::clamp(Left, Millis(0), Timeout);
    };
    if (CurlTimerAt)
      LimitTo(*CurlTimerAt);
    if (!Deadlines.empty())
      LimitTo(Deadlines.begin()->first);
    if (auto Deadline = Direct.nextDeadline())
      LimitTo(*Deadline);
    if (Direct.hasCompleted())
      return Millis(0);
    for (const Transfer *Limited : StallLimited)
      LimitTo(Limited->stallsAt());
    return Timeout;
  }

  void runCurlTimer(TimePoint Now) {
    if (!CurlTimerAt || *CurlTimerAt > Now)
      return;
    CurlTimerAt.reset();
    int RunningHandles = 0;
    curl_multi_socket_action(Multi, CURL_SOCKET_TIMEOUT, 0, &RunningHandles);
  }

  /// Reads what has arrived, after a wait for the first event. Each round of
  /// events ends with the calls that it completed and sends what these start,
  /// so that neither waits for all the others. Returns a time by which all that
  /// had arrived has been read.
  TimePoint handleEvents(Millis Timeout) {
    constexpr size_t WakeSockets = 1;
    PollRounds Rounds(Direct.openConnections() + CurlSockets + WakeSockets);
    while (true) {
      std::array<epoll_event, PollRounds::MaxEventsPerRound> Events{};
      int Count = epoll_wait(Epoll, Events.data(), Events.size(),
                             static_cast<int>(Timeout.count()));
      TimePoint SeenAt = monotonicNow();
      auto Seen = static_cast<size_t>(std::max(Count, 0));
      readSockets(std::span(Events).first(Seen), SeenAt);
      finishCompleted();
      runCurlTimer(monotonicNow());
      if (Rounds.isLast(Seen, SeenAt))
        return Rounds.readUntil();
      Timeout = Millis(0);
    }
  }

  void readSockets(std::span<const epoll_event> Events, TimePoint Now) {
    for (const epoll_event &Event : Events) {
      if (DirectCalls::ownsEvent(Event.data.u64)) {
        Direct.onEvent(Event.data.u64, Event.events, Now);
        continue;
      }
      auto Socket = static_cast<int>(Event.data.u64);
      if (Socket == Wake.readEnd()) {
        Wake.drain();
        continue;
      }
      int Action = 0;
      if (Event.events & EPOLLIN)
        Action |= CURL_CSELECT_IN;
      if (Event.events & EPOLLOUT)
        Action |= CURL_CSELECT_OUT;
      if (Event.events & (EPOLLERR | EPOLLHUP))
        Action |= CURL_CSELECT_ERR;
      int RunningHandles = 0;
      curl_multi_socket_action(Multi, Socket, Action, &RunningHandles);
    }
  }
};

MultiClient::MultiClient(MultiClientOptions Options) {
  initializeCurl();
  Pimpl = std::make_unique<Impl>(Options);
}

MultiClient::~MultiClient() = default;

void MultiClient::start(Call Request, CallDone Done) {
  if (DirectCalls::accepts(Request)) {
    Pimpl->Direct.start(std::move(Request), std::move(Done), monotonicNow());
    return;
  }
  auto CurrentTransfer = std::make_unique<Transfer>();
  CurrentTransfer->Request = std::move(Request);
  CurrentTransfer->Done = std::move(Done);
  CurrentTransfer->StartedAt = monotonicNow();
  CurrentTransfer->LastByteAt = CurrentTransfer->StartedAt;
  configure(*CurrentTransfer, Pimpl->acquireHandle());
  Pimpl->begin(std::move(CurrentTransfer));
}

void MultiClient::poll(Millis Timeout) {
  Pimpl->runCurlTimer(monotonicNow());
  if (Pimpl->finishCompleted())
    Timeout = Millis(0);
  TimePoint ReadUntil =
      Pimpl->handleEvents(Pimpl->pollTime(Timeout, monotonicNow()));
  // After the bytes that have arrived were read, so that a loop that was held
  // up doesn't take them for late.
  Pimpl->finishLate(ReadUntil);
}

void MultiClient::wake() { Pimpl->Wake.wake(); }

size_t MultiClient::activeCalls() const {
  return Pimpl->ActiveTransfers.size() + Pimpl->Direct.activeCalls();
}

} // namespace daisylanding::http
