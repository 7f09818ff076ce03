#include "entry/FrontLoop.h"

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
constexpr Millis ReleasePatience{3'000};
constexpr uint32_t MaxTries = 3;

/// How many more spare slots a peer must have for a request to go there; what
/// is known of it is a little old.
constexpr int64_t BalanceMargin = 2;

/// Told by an entry that takes no requests.
constexpr int64_t NothingSpare = -1'000'000;

/// Without a deadline of its own a request may wait this many targets.
constexpr int64_t DefaultWaitFactor = 3;

bool isTransientStatus(uint16_t Status) {
  return Status == http::StatusBadGateway ||
         Status == http::StatusUnavailable ||
         Status == http::StatusGatewayTimeout;
}

} // namespace

FrontLoop::FrontLoop(Context &Shared)
    : FromCallers(RingCapacity, [this] { Wake.wake(); }),
      FromPeers(RingCapacity, [this] { Wake.wake(); }),
      Forwarded(RingCapacity, [this] { Wake.wake(); }),
      CreditRows(RingCapacity, [this] { Wake.wake(); }), Shared(Shared),
      Endpoints({}, [this] { Wake.wake(); }),
      Records(Shared, [this] { Wake.wake(); }),
      Holders(Shared.Options.AvailabilityZone),
      Loads(Shared.Options.AvailabilityZone),
      Generator(
          XXH64(Shared.Incarnation.data(), Shared.Incarnation.size(), 0)) {}

void FrontLoop::start() {
  Endpoints.start();
  Records.start();
  Loop.start("front", [this] { run(); });
}

void FrontLoop::stop(Millis Longest) {
  TimePoint Until = monotonicNow() + Longest;
  while (active() > 0 && monotonicNow() < Until)
    std::this_thread::sleep_for(TickInterval);
  // Slots that can't be given back now come back by the run limit.
  Until = std::min<TimePoint>(Until, monotonicNow() + ReleasePatience);
  while (HeldSlots.load() > 0 && monotonicNow() < Until)
    std::this_thread::sleep_for(TickInterval);
  Loop.requestStop();
  Wake.wake();
  Loop.join();
  Endpoints.stop();
  Records.stop();
}

void FrontLoop::run() {
  while (!Loop.stopping()) {
    applyView();
    Loads.refresh(Shared.Digests);
    takeMessages();
    dispatch(monotonicNow());
    publishLoad(monotonicNow());
    ActiveCount.store(Requests.size());
    HeldSlots.store(heldSlots());
    Wake.wait(TickInterval);
  }
}

void FrontLoop::takeMessages() {
  FrontRequest In;
  while (FromCallers.pop(In))
    admit(std::move(In));
  while (FromPeers.pop(In))
    admit(std::move(In));
  endpoint::EndpointDone Done;
  while (Endpoints.Done.pop(Done))
    onEndpointDone(std::move(Done), monotonicNow());
  RecordReply Reply;
  while (Records.Replies.pop(Reply))
    onRecord(Reply, monotonicNow());
  ForwardDone Answer;
  while (Forwarded.pop(Answer))
    onForwarded(std::move(Answer));
  CreditRow Row;
  while (CreditRows.pop(Row))
    onCredits(Row);
}

void FrontLoop::applyView() {
  auto Current = Shared.Views.current();
  if (Current == Seen || !Current->Config)
    return;
  bool NewConfig = Config != Current->Config;
  Seen = Current;
  Config = Current->Config;
  for (const config::ServiceSpec &Spec : Config->Services) {
    auto &State = Services[Spec.Name];
    if (!State)
      State = std::make_unique<ServiceState>(Spec, *Config,
                                             Shared.Options.MaxWaiting);
    else if (NewConfig)
      State->configure(Spec, *Config);
  }
  for (auto &Each : Services)
    Each.second->applyList(Seen->List, Config->Drained,
                           Shared.Options.AvailabilityZone);
}

ServiceState *FrontLoop::findService(std::string_view Name) {
  if (!Config || !Config->findService(Name))
    return nullptr;
  auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : Found->second.get();
}

std::optional<http::Response> FrontLoop::refusal(const FrontRequest &In) const {
  if (!Config)
    return caller::makeNotRunResponse(ProblemCode::NotReady, 1,
                                      EarlierTries::NotChecked);
  if (!Config->findService(In.Body.Service))
    return caller::makeRefusedResponse(http::StatusNotFound,
                                       ProblemCode::NoSuchService, "service",
                                       "the name of a service");
  if (!In.Body.Class.empty() && !Config->findClass(In.Body.Class))
    return caller::makeRefusedResponse(
        http::StatusUnprocessable, ProblemCode::NoSuchClass,
        caller::ClassHeader, "the name of a class");
  return std::nullopt;
}

