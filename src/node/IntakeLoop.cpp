#include "node/IntakeLoop.h"

#include "cell/OwnerRow.h"
#include "cell/Progress.h"
#include "cell/WideTask.h"
#include "common/Log.h"
#include "node/CallerKeys.h"
#include "node/CountedStore.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace daisylanding::node {

namespace {

constexpr size_t ArrivalCapacity = 4'096;
constexpr Millis MaxPollWait{500};
constexpr Millis MaxTimeout{30'000};
constexpr Millis WriteRetryDelay{80};
/// A write that is not answered within this multiple of the read time, and at
/// least MinHedgeDelay, is sent once more.
constexpr double HedgeReadFactor = 25;
constexpr Millis MinHedgeDelay{200};
constexpr Millis SilenceCheckInterval{150};

std::string_view hostOf(const http::Request &Request) {
  const std::string *Host = http::findHeader(Request.Headers, "Host");
  if (!Host)
    return {};
  std::string_view Value = *Host;
  return Value.substr(0, Value.find(':'));
}

/// A delay that grows with the store's read latency.
Millis adaptiveDelay(const StoreMonitor &Store, double ReadFactor,
                     Millis MinDelay) {
  return std::max(MinDelay, Millis(static_cast<int64_t>(
                                ReadFactor * Store.readLatencyMs())));
}

std::string inWholeSeconds(Millis Time) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(Time).count());
}

TimePoint deadlineOf(const http::Request &Request,
                     const std::string &HeaderName, TimePoint ArrivedAt) {
  const std::string *Header = http::findHeader(Request.Headers, HeaderName);
  int64_t TimeoutMs = IntakeLoop::DefaultTimeout.count();
  if (Header)
    std::from_chars(Header->data(), Header->data() + Header->size(), TimeoutMs);
  TimeoutMs = std::clamp<int64_t>(TimeoutMs, 1, MaxTimeout.count());
  return ArrivedAt + Millis(TimeoutMs);
}

} // namespace

IntakeLoop::IntakeLoop(EntryContext &Context, relay::RelayLoop &Relay)
    : Context(Context), Client({.MaxConnectionsPerHost = 32}), Relay(Relay),
      Arrivals(ArrivalCapacity, [this] { Client.wake(); }),
      OfferOutcomes(ArrivalCapacity, [this] { Client.wake(); }) {}

void IntakeLoop::start() {
  Loop.start("intake", [this] { run(); });
}

void IntakeLoop::stop() {
  Loop.requestStop();
  Client.wake();
  Loop.join();
}

void IntakeLoop::handle(http::Request HttpRequest, http::Responder Respond) {
  auto Request = std::make_shared<PendingRequest>();
  Request->HttpRequest = std::move(HttpRequest);
  Request->Respond = std::move(Respond);
  Request->ArrivedAt = monotonicNow();
  OpenRequests.fetch_add(1);
  if (!Arrivals.push(Request))
    refuse(Request, "queue-full");
}

void IntakeLoop::run() {
  Store = std::make_unique<CountedStore>(Context.Platform.makeRowStore(Client),
                                         Context.EntryMetrics, "intake");
  while (!Loop.stopping()) {
    RequestPtr Request;
    while (Arrivals.pop(Request))
      route(Request);
    std::function<void()> HandleOutcome;
    while (OfferOutcomes.pop(HandleOutcome))
      HandleOutcome();
    TimerQueue.runDue(monotonicNow());
    if (isStoreSilent(monotonicNow())) {
      for (auto &Writer : Writers)
        Writer.second.failAll();
    }
    Client.poll(OpenRequests.load() > 0 ? WriteRetryDelay : MaxPollWait);
  }
}

