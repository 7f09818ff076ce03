#include "cell/AdviceCandidates.h"
#include "cell/CellOwner.h"

#include "common/Log.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

/// Advice: which calls to the policy service a step needs, and their answers.
namespace daisylanding::cell {

namespace {

/// A ticket must remain valid at least this long while its start is committed
/// and sent.
constexpr Millis TicketMargin{150};
/// Allowance for the transit of an answer from the policy service.
constexpr Millis TicketTransitTime{50};
constexpr Millis AdviceRetryDelay{50};
/// Between two searches for further executors with free capacity.
constexpr Millis SearchInterval{200};
/// A gang asks about too few free executors only this long after its last
/// advice: with several such calls it may still find all places.
constexpr Millis PartialGangInterval{2'000};
constexpr Millis AdviceTimeoutMargin{1'000};
/// Open calls of one step that renew tickets. A lasting task that has a new
/// place doesn't wait for the answer about others.
constexpr uint32_t MaxOpenRenewals = 1;
constexpr uint32_t MaxOpenRenewalsOfLastingTasks = 3;

uint32_t countTasks(const LiveStep &Step, TaskPhase Phase) {
  return static_cast<uint32_t>(
      std::count_if(Step.Tasks.begin(), Step.Tasks.end(),
                    [&](const LiveTask &Task) { return Task.Phase == Phase; }));
}

} // namespace

bool CellOwner::hasValidTicket(const LiveStep &Step, ExecutorIndex Index,
                               TimePoint Now) {
  auto Found = Step.Permissions.find(Index);
  return Found != Step.Permissions.end() &&
         Found->second.ValidUntil > Now + TicketMargin;
}

/// Whether the ticket will still be valid when a start recorded now arrives.
/// At most half of its validity is kept for that: with more, an owner that
/// comes round late would find each new ticket too old.
bool CellOwner::hasTicketForStart(const LiveStep &Step, ExecutorIndex Index,
                                  TimePoint Now) const {
  auto Found = Step.Permissions.find(Index);
  if (Found == Step.Permissions.end())
    return false;
  const Permission &Granted = Found->second;
  Micros HalfValidity = (Granted.ValidUntil - Granted.GrantedAt) / 2;
  Micros Expected = std::min(Micros(StartDelays.bound()), HalfValidity);
  return Granted.ValidUntil > Now + std::max(Micros(TicketMargin), Expected);
}

/// Requests advice on executors that have not been asked about. A step that the
/// allowed executors can hold asks about others only if these have free
/// capacity: a backlog of steps would fill the advice queues with calls that
/// place nothing.
void CellOwner::requestAdvice(const WaitingStepRef &Waiting,
                              const Queue &JobQueue, TimePoint Now) {
  LiveStep &Step = Waiting.step();
  if (Step.AdvicePending || Now < Step.NextAdviceAt)
    return;
  const StepSpec &Spec = Waiting.spec();
  const std::string &JobId = Waiting.Job->Spec.Id;
  uint32_t Tasks = countTasks(Step, TaskPhase::Waiting) +
                   countTasksToRestart(*Waiting.Job, Step, Spec, Now);
  bool IsFirst = Step.Permissions.empty();
  AllowedPlaces Places =
      countAllowedPlaces(Pool, Loads, Spec, Step.Permissions,
                         countTasksByExecutor(Step, Spec), Now);
  AdviceNeed Need{
      .Step = &Spec,
      .Tasks = Tasks,
      .Known = &Step.Permissions,
      .AllowedShare = AdviceShares.share(JobQueue.Name),
      .OnlyWithFreeCapacity = !IsFirst && Places.Total >= Tasks,
      .OnlyForWholeGang = !IsFirst && Spec.Gang && Places.Total >= Tasks &&
                          Now < Step.AdvisedAt + PartialGangInterval,
      .FreeAllowedPlaces = Places.Free,
      .Reservations = Reservations,
      .OpenCalls = OpenCallsByExecutor,
      .Seed = XXH3_64bits_withSeed(JobId.data(), JobId.size(), Waiting.Step)};
  auto Named = chooseAdviceCandidates(Pool, Loads, Need, Now);
  if (Named.empty()) {
    Step.NextAdviceAt = Now + SearchInterval;
    return;
  }
  Step.AdvicePending = true;
  Step.AdviceAskedAt = Now;
  emitAdviceCall(Waiting, JobQueue,
                 IsFirst ? AdviceReason::First : AdviceReason::Further,
                 std::move(Named), Now);
}

/// Requests new tickets for placed tasks whose tickets have expired; for all
/// members of a gang, which start together.
void CellOwner::renewTickets(const WaitingStepRef &Waiting,
                             const Queue &JobQueue, TimePoint Now) {
  const LiveStep &Step = Waiting.step();
  std::vector<ExecutorIndex> Named;
  for (const LiveTask &Task : Step.Tasks) {
    bool IsNeeded =
        Task.Phase == TaskPhase::Placed &&
        (Waiting.spec().Gang || !hasTicketForStart(Step, Task.Executor, Now));
    bool IsNamed =
        std::find(Named.begin(), Named.end(), Task.Executor) != Named.end();
    if (IsNeeded && !IsNamed &&
        Named.size() < executor::MaxExecutorsPerAdviceCall)
      Named.push_back(Task.Executor);
  }
  emitRenewal(Waiting, JobQueue, std::move(Named), Now);
}

/// Requests new tickets for those of these executors that no open call names.
void CellOwner::emitRenewal(const WaitingStepRef &Waiting,
                            const Queue &JobQueue,
                            std::vector<ExecutorIndex> Named, TimePoint Now) {
  LiveStep &Step = Waiting.step();
  uint32_t MaxOpen = Waiting.spec().LongRunning ? MaxOpenRenewalsOfLastingTasks
                                                : MaxOpenRenewals;
  std::erase_if(Named, [&](ExecutorIndex Index) {
    return Step.Permissions[Index].RenewalPending;
  });
  if (Named.size() > executor::MaxExecutorsPerAdviceCall)
    Named.resize(executor::MaxExecutorsPerAdviceCall);
  if (Named.empty() || Step.OpenRenewals >= MaxOpen || Now < Step.NextRenewalAt)
    return;
  ++Step.OpenRenewals;
  for (ExecutorIndex Index : Named)
    Step.Permissions[Index].RenewalPending = true;
  emitAdviceCall(Waiting, JobQueue, AdviceReason::Renewal, std::move(Named),
                 Now);
}

void CellOwner::emitAdviceCall(const WaitingStepRef &Waiting,
                               const Queue &JobQueue, AdviceReason Reason,
                               std::vector<ExecutorIndex> Named,
                               TimePoint Now) {
  AdviceCallCommand Command{
      .Id = ++NextAdviceId,
      .Reason = Reason,
      .RequestedAt = Now,
      .DueAt = Now + Micros(static_cast<int64_t>(Waiting.SlackMs * 1e3))};
  Command.Call.Step = stepName({.Job = Waiting.Job->Spec.Id,
                                .Occurrence = Waiting.Occurrence,
                                .Step = Waiting.Step});
  for (ExecutorIndex Index : Named)
    Command.Call.ExecutorIds.push_back(Pool[Index].Info.Id);
  Command.ExpectedMs = serviceMs(*JobQueue.Advice, Named.size());
  // Calls of other owners may be ahead in the queue, but a lost call must not
  // hold the step up for long.
  Command.Call.Timeout = AdviceTimeoutMargin +
                         Millis(static_cast<int64_t>(2 * Command.ExpectedMs));
  if (Reason != AdviceReason::Renewal) {
    for (ExecutorIndex Index : Named)
      ++OpenCallsByExecutor[Index];
  }
  OpenAdviceCalls[Command.Id] = {
      .JobId = Waiting.Job->Spec.Id,
      .Position = {Waiting.Occurrence, Waiting.Step, 0},
      .Reason = Reason,
      .RequestedAt = Now,
      .AskedExecutors = std::move(Named)};
  Commands.AdviceCalls.push_back(std::move(Command));
}

/// The call has been answered, or dropped: the step may send another.
void CellOwner::markAnswered(const AdviceRequest &Request, LiveStep &Step) {
  if (Request.Reason != AdviceReason::Renewal) {
    Step.AdvicePending = false;
    return;
  }
  --Step.OpenRenewals;
  for (ExecutorIndex Index : Request.AskedExecutors)
    Step.Permissions[Index].RenewalPending = false;
}

/// Counts the calls that name each executor. One that has waited long for a
/// queue doesn't keep others from asking.
void CellOwner::countOpenCalls(TimePoint Now) {
  constexpr Millis MaxCallAge{300};
  OpenCallsByExecutor.assign(Pool.size(), 0);
  for (const auto &[Id, Request] : OpenAdviceCalls) {
    if (Request.Reason == AdviceReason::Renewal ||
        Now > Request.RequestedAt + MaxCallAge)
      continue;
    for (ExecutorIndex Index : Request.AskedExecutors)
      ++OpenCallsByExecutor[Index];
  }
}

/// The step of a call that has not been answered; null if it is over.
LiveStep *CellOwner::stepOf(const AdviceRequest &Request) {
  LiveJob *Job = findJob(Request.JobId);
  if (!Job || !Job->Occurrences.count(Request.Position.Occurrence))
    return nullptr;
  return &TaskKey{Job, Request.Position}.step();
}

bool CellOwner::isNeeded(const AdviceRequest &Request, const LiveStep &Step,
                         const LiveJob &Job, TimePoint Now) const {
  if (isFinal(Job.Phase))
    return false;
  TaskPhase Phase = Request.Reason == AdviceReason::Renewal
                        ? TaskPhase::Placed
                        : TaskPhase::Waiting;
  return countTasks(Step, Phase) > 0 ||
         countTasksToRestart(Job, Step, Job.Spec.Steps[Request.Position.Step],
                             Now) > 0;
}

std::optional<TimePoint> CellOwner::adviceDueAt(uint64_t Id, TimePoint Now) {
  auto Found = OpenAdviceCalls.find(Id);
  if (Found == OpenAdviceCalls.end())
    return std::nullopt;
  const AdviceRequest &Request = Found->second;
  LiveStep *Step = stepOf(Request);
  if (!Step || !isNeeded(Request, *Step, *findJob(Request.JobId), Now)) {
    if (Step)
      markAnswered(Request, *Step);
    OpenAdviceCalls.erase(Found);
    return std::nullopt;
  }
  const LiveJob &Job = *findJob(Request.JobId);
  double SlackMs = rankMs(Job, Job.Occurrences.at(Request.Position.Occurrence),
                          Request.Position.Step, Now);
  return Now + Micros(static_cast<int64_t>(SlackMs * 1e3));
}

void CellOwner::onAdvice(uint64_t Id, const Result<executor::Advice> &Answer,
                         TimePoint Now) {
  auto Found = OpenAdviceCalls.find(Id);
  if (Found == OpenAdviceCalls.end())
    return;
  AdviceRequest Request = std::move(Found->second);
  OpenAdviceCalls.erase(Found);
  LiveStep *Step = stepOf(Request);
  if (!Step)
    return;
  bool IsRenewal = Request.Reason == AdviceReason::Renewal;
  markAnswered(Request, *Step);
  if (!Answer) {
    (IsRenewal ? Step->NextRenewalAt : Step->NextAdviceAt) =
        Now + AdviceRetryDelay;
    logInfo("advice-failed", "job={} step={} error={}", Request.JobId,
            Request.Position.Step, Answer.error().message());
    return;
  }
  const LiveJob &Job = *findJob(Request.JobId);
  const std::string &QueueName = Job.Spec.Queue;
  const Queue *JobQueue = queueOf(Job);
  if (JobQueue && JobQueue->Advice)
    CallDelays.record(
        QueueName, serviceMs(*JobQueue->Advice, Request.AskedExecutors.size()),
        Now - Request.RequestedAt);
  if (!IsRenewal) {
    AdviceShares.record(QueueName, Request.AskedExecutors.size(),
                        Answer->Tickets.size());
    Step->AdvisedAt = Now;
  }
  for (ExecutorIndex Index : Request.AskedExecutors)
    Step->Permissions.try_emplace(
        Index, Permission{.AskedAt = Request.RequestedAt, .AdvisedAt = Now});
  for (const executor::Ticket &Ticket : Answer->Tickets) {
    // If the executor has restarted since, the ticket is of the incarnation
    // that the call was about.
    auto Asked =
        std::find_if(Request.AskedExecutors.begin(),
                     Request.AskedExecutors.end(), [&](ExecutorIndex Index) {
                       return Pool[Index].Info.Id == Ticket.ExecutorId;
                     });
    if (Asked == Request.AskedExecutors.end())
      continue;
    Permission &Granted = Step->Permissions[*Asked];
    Granted.Allowed = true;
    Granted.Ticket = Ticket.Text;
    Granted.GrantedAt = Now;
    Granted.ValidUntil = Now + Answer->Validity - TicketTransitTime;
  }
}

} // namespace daisylanding::cell