void FrontLoop::admit(FrontRequest In) {
  if (auto Refused = refusal(In)) {
    In.Respond(std::move(*Refused));
    return;
  }
  TimePoint Now = monotonicNow();
  uint64_t Id = NextId++;
  Active &Each = Requests[Id];
  Each.Service = findService(In.Body.Service);
  if (In.Body.Class.empty())
    In.Body.Class = Each.Service->Spec.Class;
  Micros Allowed = Each.Service->Spec.RunLimit +
                   Each.Service->targetOf(In.Body.Class) * DefaultWaitFactor;
  if (In.Body.TimeLeft)
    Allowed = *In.Body.TimeLeft;
  Each.Deadline = In.Arrived + Allowed;
  Each.Token = fmt::format("{}:{}", Shared.holder(), Id);
  Each.In = std::move(In);
  if (Shared.Draining.load()) {
    giveUp(Id, Each, ProblemCode::ShuttingDown, Micros(0));
    return;
  }
  enqueue(Id, Each, Now);
}

void FrontLoop::enqueue(uint64_t Id, Active &Each, TimePoint Now) {
  if (tryBalance(Id, Each, Now))
    return;
  if (!Each.Service->hasCredits() && tryRescue(Id, Each, Now))
    return;
  policy::QueuedRequest Queued{.Id = Id,
                               .Class =
                                   Each.Service->classOf(Each.In.Body.Class),
                               .Arrived = Each.In.Arrived,
                               .Deadline = Each.Deadline};
  auto Answer =
      Each.Service->Queue.admit(Queued, Each.Service->startsPerSecond(), Now);
  if (Answer.Evicted) {
    uint64_t Evicted = Answer.Evicted->Id;
    giveUp(Evicted, Requests.at(Evicted), ProblemCode::Overloaded,
           Answer.ExpectedWait);
  }
  if (Answer.Verdict == policy::Admission::Admitted)
    return;
  if (tryRescue(Id, Each, Now))
    return;
  giveUp(Id, Each, ProblemCode::Overloaded, Answer.ExpectedWait);
}

/// Hands the request to \p Peer; false when it can't be handed over.
bool FrontLoop::forwardTo(LoadDigest &Peer, uint64_t Id, Active &Each,
                          TimePoint Now) {
  caller::CallerRequest Body = Each.In.Body;
  Body.TimeLeft = Millis(std::max<int64_t>(1, toMillis(Each.Deadline - Now)));
  if (!Forward({Id, Peer.PeerAddress, std::move(Body)}))
    return false;
  PeerLoads::forwardedTo(Peer, Each.In.Body.Service);
  Each.At = Stage::Forwarding;
  Shared.Numbers.count("requests_forwarded_total");
  return true;
}

/// Evens the load out: a request that would wait here goes to an entry of the
/// zone that has more spare slots.
bool FrontLoop::tryBalance(uint64_t Id, Active &Each, TimePoint Now) {
  int64_t Own = Each.Service->spareSlots(Now);
  if (Each.In.Forwarded || Own > 0)
    return false;
  LoadDigest *Peer = Loads.best(Each.In.Body.Service, true, Now);
  if (!Peer)
    return false;
  int64_t Theirs = PeerLoads::spareOf(*Peer, Each.In.Body.Service);
  return Theirs > Own + BalanceMargin && forwardTo(*Peer, Id, Each, Now);
}

/// Saves a request that this zone can't serve in time: any entry with spare
/// slots takes it.
bool FrontLoop::tryRescue(uint64_t Id, Active &Each, TimePoint Now) {
  if (Each.In.Forwarded)
    return false;
  LoadDigest *Peer = Loads.best(Each.In.Body.Service, false, Now);
  if (!Peer || PeerLoads::spareOf(*Peer, Each.In.Body.Service) <= 0)
    return false;
  return forwardTo(*Peer, Id, Each, Now);
}

void FrontLoop::dispatch(TimePoint Now) {
  bool ExpireNow = Now >= NextExpiry;
  if (ExpireNow)
    NextExpiry = Now + TickInterval;
  for (auto &Each : Services) {
    if (ExpireNow)
      expire(*Each.second, Now);
    dispatchService(*Each.second, Now);
  }
}

