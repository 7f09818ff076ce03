#include "unit/CellSim.h"

#include <algorithm>
#include <utility>

/// The executors of the simulation: what they do with orders and renewals, and
/// the checks of what is started there.
namespace daisylanding::cellsim {

using executor::EndKind;
using executor::OrderOutcome;

int64_t SimExecutor::clockMs(TimePoint Now) const {
  auto ElapsedMs = static_cast<double>(toMillis(Now - SimulationStart));
  return toMillis(SimulationStart.time_since_epoch()) + ClockOffset.count() +
         static_cast<int64_t>(ElapsedMs * ClockRate);
}

void SimExecutor::grantLease(int64_t EndMs, TimePoint Now) {
  constexpr int64_t MaxLeaseMs = 10'000;
  LeaseEndMs = std::max(LeaseEndMs, std::min(EndMs, clockMs(Now) + MaxLeaseMs));
}

executor::OrderAnswer Simulation::handleStart(SimExecutor &Executor,
                                              const executor::StartOrder &Order,
                                              int64_t SentTo) {
  executor::OrderAnswer Answer{.ClockMs = Executor.clockMs(Now)};
  auto Running = Executor.Running.find(Order.Id.Task);
  if (Order.FencingToken < Executor.FencingToken) {
    Answer.Outcome = OrderOutcome::Fenced;
    return Answer;
  }
  Executor.FencingToken = Order.FencingToken;
  if (Order.LeaseEndMs <= Executor.clockMs(Now)) {
    Answer.Outcome = OrderOutcome::LeaseTooLate;
    return Answer;
  }
  Executor.grantLease(Order.LeaseEndMs, Now);
  if (Running != Executor.Running.end() &&
      Running->second.Run == Order.Id.Run) {
    Answer.Outcome = OrderOutcome::Done;
    return Answer;
  }
  auto EndedRun = Executor.HighestEndedRun.find(Order.Id.Task);
  if (EndedRun != Executor.HighestEndedRun.end() &&
      Order.Id.Run <= EndedRun->second) {
    Answer.Outcome = OrderOutcome::RunTooLow;
    return Answer;
  }
  if (!isTicketValid(Order)) {
    Answer.Outcome = OrderOutcome::TicketInvalid;
    return Answer;
  }
  if (KeepsHistory) {
    checkStart(Executor, Order);
    if (ChecksPlacesInNextLife || SentTo == Executor.BornMs)
      checkPlace(Executor, Order.Id.Task);
    noteStart(Order.Id.Task);
    Started.push_back(Order);
  }
  auto Ref = *cell::parseTaskName(Order.Id.Task);
  const cell::StepSpec &Step = Specs.at(std::string(Ref.Job)).Steps[Ref.Step];
  int64_t RunTimeMs = RunTimeFor(Order.Id.Task, Step.Estimate.count());
  if (!Step.Affinity.empty() && Step.Affinity != Executor.Info.Rack)
    RunTimeMs =
        static_cast<int64_t>(SpreadFactor * static_cast<double>(RunTimeMs));
  Executor.Running[Order.Id.Task] = {.Run = Order.Id.Run,
                                     .EndsAt = Now + Millis(RunTimeMs),
                                     .Size = Step.Size};
  if (auto CrashTimeMs =
          CrashTimeFor ? CrashTimeFor(Order.Id.Task) : std::nullopt)
    schedule(*CrashTimeMs, [this, Id = Executor.Info.Id, Order] {
      const auto &Runs = executor(Id).Running;
      auto Run = Runs.find(Order.Id.Task);
      if (Run != Runs.end() && Run->second.Run == Order.Id.Run)
        crashExecutor(Id, CrashedForMs);
    });
  Answer.Outcome = OrderOutcome::Done;
  return Answer;
}

/// Whether a member of the task's gang was reported or acknowledged as done.
bool Simulation::isGangDone(const std::string &Task) const {
  std::string Prefix = Task.substr(0, Task.rfind('.') + 1);
  auto IsMember = [&](const std::string &Other) {
    return Other.starts_with(Prefix);
  };
  for (const auto &Entry : Executors) {
    for (const executor::RunEnd &End : Entry.second->Ended) {
      if (End.Kind == EndKind::Done && IsMember(End.Id.Task))
        return true;
    }
  }
  if (std::any_of(DoneBeforeRestart.begin(), DoneBeforeRestart.end(), IsMember))
    return true;
  return std::any_of(DoneTasks.begin(), DoneTasks.end(),
                     [&](const auto &Entry) { return IsMember(Entry.first); });
}

/// Checks the invariants that hold at each start.
void Simulation::checkStart(const SimExecutor &Executor,
                            const executor::StartOrder &Order) {
  const std::string &Task = Order.Id.Task;
  for (const auto &Entry : Executors) {
    if (!Entry.second->Dead && Entry.second->Running.count(Task))
      Violations.push_back("two runs at once: " + Task);
  }
  auto Parsed = *cell::parseTaskName(Task);
  bool IsLongRunning =
      Specs.at(std::string(Parsed.Job)).Steps[Parsed.Step].LongRunning;
  if (ConfirmedTasks.count(Task) && !IsLongRunning)
    Violations.push_back("started after it was done: " + Task);
  auto Ref = *cell::parseTaskName(Task);
  const cell::JobSpec &Job = Specs.at(std::string(Ref.Job));
  Resources Demand = Job.Steps[Ref.Step].Size;
  for (const auto &Entry : Executor.Running)
    Demand += Entry.second.Size;
  if (!Demand.fitsIn(Executor.Info.Capacity))
    Violations.push_back("capacity exceeded: " + Executor.Info.Id + " by " +
                         Task + " run " + std::to_string(Order.Id.Run) +
                         " beside " + std::to_string(Executor.Running.size()));
  auto StoredTask = storedTask(Job, {Ref.Occurrence, Ref.Step, Ref.Index});
  if (!StoredTask || StoredTask->Run < Order.Id.Run)
    Violations.push_back("started before its record was stored: " + Task);
  for (uint32_t Dependency : Job.Steps[Ref.Step].Dependencies) {
    for (uint32_t I = 0; I < Job.Steps[Dependency].Count; ++I) {
      std::string DependencyTask = cell::taskName({.Job = Job.Id,
                                                   .Occurrence = Ref.Occurrence,
                                                   .Step = Dependency,
                                                   .Index = I});
      bool IsListedDone =
          DoneBeforeRestart.count(DependencyTask) ||
          std::any_of(
              Executors.begin(), Executors.end(), [&](const auto &Entry) {
                return std::any_of(Entry.second->Ended.begin(),
                                   Entry.second->Ended.end(),
                                   [&](const executor::RunEnd &End) {
                                     return End.Id.Task == DependencyTask &&
                                            End.Kind == EndKind::Done;
                                   });
              });
      bool IsInDoneGang =
          Job.Steps[Dependency].Gang && isGangDone(DependencyTask);
      if (!IsListedDone && !DoneTasks.count(DependencyTask) && !IsInDoneGang)
        Violations.push_back("started before its dependencies were done: " +
                             Task);
    }
  }
}

/// Checks the service of the executor, its labels, and how many tasks of the
/// step run there. What is being stopped still counts.
void Simulation::checkPlace(const SimExecutor &Executor,
                            const std::string &Task) {
  cell::TaskRef Ref = *cell::parseTaskName(Task);
  const cell::StepSpec &Step = Specs.at(std::string(Ref.Job)).Steps[Ref.Step];
  const executor::ExecutorInfo &Info = Executor.Info;
  if (Info.Service != ServiceName)
    Violations.push_back("started in another service: " + Task + " on " +
                         Info.Id);
  bool HasLabel = Step.Constraint.empty() ||
                  std::find(Info.Labels.begin(), Info.Labels.end(),
                            Step.Constraint) != Info.Labels.end();
  if (!HasLabel)
    Violations.push_back("started without its label: " + Task + " on " +
                         Info.Id);
  std::string Prefix = cell::stepName(Ref) + ".";
  auto Beside = std::count_if(
      Executor.Running.begin(), Executor.Running.end(),
      [&](const auto &Entry) { return Entry.first.starts_with(Prefix); });
  if (Step.AntiAffinity > 0 &&
      static_cast<uint64_t>(Beside) >= Step.AntiAffinity)
    Violations.push_back("started beyond anti-affinity: " + Task + " on " +
                         Info.Id);
}

/// The name under which failed runs of the task count as attempts: that of its
/// gang, if it is a member. None for a task that lasts.
std::optional<std::string>
Simulation::limitedUnitOf(const std::string &Task) const {
  cell::TaskRef Ref = *cell::parseTaskName(Task);
  const cell::StepSpec &Step = Specs.at(std::string(Ref.Job)).Steps[Ref.Step];
  if (Step.LongRunning)
    return std::nullopt;
  return Step.Gang ? cell::stepName(Ref) : Task;
}

void Simulation::noteAcknowledgedFailure(const executor::RunId &Id) {
  auto Unit = limitedUnitOf(Id.Task);
  if (!Unit)
    return;
  Attempts.onAcknowledged(*Unit, Id.Run);
  checkAttempts(*Unit);
}

void Simulation::noteStart(const std::string &Task) {
  auto Unit = limitedUnitOf(Task);
  if (!Unit)
    return;
  Attempts.onStarted(*Unit, Now);
  checkAttempts(*Unit);
}

/// Nothing is started after the last attempt that is allowed has failed, if its
/// end is acknowledged then or later.
void Simulation::checkAttempts(const std::string &Unit) {
  if (Attempts.isExceeded(Unit))
    Violations.push_back("started after its last attempt: " + Unit);
}

executor::OrderAnswer Simulation::handlePace(SimExecutor &Executor,
                                             const executor::PaceOrder &Order) {
  executor::OrderAnswer Answer{.ClockMs = Executor.clockMs(Now)};
  if (Order.FencingToken < Executor.FencingToken) {
    Answer.Outcome = OrderOutcome::Fenced;
    return Answer;
  }
  Executor.FencingToken = Order.FencingToken;
  Answer.Outcome = OrderOutcome::Done;
  auto Found = Executor.Running.find(Order.Id.Task);
  if (Found != Executor.Running.end() && Found->second.Run == Order.Id.Run)
    Found->second.PacePercent = Order.Percent;
  return Answer;
}

executor::OrderAnswer Simulation::handleStop(SimExecutor &Executor,
                                             const executor::StopOrder &Order) {
  executor::OrderAnswer Answer{.ClockMs = Executor.clockMs(Now)};
  if (Order.FencingToken < Executor.FencingToken) {
    Answer.Outcome = OrderOutcome::Fenced;
    return Answer;
  }
  Executor.FencingToken = Order.FencingToken;
  Answer.Outcome = OrderOutcome::Done;
  auto Found = Executor.Running.find(Order.Id.Task);
  bool IsRunning =
      Found != Executor.Running.end() && Found->second.Run == Order.Id.Run;
  if (IsRunning && StopTimeMs > 0)
    schedule(StopTimeMs, [this, Id = Executor.Info.Id, Run = Order.Id] {
      endStoppedRun(executor(Id), Run);
    });
  else if (IsRunning)
    endRun(Executor, Order.Id.Task, EndKind::Stopped);
  uint32_t &HighestEndedRun = Executor.HighestEndedRun[Order.Id.Task];
  HighestEndedRun = std::max(HighestEndedRun, Order.Id.Run);
  return Answer;
}

void Simulation::endStoppedRun(SimExecutor &Executor,
                               const executor::RunId &Id) {
  auto Found = Executor.Running.find(Id.Task);
  bool IsRunning =
      Found != Executor.Running.end() && Found->second.Run == Id.Run;
  if (!Executor.Dead && IsRunning)
    endRun(Executor, Id.Task, EndKind::Stopped);
}

executor::RenewalAnswer
Simulation::handleRenewal(SimExecutor &Executor,
                          const executor::RenewalCall &Call) {
  executor::RenewalAnswer Answer;
  Answer.ClockMs = Executor.clockMs(Now);
  Answer.Born = Executor.StatesBorn ? Executor.BornMs : 0;
  if (Call.FencingToken < Executor.FencingToken) {
    Answer.Outcome = OrderOutcome::Fenced;
    return Answer;
  }
  Executor.FencingToken = Call.FencingToken;
  Answer.Outcome = OrderOutcome::Done;
  if (Call.LeaseEndMs)
    Executor.grantLease(*Call.LeaseEndMs, Now);
  for (const executor::RunEnd &End : Executor.Ended) {
    if (End.Sequence > Call.AcknowledgedEnd)
      continue;
    if (End.Kind == EndKind::Failed && End.Sequence > Executor.LastVoidEnd)
      noteAcknowledgedFailure(End.Id);
    if (End.Kind != EndKind::Done)
      continue;
    DoneTasks[End.Id.Task] = End.Id.Run;
    if (End.Sequence > Executor.LastVoidEnd)
      ConfirmedTasks.insert(End.Id.Task);
  }
  std::erase_if(Executor.Ended, [&](const executor::RunEnd &End) {
    return End.Sequence <= Call.AcknowledgedEnd;
  });
  for (const auto &[Task, Run] : Executor.Running)
    Answer.Running.push_back(
        {.Id = {Task, Run.Run},
         .Checkpoint = RunningCheckpointFor ? RunningCheckpointFor(Task) : "",
         .Usage = UsageFor ? UsageFor(Task) : 0});
  Answer.Ended = Executor.Ended;
  return Answer;
}

void Simulation::endRun(SimExecutor &Executor, const std::string &Task,
                        EndKind Kind) {
  uint32_t Run = Executor.Running.at(Task).Run;
  Executor.Running.erase(Task);
  uint32_t &HighestEndedRun = Executor.HighestEndedRun[Task];
  HighestEndedRun = std::max(HighestEndedRun, Run);
  Executor.Ended.push_back({.Sequence = ++Executor.EndCount,
                            .Id = {Task, Run},
                            .Kind = Kind,
                            .Checkpoint = EndCheckpointFor
                                              ? EndCheckpointFor(Task)
                                              : std::string()});
  auto Unit = limitedUnitOf(Task);
  if (Unit && Kind == EndKind::Failed)
    Attempts.onFailed(*Unit, Run, Now);
  auto Ref = *cell::parseTaskName(Task);
  if (!Specs.at(std::string(Ref.Job)).Steps[Ref.Step].Gang)
    return;
  // The members of a gang end together.
  EndKind OtherKind =
      Kind == EndKind::Done ? EndKind::Done : EndKind::GangMemberEnded;
  std::string Prefix = cell::stepName(Ref) + ".";
  for (auto &Entry : Executors) {
    std::vector<std::string> Members;
    for (const auto &Other : Entry.second->Running) {
      if (Other.first.starts_with(Prefix))
        Members.push_back(Other.first);
    }
    for (const std::string &Other : Members) {
      if (Entry.second->Running.count(Other))
        endRun(*Entry.second, Other, OtherKind);
    }
  }
}

/// Whether all members of the task's gang run; a gang makes progress only then.
bool Simulation::isGangComplete(const std::string &Task) const {
  auto Ref = *cell::parseTaskName(Task);
  const cell::StepSpec &Step = Specs.at(std::string(Ref.Job)).Steps[Ref.Step];
  for (uint32_t I = 0; Step.Gang && I < Step.Count; ++I) {
    cell::TaskRef Member = Ref;
    Member.Index = I;
    if (!isOpen(cell::taskName(Member)))
      return false;
  }
  return true;
}

void Simulation::advanceExecutors() {
  for (auto &Entry : Executors) {
    SimExecutor &Executor = *Entry.second;
    if (Executor.Dead)
      continue;
    std::vector<std::pair<std::string, EndKind>> EndedRuns;
    bool LeaseExpired = Executor.clockMs(Now) > Executor.LeaseEndMs;
    if (LeaseExpired)
      Executor.LastVoidEnd = Executor.EndCount;
    for (const auto &[Task, Run] : Executor.Running) {
      if (LeaseExpired)
        EndedRuns.emplace_back(Task, EndKind::Expired);
      else if (Now >= Run.EndsAt && isGangComplete(Task))
        EndedRuns.emplace_back(Task, EndKindFor(Task));
    }
    for (const auto &[Task, Kind] : EndedRuns) {
      if (Executor.Running.count(Task))
        endRun(Executor, Task, Kind);
    }
  }
}

} // namespace daisylanding::cellsim
