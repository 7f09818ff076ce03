#ifndef DAISYLANDING_CELL_LIVEJOB_H
#define DAISYLANDING_CELL_LIVEJOB_H

#include "cell/ExecutorPool.h"
#include "cell/FailedRuns.h"
#include "cell/JobSpec.h"
#include "cell/Progress.h"
#include "common/Time.h"

#include <boost/container/flat_map.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisylanding::cell {

/// The end of a run that was done, heard while a later run of its task, or of a
/// member of its gang, is open that may have begun.
struct EarlierEnd {
  executor::RunId Id;
  ExecutorIndex Executor = NoExecutor;
  uint64_t Number = 0; ///< Among the ends of the executor.
};

/// Differs from any pace, so that the next renewal orders one.
constexpr uint32_t UnknownPace = 101;

/// State of a task in its owner.
struct LiveTask {
  TaskPhase Phase = TaskPhase::Waiting;
  uint32_t Run = 0;
  uint32_t Failures = 0;
  FailedRuns KnownFailures; ///< Those of a gang are with its first member.
  /// The newest run that was over when this owner loaded the task.
  uint32_t LastRunBeforeLoad = 0;
  uint32_t Crashes = 0; ///< Executors that crashed under its runs.
  /// Of these, under runs that this owner knows not to have been confirmed, or
  /// before its load.
  uint32_t UnconfirmedCrashes = 0;
  /// The open run as it was lost with an earlier incarnation of `Executor`,
  /// unless it turns out to go on in this one.
  std::optional<LostRun> LostBefore;
  bool IsSuspect = false; ///< Counted in `Suspects` of `Executor`.
  ExecutorIndex Executor = NoExecutor;
  std::string Checkpoint;

  bool CapacityReserved = false; ///< On `Executor`, in the pool.
  bool OrderPending = false;     ///< A start or stop order is in flight.
  /// A start got no answer and may be carried out late.
  bool StartUnanswered = false;
  bool Confirmed = false; ///< The executor has reported the run.
  /// A renewal answer of this incarnation of `Executor` has listed the run.
  bool ListedRunning = false;
  /// Sent with a lower fencing token than that of `Executor`, by an earlier
  /// owner or to an earlier incarnation.
  bool Inherited = false;
  bool StopConfirmed = false;
  TimePoint ConfirmedAt{};
  TimePoint StopConfirmedAt{};
  TimePoint NextOrderAt{};
  TimePoint RunningSince{};
  uint32_t StartAttempts = 0;
  uint32_t Percent = 0; ///< Of the work, as last reported.
  double Usage = 0;
  uint32_t PacePercent = 100; ///< `UnknownPace` after an order that failed.
  /// A late copy of a pace order may come until then; the pace is then ordered
  /// once more.
  TimePoint PaceRepeatAt = TimePoint::max();
  bool SpeedRecorded = false; ///< The run was counted in the speed tracker.
  Millis RunTime{0};          ///< Of the run that ended as done.
  bool AwaitedPlace = false;  ///< Could have started at a far place before.

  /// End of the last run, as far as this owner has seen it.
  TimePoint LastRunEndedAt{};
  TimePoint PlacedAt{};
  TimePoint TicketedAt{};  ///< Placed and with a valid ticket, if it needs one.
  TimePoint StartSentAt{}; ///< The last try.
};

/// Whether the start of the open run may have been sent. If not, it holds no
/// lease either.
inline bool mayHaveBegun(const LiveTask &Run) {
  if (Run.Phase != TaskPhase::Recording && Run.Phase != TaskPhase::Starting)
    return true;
  return Run.Phase == TaskPhase::Starting &&
         (Run.OrderPending || Run.StartUnanswered || Run.Confirmed ||
          Run.Inherited || Run.StartAttempts > 0);
}

/// Whether the policy allows a step on one executor, and the ticket for it.
struct Permission {
  bool Allowed = false;
  std::string Ticket;
  TimePoint GrantedAt{}; ///< The ticket.
  TimePoint ValidUntil{};
  TimePoint AskedAt{};         ///< The first call that named the executor.
  TimePoint AdvisedAt{};       ///< Its answer.
  bool RenewalPending = false; ///< A call that renews its ticket is open.
};

/// By executor. Placement walks them all for each task, so they are stored in a
/// row.
using StepPermissions = boost::container::flat_map<ExecutorIndex, Permission>;

struct LiveStep {
  std::vector<LiveTask> Tasks;
  StepPermissions Permissions;
  bool AdvicePending = false; ///< A call that names further executors.
  TimePoint AdviceAskedAt{};  ///< When that call was requested.
  uint32_t OpenRenewals = 0;  ///< Calls that renew tickets.
  TimePoint AdvisedAt{};      ///< Last answer that named further executors.
  TimePoint NextAdviceAt{};
  TimePoint NextRenewalAt{};
  /// Executors on which places and tickets are kept for tasks whose leases
  /// expire soon, or whose executors leave.
  std::vector<ExecutorIndex> PreparedExecutors;
  TimePoint PreparedAt{};
  bool WaitsForCap = false; ///< Of the job's workspace; it was logged.
  /// The end of its wait for near places, once one has begun. There is one wait
  /// only: estimates that slip must not prolong it.
  std::optional<TimePoint> PlaceWaitUntil;
  bool IsDemandCounted = false; ///< For the places that it asks for.
};