void FrontLoop::expire(ServiceState &Service, TimePoint Now) {
  std::vector<uint64_t> Over;
  Service.Queue.expire(Now, [&](const policy::QueuedRequest &Queued) {
    Over.push_back(Queued.Id);
  });
  for (uint64_t Id : Over) {
    Active &Each = Requests.at(Id);
    ProblemCode Problem = ProblemCode::Overloaded;
    if (Now >= Each.Deadline)
      Problem = ProblemCode::DeadlineTooShort;
    else if (!Service.hasCredits())
      Problem = ProblemCode::NoEndpoint;
    giveUp(Id, Each, Problem, Service.targetOf(Each.In.Body.Class));
  }
}

void FrontLoop::dispatchService(ServiceState &Service, TimePoint Now) {
  Service.releaseResolved(Now);
  while (Service.Queue.waiting() > 0) {
    auto Endpoint = Service.pick(std::nullopt, Now, Generator);
    if (!Endpoint)
      return;
    auto Next = Service.Queue.next(Now);
    Active &Each = Requests.at(Next->Id);
    if (Each.Excluded)
      Endpoint = Service.pick(Each.Excluded, Now, Generator);
    if (Now + Service.meanServiceTime() > Each.Deadline)
      giveUp(Next->Id, Each, ProblemCode::DeadlineTooShort, Micros(0));
    else
      startOn(Next->Id, Each, *Endpoint, Now);
  }
}

void FrontLoop::startOn(uint64_t Id, Active &Each, size_t Endpoint,
                        TimePoint Now) {
  Each.Endpoint = Endpoint;
  Each.Service->sent(Endpoint, Now);
  if (Each.In.Body.Repeatable || Each.Recorded)
    send(Id, Each, Now);
  else
    reserve(Id, Each);
}

std::string FrontLoop::recordKey(const Active &Each) const {
  return fmt::format("request/{}/{}", Each.In.Body.Service,
                     Each.In.Body.IdempotencyKey);
}

bool FrontLoop::pushRecord(uint64_t Id, const Active &Each, RecordKind Kind,
                           const http::Response *Answer) {
  RecordCall Call{.Kind = Kind, .Id = Id, .Key = recordKey(Each)};
  Call.Record.Token = Each.Token;
  Call.Record.BodyHash =
      XXH64(Each.In.Body.Body.data(), Each.In.Body.Body.size(), 0);
  if (Answer) {
    Call.Record.Answered = true;
    Call.Record.Answer = *Answer;
  }
  return Records.Calls.push(std::move(Call));
}

void FrontLoop::reserve(uint64_t Id, Active &Each) {
  Each.At = Stage::Reserving;
  if (pushRecord(Id, Each, RecordKind::Reserve))
    return;
  freeSlot(Each, Micros(0), true, monotonicNow());
  giveUp(Id, Each, ProblemCode::NotRecorded, Micros(0));
}

void FrontLoop::send(uint64_t Id, Active &Each, TimePoint Now) {
  const caller::CallerRequest &Body = Each.In.Body;
  Micros Limit =
      std::min<Micros>(Each.Deadline - Now, Each.Service->Spec.RunLimit);
  endpoint::EndpointCall Call{
      .Id = Id,
      .Address = Each.Service->Slots[*Each.Endpoint].Address,
      .Service = Body.Service,
      .IdempotencyKey = Body.IdempotencyKey,
      .ContentType = Body.ContentType,
      .Body = Body.Body,
      .Timeout = Millis(std::max<int64_t>(1, toMillis(Limit))),
      .Repeatable = Body.Repeatable};
  if (Each.Tries == 0) {
    Each.Service->Retries.firstTry();
    constexpr double MicrosPerMilli = 1'000;
    Shared.Numbers.observe(
        fmt::format("request_waiting_ms{{class=\"{}\"}}", Body.Class),
        static_cast<double>((Now - Each.In.Arrived).count()) / MicrosPerMilli);
  }
  ++Each.Tries;
  Each.SentAt = Now;
  Each.At = Stage::InFlight;
  if (Endpoints.Calls.push(std::move(Call)))
    return;
  onFailure(Id, Each, Errc::Unreachable, Now);
}

void FrontLoop::freeSlot(Active &Each, Micros Latency, bool Good,
                         TimePoint Now) {
  Each.Service->ended(*Each.Endpoint, Latency, Good, Now);
  Each.Endpoint.reset();
}

