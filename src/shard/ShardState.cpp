#include "shard/ShardState.h"

#include "policy/Backoff.h"
#include "table/Wire.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylanding::shard {

namespace {

constexpr Millis FailureBackoffBase{500};
constexpr Millis FailureBackoffLongest{60'000};

bool isActive(const Task &Each) {
  return Each.Phase == TaskPhase::Starting || Each.Phase == TaskPhase::Running;
}

} // namespace

Job::Job(config::JobSpec NewSpec, TimePoint Now)
    : Spec(std::move(NewSpec)), Tasks(Spec.Tasks),
      Estimate(Spec.Size, Spec.RunTime), Accepted(Now), Pending(Spec.Tasks) {
  for (Task &Each : Tasks)
    Each.ReadySince = Now;
}

Job *ShardState::find(std::string_view Id) {
  auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : Found->second.get();
}

Task *ShardState::activeAttempt(const AttemptId &Id) {
  Job *Owner = find(Id.Job);
  if (!Owner || Id.Index >= Owner->Tasks.size())
    return nullptr;
  Task &Each = Owner->Tasks[Id.Index];
  return isActive(Each) && Each.Attempt == Id.Attempt ? &Each : nullptr;
}

void ShardState::apply(const Record &Change, TimePoint Now) {
  if (const auto *Each = std::get_if<JobAccepted>(&Change))
    onAccepted(*Each, Now);
  else if (const auto *Each = std::get_if<TaskStarted>(&Change))
    onStarted(*Each, Now);
  else if (const auto *Each = std::get_if<TaskEnded>(&Change))
    onEnded(*Each, Now);
  else if (const auto *Each = std::get_if<JobStopped>(&Change))
    onStopped(*Each);
  else if (const auto *Each = std::get_if<JobEnded>(&Change))
    Jobs.erase(Each->Job);
  else if (const auto *Each = std::get_if<JobMoved>(&Change))
    Jobs.erase(Each->Job);
}

void ShardState::onAccepted(const JobAccepted &Change, TimePoint Now) {
  auto &Slot = Jobs[Change.Spec.Id];
  if (Slot)
    return;
  Slot = std::make_unique<Job>(Change.Spec, Now);
  for (Task &Each : Slot->Tasks)
    Each.Attempt = Change.AttemptBase;
  for (uint32_t Index : Change.Done) {
    if (Index >= Slot->Tasks.size())
      continue;
    Slot->Tasks[Index].Phase = TaskPhase::Over;
    Slot->Tasks[Index].Succeeded = true;
    --Slot->Pending;
  }
}

uint32_t ShardState::instanceIndex(std::string_view Name) {
  auto Found = IndexByName.find(Name);
  if (Found != IndexByName.end())
    return Found->second;
  // Named by the journal but not by the list: it is gone, or not yet seen.
  uint32_t Index = Pool.add({}, 0);
  Pool.setUsable(Index, false);
  Instances.push_back({.Name = std::string(Name), .Gone = true});
  IndexByName.emplace(Name, Index);
  return Index;
}

void ShardState::onStarted(const TaskStarted &Change, TimePoint Now) {
  Job *Owner = find(Change.Id.Job);
  if (!Owner || Change.Id.Index >= Owner->Tasks.size())
    return;
  Task &Each = Owner->Tasks[Change.Id.Index];
  if (Each.Phase != TaskPhase::Pending)
    return;
  Each.Phase = TaskPhase::Starting;
  Each.Attempt = Change.Id.Attempt;
  Each.Confirmed = false;
  Each.StopAsked = Owner->Stopping;
  Each.StartedAt = Now;
  Each.Instance = instanceIndex(Change.Instance);
  Each.Leased = Change.Leased;
  Each.Recorded = Change.Size;
  Each.Taken = {};
  if (Pool.take(Each.Instance, Change.Size))
    Each.Taken = Change.Size;
  Instances[Each.Instance].Tasks.emplace(Change.Id.Job, Change.Id.Index);
  --Owner->Pending;
  ++Owner->Active;
}

void ShardState::startWritten(const AttemptId &Id, TimePoint Now) {
  Task *Each = activeAttempt(Id);
  if (!Each)
    return;
  Each->Phase = TaskPhase::Running;
  Each->StartedAt = Now;
}

void ShardState::release(Task &Each, const std::string &JobId, uint32_t Index) {
  Pool.give(Each.Instance, Each.Taken);
  Instances[Each.Instance].Tasks.erase({JobId, Index});
  Each.Instance = NoInstance;
  Each.Taken = {};
  Each.Confirmed = false;
}

void ShardState::makePending(Job &Owner, Task &Each, TimePoint Now) {
  Each.Phase = TaskPhase::Pending;
  Each.Succeeded = false;
  Each.ReadySince = std::max(Now, Each.NotBefore);
  ++Owner.Pending;
}

void ShardState::onEnded(const TaskEnded &Change, TimePoint Now) {
  Task *Each = activeAttempt(Change.Id);
  if (!Each)
    return;
  Job &Owner = *find(Change.Id.Job);
  release(*Each, Change.Id.Job, Change.Id.Index);
  --Owner.Active;
  Owner.Estimate.sawUse(Change.Peak);
  if (Change.Reason == EndReason::Succeeded)
    Owner.Estimate.sawRunTime(Change.Ran);
  afterEnd(Owner, *Each, Change.Reason, Now);
}

void ShardState::afterEnd(Job &Owner, Task &Each, EndReason Reason,
                          TimePoint Now) {
  Each.Phase = TaskPhase::Over;
  Each.StopAsked = false;
  if (Reason == EndReason::Failed) {
    ++Each.Failures;
    Each.NotBefore =
        Now + policy::backoffDelay(Each.Failures, FailureBackoffBase,
                                   FailureBackoffLongest, Generator);
    bool Limited = Owner.Spec.Kind != config::JobKind::Service;
    if (Limited && Each.Failures > Owner.Spec.MaxFailures)
      Owner.FailedForGood = true;
  }
  Each.Preemptions += Reason == EndReason::Stopped;
  Each.Succeeded = Reason == EndReason::Succeeded;
  if (Owner.Stopping)
    return;
  if (Owner.FailedForGood) {
    onStopped({Owner.Spec.Id});
    return;
  }
  if (Owner.Spec.Kind == config::JobKind::Gang)
    afterGangEnd(Owner, Now);
  else if (!Each.Succeeded || Owner.Spec.Kind == config::JobKind::Service)
    makePending(Owner, Each, Now);
}

/// A gang that lost one task stops the others, then starts again as a whole.
void ShardState::afterGangEnd(Job &Owner, TimePoint Now) {
  bool Broken =
      std::any_of(Owner.Tasks.begin(), Owner.Tasks.end(), [](const Task &Each) {
        return Each.Phase == TaskPhase::Over && !Each.Succeeded;
      });
  if (!Broken)
    return;
  if (Owner.Active > 0) {
    for (Task &Each : Owner.Tasks)
      Each.StopAsked = isActive(Each);
    return;
  }
  for (Task &Each : Owner.Tasks)
    makePending(Owner, Each, Now);
}

void ShardState::onStopped(const JobStopped &Change) {
  Job *Owner = find(Change.Job);
  if (!Owner)
    return;
  Owner->Stopping = true;
  for (Task &Each : Owner->Tasks) {
    if (Each.Phase == TaskPhase::Pending) {
      Each.Phase = TaskPhase::Over;
      --Owner->Pending;
    }
    Each.StopAsked = isActive(Each);
  }
}

std::vector<Record> ShardState::endings() const {
  std::vector<Record> Out;
  for (const auto &[Id, Each] : Jobs) {
    if (Each->Pending > 0 || Each->Active > 0)
      continue;
    JobOutcome Outcome = JobOutcome::Succeeded;
    if (Each->FailedForGood)
      Outcome = JobOutcome::Failed;
    else if (Each->Stopping)
      Outcome = JobOutcome::Stopped;
    Out.push_back(JobEnded{Id, Outcome});
  }
  return Out;
}

uint32_t ShardState::rackIndex(const std::string &Rack) {
  auto Next = static_cast<uint32_t>(RackIndexes.size());
  return RackIndexes.emplace(Rack, Next).first->second;
}

uint32_t ShardState::addListed(const table::Instance &Each) {
  uint32_t Index = Pool.add(Each.Capacity, rackIndex(Each.Rack));
  Instances.push_back({.Name = Each.Name, .Address = Each.Address});
  auto Known = IndexByName.find(Each.Name);
  bool FromJournal =
      Known != IndexByName.end() && Instances[Known->second].Address.empty();
  if (FromJournal)
    adopt(Known->second, Index);
  IndexByName[Each.Name] = Index;
  return Index;
}

/// The journal named an instance before the list did: what runs there moves
/// from the stand-in entry to the real one.
void ShardState::adopt(uint32_t From, uint32_t To) {
  std::swap(Instances[From].Tasks, Instances[To].Tasks);
  for (const auto &[JobId, TaskIndex] : Instances[To].Tasks) {
    Task &Each = find(JobId)->Tasks[TaskIndex];
    Each.Instance = To;
    if (Pool.take(To, Each.Recorded))
      Each.Taken = Each.Recorded;
  }
}

void ShardState::applyInstances(std::span<const table::Instance> Listed,
                                const std::set<std::string> &Drained) {
  std::set<uint32_t> Present;
  for (const table::Instance &Each : Listed) {
    auto Known = IndexByName.find(Each.Name);
    // Another address under the same name is another machine.
    bool Same = Known != IndexByName.end() &&
                Instances[Known->second].Address == Each.Address &&
                !Instances[Known->second].Gone;
    uint32_t Index = Same ? Known->second : addListed(Each);
    Present.insert(Index);
    Instances[Index].Draining = Each.Leaving || Drained.count(Each.Name) > 0;
  }
  for (uint32_t I = 0; I < Instances.size(); ++I)
    Instances[I].Gone = !Present.count(I);
}

double ShardState::packing() const {
  uint64_t Used[3] = {};
  uint64_t Whole[3] = {};
  for (uint32_t I = 0; I < Instances.size(); ++I) {
    if (Instances[I].Gone || Instances[I].Draining)
      continue;
    const table::Resources &Capacity = Pool.capacity(I);
    const table::Resources &Free = Pool.free(I);
    Whole[0] += Capacity.MilliCores;
    Whole[1] += Capacity.MemoryMb;
    Whole[2] += Capacity.Accelerators;
    Used[0] += Capacity.MilliCores - Free.MilliCores;
    Used[1] += Capacity.MemoryMb - Free.MemoryMb;
    Used[2] += Capacity.Accelerators - Free.Accelerators;
  }
  double Fullest = 0;
  for (int I = 0; I < 3; ++I) {
    if (Whole[I])
      Fullest = std::max(Fullest, static_cast<double>(Used[I]) /
                                      static_cast<double>(Whole[I]));
  }
  return Fullest;
}

std::string ShardState::snapshotText(uint64_t ListVersion) const {
  nlohmann::json List = nlohmann::json::array();
  for (const auto &[Id, Each] : Jobs) {
    nlohmann::json Tasks = nlohmann::json::array();
    for (const Task &One : Each->Tasks) {
      nlohmann::json Row = {One.Phase, One.Attempt, One.Failures,
                            One.Preemptions, One.Succeeded};
      if (isActive(One)) {
        Row.push_back(Instances[One.Instance].Name);
        Row.push_back(table::resourcesToJson(One.Recorded));
        Row.push_back(One.Leased);
      }
      Tasks.push_back(std::move(Row));
    }
    List.push_back({{"spec", config::jobSpecToJson(Each->Spec)},
                    {"stopping", Each->Stopping},
                    {"failed", Each->FailedForGood},
                    {"tasks", std::move(Tasks)}});
  }
  nlohmann::json Out = {{"list_version", ListVersion},
                        {"jobs", std::move(List)}};
  return Out.dump();
}

void ShardState::restoreJob(config::JobSpec Spec, const nlohmann::json &Source,
                            TimePoint Now) {
  auto Slot = std::make_unique<Job>(std::move(Spec), Now);
  Job &Each = *Slot;
  const std::string &Id = Each.Spec.Id;
  Jobs[Id] = std::move(Slot);
  for (uint32_t I = 0; I < Each.Tasks.size(); ++I) {
    const nlohmann::json &Row = Source.at("tasks").at(I);
    auto Phase = static_cast<TaskPhase>(Row.at(0).get<int>());
    Task &One = Each.Tasks[I];
    One.Failures = Row.at(2);
    One.Preemptions = Row.at(3);
    One.Succeeded = Row.at(4);
    if (Phase == TaskPhase::Starting || Phase == TaskPhase::Running)
      onStarted({.Id = {Id, I, Row.at(1)},
                 .Instance = Row.at(5),
                 .Size = table::resourcesFromJson(Row.at(6)),
                 .Leased = Row.at(7)},
                Now);
    One.Attempt = Row.at(1);
    if (Phase == TaskPhase::Over) {
      One.Phase = TaskPhase::Over;
      --Each.Pending;
    }
  }
  if (Source.at("stopping"))
    onStopped({Id});
  else if (Each.Spec.Kind == config::JobKind::Gang)
    afterGangEnd(Each, Now);
  Each.FailedForGood = Source.at("failed");
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