/// Whether a task of the step has been started before.
inline bool hasRun(const LiveStep &Step) {
  return std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                     [](const LiveTask &Task) { return Task.Run > 0; });
}

inline uint32_t countWaitingTasks(const LiveStep &Step) {
  auto Count = std::count_if(
      Step.Tasks.begin(), Step.Tasks.end(),
      [](const LiveTask &Task) { return Task.Phase == TaskPhase::Waiting; });
  return static_cast<uint32_t>(Count);
}

/// What must be stored of a task when it changes. Its checkpoint is stored with
/// the next change of a task in the same row.
struct TaskMark {
  TaskPhase Phase = TaskPhase::Waiting; ///< Waiting, starting or done.
  uint32_t Run = 0;
  uint32_t Failures = 0;
  uint32_t Crashes = 0;
  ExecutorIndex Executor = NoExecutor;

  bool operator==(const TaskMark &) const = default;
};

struct LiveOccurrence {
  TimePoint BeginsAt{}; ///< Its latency is counted from here.
  TimePoint DueAt{};    ///< When it should be done.
  std::vector<LiveStep> Steps;
  /// Of a job whose progress is split: what its rows tell, of the tasks of all
  /// steps; empty if that isn't known.
  std::vector<TaskMark> StoredMarks;
  /// The job's revision as of which its rows are up to date.
  uint64_t StoredRevision = 0;
};

struct LiveJob {
  JobSpec Spec;
  JobPhase Phase = JobPhase::Queued;
  bool Stored = true;        ///< The job's row is in the store.
  TimePoint OfferDeadline{}; ///< If not stored: its entry waits until then.
  /// If not stored: no other service has it, by this configuration.
  uint64_t SearchedVersion = 0;
  bool Started = false; ///< A task is known to have been started.
  bool Cancelled = false;
  /// Its workspace had sent more jobs than its rate allows.
  bool IsBeyondRate = false;
  TimePoint AcceptedAt{};
  int64_t EndedMs = 0;
  std::map<uint32_t, LiveOccurrence> Occurrences; ///< Begun and not done.
  OccurrenceSet DoneOccurrences;
  uint32_t NextOccurrence = 0;
  uint32_t OpenRuns = 0;
  uint64_t Revision = 0; ///< Incremented by each change that must be stored.
  uint64_t RecordedRevision = 0; ///< The newest revision that is stored.
  bool IsSplit = false;          ///< Its progress is stored in several rows.
  std::set<uint32_t> OccurrencesInRows; ///< Those with rows, if it is split.
  /// The tasks in its first progress row, as stored. They stay there until the
  /// occurrences have rows of their own.
  std::string StoredTasks = encodeTasks({});
  /// The store has rejected a commit with its changes; they wait until then.
  TimePoint SetAsideUntil{};
  /// The revision in which planning found nothing to do, until an occurrence
  /// begins. Tasks become waiting or done with a new revision only.
  std::optional<uint64_t> IdleRevision;
};

/// Whether a task of the job has had a run, which may not have begun.
inline bool hasRun(const LiveJob &Job) {
  auto HasRun = [](const LiveStep &Step) { return hasRun(Step); };
  return std::any_of(Job.Occurrences.begin(), Job.Occurrences.end(),
                     [&](const auto &Entry) {
                       const std::vector<LiveStep> &Steps = Entry.second.Steps;
                       return std::any_of(Steps.begin(), Steps.end(), HasRun);
                     });
}

/// Whether callers are told that the job waits: no task is known to have
/// started. Jobs with a schedule aren't counted.
inline bool isPending(const LiveJob &Job) {
  return Job.Spec.RepeatCount == 0 && !isFinal(Job.Phase) && !Job.Started;
}

/// Identifies one task of one live job.
struct TaskKey {
  LiveJob *Job = nullptr;
  TaskPosition Position;

  LiveStep &step() const {
    return Job->Occurrences.at(Position.Occurrence).Steps[Position.Step];
  }
  LiveTask &task() const { return step().Tasks[Position.Index]; }
  const StepSpec &spec() const { return Job->Spec.Steps[Position.Step]; }
  std::string name() const {
    return taskName({.Job = Job->Spec.Id,
                     .Occurrence = Position.Occurrence,
                     .Step = Position.Step,
                     .Index = Position.Index});
  }
  bool operator==(const TaskKey &) const = default;
};

/// Capacity that a run reserves on its executor. Best-effort tasks reserve no
/// cores.
inline Resources demandOf(const StepSpec &Step) {
  Resources Demand = Step.Size;
  if (Step.BestEffort)
    Demand.MilliCores = 0;
  return Demand;
}

} // namespace daisylanding::cell

#endif