void IntakeLoop::answer(const RequestPtr &Request, uint16_t Status,
                        std::string Body, std::string_view Reason) {
  TimePoint Now = monotonicNow();
  double DurationMs = toSeconds(Now - Request->ArrivedAt) * 1e3;
  Context.EntryMetrics.count(
      fmt::format("answers{{method=\"{}\",status=\"{}\"}}",
                  Request->HttpRequest.Method, Status));
  Context.EntryMetrics.observe(
      fmt::format("answer_ms{{method=\"{}\"}}", Request->HttpRequest.Method),
      DurationMs);
  logInfo("answered",
          "method={} job={} queue={} workspace={} status={} why={} ms={:.0f}",
          Request->HttpRequest.Method, Request->JobId,
          Request->Queue ? Request->Queue->Name : "-",
          Request->Workspace.empty() ? "-" : Request->Workspace, Status, Reason,
          DurationMs);
  http::Response Response{.Status = Status, .Body = std::move(Body)};
  Response.Headers.emplace_back("Content-Type", "application/json");
  if (Status == http::StatusUnavailable ||
      Status == http::StatusTooManyRequests)
    Response.Headers.emplace_back("Retry-After",
                                  inWholeSeconds(Request->RetryAfter));
  if (Status == http::StatusUnauthorized)
    Response.Headers.emplace_back("WWW-Authenticate", "Bearer");
  if (Context.Draining.load())
    Response.Headers.emplace_back("Connection", "close");
  OpenRequests.fetch_sub(1);
  Request->Answered = true;
  Request->Respond(std::move(Response));
}

bool IntakeLoop::isStoreSilent(TimePoint Now) const {
  return Now > Context.StoreHealth.lastAnswer() + StoreSilenceLimit;
}

void IntakeLoop::refuse(const RequestPtr &Request, std::string_view Reason) {
  answer(Request, http::StatusUnavailable,
         nlohmann::json{{"error", Reason}}.dump(), Reason);
}

/// For writes without an answer: they may have taken effect, or may do so
/// later.
void IntakeLoop::answerUnknown(const RequestPtr &Request) {
  answer(Request, http::StatusGatewayTimeout, "{}", "outcome-unknown");
}

void IntakeLoop::answerProblem(const RequestPtr &Request, uint16_t Status,
                               std::string_view Field,
                               std::string_view Allowed) {
  nlohmann::json Body = {
      {"error", "invalid"}, {"field", Field}, {"allowed", Allowed}};
  answer(Request, Status, Body.dump(), Field);
}

/// Whether the request needs a key, and the entry can't know any more whether
/// keys are valid.
bool IntakeLoop::refusesKeys(const PendingRequest &Request, TimePoint Now) {
  TimePoint ConfirmedAt = Request.ConfigConfirmedAt;
  Millis Limit = Context.Options.KeyConfirmation;
  if (!needsKey(*Request.Config, *Request.Queue) ||
      isConfigConfirmed(ConfirmedAt, Limit, Now))
    return false;
  Context.EntryMetrics.count("requests_with_unconfirmed_keys");
  uint64_t Dropped = 0;
  if (OutdatedKeysLog.admit(Now, Dropped))
    logWarn("keys-unconfirmed",
            "queue={} version={} confirmed_ms_ago={} limit_ms={} "
            "lines_dropped={}",
            Request.Queue->Name, Request.Config->Version,
            toMillis(Now - ConfirmedAt), Limit.count(), Dropped);
  return true;
}

void IntakeLoop::route(const RequestPtr &Request) {
  Request->Deadline =
      deadlineOf(Request->HttpRequest,
                 Context.Platform.codec().deadlineHeader(), Request->ArrivedAt);
  // Read first, as it must not be newer than the configuration.
  Request->ConfigConfirmedAt = Context.ConfirmedConfig.confirmedAt();
  Request->Config = Context.Config.current();
  if (!Request->Config) {
    refuse(Request, "no-configuration");
    return;
  }
  std::string_view Path = http::targetPath(Request->HttpRequest.Target);
  Request->Queue =
      Request->Config->findQueueByPath(hostOf(Request->HttpRequest), Path);
  if (!Request->Queue) {
    denyByConfig(Request, http::StatusNotFound, "no-such-queue");
    return;
  }
  // Before the keys are looked up: an unknown one may have been added since.
  if (refusesKeys(*Request, monotonicNow())) {
    refuse(Request, "keys-unconfirmed");
    return;
  }
  KeyCheck Caller =
      checkKey(*Request->Config, *Request->Queue, Request->HttpRequest);
  if (!Caller.Allowed) {
    denyByConfig(Request, http::StatusUnauthorized, "unknown-key");
    return;
  }
  if (Caller.Workspace)
    Request->Workspace = Caller.Workspace->Name;
  Request->Partitions.push_back(Request->Queue->Service);
  for (const std::string &Service : Request->Config->Services) {
    // A job keeps its service when its queue is moved to another one.
    if (Service != Request->Queue->Service)
      Request->Partitions.push_back(Service);
  }
  std::string_view JobPath = Path.substr(Request->Queue->PathPrefix.size());
  const std::string &Method = Request->HttpRequest.Method;
  if (JobPath.empty() && Method == "GET") {
    answerPending(Request);
    return;
  }
  if (!cell::isJobId(JobPath)) {
    answerProblem(Request, http::StatusBadRequest, "id",
                  "16 hexadecimal digits");
    return;
  }
  Request->JobId = JobPath;
  // Nothing has been written, so the caller can safely retry at another entry.
  if (isStoreSilent(Request->ArrivedAt)) {
    refuse(Request, "store-silent");
    return;
  }
  if (Method == "POST")
    submit(Request);
  else if (Method == "GET")
    query(Request);
  else if (Method == "DELETE")
    cancel(Request);
  else
    answerProblem(Request, http::StatusMethodNotAllowed, "method",
                  "POST, GET, DELETE");
}

