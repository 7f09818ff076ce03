#include "node/IntakeLoop.h"

#include "cell/EndedJob.h"
#include "cell/OwnerRow.h"
#include "cell/Progress.h"
#include "common/Log.h"
#include "node/CallerKeys.h"

/// Requests that look up a stored job: queries and cancels.
namespace daisylanding::node {

/// Returns the next service whose rows may hold the job. Answers that there is
/// no such job if all of the configuration were searched.
std::optional<std::string>
IntakeLoop::nextPartition(const RequestPtr &Request) {
  if (Request->Partitions.empty()) {
    denyByConfig(Request, http::StatusGone, "no-such-job");
    return std::nullopt;
  }
  std::string Partition = std::move(Request->Partitions.front());
  Request->Partitions.erase(Request->Partitions.begin());
  return Partition;
}

/// Reads the job's row and the row of its cancel, which sorts behind it; the
/// second or both may be absent. Refuses the request if the read fails.
void IntakeLoop::readJobRows(
    const RequestPtr &Request, const std::string &Partition,
    std::function<void(const std::vector<store::Row> &)> OnRows) {
  store::RangeRead Range{.Table = cell::JobTable,
                         .Partition = Partition,
                         .From = Request->JobId,
                         .To = Request->JobId + '0'};
  Store->read(Range, [this, Request, OnRows = std::move(OnRows)](
                         const Result<store::RowPage> &Page) {
    if (Request->Answered)
      return;
    if (Page)
      OnRows(Page->Rows);
    else
      refuse(Request, "store-unavailable");
  });
}

/// Reads the row of a job that has ended; none if there is no row. Refuses the
/// request if the read fails.
void IntakeLoop::readEndedJob(
    const RequestPtr &Request, const std::string &Partition,
    std::function<void(const std::optional<cell::EndedJob> &)> OnJob) {
  readRow(Request, cell::EndedTable, Partition,
          [this, Request, OnJob = std::move(OnJob)](const std::string *Value) {
            if (!Value) {
              OnJob(std::nullopt);
              return;
            }
            auto Ended = cell::decodeEndedJob(*Value);
            if (Ended) {
              OnJob(*Ended);
              return;
            }
            logError("ended-job-unreadable", "job={}", Request->JobId);
            refuse(Request, "record-unreadable");
          });
}

/// The same for its phase alone.
void IntakeLoop::readEndedPhase(
    const RequestPtr &Request, const std::string &Partition,
    std::function<void(std::optional<cell::JobPhase>)> OnPhase) {
  readEndedJob(Request, Partition,
               [OnPhase = std::move(OnPhase)](
                   const std::optional<cell::EndedJob> &Ended) {
                 OnPhase(Ended ? std::optional(Ended->Phase) : std::nullopt);
               });
}

/// Reads the row under the job's id; null if there is none. Refuses the request
/// if the read fails.
void IntakeLoop::readRow(const RequestPtr &Request, const char *Table,
                         const std::string &Partition,
                         std::function<void(const std::string *)> OnValue) {
  store::RangeRead Range{.Table = Table,
                         .Partition = Partition,
                         .From = Request->JobId,
                         .To = Request->JobId + '!',
                         .Limit = 1};
  Store->read(Range, [this, Request, OnValue = std::move(OnValue)](
                         const Result<store::RowPage> &Page) {
    // Another copy of a cancel may have been answered meanwhile.
    if (Request->Answered)
      return;
    if (!Page) {
      refuse(Request, "store-unavailable");
      return;
    }
    Context.StoreHealth.recordAnswer(monotonicNow(), Page->StoreClockMs);
    OnValue(Page->Rows.empty() ? nullptr : &Page->Rows.front().Value);
  });
}

void IntakeLoop::answerPhase(const RequestPtr &Request, cell::JobPhase Phase) {
  std::string_view PhaseName = cell::phaseName(Phase);
  answer(Request, http::StatusOk,
         Context.Platform.codec().formatState(PhaseName), PhaseName);
}

/// Most callers ask after the end, so that row is read first.
void IntakeLoop::query(const RequestPtr &Request) {
  auto Partition = nextPartition(Request);
  if (!Partition)
    return;
  readEndedPhase(Request, *Partition,
                 [this, Request, Partition](const auto &Phase) {
                   if (Phase)
                     answerPhase(Request, *Phase);
                   else
                     queryProgress(Request, *Partition);
                 });
}

void IntakeLoop::queryProgress(const RequestPtr &Request,
                               const std::string &Partition) {
  readRow(Request, cell::ProgressTable, Partition,
          [this, Request, Partition](const std::string *Value) {
            if (!Value) {
              queryJobRow(Request, Partition);
              return;
            }
            auto Phase = cell::decodePhase(*Value);
            if (Phase) {
              answerPhase(Request, *Phase);
              return;
            }
            logError("progress-unreadable", "job={}", Request->JobId);
            refuse(Request, "record-unreadable");
          });
}

/// A job that its owner has not yet started has no progress row, only its own.
/// Without either it may have ended since the first read.
void IntakeLoop::queryJobRow(const RequestPtr &Request,
                             const std::string &Partition) {
  readJobRows(
      Request, Partition,
      [this, Request, Partition](const std::vector<store::Row> &Rows) {
        if (!Rows.empty()) {
          answerPhase(Request, Rows.size() > 1 ? cell::JobPhase::Cancelled
                                               : cell::JobPhase::Queued);
          return;
        }
        readEndedPhase(Request, Partition, [this, Request](const auto &Phase) {
          if (Phase)
            answerPhase(Request, *Phase);
          else
            query(Request);
        });
      });
}

void IntakeLoop::cancel(const RequestPtr &Request) {
  auto Partition = nextPartition(Request);
  if (!Partition)
    return;
  readJobRows(Request, *Partition,
              [this, Request, Partition](const std::vector<store::Row> &Rows) {
                if (Rows.empty())
                  cancelEnded(Request, *Partition);
                else if (!mayCancel({.Config = *Request->Config,
                                     .Queue = *Request->Queue,
                                     .Workspace = Request->Workspace},
                                    Rows.front().Value))
                  denyByConfig(Request, http::StatusGone, "other-workspace");
                else if (Rows.size() > 1)
                  answer(Request, http::StatusOk, "{}", "cancelled-before");
                else
                  writeCancel(Request, *Partition, Rows.front().Version);
              });
}

/// For a job that has no row of its own (any more).
void IntakeLoop::cancelEnded(const RequestPtr &Request,
                             const std::string &Partition) {
  readEndedPhase(Request, Partition, [this, Request](const auto &Phase) {
    if (Phase)
      answer(Request, http::StatusOk, "{}", "ended-before");
    else
      cancel(Request);
  });
}

/// For a cancel that found the job's row removed after it had been read.
void IntakeLoop::answerCancelOfEnded(const RequestPtr &Request,
                                     const std::string &Partition) {
  readEndedPhase(Request, Partition, [this, Request](const auto &Phase) {
    if (Phase)
      answer(Request, http::StatusOk, "{}", "ended-before");
    else
      answer(Request, http::StatusGone, "{}", "no-such-job");
  });
}

} // namespace daisylanding::node
