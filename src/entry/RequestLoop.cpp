#include "entry/RequestLoop.h"

#include "caller/Responses.h"
#include "common/Log.h"
#include "policy/Backoff.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace daisylanding::entry {

using caller::EarlierTries;
using caller::ProblemCode;

namespace {

constexpr size_t RingCapacity = 4'096;
constexpr Millis TickInterval{5};
constexpr Millis PublishInterval{100};
constexpr Millis CreditReturnTimeout{3'000};
constexpr uint32_t MaxAttempts = 3;

/// A request is forwarded only to a peer that has more than this many free
/// slots more than this entry, since its load digest is slightly out of date.
constexpr int64_t BalanceMargin = 2;

/// Published by a draining entry, so that no peer forwards to it.
constexpr int64_t NoFreeSlots = -1'000'000;

/// A request without a deadline may wait this many times its waiting target.
constexpr int64_t DefaultWaitFactor = 3;

bool isTransientStatus(uint16_t Status) {
  return Status == http::StatusBadGateway ||
         Status == http::StatusUnavailable ||
         Status == http::StatusGatewayTimeout;
}

} // namespace

RequestLoop::RequestLoop(EntryContext &Context)
    : CallerRequests(RingCapacity, [this] { Wake.wake(); }),
      PeerRequests(RingCapacity, [this] { Wake.wake(); }),
      ForwardReplies(RingCapacity, [this] { Wake.wake(); }),
      CreditRows(RingCapacity, [this] { Wake.wake(); }), Context(Context),
      Endpoints({}, [this] { Wake.wake(); }),
      Records(Context, [this] { Wake.wake(); }),
      Holders(Context.Options.AvailabilityZone),
      Loads(Context.Options.AvailabilityZone),
      Generator(
          XXH64(Context.Incarnation.data(), Context.Incarnation.size(), 0)) {}

void RequestLoop::start() {
  Endpoints.start();
  Records.start();
  Loop.start("front", [this] { run(); });
}

void RequestLoop::stop(Millis DrainTimeout) {
  TimePoint StopDeadline = monotonicNow() + DrainTimeout;
  while (activeRequests() > 0 && monotonicNow() < StopDeadline)
    std::this_thread::sleep_for(TickInterval);
  // Credits that can't be returned now are reclaimed after the run limit.
  StopDeadline =
      std::min<TimePoint>(StopDeadline, monotonicNow() + CreditReturnTimeout);
  while (HeldCredits.load() > 0 && monotonicNow() < StopDeadline)
    std::this_thread::sleep_for(TickInterval);
  Loop.requestStop();
  Wake.wake();
  Loop.join();
  Endpoints.stop();
  Records.stop();
}

void RequestLoop::run() {
  while (!Loop.stopping()) {
    applyView();
    Loads.refresh(Context.LoadDigests);
    handleMessages();
    dispatch(monotonicNow());
    publishLoad(monotonicNow());
    ActiveCount.store(Requests.size());
    HeldCredits.store(heldCredits());
    Wake.wait(TickInterval);
  }
}

void RequestLoop::handleMessages() {
  IncomingRequest Request;
  while (CallerRequests.pop(Request))
    admit(std::move(Request));
  while (PeerRequests.pop(Request))
    admit(std::move(Request));
  endpoint::EndpointReply EndpointResult;
  while (Endpoints.Replies.pop(EndpointResult))
    onEndpointReply(std::move(EndpointResult), monotonicNow());
  RecordReply RecordResult;
  while (Records.Replies.pop(RecordResult))
    onRecord(RecordResult, monotonicNow());
  ForwardReply ForwardResult;
  while (ForwardReplies.pop(ForwardResult))
    onForwardReply(std::move(ForwardResult));
  CreditRow Row;
  while (CreditRows.pop(Row))
    onCredits(Row);
}

void RequestLoop::applyView() {
  auto Current = Context.Views.current();
  if (Current == View || !Current->Config)
    return;
  bool NewConfig = Config != Current->Config;
  View = Current;
  Config = Current->Config;
  for (const config::ServiceSpec &Spec : Config->Services) {
    auto &State = Services[Spec.Name];
    if (!State)
      State = std::make_unique<ServiceState>(
          Spec, *Config, Context.Options.MaxWaitingRequests);
    else if (NewConfig)
      State->configure(Spec, *Config);
  }
  for (auto &Entry : Services)
    Entry.second->applyInstanceList(View->List, Config->DrainedInstances,
                                    Context.Options.AvailabilityZone);
}

ServiceState *RequestLoop::findService(std::string_view Name) {
  if (!Config || !Config->findService(Name))
    return nullptr;
  auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : Found->second.get();
}

std::optional<http::Response>
RequestLoop::refusalFor(const IncomingRequest &Incoming) const {
  if (!Config)
    return caller::makeNotRunResponse(ProblemCode::NotReady, 1,
                                      EarlierTries::NotChecked);
  if (!Config->findService(Incoming.Request.Service))
    return caller::makeRefusedResponse(http::StatusNotFound,
                                       ProblemCode::NoSuchService, "service",
                                       "the name of a service");
  if (!Incoming.Request.Class.empty() &&
      !Config->findClass(Incoming.Request.Class))
    return caller::makeRefusedResponse(
        http::StatusUnprocessable, ProblemCode::NoSuchClass,
        caller::ClassHeader, "the name of a class");
  return std::nullopt;
}

void RequestLoop::admit(IncomingRequest Incoming) {
  if (auto Refused = refusalFor(Incoming)) {
    Incoming.Respond(std::move(*Refused));
    return;
  }
  TimePoint Now = monotonicNow();
  uint64_t Id = NextId++;
  ActiveRequest &Request = Requests[Id];
  Request.Service = findService(Incoming.Request.Service);
  if (Incoming.Request.Class.empty())
    Incoming.Request.Class = Request.Service->Spec.Class;
  Micros Allowed = Request.Service->Spec.RunLimit +
                   Request.Service->waitingTarget(Incoming.Request.Class) *
                       DefaultWaitFactor;
  if (Incoming.Request.TimeLeft)
    Allowed = *Incoming.Request.TimeLeft;
  Request.Deadline = Incoming.Arrived + Allowed;
  Request.Token = fmt::format("{}:{}", Context.holderName(), Id);
  Request.Incoming = std::move(Incoming);
  if (Context.Draining.load()) {
    abandon(Id, Request, ProblemCode::ShuttingDown, Micros(0));
    return;
  }
  enqueue(Id, Request, Now);
}

void RequestLoop::enqueue(uint64_t Id, ActiveRequest &Request, TimePoint Now) {
  if (forwardForBalance(Id, Request, Now))
    return;
  if (!Request.Service->hasCredits() && forwardForCapacity(Id, Request, Now))
    return;
  policy::QueuedRequest Queued{
      .Id = Id,
      .Class = Request.Service->classIndex(Request.Incoming.Request.Class),
      .Arrived = Request.Incoming.Arrived,
      .Deadline = Request.Deadline};
  auto Admission = Request.Service->Queue.admit(
      Queued, Request.Service->startsPerSecond(), Now);
  if (Admission.Evicted) {
    uint64_t Evicted = Admission.Evicted->Id;
    abandon(Evicted, Requests.at(Evicted), ProblemCode::Overloaded,
            Admission.ExpectedWait);
  }
  if (Admission.Outcome == policy::AdmissionOutcome::Admitted)
    return;
  if (forwardForCapacity(Id, Request, Now))
    return;
  abandon(Id, Request, ProblemCode::Overloaded, Admission.ExpectedWait);
}

/// Forwards the request to \p Peer. Returns false if the peers' queue is full.
bool RequestLoop::forwardTo(LoadDigest &Peer, uint64_t Id,
                            ActiveRequest &Request, TimePoint Now) {
  caller::CallerRequest Forwarded = Request.Incoming.Request;
  Forwarded.TimeLeft =
      Millis(std::max<int64_t>(1, toMillis(Request.Deadline - Now)));
  if (!Forward({Id, Peer.PeerAddress, std::move(Forwarded)}))
    return false;
  PeerLoads::countForward(Peer, Request.Incoming.Request.Service);
  Request.CurrentStage = Stage::Forwarding;
  Context.ProcessMetrics.count("requests_forwarded_total");
  return true;
}

/// Balances load within the zone: a request that would wait here is forwarded
/// to an entry that has more free slots.
bool RequestLoop::forwardForBalance(uint64_t Id, ActiveRequest &Request,
                                    TimePoint Now) {
  int64_t OwnFree = Request.Service->netFreeSlots(Now);
  if (Request.Incoming.Forwarded || OwnFree > 0)
    return false;
  LoadDigest *Peer =
      Loads.leastLoadedPeer(Request.Incoming.Request.Service, true, Now);
  if (!Peer)
    return false;
  int64_t PeerFree =
      PeerLoads::freeSlots(*Peer, Request.Incoming.Request.Service);
  return PeerFree > OwnFree + BalanceMargin &&
         forwardTo(*Peer, Id, Request, Now);
}

/// Forwards a request that this entry can't serve in time to an entry in any
/// zone that has free slots.
bool RequestLoop::forwardForCapacity(uint64_t Id, ActiveRequest &Request,
                                     TimePoint Now) {
  if (Request.Incoming.Forwarded)
    return false;
  LoadDigest *Peer =
      Loads.leastLoadedPeer(Request.Incoming.Request.Service, false, Now);
  if (!Peer ||
      PeerLoads::freeSlots(*Peer, Request.Incoming.Request.Service) <= 0)
    return false;
  return forwardTo(*Peer, Id, Request, Now);
}

void RequestLoop::dispatch(TimePoint Now) {
  bool ExpireNow = Now >= NextExpiry;
  if (ExpireNow)
    NextExpiry = Now + TickInterval;
  for (auto &Entry : Services) {
    if (ExpireNow)
      expireWaiting(*Entry.second, Now);
    dispatchWaiting(*Entry.second, Now);
  }
}

void RequestLoop::expireWaiting(ServiceState &Service, TimePoint Now) {
  std::vector<uint64_t> ExpiredIds;
  Service.Queue.removeExpired(Now, [&](const policy::QueuedRequest &Queued) {
    ExpiredIds.push_back(Queued.Id);
  });
  for (uint64_t Id : ExpiredIds) {
    ActiveRequest &Request = Requests.at(Id);
    ProblemCode Problem = ProblemCode::Overloaded;
    if (Now >= Request.Deadline)
      Problem = ProblemCode::DeadlineTooShort;
    else if (!Service.hasCredits())
      Problem = ProblemCode::NoEndpoint;
    abandon(Id, Request, Problem,
            Service.waitingTarget(Request.Incoming.Request.Class));
  }
}

void RequestLoop::dispatchWaiting(ServiceState &Service, TimePoint Now) {
  Service.releaseExpiredSlots(Now);
  while (Service.Queue.waiting() > 0) {
    auto EndpointIndex = Service.pickEndpoint(std::nullopt, Now, Generator);
    if (!EndpointIndex)
      return;
    auto Next = Service.Queue.takeNext(Now);
    ActiveRequest &Request = Requests.at(Next->Id);
    if (Request.ExcludedEndpoint)
      EndpointIndex =
          Service.pickEndpoint(Request.ExcludedEndpoint, Now, Generator);
    if (Now + Service.meanServiceTime() > Request.Deadline)
      abandon(Next->Id, Request, ProblemCode::DeadlineTooShort, Micros(0));
    else
      startOnEndpoint(Next->Id, Request, *EndpointIndex, Now);
  }
}

void RequestLoop::startOnEndpoint(uint64_t Id, ActiveRequest &Request,
                                  size_t EndpointIndex, TimePoint Now) {
  Request.EndpointIndex = EndpointIndex;
  Request.Service->onSent(EndpointIndex, Now);
  if (Request.Incoming.Request.Repeatable || Request.Recorded)
    sendToEndpoint(Id, Request, Now);
  else
    reserveRecord(Id, Request);
}

std::string RequestLoop::recordKey(const ActiveRequest &Request) const {
  return fmt::format("request/{}/{}", Request.Incoming.Request.Service,
                     Request.Incoming.Request.IdempotencyKey);
}

bool RequestLoop::pushRecord(uint64_t Id, const ActiveRequest &Request,
                             RecordOperation Operation,
                             const http::Response *Answer) {
  RecordCall Call{.Operation = Operation, .Id = Id, .Key = recordKey(Request)};
  Call.Record.Token = Request.Token;
  Call.Record.BodyHash = XXH64(Request.Incoming.Request.Body.data(),
                               Request.Incoming.Request.Body.size(), 0);
  if (Answer) {
    Call.Record.Answered = true;
    Call.Record.Answer = *Answer;
  }
  return Records.Calls.push(std::move(Call));
}

void RequestLoop::reserveRecord(uint64_t Id, ActiveRequest &Request) {
  Request.CurrentStage = Stage::Reserving;
  if (pushRecord(Id, Request, RecordOperation::Reserve))
    return;
  releaseSlot(Request, Micros(0), true, monotonicNow());
  abandon(Id, Request, ProblemCode::NotRecorded, Micros(0));
}

void RequestLoop::sendToEndpoint(uint64_t Id, ActiveRequest &Request,
                                 TimePoint Now) {
  const caller::CallerRequest &Incoming = Request.Incoming.Request;
  Micros Timeout =
      std::min<Micros>(Request.Deadline - Now, Request.Service->Spec.RunLimit);
  endpoint::EndpointCall Call{
      .Id = Id,
      .Address = Request.Service->Endpoints[*Request.EndpointIndex].Address,
      .Service = Incoming.Service,
      .IdempotencyKey = Incoming.IdempotencyKey,
      .ContentType = Incoming.ContentType,
      .Body = Incoming.Body,
      .Timeout = Millis(std::max<int64_t>(1, toMillis(Timeout))),
      .Repeatable = Incoming.Repeatable};
  if (Request.Attempts == 0) {
    Request.Service->Retries.recordFirstTry();
    constexpr double MicrosPerMilli = 1'000;
    Context.ProcessMetrics.observe(
        fmt::format("request_waiting_ms{{class=\"{}\"}}", Incoming.Class),
        static_cast<double>((Now - Request.Incoming.Arrived).count()) /
            MicrosPerMilli);
  }
  ++Request.Attempts;
  Request.SentAt = Now;
  Request.CurrentStage = Stage::InFlight;
  if (Endpoints.Calls.push(std::move(Call)))
    return;
  onFailure(Id, Request, Errc::Unreachable, Now);
}

void RequestLoop::releaseSlot(ActiveRequest &Request, Micros Latency,
                              bool Succeeded, TimePoint Now) {
  Request.Service->onEnded(*Request.EndpointIndex, Latency, Succeeded, Now);
  Request.EndpointIndex.reset();
}

void RequestLoop::onEndpointReply(endpoint::EndpointReply Reply,
                                  TimePoint Now) {
  auto Found = Requests.find(Reply.Id);
  if (Found == Requests.end())
    return;
  ActiveRequest &Request = Found->second;
  if (!Reply.Answer) {
    onFailure(Reply.Id, Request, Reply.Answer.error(), Now);
    return;
  }
  bool Succeeded = Reply.Answer->Status < http::StatusInternalError;
  size_t EndpointIndex = *Request.EndpointIndex;
  releaseSlot(Request, Now - Request.SentAt, Succeeded, Now);
  if (Request.Incoming.Request.Repeatable &&
      isTransientStatus(Reply.Answer->Status)) {
    Request.ExcludedEndpoint = EndpointIndex;
    Request.MayHaveRun = true;
    if (retry(Reply.Id, Request, Now))
      return;
  }
  finish(Reply.Id, Request, caller::makeDoneResponse(std::move(*Reply.Answer)));
}

void RequestLoop::onFailure(uint64_t Id, ActiveRequest &Request,
                            std::error_code Failure, TimePoint Now) {
  Request.ExcludedEndpoint = Request.EndpointIndex;
  if (Failure == Errc::Unreachable) {
    releaseSlot(Request, Now - Request.SentAt, false, Now);
    if (!retry(Id, Request, Now))
      abandon(Id, Request, ProblemCode::NoEndpoint, Micros(0));
    return;
  }
  // The endpoint may still be running the request, so its slot stays taken.
  Request.MayHaveRun = true;
  TimePoint SlotFreeAt = Request.SentAt + Request.Service->Spec.RunLimit;
  Request.Service->onUnresolved(*Request.EndpointIndex, SlotFreeAt, Now);
  Request.EndpointIndex.reset();
  if (Request.Incoming.Request.Repeatable && retry(Id, Request, Now))
    return;
  ProblemCode Code = Failure == Errc::Timeout ? ProblemCode::AnswerLate
                                              : ProblemCode::AnswerLost;
  finish(Id, Request, caller::makeUnknownResponse(Code, 1));
}

bool RequestLoop::retry(uint64_t Id, ActiveRequest &Request, TimePoint Now) {
  if (Request.Attempts >= MaxAttempts || Now >= Request.Deadline ||
      !Request.Service->Retries.tryTakeRetry())
    return false;
  Request.CurrentStage = Stage::Queued;
  Request.Service->Queue.putBack(
      {.Id = Id,
       .Class = Request.Service->classIndex(Request.Incoming.Request.Class),
       .Arrived = Request.Incoming.Arrived,
       .Deadline = Request.Deadline});
  Context.ProcessMetrics.count("request_retries_total");
  return true;
}

void RequestLoop::onRecord(const RecordReply &Reply, TimePoint Now) {
  auto Found = Requests.find(Reply.Id);
  if (Found == Requests.end())
    return; // A completion; its request was answered before.
  ActiveRequest &Request = Found->second;
  if (Request.CurrentStage == Stage::Releasing) {
    answerNotRun(Reply.Id, Request, EarlierTries::None);
    return;
  }
  if (Reply.Status == RecordStatus::Exists) {
    if (Request.EndpointIndex)
      releaseSlot(Request, Micros(0), true, Now);
    answerFromRecord(Reply.Id, Request, Reply.EarlierRecord);
    return;
  }
  bool TableAnswered = Reply.Status == RecordStatus::Done;
  if (Request.CurrentStage == Stage::LookingUp) {
    answerNotRun(Reply.Id, Request,
                 TableAnswered ? EarlierTries::None : EarlierTries::NotChecked);
    return;
  }
  if (!TableAnswered) {
    releaseSlot(Request, Micros(0), true, Now);
    Request.Problem = ProblemCode::NotRecorded;
    answerNotRun(Reply.Id, Request, EarlierTries::NotChecked);
    return;
  }
  Request.Recorded = true;
  if (Now + Request.Service->meanServiceTime() <= Request.Deadline) {
    sendToEndpoint(Reply.Id, Request, Now);
    return;
  }
  releaseSlot(Request, Micros(0), true, Now);
  abandon(Reply.Id, Request, ProblemCode::DeadlineTooShort, Micros(0));
}

/// Answers from the record of an earlier try with the same key: with its stored
/// answer, or as unknown if it has none.
void RequestLoop::answerFromRecord(uint64_t Id, ActiveRequest &Request,
                                   const RequestRecord &EarlierRecord) {
  const std::string &Body = Request.Incoming.Request.Body;
  if (EarlierRecord.BodyHash != XXH64(Body.data(), Body.size(), 0)) {
    finish(Id, Request,
           caller::makeRefusedResponse(
               http::StatusUnprocessable, ProblemCode::KeyReused,
               caller::IdempotencyKeyHeader,
               "a key that no other body was sent with"));
    return;
  }
  if (EarlierRecord.Answered) {
    finish(Id, Request, EarlierRecord.Answer);
    return;
  }
  finish(Id, Request,
         caller::makeUnknownResponse(ProblemCode::EarlierTryUnresolved, 1));
}

void RequestLoop::onForwardReply(ForwardReply Reply) {
  auto Found = Requests.find(Reply.Id);
  if (Found == Requests.end())
    return;
  ActiveRequest &Request = Found->second;
  if (Reply.Answer) {
    finish(Reply.Id, Request, std::move(*Reply.Answer));
    return;
  }
  if (Reply.Answer.error() == Errc::Unreachable) {
    abandon(Reply.Id, Request, ProblemCode::NoEndpoint, Micros(0));
    return;
  }
  finish(Reply.Id, Request,
         caller::makeUnknownResponse(ProblemCode::AnswerLost, 1));
}

/// Ends a request that is not retried. If it did not run, its record is
/// released first; if it has no record, earlier tries with its key are looked
/// up.
void RequestLoop::abandon(uint64_t Id, ActiveRequest &Request,
                          ProblemCode Problem, Micros ExpectedWait) {
  if (Request.MayHaveRun) {
    finish(Id, Request,
           caller::makeUnknownResponse(ProblemCode::AnswerLost, 1));
    return;
  }
  Request.Problem = Problem;
  Request.RetryAfter = policy::retryAfterSeconds(ExpectedWait, Generator);
  if (Request.Recorded) {
    Request.CurrentStage = Stage::Releasing;
    if (pushRecord(Id, Request, RecordOperation::Release))
      return;
    answerNotRun(Id, Request, EarlierTries::None);
    return;
  }
  if (Request.Incoming.Request.Repeatable) {
    answerNotRun(Id, Request, EarlierTries::NotApplicable);
    return;
  }
  Request.CurrentStage = Stage::LookingUp;
  if (!pushRecord(Id, Request, RecordOperation::Lookup))
    answerNotRun(Id, Request, EarlierTries::NotChecked);
}

void RequestLoop::answerNotRun(uint64_t Id, ActiveRequest &Request,
                               EarlierTries Earlier) {
  finish(
      Id, Request,
      caller::makeNotRunResponse(Request.Problem, Request.RetryAfter, Earlier));
}

void RequestLoop::finish(uint64_t Id, ActiveRequest &Request,
                         http::Response Answer) {
  const std::string *Outcome =
      http::findHeader(Answer.Headers, caller::OutcomeHeader);
  if (Request.Recorded && Outcome && *Outcome == "done")
    (void)pushRecord(Id, Request, RecordOperation::Complete, &Answer);
  Context.ProcessMetrics.count(fmt::format("answers_total{{outcome=\"{}\"}}",
                                           Outcome ? *Outcome : "unset"));
  if (Outcome && *Outcome != "done")
    Context.Events.add("request-" + *Outcome, Request.Incoming.Request.Service,
                       fmt::format("key={} status={}",
                                   Request.Incoming.Request.IdempotencyKey,
                                   Answer.Status));
  http::Responder Respond = std::move(Request.Incoming.Respond);
  Requests.erase(Id);
  Respond(std::move(Answer));
}

void RequestLoop::onCredits(const CreditRow &Row) {
  ServiceState *Service = findService(Row.Service);
  if (!Service || !View || Row.WritesResolved != Service->CreditWriteCount)
    return;
  TimePoint Now = monotonicNow();
  std::string Holder = Context.holderName();
  Service->applyCredits(Row.Table, Holder);
  policy::CreditZone Zone = Holders.creditZone(
      *View, Row.Table, Service->listedSlots(), Service->Spec.RunLimit, Now);
  if (!Zone.LiveHolders.count(Holder) && !Context.Draining.load())
    return; // Not in the list yet; may not hold credits.
  policy::HolderState Demand = Service->creditDemand(Holder);
  Demand.Leaving = Context.Draining.load();
  policy::CreditPlan Plan = policy::planCredits(Row.Table, Zone, Demand);
  if (!Plan.Changed)
    return;
  if (!WriteCredits({Row.Service, std::move(Plan.NextTable), Row.Version}))
    return;
  ++Service->CreditWriteCount;
  Service->withdrawCredits(Plan.GivenSlots);
}

uint64_t RequestLoop::heldCredits() const {
  uint64_t Credits = 0;
  for (const auto &Entry : Services) {
    for (const policy::EndpointView &Endpoint : Entry.second->EndpointViews)
      Credits += Endpoint.Credits;
  }
  return Credits;
}

void RequestLoop::publishLoad(TimePoint Now) {
  if (Now < NextLoadPublish)
    return;
  NextLoadPublish = Now + PublishInterval;
  std::map<std::string, int64_t> FreeSlots;
  for (auto &[Name, Service] : Services) {
    size_t Waiting = Service->Queue.waiting();
    FreeSlots[Name] =
        Context.Draining.load() ? NoFreeSlots : Service->netFreeSlots(Now);
    Context.ProcessMetrics.gauge(
        fmt::format("requests_waiting{{service=\"{}\"}}", Name),
        static_cast<double>(Waiting));
    Context.ProcessMetrics.gauge(
        fmt::format("endpoints_ejected{{service=\"{}\"}}", Name),
        static_cast<double>(Service->Outliers.ejectedCount()));
  }
  Context.LoadDigests.setOwn(std::move(FreeSlots));
}

} // namespace daisylanding::entry