/// Time until the last moment at which an answer still reaches the caller.
Millis IntakeLoop::timeLeft(const RequestPtr &Request, TimePoint Now) {
  return std::chrono::duration_cast<Millis>(Request->Deadline - AnswerMargin -
                                            Now);
}

void IntakeLoop::submit(const RequestPtr &Request) {
  size_t MaxBody = Request->Config->Limits.MaxBodyBytes;
  if (Request->HttpRequest.Body.size() > MaxBody) {
    answerProblem(Request, http::StatusPayloadTooLarge, "body",
                  fmt::format("at most {} bytes", MaxBody));
    return;
  }
  FieldError Error;
  auto Job =
      Context.Platform.codec().parseJob(Request->HttpRequest.Body, Error);
  if (!Job) {
    answerProblem(Request, http::StatusBadRequest, Error.Field, Error.Allowed);
    return;
  }
  // Such a task could never start.
  const cell::Workspace *Owner =
      Request->Config->findWorkspace(Request->Workspace);
  if (auto Wide = Owner ? cell::findWideTask(*Job, *Owner) : std::nullopt) {
    Error = Context.Platform.codec().wideTaskError(*Wide);
    answerProblem(Request, http::StatusBadRequest, Error.Field, Error.Allowed);
    return;
  }
  Job->Id = Request->JobId;
  Job->Queue = Request->Queue->Name;
  Job->Workspace = Request->Workspace;
  Job->Terms = cell::termsOf(*Request->Queue);
  Job->TermsVersion = Request->Config->Version;
  Job->AcceptedMs = Context.StoreHealth.clockMillis(monotonicNow());
  checkPlaces(Request, *Job);
}

/// Offers the job to the owner, which stores many jobs in one commit. Stores it
/// here if there is no owner, or no answer in time.
void IntakeLoop::offer(const RequestPtr &Request, const cell::JobSpec &Job) {
  const std::string &Service = Request->Queue->Service;
  TimePoint Now = monotonicNow();
  double ReadMs = Context.StoreHealth.readLatencyMs();
  Millis TimeLeft = timeLeft(Request, Now);
  Millis OfferTimeout = Policy.offerTimeout(TimeLeft, ReadMs);
  // If the store is silent rather than slow, the caller gets an answer before
  // the offer times out.
  if (OfferPolicy::isStoreSlow(ReadMs))
    checkStoreSilence(Request);
  auto Done = [this, Request, Job](const Result<cell::OfferOutcome> &Outcome) {
    if (!OfferOutcomes.push([this, Request, Job, Outcome] {
          onOfferOutcome(Request, Job, Outcome);
        }))
      logWarn("verdict-dropped", "job={}", Job.Id);
  };
  if (Context.Offers.hasOwner(Service)) {
    Context.Offers.deliver(Service,
                           {.Job = Job,
                            .SearchedVersion = Request->Config->Version,
                            .TimeLeft = OfferTimeout,
                            .Done = Done},
                           Now);
    TimerQueue.schedule(Now + OfferTimeout, [this, Request, Job] {
      onOfferOutcome(Request, Job, Errc::AnswerLost);
    });
    return;
  }
  std::string Address = Context.Owners.relayAddress(Service);
  if (!OfferPolicy::isStoreSlow(ReadMs) && !Policy.mayOffer(Now))
    Address.clear();
  relay::RelayOffer Offer{.Address = Address,
                          .Service = Service,
                          .Job = cell::encodeJob(Job),
                          .SearchedVersion = Request->Config->Version,
                          .Timeout = OfferTimeout,
                          .Done = Done};
  if (Address.empty() || !Relay.Offers.push(std::move(Offer)))
    writeJob(Request, Job);
}

