#include "cell/CellOwner.h"

#include "common/Log.h"

#include <algorithm>
#include <utility>

/// The terms of the jobs' queues: those in the configuration, or those with
/// which a job was accepted while its queue is not there, or while the
/// configuration is older.
namespace daisylanding::cell {

void CellOwner::setConfig(std::shared_ptr<const CellConfig> NewConfig) {
  Config = std::move(NewConfig);
  Caps.setConfig(*Config);
  QueuesByName.clear();
  for (const Queue &Configured : Config->Queues)
    QueuesByName.emplace(Configured.Name, &Configured);
  WorkspacesByName.clear();
  for (const Workspace &Configured : Config->Workspaces)
    WorkspacesByName.emplace(Configured.Name, &Configured);
  for (auto &[Id, Job] : Jobs)
    learnTerms(Job);
}

const Queue *CellOwner::findQueue(std::string_view Name) const {
  auto Found = QueuesByName.find(Name);
  return Found == QueuesByName.end() ? nullptr : Found->second;
}

/// The terms of the job's queue; null if they are not known. Nothing that
/// depends on them is decided then: no task is started, and none is given up.
const Queue *CellOwner::queueOf(const LiveJob &Job) const {
  const Queue *Configured = findQueue(Job.Spec.Queue);
  bool IsOutdated = Config->Version < Job.Spec.TermsVersion;
  if (Job.Spec.Terms && (!Configured || IsOutdated))
    return &*Job.Spec.Terms;
  return Configured;
}

/// Keeps the terms of the job's queue, which may leave the configuration.
void CellOwner::learnTerms(LiveJob &Job) {
  if (Job.Spec.Terms)
    return;
  const Queue *Configured = findQueue(Job.Spec.Queue);
  if (!Configured) {
    logInfo("queue-unknown", "job={} queue={}", Job.Spec.Id, Job.Spec.Queue);
    return;
  }
  Job.Spec.Terms = termsOf(*Configured);
  Job.Spec.TermsVersion = Config->Version;
  HasNewTerms |= !Job.Occurrences.empty();
  for (auto &[Number, Occurrence] : Job.Occurrences)
    Occurrence.DueAt = dueAt(Job, Occurrence.BeginsAt);
}

/// Sum of estimates along the job's longest chain of dependent steps.
Millis CellOwner::criticalPathOf(const LiveJob &Job) const {
  std::vector<Millis> StepEnds;
  Millis Longest{0};
  for (const StepSpec &Step : Job.Spec.Steps) {
    Millis Begin{0};
    for (uint32_t Dependency : Step.Dependencies)
      Begin = std::max(Begin, StepEnds[Dependency]);
    StepEnds.push_back(Begin + Step.Estimate);
    Longest = std::max(Longest, StepEnds.back());
  }
  return Longest;
}

/// When an occurrence that begins then should be done.
TimePoint CellOwner::dueAt(const LiveJob &Job, TimePoint BeginsAt) const {
  const Queue *JobQueue = queueOf(Job);
  double Stretch = JobQueue ? JobQueue->Stretch : 1;
  Millis TargetLatency = JobQueue ? JobQueue->TargetLatency : Millis(0);
  auto PathMs = static_cast<double>(criticalPathOf(Job).count());
  return BeginsAt + TargetLatency +
         Millis(static_cast<int64_t>(Stretch * PathMs));
}

/// Fails the job if the task, or the gang for which it stands, has failed as
/// often as is allowed.
void CellOwner::failIfOutOfAttempts(const TaskKey &Key, TimePoint Now) {
  if (Key.spec().LongRunning || isFinal(Key.Job->Phase))
    return;
  const Queue *JobQueue = queueOf(*Key.Job);
  uint32_t Failures = Key.task().Failures;
  if (!JobQueue || Failures == 0 || Failures < JobQueue->MaxAttempts)
    return;
  ++Counts.JobsFailed;
  logInfo("job-failed", "job={} task={} failures={} allowed={}",
          Key.Job->Spec.Id, Key.name(), Failures, JobQueue->MaxAttempts);
  setFinalPhase(*Key.Job, JobPhase::Failed);
  stopAllRuns(*Key.Job, Now);
}

/// Fails the jobs whose tasks had failed too often before the limit was known.
void CellOwner::failJobsOutOfAttempts(TimePoint Now) {
  if (!std::exchange(HasNewTerms, false))
    return;
  for (auto &[Id, Job] : Jobs) {
    for (auto &[Number, Occurrence] : Job.Occurrences) {
      for (uint32_t I = 0; I < Occurrence.Steps.size(); ++I) {
        for (uint32_t T = 0; T < Occurrence.Steps[I].Tasks.size(); ++T)
          failIfOutOfAttempts({&Job, {Number, I, T}}, Now);
      }
    }
  }
}

} // namespace daisylanding::cell
