#include "node/IntakeLoop.h"

#include "cell/EndedJob.h"
#include "common/Log.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

/// Jobs that their owner refuses because they couldn't be done in useful time.
/// The owner stores none of them later; but an earlier copy of the request may
/// have been stored by another entry, or by an owner that has replaced this
/// one, of which it hasn't heard yet. So the store is asked before a caller is
/// told.
namespace daisylanding::node {

void IntakeLoop::confirmRefusal(const RequestPtr &Request,
                                const cell::JobSpec &Job) {
  const std::string &Service = Request->Queue->Service;
  readJobRows(Request, Service,
              [this, Request, Job](const std::vector<store::Row> &Rows) {
                if (Rows.empty()) {
                  confirmNotEnded(Request, Job);
                  return;
                }
                auto Stored = cell::decodeJob(Rows.front().Value);
                answerKnown(Request,
                            Stored && cell::isSameRequest(*Stored, Job));
              });
}

/// The job's own row is read first: a job moves from there to the ended ones.
void IntakeLoop::confirmNotEnded(const RequestPtr &Request,
                                 const cell::JobSpec &Job) {
  readEndedJob(
      Request, Request->Queue->Service,
      [this, Request, Job](const std::optional<cell::EndedJob> &Ended) {
        if (Ended)
          answerKnown(Request, Ended->WorkHash == cell::workHash(Job));
        else
          refuseForBacklog(Request);
      });
}

void IntakeLoop::answerKnown(const RequestPtr &Request, bool IsSameWork) {
  if (IsSameWork)
    answer(Request, http::StatusOk, "{}", "stored-before");
  else
    answerProblem(Request, http::StatusConflict, "id",
                  "an id that no other job uses");
}

void IntakeLoop::refuseForBacklog(const RequestPtr &Request) {
  TimePoint Now = monotonicNow();
  RefusedJob Job{.Id = Request->JobId,
                 .Queue = Request->Queue->Name,
                 .Workspace = Request->Workspace};
  auto Statement = Context.Backlogs.of(Request->Queue->Service);
  RetryAdvice Advice = Admission.onRefused(
      Job, *Statement, Context.StoreHealth.clockMillis(Now), Now);
  Request->RetryAfter = Advice.After;
  logInfo("refused-for-backlog",
          "job={} queue={} workspace={} backlog_ms={} age_ms={} "
          "retry_after_ms={}",
          Job.Id, Job.Queue, Job.Workspace, Advice.Backlog.count(),
          Advice.Age ? Advice.Age->count() : -1, Advice.After.count());
  answer(Request, http::StatusTooManyRequests,
         nlohmann::json{{"error", "backlog"}}.dump(), "backlog");
}

} // namespace daisylanding::node