void IntakeLoop::onOfferOutcome(const RequestPtr &Request,
                                const cell::JobSpec &Job,
                                const Result<cell::OfferOutcome> &Outcome) {
  TimePoint Now = monotonicNow();
  // A late answer still counts if it confirms that the job is stored.
  bool IsStored = Outcome && (*Outcome == cell::OfferOutcome::Stored ||
                              *Outcome == cell::OfferOutcome::StoredBefore);
  if (Request->Answered || (Request->OfferSettled && !IsStored))
    return;
  Request->OfferSettled = true;
  if (!Outcome) {
    Request->OutcomeUnknown =
        Request->OutcomeUnknown || Outcome.error() != Errc::Unreachable;
    onOfferFailure(Request, Job, Outcome.error(), Now);
    return;
  }
  Policy.recordAnswer(Now - Request->ArrivedAt);
  switch (*Outcome) {
  case cell::OfferOutcome::Stored:
    answer(Request, http::StatusOk, "{}", "stored-by-owner");
    return;
  case cell::OfferOutcome::StoredBefore:
    answer(Request, http::StatusOk, "{}", "stored-before");
    return;
  case cell::OfferOutcome::OtherWork:
    answerProblem(Request, http::StatusConflict, "id",
                  "an id that no other job uses");
    return;
  case cell::OfferOutcome::Unknown:
    Request->OutcomeUnknown = true;
    writeJob(Request, Job);
    return;
  case cell::OfferOutcome::Expired:
    // The owner is late; on a slow store no other write would be in time.
    if (OfferPolicy::isStoreSlow(Context.StoreHealth.readLatencyMs()))
      failSubmit(Request, "store-slow");
    else
      writeJob(Request, Job);
    return;
  case cell::OfferOutcome::NotOwner:
    if (isOwnServiceBehind(*Request))
      offerOnceStated(Request, Job);
    else
      writeJob(Request, Job);
    return;
  case cell::OfferOutcome::Busy:
    writeJob(Request, Job);
    return;
  case cell::OfferOutcome::Refused:
    // A copy that was sent before may still be stored.
    if (Request->OutcomeUnknown)
      writeJob(Request, Job);
    else
      confirmRefusal(Request, Job);
    return;
  }
}

/// If the store has become slow, the offer is repeated once, with all the time
/// that the caller has left. Otherwise the owner may be dead, and the job is
/// stored here.
void IntakeLoop::onOfferFailure(const RequestPtr &Request,
                                const cell::JobSpec &Job,
                                std::error_code Failure, TimePoint Now) {
  bool StoreIsSlow =
      OfferPolicy::isStoreSlow(Context.StoreHealth.readLatencyMs());
  if (StoreIsSlow && Failure != Errc::Unreachable && !Request->OfferRetried &&
      timeLeft(Request, Now) > Millis(0)) {
    Request->OfferRetried = true;
    Request->OfferSettled = false;
    offer(Request, Job);
    return;
  }
  Policy.recordFailure(Now);
  writeJob(Request, Job);
}

/// Answers for a job that can't be stored in time.
void IntakeLoop::failSubmit(const RequestPtr &Request,
                            std::string_view Reason) {
  if (Request->OutcomeUnknown)
    answerUnknown(Request);
  else
    refuse(Request, Reason);
}

void IntakeLoop::writeJob(const RequestPtr &Request, const cell::JobSpec &Job) {
  TimePoint Now = monotonicNow();
  if (!OfferPolicy::canWriteInTime(timeLeft(Request, Now),
                                   Context.StoreHealth.readLatencyMs())) {
    failSubmit(Request, "store-slow");
    return;
  }
  auto It = Writers.find(Request->Queue->Service);
  if (It == Writers.end())
    It =
        Writers
            .try_emplace(Request->Queue->Service, Request->Queue->Service,
                         *Store, TimerQueue,
                         [this] {
                           return adaptiveDelay(Context.StoreHealth,
                                                HedgeReadFactor, MinHedgeDelay);
                         })
            .first;
  JobWrite Write{.Job = Job,
                 .Deadline = Request->Deadline - AnswerMargin,
                 .MayExist = Request->OutcomeUnknown,
                 .MayStore =
                     [this, Request](uint64_t StatedVersion) {
                       return mayStoreBy(*Request, StatedVersion);
                     },
                 .Done =
                     [this, Request](WriteOutcome Outcome) {
                       onJobWritten(Request, Outcome);
                     }};
  It->second.add(std::move(Write), Now);
  TimerQueue.schedule(Request->Deadline - AnswerMargin, [this, Request] {
    if (!Request->Answered)
      answerUnknown(Request);
  });
}

