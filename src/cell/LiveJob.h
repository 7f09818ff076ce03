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
  ExecutorIndex On = NoExecutor;
  std::string Checkpoint;

  bool Charged = false;    ///< Its room is taken on `On`.
  bool OrderOut = false;   ///< A start or stop is under way.
  bool Unanswered = false; ///< A start got no answer: it may come late.
  bool Confirmed = false;  ///< The executor has the run, or had it.
  bool Inherited = false;  ///< Recorded by an earlier owner.
  bool StopConfirmed = false;
  TimePoint ConfirmedAt{};
  TimePoint StopConfirmedAt{};
  TimePoint NextTry{};
  TimePoint RunningSince{};
  uint32_t Tries = 0;
  uint32_t Percent = 0; ///< Of the work, as last reported.
  double Usage = 0;
  uint32_t Pace = 100;
  bool SpeedSeen = false; ///< Its slowness was taken note of.
  Millis Took{0};         ///< Run time of a run that ended as done.
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
  bool AdviceOpen = false;
  TimePoint NextAdvice{};
  uint32_t GangFailedRun = 0; ///< The newest run counted as failed.
};

struct LiveOccurrence {
  TimePoint Begin{}; ///< From when its time is counted.
  TimePoint Due{};   ///< When it should be done.
  std::vector<LiveStep> Steps;
};

struct LiveJob {
  JobSpec Spec;
  JobPhase Phase = JobPhase::Queued;
  bool Stored = true;       ///< Its own row is in the store.
  TimePoint OfferedUntil{}; ///< If not stored: until when its entry waits.
  bool Begun = false;       ///< A task is known to have been started.
  bool Cancelled = false;
  TimePoint AcceptedAt{};
  int64_t EndedMs = 0;
  std::map<uint32_t, LiveOccurrence> Occurrences; ///< Begun and not done.
  std::set<uint32_t> DoneOccurrences;
  uint32_t NextOccurrence = 0;
  uint32_t OpenRuns = 0;
  uint64_t Changed = 0;  ///< Grows with each change that must be stored.
  uint64_t Recorded = 0; ///< The newest change that is stored.
};

/// Names one task of one live job.
struct TaskKey {
  LiveJob *Job = nullptr;
  TaskIndex At;

  LiveStep &step() const {
    return Job->Occurrences.at(At.Occurrence).Steps[At.Step];
  }
  LiveTask &task() const { return step().Tasks[At.Index]; }
  const StepSpec &spec() const { return Job->Spec.Steps[At.Step]; }
  std::string name() const {
    return taskName({.Job = Job->Spec.Id,
                     .Occurrence = At.Occurrence,
                     .Step = At.Step,
                     .Index = At.Index});
  }
  bool operator==(const TaskKey &) const = default;
};

/// What a run takes from an executor: a filler's cores are not counted.
inline Resources chargeOf(const StepSpec &Step) {
  Resources Out = Step.Size;
  if (Step.Filler)
    Out.MilliCores = 0;
  return Out;
}

} // namespace daisylanding::cell

#endif
