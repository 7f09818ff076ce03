#include "node/IntakeLoop.h"

#include "cell/EndedJob.h"
#include "cell/OwnerRow.h"
#include "common/Log.h"
#include "node/QueuePlaces.h"

/// Requests that submit a job whose queue was sent to another service: the job
/// may be stored in the partition of an earlier one. Nothing is sent to an
/// owner or to the store until this is known.
namespace daisylanding::node {

namespace {

/// Between two looks at what owners state; their rows are read less often.
constexpr Millis StatementPollInterval{50};

} // namespace

/// Looks at one service after the other; offers the job if none has it.
void IntakeLoop::checkPlaces(const RequestPtr &Request,
                             const cell::JobSpec &Job) {
  if (Request->Answered)
    return;
  while (!Request->Partitions.empty()) {
    const std::string &Service = Request->Partitions.front();
    PlaceCheck Check = checkOf(*Request, Service);
    if (Check == PlaceCheck::None) {
      Request->Partitions.erase(Request->Partitions.begin());
      continue;
    }
    watchSearch(Request);
    if (Check == PlaceCheck::Search)
      searchJobRow(Request, Job);
    else
      awaitStatement(Request, Job);
    return;
  }
  Request->SearchDone = true;
  offer(Request, Job);
}

PlaceCheck IntakeLoop::checkOf(const PendingRequest &Request,
                               const std::string &Service) const {
  auto Stated = Context.Statements.of(Service);
  // The usual case, without a copy of the history.
  if (Stated->ConfigVersion == Request.Config->Version &&
      !Stated->mayHold(Request.Queue->Name))
    return PlaceCheck::None;
  auto History = Context.Config.history();
  QueueView View{.Queue = *Request.Queue,
                 .ConfigVersion = Request.Config->Version,
                 .History = History};
  return Service == Request.Queue->Service
             ? checkOwnService(View, *Stated)
             : checkOtherService(View, Service, *Stated);
}

bool IntakeLoop::mayStoreBy(const PendingRequest &Request,
                            uint64_t StatedVersion) const {
  auto History = Context.Config.history();
  return mayStore({.Queue = *Request.Queue,
                   .ConfigVersion = Request.Config->Version,
                   .History = History},
                  StatedVersion);
}

/// The owner of the service may still store the job by an older configuration.
void IntakeLoop::awaitStatement(const RequestPtr &Request,
                                const cell::JobSpec &Job) {
  TimerQueue.schedule(monotonicNow() + StatementPollInterval,
                      [this, Request, Job] { checkPlaces(Request, Job); });
}

/// Whether the service's owner states an older configuration, by which neither
/// it nor an entry may store jobs of the queue.
bool IntakeLoop::isOwnServiceBehind(const PendingRequest &Request) const {
  auto Stated = Context.Statements.of(Request.Queue->Service);
  return Stated->ConfigVersion < Request.Config->Version &&
         !mayStoreBy(Request, Stated->ConfigVersion);
}

/// Offers the job again once the owner has learned of the queue. Until then
/// nothing was stored.
void IntakeLoop::offerOnceStated(const RequestPtr &Request,
                                 const cell::JobSpec &Job) {
  if (Request->Answered)
    return;
  TimePoint Now = monotonicNow();
  if (timeLeft(Request, Now) <= Millis(0) || isStoreSilent(Now)) {
    failSubmit(Request, "owner-behind");
    return;
  }
  if (isOwnServiceBehind(*Request)) {
    TimerQueue.schedule(Now + StatementPollInterval, [this, Request, Job] {
      offerOnceStated(Request, Job);
    });
    return;
  }
  Request->OfferSettled = false;
  offer(Request, Job);
}

/// Refuses the request if it isn't known in time where the job is.
void IntakeLoop::watchSearch(const RequestPtr &Request) {
  if (std::exchange(Request->SearchWatched, true))
    return;
  logInfo("job-searched", "job={} queue={} config={} services={}",
          Request->JobId, Request->Queue->Name, Request->Config->Version,
          Request->Partitions.size());
  refuseLateSearch(Request);
}

void IntakeLoop::refuseLateSearch(const RequestPtr &Request) {
  if (Request->Answered || Request->SearchDone)
    return;
  TimePoint Now = monotonicNow();
  if (timeLeft(Request, Now) <= Millis(0)) {
    refuse(Request, "earlier-service-unknown");
    return;
  }
  if (isStoreSilent(Now)) {
    refuse(Request, "store-silent");
    return;
  }
  TimerQueue.schedule(Now + StatementPollInterval,
                      [this, Request] { refuseLateSearch(Request); });
}

/// The job's own row is read first: a job moves from there to the ended ones.
void IntakeLoop::searchJobRow(const RequestPtr &Request,
                              const cell::JobSpec &Job) {
  readJobRows(Request, Request->Partitions.front(),
              [this, Request, Job](const std::vector<store::Row> &Rows) {
                if (Rows.empty()) {
                  searchEndedRow(Request, Job);
                  return;
                }
                auto StoredJob = cell::decodeJob(Rows.front().Value);
                if (StoredJob) {
                  answerFound(Request, cell::isSameRequest(*StoredJob, Job));
                  return;
                }
                logError("job-unreadable", "job={}", Request->JobId);
                refuse(Request, "record-unreadable");
              });
}

void IntakeLoop::searchEndedRow(const RequestPtr &Request,
                                const cell::JobSpec &Job) {
  std::string Partition = Request->Partitions.front();
  readEndedJob(
      Request, Partition,
      [this, Request, Job](const std::optional<cell::EndedJob> &Ended) {
        if (Ended) {
          answerFound(Request, Ended->WorkHash == cell::workHash(Job));
          return;
        }
        Request->Partitions.erase(Request->Partitions.begin());
        checkPlaces(Request, Job);
      });
}

void IntakeLoop::answerFound(const RequestPtr &Request, bool IsSameWork) {
  logInfo("job-found-elsewhere", "job={} queue={} service={} same={}",
          Request->JobId, Request->Queue->Name, Request->Partitions.front(),
          IsSameWork);
  if (IsSameWork)
    answer(Request, http::StatusOk, "{}", "stored-before");
  else
    answerProblem(Request, http::StatusConflict, "id",
                  "an id that no other job uses");
}

} // namespace daisylanding::node