void FrontLoop::onEndpointDone(endpoint::EndpointDone Done, TimePoint Now) {
  auto Found = Requests.find(Done.Id);
  if (Found == Requests.end())
    return;
  Active &Each = Found->second;
  if (!Done.Answer) {
    onFailure(Done.Id, Each, Done.Answer.error(), Now);
    return;
  }
  bool Good = Done.Answer->Status < http::StatusInternalError;
  size_t Endpoint = *Each.Endpoint;
  freeSlot(Each, Now - Each.SentAt, Good, Now);
  if (Each.In.Body.Repeatable && isTransientStatus(Done.Answer->Status)) {
    Each.Excluded = Endpoint;
    Each.MayHaveRun = true;
    if (retry(Done.Id, Each, Now))
      return;
  }
  finish(Done.Id, Each, caller::makeDoneResponse(std::move(*Done.Answer)));
}

void FrontLoop::onFailure(uint64_t Id, Active &Each, std::error_code Failure,
                          TimePoint Now) {
  Each.Excluded = Each.Endpoint;
  if (Failure == Errc::Unreachable) {
    freeSlot(Each, Now - Each.SentAt, false, Now);
    if (!retry(Id, Each, Now))
      giveUp(Id, Each, ProblemCode::NoEndpoint, Micros(0));
    return;
  }
  // The endpoint may still be at it, so its slot is not free yet.
  Each.MayHaveRun = true;
  TimePoint Until = Each.SentAt + Each.Service->Spec.RunLimit;
  Each.Service->unresolved(*Each.Endpoint, Until, Now);
  Each.Endpoint.reset();
  if (Each.In.Body.Repeatable && retry(Id, Each, Now))
    return;
  ProblemCode Code = Failure == Errc::Timeout ? ProblemCode::AnswerLate
                                              : ProblemCode::AnswerLost;
  finish(Id, Each, caller::makeUnknownResponse(Code, 1));
}

bool FrontLoop::retry(uint64_t Id, Active &Each, TimePoint Now) {
  if (Each.Tries >= MaxTries || Now >= Each.Deadline ||
      !Each.Service->Retries.takeRetry())
    return false;
  Each.At = Stage::Queued;
  Each.Service->Queue.putBack(
      {.Id = Id,
       .Class = Each.Service->classOf(Each.In.Body.Class),
       .Arrived = Each.In.Arrived,
       .Deadline = Each.Deadline});
  Shared.Numbers.count("request_retries_total");
  return true;
}

void FrontLoop::onRecord(const RecordReply &Reply, TimePoint Now) {
  auto Found = Requests.find(Reply.Id);
  if (Found == Requests.end())
    return; // A completion: its caller was answered before.
  Active &Each = Found->second;
  if (Each.At == Stage::Releasing) {
    answerNotRun(Reply.Id, Each, EarlierTries::None);
    return;
  }
  if (Reply.Status == RecordStatus::Exists) {
    if (Each.Endpoint)
      freeSlot(Each, Micros(0), true, Now);
    onEarlier(Reply.Id, Each, Reply.Earlier);
    return;
  }
  bool Asked = Reply.Status == RecordStatus::Done;
  if (Each.At == Stage::LookingUp) {
    answerNotRun(Reply.Id, Each,
                 Asked ? EarlierTries::None : EarlierTries::NotChecked);
    return;
  }
  if (!Asked) {
    freeSlot(Each, Micros(0), true, Now);
    Each.Problem = ProblemCode::NotRecorded;
    answerNotRun(Reply.Id, Each, EarlierTries::NotChecked);
    return;
  }
  Each.Recorded = true;
  if (Now + Each.Service->meanServiceTime() <= Each.Deadline) {
    send(Reply.Id, Each, Now);
    return;
  }
  freeSlot(Each, Micros(0), true, Now);
  giveUp(Reply.Id, Each, ProblemCode::DeadlineTooShort, Micros(0));
}

/// An earlier try holds the key: its answer, or that its fate is open.
void FrontLoop::onEarlier(uint64_t Id, Active &Each,
                          const RequestRecord &Earlier) {
  const std::string &Body = Each.In.Body.Body;
  if (Earlier.BodyHash != XXH64(Body.data(), Body.size(), 0)) {
    finish(Id, Each,
           caller::makeRefusedResponse(
               http::StatusUnprocessable, ProblemCode::KeyReused,
               caller::IdempotencyKeyHeader,
               "a key that no other body was sent with"));
    return;
  }
  if (Earlier.Answered) {
    finish(Id, Each, Earlier.Answer);
    return;
  }
  finish(Id, Each,
         caller::makeUnknownResponse(ProblemCode::EarlierTryUnresolved, 1));
}

void FrontLoop::onForwarded(ForwardDone Done) {
  auto Found = Requests.find(Done.Id);
  if (Found == Requests.end())
    return;
  Active &Each = Found->second;
  if (Done.Answer) {
    finish(Done.Id, Each, std::move(*Done.Answer));
    return;
  }
  if (Done.Answer.error() == Errc::Unreachable) {
    giveUp(Done.Id, Each, ProblemCode::NoEndpoint, Micros(0));
    return;
  }
  finish(Done.Id, Each,
         caller::makeUnknownResponse(ProblemCode::AnswerLost, 1));
}

