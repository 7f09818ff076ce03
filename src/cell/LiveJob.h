#ifndef DAISYLANDING_CELL_LIVEJOB_H
#define DAISYLANDING_CELL_LIVEJOB_H

#include "cell/ExecutorPool.h"
#include "cell/JobSpec.h"
#include "cell/Progress.h"
#include "common/Time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisylanding::cell {

/// A task as its owner sees it.
struct LiveTask {
  TaskPhase Phase = TaskPhase::Waiting;
  uint32_t Run = 0;
  uint32_t Failures = 0;
  ExecutorIndex Executor = NoExecutor;
  std::string Checkpoint;

  bool CapacityReserved = false; ///< Its room is taken on `On`.
  bool OrderPending = false;     ///< A start or stop is under way.
  bool StartUnanswered = false;  ///< A start got no answer: it may come late.
  bool Confirmed = false;        ///< The executor has the run, or had it.
  bool Inherited = false;        ///< Recorded by an earlier owner.
  bool StopConfirmed = false;
  TimePoint ConfirmedAt{};
  TimePoint StopConfirmedAt{};
  TimePoint NextOrderAt{};
  TimePoint RunningSince{};
  uint32_t StartAttempts = 0;
  uint32_t Percent = 0; ///< Of the work, as last reported.
  double Usage = 0;
  uint32_t PacePercent = 100;
  bool SpeedRecorded = false; ///< Its slowness was taken note of.
  Millis RunTime{0};          ///< Run time of a run that ended as done.
};

/// What is known of the policy's word on a step for one executor.
struct Permission {
  bool Allowed = false;
  std::string Ticket;
  TimePoint ValidUntil{};
};

struct LiveStep {
  std::vector<LiveTask> Tasks;
  std::map<ExecutorIndex, Permission> Permissions;
  bool AdvicePending = false;
  TimePoint NextAdviceAt{};
  uint32_t LastFailedGangRun = 0; ///< The newest run counted as failed.
};

struct LiveOccurrence {
  TimePoint Begin{}; ///< From when its time is counted.
  TimePoint Due{};   ///< When it should be done.
  std::vector<LiveStep> Steps;
};

struct LiveJob {
  JobSpec Spec;
  JobPhase Phase = JobPhase::Queued;
  bool Stored = true;        ///< Its own row is in the store.
  TimePoint OfferDeadline{}; ///< If not stored: until when its entry waits.
  bool Started = false;      ///< A task is known to have been started.
  bool Cancelled = false;
  TimePoint AcceptedAt{};
  int64_t EndedMs = 0;
  std::map<uint32_t, LiveOccurrence> Occurrences; ///< Begun and not done.
  std::set<uint32_t> DoneOccurrences;
  uint32_t NextOccurrence = 0;
  uint32_t OpenRuns = 0;
  uint64_t Revision = 0; ///< Grows with each change that must be stored.
  uint64_t RecordedRevision = 0; ///< The newest change that is stored.
};

/// Names one task of one live job.
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

/// What a run takes from an executor: a filler's cores are not counted.
inline Resources demandOf(const StepSpec &Step) {
  Resources Demand = Step.Size;
  if (Step.BestEffort)
    Demand.MilliCores = 0;
  return Demand;
}

} // namespace daisylanding::cell

#endif