void IntakeLoop::onJobWritten(const RequestPtr &Request, WriteOutcome Outcome) {
  if (Request->Answered)
    return;
  switch (Outcome) {
  case WriteOutcome::Stored:
    answer(Request, http::StatusOk, "{}", "stored");
    return;
  case WriteOutcome::StoredBefore:
    answer(Request, http::StatusOk, "{}", "stored-before");
    return;
  case WriteOutcome::OtherWork:
    answerProblem(Request, http::StatusConflict, "id",
                  "an id that no other job uses");
    return;
  case WriteOutcome::Refused:
    refuse(Request, "store-unavailable");
    return;
  case WriteOutcome::Unknown:
    answerUnknown(Request);
    return;
  }
}

void IntakeLoop::writeCancel(const RequestPtr &Request,
                             const std::string &Partition,
                             uint64_t JobVersion) {
  store::Transaction Tx;
  Tx.Partition = Partition;
  Tx.Preconditions.push_back(
      {.Table = cell::JobTable, .Key = Request->JobId, .Version = JobVersion});
  Tx.Writes.push_back({.Table = cell::JobTable,
                       .Key = cell::cancelKey(Request->JobId),
                       .Value = "cancelled"});
  sendCancel(Request,
             std::make_shared<const store::Transaction>(std::move(Tx)));
}

/// Sends the write, and a second copy if no answer comes; the write is
/// idempotent.
void IntakeLoop::sendCancel(const RequestPtr &Request,
                            const TransactionPtr &Tx) {
  ++Request->CancelsInFlight;
  Store->commit(*Tx,
                [this, Request, Tx](const store::TransactionResult &Result) {
                  --Request->CancelsInFlight;
                  onCancelResult(Request, Tx, Result);
                });
  TimePoint HedgeAt =
      monotonicNow() +
      adaptiveDelay(Context.StoreHealth, HedgeReadFactor, MinHedgeDelay);
  if (HedgeAt + AnswerMargin >= Request->Deadline)
    return;
  TimerQueue.schedule(HedgeAt, [this, Request, Tx] {
    if (!Request->Answered && Request->CancelsInFlight == 1)
      sendCancel(Request, Tx);
    checkStoreSilence(Request);
  });
}

/// Checks until the request is answered. Once the store is silent, the outcome
/// is reported as unknown at once: another entry may still reach the store.
void IntakeLoop::checkStoreSilence(const RequestPtr &Request) {
  TimePoint Now = monotonicNow();
  if (Request->Answered || Now >= Request->Deadline)
    return;
  if (isStoreSilent(Now)) {
    answerUnknown(Request);
    return;
  }
  TimerQueue.schedule(Now + SilenceCheckInterval,
                      [this, Request] { checkStoreSilence(Request); });
}

/// Once a write may have taken effect, only its own outcome is reported.
void IntakeLoop::onCancelResult(const RequestPtr &Request,
                                const TransactionPtr &Tx,
                                const store::TransactionResult &Result) {
  TimePoint Now = monotonicNow();
  if (Result.StoreClockMs)
    Context.StoreHealth.recordAnswer(Now, Result.StoreClockMs);
  if (Request->Answered)
    return;
  // A conflict with rows present: an earlier copy was committed. Without rows:
  // the job has ended meanwhile.
  bool Conflict = Result.Outcome == store::TransactionOutcome::Conflict;
  if (Conflict && Result.CurrentRows.empty()) {
    answerCancelOfEnded(Request, Tx->Partition);
    return;
  }
  if (Conflict || Result.Outcome == store::TransactionOutcome::Committed) {
    answer(Request, http::StatusOk, "{}", "cancelled");
    return;
  }
  if (Result.Outcome == store::TransactionOutcome::Unknown)
    Request->OutcomeUnknown = true;
  if (Request->CancelsInFlight > 0)
    return;
  if (!Request->OutcomeUnknown) {
    refuse(Request, "store-unavailable");
    return;
  }
  TimePoint RetryAt = Now + WriteRetryDelay;
  if (isStoreSilent(Now) || RetryAt + AnswerMargin >= Request->Deadline) {
    answerUnknown(Request);
    return;
  }
  TimerQueue.schedule(RetryAt,
                      [this, Request, Tx] { sendCancel(Request, Tx); });
}

} // namespace daisylanding::node
