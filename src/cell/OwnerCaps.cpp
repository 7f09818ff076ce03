#include "cell/CellOwner.h"

#include "common/Log.h"

#include <algorithm>
#include <limits>

/// Caps of workspaces over all services, as far as one owner keeps them: what
/// may start, what is wanted, and the row that moves rights.
namespace daisylanding::cell {

namespace {

uint32_t multiply(uint32_t Amount, uint32_t Count) {
  uint64_t Product = static_cast<uint64_t>(Amount) * Count;
  return static_cast<uint32_t>(
      std::min<uint64_t>(Product, std::numeric_limits<uint32_t>::max()));
}

/// What has to start at once: a task, or a gang as a whole.
Resources unitSize(const StepSpec &Spec) {
  uint32_t Count = Spec.Gang ? Spec.Count : 1;
  return {.MilliCores = multiply(Spec.Size.MilliCores, Count),
          .MemoryMb = multiply(Spec.Size.MemoryMb, Count),
          .Accelerators = multiply(Spec.Size.Accelerators, Count)};
}

/// Units of the step that wait.
uint32_t waitingUnits(const LiveStep &Step, const StepSpec &Spec) {
  uint32_t Tasks = countWaitingTasks(Step);
  if (!Spec.Gang)
    return Tasks;
  return Tasks == Step.Tasks.size() ? 1 : 0;
}

} // namespace

/// How many of the step's waiting tasks its workspace's cap lets start now.
uint32_t CellOwner::startableTasks(const WaitingStepRef &Waiting) const {
  const StepSpec &Spec = Waiting.spec();
  const JobSpec &Job = Waiting.Job->Spec;
  uint32_t Tasks = countWaitingTasks(Waiting.step());
  if (Job.Workspace.empty() || Tasks == 0)
    return Tasks;
  // The workspace may be new, and its cap not known here yet.
  bool IsUnknown = Job.TermsVersion > Config->Version &&
                   !Config->findWorkspace(Job.Workspace);
  if (IsUnknown)
    return 0;
  bool RunsAgain = Spec.LongRunning && hasRun(Waiting.step());
  uint32_t Units = Caps.placesFor(
      Job.Workspace, unitSize(Spec), waitingUnits(Waiting.step(), Spec),
      RunsAgain ? CapUse::WholeRight : CapUse::NotOwed);
  return Spec.Gang ? Units * Tasks : Units;
}

/// Whether tasks of the step wait, and its workspace's cap lets none start.
bool CellOwner::isHeldByCap(const WaitingStepRef &Waiting) const {
  return waitingUnits(Waiting.step(), Waiting.spec()) > 0 &&
         startableTasks(Waiting) == 0;
}

/// Logs each step that begins to wait for its workspace's cap.
void CellOwner::noteCapWait(const WaitingStepRef &Waiting) const {
  LiveStep &Step = Waiting.step();
  bool WaitedBefore = std::exchange(Step.WaitsForCap, isHeldByCap(Waiting));
  if (!Step.WaitsForCap || WaitedBefore)
    return;
  const std::string &Workspace = Waiting.Job->Spec.Workspace;
  Resources Used = Caps.used(Workspace);
  Resources Allowed = Caps.allowance(Workspace);
  Resources Cap = Caps.capOf(Workspace);
  Resources Wanted = unitSize(Waiting.spec());
  logInfo("cap-wait",
          "job={} step={} workspace={} service={} used={}/{}/{} "
          "right={}/{}/{} cap={}/{}/{} wanted={}/{}/{} tasks={}",
          Waiting.Job->Spec.Id, Waiting.Step, Workspace, Options.Service,
          Used.MilliCores, Used.MemoryMb, Used.Accelerators, Allowed.MilliCores,
          Allowed.MemoryMb, Allowed.Accelerators, Cap.MilliCores, Cap.MemoryMb,
          Cap.Accelerators, Wanted.MilliCores, Wanted.MemoryMb,
          Wanted.Accelerators, countWaitingTasks(Step));
}

/// At the end of a planning turn: states what is wanted, and grants what others
/// may have.
void CellOwner::shareCaps(std::span<const WaitingStepRef> Steps,
                          TimePoint Now) {
  Caps.beginTurn();
  for (const WaitingStepRef &Waiting : Steps) {
    if (Waiting.Job->Spec.Workspace.empty())
      continue;
    Caps.noteWanted(Waiting.Job->Spec.Workspace, unitSize(Waiting.spec()),
                    waitingUnits(Waiting.step(), Waiting.spec()));
    noteCapWait(Waiting);
  }
  for (const CapGrant &Grant : Caps.endTurn(Now))
    logInfo("cap-granted",
            "workspace={} from={} to={} parts={}/{}/{} right_left={}/{}/{} "
            "whole={}",
            Grant.Workspace, Options.Service, Grant.Service, Grant.Parts[0],
            Grant.Parts[1], Grant.Parts[2], Grant.RightLeft[0],
            Grant.RightLeft[1], Grant.RightLeft[2], WholeCap);
}

/// Adds the row of caps to the commit if it has changed.
void CellOwner::addCapRow(CommitInFlight &Commit) {
  if (Loading || !Caps.isRowDue())
    return;
  Commit.CapRevision = Caps.revision();
  Commit.Transaction.Writes.push_back(
      {.Table = CapTable, .Key = CapKey, .Value = encodeCapRow(Caps.row())});
  if (Caps.leftOutCount() > 0)
    logWarn("cap-row-full", "service={} workspaces_left_out={}",
            Options.Service, Caps.leftOutCount());
}

} // namespace daisylanding::cell