/// Ends a request that is not tried any further. If it surely did not run,
/// what is recorded is released first, and a key that may have been used
/// earlier is looked up.
void FrontLoop::giveUp(uint64_t Id, Active &Each, ProblemCode Problem,
                       Micros ExpectedWait) {
  if (Each.MayHaveRun) {
    finish(Id, Each, caller::makeUnknownResponse(ProblemCode::AnswerLost, 1));
    return;
  }
  Each.Problem = Problem;
  Each.RetryAfter = policy::retryAfterSeconds(ExpectedWait, Generator);
  if (Each.Recorded) {
    Each.At = Stage::Releasing;
    if (pushRecord(Id, Each, RecordKind::Release))
      return;
    answerNotRun(Id, Each, EarlierTries::None);
    return;
  }
  if (Each.In.Body.Repeatable) {
    answerNotRun(Id, Each, EarlierTries::NotApplicable);
    return;
  }
  Each.At = Stage::LookingUp;
  if (!pushRecord(Id, Each, RecordKind::Lookup))
    answerNotRun(Id, Each, EarlierTries::NotChecked);
}

void FrontLoop::answerNotRun(uint64_t Id, Active &Each, EarlierTries Earlier) {
  finish(Id, Each,
         caller::makeNotRunResponse(Each.Problem, Each.RetryAfter, Earlier));
}

void FrontLoop::finish(uint64_t Id, Active &Each, http::Response Answer) {
  const std::string *Outcome =
      http::findHeader(Answer.Headers, caller::OutcomeHeader);
  if (Each.Recorded && Outcome && *Outcome == "done")
    (void)pushRecord(Id, Each, RecordKind::Complete, &Answer);
  Shared.Numbers.count(fmt::format("answers_total{{outcome=\"{}\"}}",
                                   Outcome ? *Outcome : "unset"));
  if (Outcome && *Outcome != "done")
    Shared.Events.add("request-" + *Outcome, Each.In.Body.Service,
                      fmt::format("key={} status={}",
                                  Each.In.Body.IdempotencyKey, Answer.Status));
  http::Responder Respond = std::move(Each.In.Respond);
  Requests.erase(Id);
  Respond(std::move(Answer));
}

void FrontLoop::onCredits(const CreditRow &Row) {
  ServiceState *Service = findService(Row.Service);
  if (!Service || !Seen || Row.WritesSettled != Service->CreditWrites)
    return;
  TimePoint Now = monotonicNow();
  std::string Holder = Shared.holder();
  Service->applyCredits(Row.Table, Holder);
  policy::CreditZone Zone = Holders.zone(
      *Seen, Row.Table, Service->slotsInList(), Service->Spec.RunLimit, Now);
  if (!Zone.Live.count(Holder) && !Shared.Draining.load())
    return; // Not in the list yet: it may not hold credits.
  policy::CreditDemand Demand = Service->demand(Holder);
  Demand.Leaving = Shared.Draining.load();
  policy::CreditPlan Plan = policy::planCredits(Row.Table, Zone, Demand);
  if (!Plan.Changed)
    return;
  if (!WriteCredits({Row.Service, std::move(Plan.Next), Row.Version}))
    return;
  ++Service->CreditWrites;
  Service->reduce(Plan.Given);
}

uint64_t FrontLoop::heldSlots() const {
  uint64_t Sum = 0;
  for (const auto &Each : Services) {
    for (const policy::EndpointView &View : Each.second->Views)
      Sum += View.Credits;
  }
  return Sum;
}

void FrontLoop::publishLoad(TimePoint Now) {
  if (Now < NextPublish)
    return;
  NextPublish = Now + PublishInterval;
  std::map<std::string, int64_t> Spare;
  for (auto &[Name, Service] : Services) {
    size_t Waiting = Service->Queue.waiting();
    Spare[Name] =
        Shared.Draining.load() ? NothingSpare : Service->spareSlots(Now);
    Shared.Numbers.gauge(
        fmt::format("requests_waiting{{service=\"{}\"}}", Name),
        static_cast<double>(Waiting));
    Shared.Numbers.gauge(
        fmt::format("endpoints_ejected{{service=\"{}\"}}", Name),
        static_cast<double>(Service->Outliers.ejectedCount()));
  }
  Shared.Digests.setOwn(std::move(Spare));
}

} // namespace daisylanding::entry
