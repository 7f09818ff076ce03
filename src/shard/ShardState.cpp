#include "shard/ShardState.h"

#include "policy/Backoff.h"
#include "table/Wire.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylanding::shard {

namespace {

constexpr Millis MinFailureBackoff{500};
constexpr Millis MaxFailureBackoff{60'000};

bool isActive(const TaskState &Task) {
  return Task.Phase == TaskPhase::Starting || Task.Phase == TaskPhase::Running;
}

} // namespace

JobState::JobState(config::JobSpec NewSpec, TimePoint Now)
    : Spec(std::move(NewSpec)), Tasks(Spec.Tasks),
      Estimate(Spec.Size, Spec.RunTime), AcceptedAt(Now),
      PendingTasks(Spec.Tasks) {
  for (TaskState &Task : Tasks)
    Task.ReadySince = Now;
}

JobState *ShardState::findJob(std::string_view JobId) {
  auto Found = Jobs.find(JobId);
  return Found == Jobs.end() ? nullptr : Found->second.get();
}

TaskState *ShardState::findActiveAttempt(const AttemptId &Id) {
  JobState *Job = findJob(Id.Job);
  if (!Job || Id.Index >= Job->Tasks.size())
    return nullptr;
  TaskState &Task = Job->Tasks[Id.Index];
  return isActive(Task) && Task.Attempt == Id.Attempt ? &Task : nullptr;
}

void ShardState::apply(const Record &Change, TimePoint Now) {
  if (const auto *Accepted = std::get_if<JobAccepted>(&Change))
    onJobAccepted(*Accepted, Now);
  else if (const auto *Started = std::get_if<TaskStarted>(&Change))
    onTaskStarted(*Started, Now);
  else if (const auto *TaskEnd = std::get_if<TaskEnded>(&Change))
    onTaskEnded(*TaskEnd, Now);
  else if (const auto *Stopped = std::get_if<JobStopped>(&Change))
    onJobStopped(*Stopped);
  else if (const auto *JobEnd = std::get_if<JobEnded>(&Change))
    Jobs.erase(JobEnd->Job);
  else if (const auto *Moved = std::get_if<JobMoved>(&Change))
    Jobs.erase(Moved->Job);
}

void ShardState::onJobAccepted(const JobAccepted &Change, TimePoint Now) {
  auto &Job = Jobs[Change.Spec.Id];
  if (Job)
    return;
  Job = std::make_unique<JobState>(Change.Spec, Now);
  for (TaskState &Task : Job->Tasks)
    Task.Attempt = Change.AttemptBase;
  for (uint32_t TaskIndex : Change.SucceededTasks) {
    if (TaskIndex >= Job->Tasks.size())
      continue;
    Job->Tasks[TaskIndex].Phase = TaskPhase::Ended;
    Job->Tasks[TaskIndex].Succeeded = true;
    --Job->PendingTasks;
  }
}

uint32_t ShardState::findOrAddInstance(std::string_view Name) {
  auto Found = IndexByName.find(Name);
  if (Found != IndexByName.end())
    return Found->second;
  // In the journal but not in the list: removed, or not listed yet.
  uint32_t NewIndex = Pool.add({}, 0);
  Pool.setUsable(NewIndex, false);
  Instances.push_back({.Name = std::string(Name), .Gone = true});
  IndexByName.emplace(Name, NewIndex);
  return NewIndex;
}

void ShardState::onTaskStarted(const TaskStarted &Change, TimePoint Now) {
  JobState *Job = findJob(Change.Id.Job);
  if (!Job || Change.Id.Index >= Job->Tasks.size())
    return;
  TaskState &Task = Job->Tasks[Change.Id.Index];
  if (Task.Phase != TaskPhase::Pending)
    return;
  Task.Phase = TaskPhase::Starting;
  Task.Attempt = Change.Id.Attempt;
  Task.Confirmed = false;
  Task.StopRequested = Job->Stopping;
  Task.StartedAt = Now;
  Task.Instance = findOrAddInstance(Change.Instance);
  Task.Leased = Change.Leased;
  Task.RecordedSize = Change.Size;
  Task.ReservedSize = {};
  if (Pool.reserve(Task.Instance, Change.Size))
    Task.ReservedSize = Change.Size;
  Instances[Task.Instance].Tasks.emplace(Change.Id.Job, Change.Id.Index);
  --Job->PendingTasks;
  ++Job->ActiveTasks;
}

void ShardState::onStartWritten(const AttemptId &Id, TimePoint Now) {
  TaskState *Task = findActiveAttempt(Id);
  if (!Task)
    return;
  Task->Phase = TaskPhase::Running;
  Task->StartedAt = Now;
}

void ShardState::releaseInstance(TaskState &Task, const std::string &JobId,
                                 uint32_t TaskIndex) {
  Pool.release(Task.Instance, Task.ReservedSize);
  Instances[Task.Instance].Tasks.erase({JobId, TaskIndex});
  Task.Instance = NoInstance;
  Task.ReservedSize = {};
  Task.Confirmed = false;
}

void ShardState::makePending(JobState &Job, TaskState &Task, TimePoint Now) {
  Task.Phase = TaskPhase::Pending;
  Task.Succeeded = false;
  Task.ReadySince = std::max(Now, Task.NotBefore);
  ++Job.PendingTasks;
}

void ShardState::onTaskEnded(const TaskEnded &Change, TimePoint Now) {
  TaskState *Task = findActiveAttempt(Change.Id);
  if (!Task)
    return;
  JobState &Job = *findJob(Change.Id.Job);
  releaseInstance(*Task, Change.Id.Job, Change.Id.Index);
  --Job.ActiveTasks;
  Job.Estimate.recordUse(Change.Peak);
  if (Change.Kind == EndKind::Succeeded)
    Job.Estimate.recordRunTime(Change.RunTime);
  handleTaskEnd(Job, *Task, Change.Kind, Now);
}

void ShardState::handleTaskEnd(JobState &Job, TaskState &Task, EndKind Kind,
                               TimePoint Now) {
  Task.Phase = TaskPhase::Ended;
  Task.StopRequested = false;
  if (Kind == EndKind::Failed) {
    ++Task.Failures;
    Task.NotBefore =
        Now + policy::backoffDelay(Task.Failures, MinFailureBackoff,
                                   MaxFailureBackoff, Generator);
    bool FailuresLimited = Job.Spec.Kind != config::JobKind::Service;
    if (FailuresLimited && Task.Failures > Job.Spec.MaxFailures)
      Job.FailedPermanently = true;
  }
  Task.Preemptions += Kind == EndKind::Stopped;
  Task.Succeeded = Kind == EndKind::Succeeded;
  if (Job.Stopping)
    return;
  if (Job.FailedPermanently) {
    onJobStopped({Job.Spec.Id});
    return;
  }
  if (Job.Spec.Kind == config::JobKind::Gang)
    handleGangTaskEnd(Job, Now);
  else if (!Task.Succeeded || Job.Spec.Kind == config::JobKind::Service)
    makePending(Job, Task, Now);
}

/// When one task of a gang ends without success, stops the others; the gang
/// then restarts as a whole.
void ShardState::handleGangTaskEnd(JobState &Job, TimePoint Now) {
  bool Broken = std::any_of(
      Job.Tasks.begin(), Job.Tasks.end(), [](const TaskState &Task) {
        return Task.Phase == TaskPhase::Ended && !Task.Succeeded;
      });
  if (!Broken)
    return;
  if (Job.ActiveTasks > 0) {
    for (TaskState &Task : Job.Tasks)
      Task.StopRequested = isActive(Task);
    return;
  }
  for (TaskState &Task : Job.Tasks)
    makePending(Job, Task, Now);
}

void ShardState::onJobStopped(const JobStopped &Change) {
  JobState *Job = findJob(Change.Job);
  if (!Job)
    return;
  Job->Stopping = true;
  for (TaskState &Task : Job->Tasks) {
    if (Task.Phase == TaskPhase::Pending) {
      Task.Phase = TaskPhase::Ended;
      --Job->PendingTasks;
    }
    Task.StopRequested = isActive(Task);
  }
}

std::vector<Record> ShardState::findJobEnds() const {
  std::vector<Record> JobEnds;
  for (const auto &[JobId, Job] : Jobs) {
    if (Job->PendingTasks > 0 || Job->ActiveTasks > 0)
      continue;
    JobOutcome Outcome = JobOutcome::Succeeded;
    if (Job->FailedPermanently)
      Outcome = JobOutcome::Failed;
    else if (Job->Stopping)
      Outcome = JobOutcome::Stopped;
    JobEnds.push_back(JobEnded{JobId, Outcome});
  }
  return JobEnds;
}

uint32_t ShardState::findOrAddRack(const std::string &Rack) {
  auto NextIndex = static_cast<uint32_t>(RackIndexes.size());
  return RackIndexes.emplace(Rack, NextIndex).first->second;
}

uint32_t ShardState::addListedInstance(const table::Instance &Listed) {
  uint32_t Index = Pool.add(Listed.Capacity, findOrAddRack(Listed.Rack));
  Instances.push_back({.Name = Listed.Name, .Address = Listed.Address});
  auto Known = IndexByName.find(Listed.Name);
  bool FromJournal =
      Known != IndexByName.end() && Instances[Known->second].Address.empty();
  if (FromJournal)
    moveTasks(Known->second, Index);
  IndexByName[Listed.Name] = Index;
  return Index;
}

/// Moves tasks from the placeholder of an instance that the journal named
/// before the list did to the listed instance.
void ShardState::moveTasks(uint32_t FromIndex, uint32_t ToIndex) {
  std::swap(Instances[FromIndex].Tasks, Instances[ToIndex].Tasks);
  for (const auto &[JobId, TaskIndex] : Instances[ToIndex].Tasks) {
    TaskState &Task = findJob(JobId)->Tasks[TaskIndex];
    Task.Instance = ToIndex;
    if (Pool.reserve(ToIndex, Task.RecordedSize))
      Task.ReservedSize = Task.RecordedSize;
  }
}

void ShardState::applyInstances(std::span<const table::Instance> Listed,
                                const std::set<std::string> &Drained) {
  std::set<uint32_t> Present;
  for (const table::Instance &Instance : Listed) {
    auto Known = IndexByName.find(Instance.Name);
    // Another address under the same name is another machine.
    bool SameMachine = Known != IndexByName.end() &&
                       Instances[Known->second].Address == Instance.Address &&
                       !Instances[Known->second].Gone;
    uint32_t Index = SameMachine ? Known->second : addListedInstance(Instance);
    Present.insert(Index);
    Instances[Index].Draining =
        Instance.Leaving || Drained.count(Instance.Name) > 0;
  }
  for (uint32_t I = 0; I < Instances.size(); ++I)
    Instances[I].Gone = !Present.count(I);
}

double ShardState::packing() const {
  uint64_t Used[3] = {};
  uint64_t Total[3] = {};
  for (uint32_t I = 0; I < Instances.size(); ++I) {
    if (Instances[I].Gone || Instances[I].Draining)
      continue;
    const table::Resources &Capacity = Pool.capacity(I);
    const table::Resources &Free = Pool.freeCapacity(I);
    Total[0] += Capacity.MilliCores;
    Total[1] += Capacity.MemoryMb;
    Total[2] += Capacity.Accelerators;
    Used[0] += Capacity.MilliCores - Free.MilliCores;
    Used[1] += Capacity.MemoryMb - Free.MemoryMb;
    Used[2] += Capacity.Accelerators - Free.Accelerators;
  }
  double Fullest = 0;
  for (int I = 0; I < 3; ++I) {
    if (Total[I])
      Fullest = std::max(Fullest, static_cast<double>(Used[I]) /
                                      static_cast<double>(Total[I]));
  }
  return Fullest;
}

std::string ShardState::snapshotText(uint64_t ListVersion) const {
  nlohmann::json JobList = nlohmann::json::array();
  for (const auto &[JobId, Job] : Jobs) {
    nlohmann::json Tasks = nlohmann::json::array();
    for (const TaskState &Task : Job->Tasks) {
      nlohmann::json TaskRow = {Task.Phase, Task.Attempt, Task.Failures,
                                Task.Preemptions, Task.Succeeded};
      if (isActive(Task)) {
        TaskRow.push_back(Instances[Task.Instance].Name);
        TaskRow.push_back(table::resourcesToJson(Task.RecordedSize));
        TaskRow.push_back(Task.Leased);
      }
      Tasks.push_back(std::move(TaskRow));
    }
    JobList.push_back({{"spec", config::jobSpecToJson(Job->Spec)},
                       {"stopping", Job->Stopping},
                       {"failed", Job->FailedPermanently},
                       {"tasks", std::move(Tasks)}});
  }
  nlohmann::json Document = {{"list_version", ListVersion},
                             {"jobs", std::move(JobList)}};
  return Document.dump();
}

void ShardState::restoreJob(config::JobSpec Spec, const nlohmann::json &Source,
                            TimePoint Now) {
  auto NewJob = std::make_unique<JobState>(std::move(Spec), Now);
  JobState &Job = *NewJob;
  const std::string &JobId = Job.Spec.Id;
  Jobs[JobId] = std::move(NewJob);
  for (uint32_t TaskIndex = 0; TaskIndex < Job.Tasks.size(); ++TaskIndex) {
    const nlohmann::json &TaskRow = Source.at("tasks").at(TaskIndex);
    auto Phase = static_cast<TaskPhase>(TaskRow.at(0).get<int>());
    TaskState &Task = Job.Tasks[TaskIndex];
    Task.Failures = TaskRow.at(2);
    Task.Preemptions = TaskRow.at(3);
    Task.Succeeded = TaskRow.at(4);
    if (Phase == TaskPhase::Starting || Phase == TaskPhase::Running)
      onTaskStarted({.Id = {JobId, TaskIndex, TaskRow.at(1)},
                     .Instance = TaskRow.at(5),
                     .Size = table::resourcesFromJson(TaskRow.at(6)),
                     .Leased = TaskRow.at(7)},
                    Now);
    Task.Attempt = TaskRow.at(1);
    if (Phase == TaskPhase::Ended) {
      Task.Phase = TaskPhase::Ended;
      --Job.PendingTasks;
    }
  }
  if (Source.at("stopping"))
    onJobStopped({JobId});
  else if (Job.Spec.Kind == config::JobKind::Gang)
    handleGangTaskEnd(Job, Now);
  Job.FailedPermanently = Source.at("failed");
}

std::error_code ShardState::restore(std::string_view Text,
                                    uint64_t &ListVersion, TimePoint Now) {
  try {
    auto Document = nlohmann::json::parse(Text);
    ListVersion = Document.at("list_version");
    for (const nlohmann::json &Source : Document.at("jobs")) {
      config::InputProblem Problem;
      auto Spec = config::jobSpecFromJson(Source.at("spec"), Problem);
      if (!Spec)
        return Spec.error();
      restoreJob(std::move(*Spec), Source, Now);
    }
  } catch (const nlohmann::json::exception &) {
    return Errc::Malformed;
  }
  return {};
}

} // namespace daisylanding::shard
