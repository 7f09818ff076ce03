#include "node/IntakeLoop.h"

#include "cell/OwnerRow.h"
#include "cell/Progress.h"
#include "common/Log.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace daisylanding::node {

namespace {

constexpr size_t ArrivalCapacity = 4'096;
constexpr Millis LongestPoll{500};
/// How long callers wait for an answer if they don't say.
constexpr Millis DefaultDeadline{3'000};
constexpr Millis LongestDeadline{30'000};
/// A final answer must still reach the caller in time.
constexpr Millis AnswerMargin{150};
constexpr Millis WriteRetry{80};
/// A write without an answer for so many times a read's time, but not sooner
/// than that, is sent once more.
constexpr double WriteHedgeReads = 25;
constexpr Millis LeastHedge{200};
constexpr Millis SilenceCheck{150};
/// The store answers some loop of this process several times in this time.
constexpr Millis StoreSilence{1'000};
/// When the store refuses, it is asked again by the caller, not from here.
constexpr const char *RetryAfterSeconds = "1";

std::string_view hostOf(const http::Request &Incoming) {
  const std::string *Host = http::findHeader(Incoming.Headers, "Host");
  if (!Host)
    return {};
  std::string_view Out = *Host;
  return Out.substr(0, Out.find(':'));
}

/// A wait for the store that grows when it is slow for everyone.
Millis storeWait(const StoreHealth &Store, double Reads, Millis Least) {
  return std::max(Least,
                  Millis(static_cast<int64_t>(Reads * Store.readMillis())));
}

TimePoint deadlineOf(const http::Request &Incoming, const std::string &Name,
                     TimePoint Arrived) {
  const std::string *Text = http::findHeader(Incoming.Headers, Name);
  int64_t Number = DefaultDeadline.count();
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), Number);
  Number = std::clamp<int64_t>(Number, 1, LongestDeadline.count());
  return Arrived + Millis(Number);
}

} // namespace

IntakeLoop::IntakeLoop(Shared &Common, relay::RelayLoop &Relay)
    : Common(Common), Calls({.MaxConnectionsPerHost = 32}), Relay(Relay),
      Arrivals(ArrivalCapacity, [this] { Calls.wake(); }),
      Verdicts(ArrivalCapacity, [this] { Calls.wake(); }) {}

void IntakeLoop::start() {
  Loop.start("intake", [this] { run(); });
}

void IntakeLoop::stop() {
  Loop.requestStop();
  Calls.wake();
  Loop.join();
}

void IntakeLoop::handle(http::Request Incoming, http::Responder Respond) {
  auto Next = std::make_shared<Visit>();
  Next->Incoming = std::move(Incoming);
  Next->Respond = std::move(Respond);
  Next->Arrived = monotonicNow();
  Open.fetch_add(1);
  if (!Arrivals.push(Next))
    refuse(Next, "queue-full");
}

void IntakeLoop::run() {
  Store = Common.Around.store(Calls);
  while (!Loop.stopping()) {
    VisitPtr Next;
    while (Arrivals.pop(Next))
      route(Next);
    std::function<void()> Verdict;
    while (Verdicts.pop(Verdict))
      Verdict();
    Later.run(monotonicNow());
    if (storeSilent(monotonicNow())) {
      for (auto &Each : Writers)
        Each.second.giveUp();
    }
    Calls.poll(Open.load() > 0 ? WriteRetry : LongestPoll);
  }
}

void IntakeLoop::answer(const VisitPtr &Of, uint16_t Status, std::string Body,
                        std::string_view Why) {
  TimePoint Now = monotonicNow();
  double Ms = toSeconds(Now - Of->Arrived) * 1e3;
  Common.Numbers.count(fmt::format("answers{{method=\"{}\",status=\"{}\"}}",
                                   Of->Incoming.Method, Status));
  Common.Numbers.observe(
      fmt::format("answer_ms{{method=\"{}\"}}", Of->Incoming.Method), Ms);
  logInfo("answered", "method={} job={} queue={} status={} why={} ms={:.0f}",
          Of->Incoming.Method, Of->JobId, Of->From ? Of->From->Name : "-",
          Status, Why, Ms);
  http::Response Out{.Status = Status, .Body = std::move(Body)};
  Out.Headers.emplace_back("Content-Type", "application/json");
  if (Status == http::StatusUnavailable ||
      Status == http::StatusTooManyRequests)
    Out.Headers.emplace_back("Retry-After", RetryAfterSeconds);
  if (Common.Draining.load())
    Out.Headers.emplace_back("Connection", "close");
  Open.fetch_sub(1);
  Of->Answered = true;
  Of->Respond(std::move(Out));
}

bool IntakeLoop::storeSilent(TimePoint Now) const {
  return Now > Common.Store.lastAnswer() + StoreSilence;
}

void IntakeLoop::refuse(const VisitPtr &Of, std::string_view Why) {
  answer(Of, http::StatusUnavailable, nlohmann::json{{"error", Why}}.dump(),
         Why);
}

/// A write that got no answer may be carried out, or have been.
void IntakeLoop::tellUnknown(const VisitPtr &Of) {
  answer(Of, http::StatusGatewayTimeout, "{}", "outcome-unknown");
}

void IntakeLoop::problem(const VisitPtr &Of, uint16_t Status,
                         std::string_view Field, std::string_view Allowed) {
  nlohmann::json Body = {
      {"error", "invalid"}, {"field", Field}, {"allowed", Allowed}};
  answer(Of, Status, Body.dump(), Field);
}

void IntakeLoop::route(const VisitPtr &Of) {
  Of->Deadline = deadlineOf(
      Of->Incoming, Common.Around.documents().deadlineHeader(), Of->Arrived);
  Of->Config = Common.Config.current();
  if (!Of->Config) {
    refuse(Of, "no-configuration");
    return;
  }
  std::string_view Path = http::targetPath(Of->Incoming.Target);
  Of->From = Of->Config->match(hostOf(Of->Incoming), Path);
  if (!Of->From) {
    answer(Of, http::StatusNotFound, "{}", "no-such-queue");
    return;
  }
  std::string_view Rest = Path.substr(Of->From->PathPrefix.size());
  const std::string &Method = Of->Incoming.Method;
  if (Rest.empty() && Method == "GET") {
    uint64_t Count = Common.Pending.of(Of->From->Name);
    answer(Of, http::StatusOk, Common.Around.documents().pending(Count),
           "pending");
    return;
  }
  if (!cell::isJobId(Rest)) {
    problem(Of, http::StatusBadRequest, "id", "16 hexadecimal digits");
    return;
  }
  Of->JobId = Rest;
  // Nothing was sent for it, so the caller can be told at once to go elsewhere.
  if (storeSilent(Of->Arrived)) {
    refuse(Of, "store-silent");
    return;
  }
  Of->Partitions.push_back(Of->From->Service);
  for (const std::string &Each : Of->Config->Services) {
    // A job stays where it was accepted when its queue is sent elsewhere.
    if (Each != Of->From->Service)
      Of->Partitions.push_back(Each);
  }
  if (Method == "POST")
    submit(Of);
  else if (Method == "GET")
    query(Of);
  else if (Method == "DELETE")
    cancel(Of);
  else
    problem(Of, http::StatusMethodNotAllowed, "method", "POST, GET, DELETE");
}

/// Until the last moment at which an answer still reaches the caller.
Millis IntakeLoop::timeLeft(const VisitPtr &Of, TimePoint Now) {
  return std::chrono::duration_cast<Millis>(Of->Deadline - AnswerMargin - Now);
}

void IntakeLoop::submit(const VisitPtr &Of) {
  size_t MaxBody = Of->Config->Bounds.MaxBodyBytes;
  if (Of->Incoming.Body.size() > MaxBody) {
    problem(Of, http::StatusPayloadTooLarge, "body",
            fmt::format("at most {} bytes", MaxBody));
    return;
  }
  BodyProblem Problem;
  auto Job = Common.Around.documents().job(Of->Incoming.Body, Problem);
  if (!Job) {
    problem(Of, http::StatusBadRequest, Problem.Field, Problem.Allowed);
    return;
  }
  Job->Id = Of->JobId;
  Job->Queue = Of->From->Name;
  Job->AcceptedMs = Common.Store.clockMillis(monotonicNow());
  offer(Of, *Job);
}

/// To the owner first, which stores many jobs in one commit; itself if there
/// is no owner, or no word of it in time.
void IntakeLoop::offer(const VisitPtr &Of, const cell::JobSpec &Job) {
  const std::string &Service = Of->From->Service;
  TimePoint Now = monotonicNow();
  double ReadMs = Common.Store.readMillis();
  Millis Left = timeLeft(Of, Now);
  Millis Patience = Offering.patience(Left, ReadMs);
  // A store that is silent rather than slow is told of sooner.
  if (OfferPacer::onlyByOwner(ReadMs))
    watchSilence(Of);
  auto Done = [this, Of, Job](const Result<cell::Verdict> &Answer) {
    if (!Verdicts.push([this, Of, Job, Answer] { onVerdict(Of, Job, Answer); }))
      logWarn("verdict-dropped", "job={}", Job.Id);
  };
  if (Common.Offers.owns(Service)) {
    Common.Offers.hand(Service, {.Job = Job, .Within = Left, .Done = Done});
    Later.at(Now + Patience,
             [this, Of, Job] { onVerdict(Of, Job, Errc::AnswerLost); });
    return;
  }
  std::string Address = Common.Owners.of(Service);
  if (!OfferPacer::onlyByOwner(ReadMs) && !Offering.mayOffer(Now))
    Address.clear();
  relay::OfferCall Call{.Address = Address,
                        .Service = Service,
                        .Job = cell::encodeJob(Job),
                        .Within = Left,
                        .Timeout = Patience,
                        .Done = Done};
  if (Address.empty() || !Relay.OfferCalls.push(std::move(Call)))
    writeJob(Of, Job);
}

void IntakeLoop::onVerdict(const VisitPtr &Of, const cell::JobSpec &Job,
                           const Result<cell::Verdict> &Answer) {
  TimePoint Now = monotonicNow();
  // A late word still tells that the job is stored.
  bool IsStored = Answer && (*Answer == cell::Verdict::Stored ||
                             *Answer == cell::Verdict::StoredBefore);
  if (Of->Answered || (Of->OfferOver && !IsStored))
    return;
  Of->OfferOver = true;
  if (!Answer) {
    Of->Unknown = Of->Unknown || Answer.error() != Errc::Unreachable;
    onNoWord(Of, Job, Answer.error(), Now);
    return;
  }
  Offering.answered(Now - Of->Arrived);
  switch (*Answer) {
  case cell::Verdict::Stored:
    answer(Of, http::StatusOk, "{}", "stored-by-owner");
    return;
  case cell::Verdict::StoredBefore:
    answer(Of, http::StatusOk, "{}", "stored-before");
    return;
  case cell::Verdict::OtherWork:
    problem(Of, http::StatusConflict, "id", "not used for another job");
    return;
  case cell::Verdict::Unknown:
    Of->Unknown = true;
    writeJob(Of, Job);
    return;
  case cell::Verdict::Expired:
    giveUp(Of, "store-slow");
    return;
  case cell::Verdict::NotOwner:
  case cell::Verdict::Busy:
    writeJob(Of, Job);
    return;
  }
}

/// The owner may be gone, or the store have turned slow meanwhile; then it is
/// asked once more for as long as the caller waits.
void IntakeLoop::onNoWord(const VisitPtr &Of, const cell::JobSpec &Job,
                          std::error_code Why, TimePoint Now) {
  bool Slow = OfferPacer::onlyByOwner(Common.Store.readMillis());
  if (Slow && Why != Errc::Unreachable && !Of->OfferedAgain &&
      timeLeft(Of, Now) > Millis(0)) {
    Of->OfferedAgain = true;
    Of->OfferOver = false;
    offer(Of, Job);
    return;
  }
  Offering.failed(Now);
  writeJob(Of, Job);
}

/// The final word of a job that can't be stored in time.
void IntakeLoop::giveUp(const VisitPtr &Of, std::string_view Why) {
  if (Of->Unknown)
    tellUnknown(Of);
  else
    refuse(Of, Why);
}

void IntakeLoop::writeJob(const VisitPtr &Of, const cell::JobSpec &Job) {
  TimePoint Now = monotonicNow();
  if (!OfferPacer::mayWrite(timeLeft(Of, Now), Common.Store.readMillis())) {
    giveUp(Of, "store-slow");
    return;
  }
  auto Found = Writers.find(Of->From->Service);
  if (Found == Writers.end())
    Found =
        Writers
            .try_emplace(Of->From->Service, Of->From->Service, *Store, Later,
                         [this] {
                           return storeWait(Common.Store, WriteHedgeReads,
                                            LeastHedge);
                         })
            .first;
  JobWrite Next{
      .Job = Job,
      .Deadline = Of->Deadline - AnswerMargin,
      .MayExist = Of->Unknown,
      .Done = [this, Of](WriteOutcome How) { onJobWritten(Of, How); }};
  Found->second.add(std::move(Next), Now);
  Later.at(Of->Deadline - AnswerMargin, [this, Of] {
    if (!Of->Answered)
      tellUnknown(Of);
  });
}

void IntakeLoop::onJobWritten(const VisitPtr &Of, WriteOutcome How) {
  if (Of->Answered)
    return;
  switch (How) {
  case WriteOutcome::Stored:
    answer(Of, http::StatusOk, "{}", "stored");
    return;
  case WriteOutcome::StoredBefore:
    answer(Of, http::StatusOk, "{}", "stored-before");
    return;
  case WriteOutcome::OtherWork:
    problem(Of, http::StatusConflict, "id", "not used for another job");
    return;
  case WriteOutcome::Refused:
    refuse(Of, "store-unavailable");
    return;
  case WriteOutcome::Unknown:
    tellUnknown(Of);
    return;
  }
}

/// The next service whose rows may hold the job; none, and the caller is told
/// so, when all were searched.
std::optional<std::string> IntakeLoop::nextPartition(const VisitPtr &Of) {
  if (Of->Partitions.empty()) {
    answer(Of, http::StatusGone, "{}", "no-such-job");
    return std::nullopt;
  }
  std::string Out = std::move(Of->Partitions.front());
  Of->Partitions.erase(Of->Partitions.begin());
  return Out;
}

/// Reads the job's own row and, behind it, that of its cancel; both or the
/// second may be absent. A store that refuses is told to the caller.
void IntakeLoop::readJobRows(
    const VisitPtr &Of, const std::string &Partition,
    std::function<void(const std::vector<store::Row> &)> OnRows) {
  store::RangeRead Range{.Table = cell::JobTable,
                         .Partition = Partition,
                         .From = Of->JobId,
                         .To = Of->JobId + '0'};
  Store->read(Range, [this, Of, OnRows = std::move(OnRows)](
                         const Result<store::RowPage> &Page) {
    if (Page)
      OnRows(Page->Rows);
    else
      refuse(Of, "store-unavailable");
  });
}

void IntakeLoop::query(const VisitPtr &Of) {
  auto Partition = nextPartition(Of);
  if (!Partition)
    return;
  store::RangeRead Range{.Table = cell::ProgressTable,
                         .Partition = *Partition,
                         .From = Of->JobId,
                         .To = Of->JobId + '!',
                         .Limit = 1};
  Store->read(Range, [this, Of, Partition](const Result<store::RowPage> &Page) {
    if (!Page) {
      refuse(Of, "store-unavailable");
      return;
    }
    Common.Store.answered(monotonicNow(), Page->StoreMillis);
    if (Page->Rows.empty()) {
      queryJobRow(Of, *Partition);
      return;
    }
    auto Phase = cell::decodePhase(Page->Rows.front().Value);
    if (!Phase) {
      logError("progress-unreadable", "job={}", Of->JobId);
      refuse(Of, "record-unreadable");
      return;
    }
    std::string_view Name = cell::phaseName(*Phase);
    answer(Of, http::StatusOk, Common.Around.documents().state(Name), Name);
  });
}

/// A job that its owner has not yet begun has no progress, only its own row.
void IntakeLoop::queryJobRow(const VisitPtr &Of, const std::string &Partition) {
  readJobRows(Of, Partition, [this, Of](const std::vector<store::Row> &Rows) {
    if (Rows.empty()) {
      query(Of);
      return;
    }
    bool Cancelled = Rows.size() > 1;
    std::string_view Name = cell::phaseName(
        Cancelled ? cell::JobPhase::Cancelled : cell::JobPhase::Queued);
    answer(Of, http::StatusOk, Common.Around.documents().state(Name), Name);
  });
}

void IntakeLoop::cancel(const VisitPtr &Of) {
  auto Partition = nextPartition(Of);
  if (!Partition)
    return;
  readJobRows(Of, *Partition,
              [this, Of, Partition](const std::vector<store::Row> &Rows) {
                if (Rows.empty())
                  cancel(Of);
                else if (Rows.size() > 1)
                  answer(Of, http::StatusOk, "{}", "cancelled-before");
                else
                  writeCancel(Of, *Partition, Rows.front().Version);
              });
}

void IntakeLoop::writeCancel(const VisitPtr &Of, const std::string &Partition,
                             uint64_t JobVersion) {
  store::Transaction Tx;
  Tx.Partition = Partition;
  Tx.Expected.push_back(
      {.Table = cell::JobTable, .Key = Of->JobId, .Version = JobVersion});
  Tx.Writes.push_back({.Table = cell::JobTable,
                       .Key = cell::cancelKey(Of->JobId),
                       .Value = "cancelled"});
  sendCancel(Of, std::make_shared<const store::Transaction>(std::move(Tx)));
}

/// Sends the write, and once more if no answer comes: both ask for the same.
void IntakeLoop::sendCancel(const VisitPtr &Of, const WritePtr &What) {
  ++Of->Sent;
  Store->commit(*What,
                [this, Of, What](const store::TransactionResult &Result) {
                  --Of->Sent;
                  onCancelSent(Of, What, Result);
                });
  TimePoint Next =
      monotonicNow() + storeWait(Common.Store, WriteHedgeReads, LeastHedge);
  if (Next + AnswerMargin >= Of->Deadline)
    return;
  Later.at(Next, [this, Of, What] {
    if (!Of->Answered && Of->Sent == 1)
      sendCancel(Of, What);
    watchSilence(Of);
  });
}

/// A caller whose write may be on its way is told so as soon as the store is
/// known to be silent here: another entry may still reach it.
void IntakeLoop::watchSilence(const VisitPtr &Of) {
  TimePoint Now = monotonicNow();
  if (Of->Answered || Now >= Of->Deadline)
    return;
  if (storeSilent(Now)) {
    tellUnknown(Of);
    return;
  }
  Later.at(Now + SilenceCheck, [this, Of] { watchSilence(Of); });
}

/// After a write that may be carried out only its own outcome may be told.
void IntakeLoop::onCancelSent(const VisitPtr &Of, const WritePtr &What,
                              const store::TransactionResult &Result) {
  TimePoint Now = monotonicNow();
  if (Result.StoreMillis)
    Common.Store.answered(Now, Result.StoreMillis);
  if (Of->Answered)
    return;
  // A conflict with rows there: an earlier copy went through. Without rows the
  // job ended long ago and they were removed meanwhile.
  bool Conflict = Result.Outcome == store::TransactionOutcome::Conflict;
  if (Conflict && Result.Current.empty()) {
    answer(Of, http::StatusGone, "{}", "no-such-job");
    return;
  }
  if (Conflict || Result.Outcome == store::TransactionOutcome::Committed) {
    answer(Of, http::StatusOk, "{}", "cancelled");
    return;
  }
  if (Result.Outcome == store::TransactionOutcome::Unknown)
    Of->Unknown = true;
  if (Of->Sent > 0)
    return;
  if (!Of->Unknown) {
    refuse(Of, "store-unavailable");
    return;
  }
  TimePoint Next = Now + WriteRetry;
  if (storeSilent(Now) || Next + AnswerMargin >= Of->Deadline) {
    tellUnknown(Of);
    return;
  }
  Later.at(Next, [this, Of, What] { sendCancel(Of, What); });
}

} // namespace daisylanding::node
