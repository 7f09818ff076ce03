#include "cell/CellOwner.h"

#include "common/Log.h"

#include <algorithm>

/// Who waits and where work goes: least slack first, among jobs that can
/// still be in time, then the others.
namespace daisylanding::cell {

namespace {

/// A ticket must outlast the write of a start and the order itself.
constexpr Millis TicketMargin{150};
/// Allowance for the way of an answer from the policy service.
constexpr Millis TicketTransit{50};
constexpr Millis AdviceRetry{50};
constexpr Millis AdviceSlack{1'000};
/// Of the work left, by which estimates may be too long.
constexpr double EstimateTolerance = 0.25;
/// A job this many times its allowance after its begin earns nothing more.
constexpr double WorthlessSpans = 3;
/// What late jobs still earn is less, so they give way a little.
constexpr double LatePenaltyMs = 1'500;
constexpr double HopelessMs = 1e9;
/// The share of executors that may be kept for steps that wait for room.
constexpr double MaxKeptShare = 0.5;

/// Whether a task takes so much of an executor that small tasks, coming one
/// after the other, would never leave room for it.
bool isWide(const Resources &Size, const Resources &Capacity) {
  constexpr uint32_t Parts = 2; ///< More than one of so many.
  return Size.MilliCores > Capacity.MilliCores / Parts ||
         Size.MemoryMb > Capacity.MemoryMb / Parts ||
         Size.Accelerators > Capacity.Accelerators / Parts;
}

bool hasWaiting(const LiveStep &Step) {
  return std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                     [](const LiveTask &Each) {
                       return Each.Phase == TaskPhase::Waiting ||
                              Each.Phase == TaskPhase::Placed;
                     });
}

bool allWaiting(const LiveStep &Step) {
  return std::all_of(
      Step.Tasks.begin(), Step.Tasks.end(),
      [](const LiveTask &Each) { return Each.Phase == TaskPhase::Waiting; });
}

/// Estimates of the longest chain that begins with \p From.
Millis remainingFrom(const SpeedTracker &Speeds, const JobSpec &Job,
                     uint32_t From) {
  std::vector<Millis> Ends(Job.Steps.size(), Millis(0));
  Millis Longest{0};
  for (uint32_t I = From; I < Job.Steps.size(); ++I) {
    Millis Begin{0};
    bool After = I == From;
    for (uint32_t Before : Job.Steps[I].After) {
      if (Before < From || Ends[Before].count() == 0)
        continue;
      Begin = std::max(Begin, Ends[Before]);
      After = true;
    }
    if (!After)
      continue;
    Millis Took = Speeds.expected(Job.Queue, Job.Steps[I].Estimate);
    Ends[I] = Begin + std::max(Took, Millis(1));
    Longest = std::max(Longest, Ends[I]);
  }
  return Longest;
}

/// Time until the step loses worth by waiting on, in ms. A job that can still
/// be in time loses most of its worth at its due time; one that can't loses
/// the rest at a multiple of its allowance. What can't be helped any more
/// comes last, so that it does not push out what can.
double slackOf(const SpeedTracker &Speeds, const LiveJob &Job,
               const LiveOccurrence &In, uint32_t Step, TimePoint Now) {
  auto Left = static_cast<double>(toMillis(In.Due - Now));
  auto Work =
      static_cast<double>(remainingFrom(Speeds, Job.Spec, Step).count());
  auto Span = static_cast<double>(toMillis(In.Due - In.Begin));
  double Slack = Left - Work;
  bool InTime = Slack >= -EstimateTolerance * Work;
  if (InTime || Job.Spec.Steps[Step].LongRunning)
    return Slack;
  double LastSlack = Slack + (WorthlessSpans - 1) * Span;
  if (LastSlack >= 0)
    return LastSlack + LatePenaltyMs;
  return HopelessMs - LastSlack;
}

} // namespace

std::vector<CellOwner::Waiting> CellOwner::waitingSteps(TimePoint Now) {
  std::vector<Waiting> Out;
  for (auto &[Id, Job] : Jobs) {
    if (isFinal(Job.Phase))
      continue;
    for (const auto &[Number, In] : Job.Occurrences) {
      for (uint32_t S = 0; S < In.Steps.size(); ++S) {
        if (!hasWaiting(In.Steps[S]) || !ready(Job, In, S))
          continue;
        Out.push_back({.Job = &Job,
                       .Occurrence = Number,
                       .Step = S,
                       .SlackMs = slackOf(Speeds, Job, In, S, Now)});
      }
    }
  }
  std::stable_sort(Out.begin(), Out.end(),
                   [](const Waiting &Left, const Waiting &Right) {
                     return Left.SlackMs < Right.SlackMs;
                   });
  return Out;
}

std::vector<ExecutorLoad> CellOwner::loads(TimePoint Now) const {
  std::vector<ExecutorLoad> Out(Pool.size());
  for (ExecutorIndex I = 0; I < OpenOn.size(); ++I) {
    Out[I].Slowness = Speeds.slowness(I, Now);
    for (const TaskKey &Key : OpenOn[I]) {
      const StepSpec &Spec = Key.spec();
      if (Spec.ServingTarget.count() > 0)
        ++Out[I].ServingTasks;
      if (!Spec.Filler)
        continue;
      ++Out[I].Fillers;
      Out[I].FillerMilliCores += Spec.Size.MilliCores;
    }
  }
  return Out;
}

PlacementAsk
CellOwner::askFor(const Waiting &Which, const Queue *From,
                  std::map<ExecutorIndex, uint32_t> &OfStep) const {
  const LiveStep &Step = Which.step();
  for (const LiveTask &Each : Step.Tasks) {
    if (Each.On != NoExecutor)
      ++OfStep[Each.On];
  }
  const StepSpec &Spec = Which.spec();
  return {.Step = &Spec,
          .Permissions = permissionsOf(Step, From),
          .OfStep = &OfStep,
          .Kept = Kept,
          .Expected = Spec.LongRunning ? Millis::max()
                                       : Speeds.expected(Which.Job->Spec.Queue,
                                                         Spec.Estimate)};
}

void CellOwner::plan(TimePoint Now) {
  growWithPool();
  std::fill(Kept.begin(), Kept.end(), Reservation{});
  std::vector<ExecutorLoad> Loads = loads(Now);
  for (const Waiting &Each : waitingSteps(Now)) {
    const Queue *From = Config->queue(Each.Job->Spec.Queue);
    const LiveStep &Step = Each.step();
    if (From && From->Advice && Step.Permissions.empty()) {
      askAdvice(Each, *From, false, Now);
      continue;
    }
    if (Each.spec().Gang)
      planGang(Each, From, Loads, Now);
    else
      planTasks(Each, From, Loads, Now);
    if (recordPlaced(Each, From, Now))
      Loads = loads(Now);
  }
}

void CellOwner::planTasks(const Waiting &Which, const Queue *From,
                          std::vector<ExecutorLoad> Loads, TimePoint Now) {
  std::map<ExecutorIndex, uint32_t> OfStep;
  PlacementAsk Ask = askFor(Which, From, OfStep);
  LiveStep &Step = Which.step();
  size_t Left = 0; ///< Tasks without a place.
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    if (Step.Tasks[I].Phase != TaskPhase::Waiting)
      continue;
    auto Best = Left > 0 ? std::nullopt : choose(Pool, Loads, Ask, Now);
    if (!Best) {
      ++Left;
      continue;
    }
    TaskKey Key = Which.task(I);
    place(Key, *Best);
    ++OfStep[*Best];
    if (Ask.Step->Filler)
      Loads[*Best].FillerMilliCores += Ask.Step->Size.MilliCores;
  }
  if (Left == 0)
    return;
  if (Which.SlackMs < HopelessMs)
    keepRoom(Which, Left, Now);
  // Executors that were not asked about may have room.
  if (From && From->Advice)
    askAdvice(Which, *From, false, Now);
}

void CellOwner::planGang(const Waiting &Which, const Queue *From,
                         std::span<const ExecutorLoad> Loads, TimePoint Now) {
  LiveStep &Step = Which.step();
  if (!allWaiting(Step))
    return;
  std::map<ExecutorIndex, uint32_t> OfStep;
  PlacementAsk Ask = askFor(Which, From, OfStep);
  auto Count = static_cast<uint32_t>(Step.Tasks.size());
  auto Places = chooseGang(Pool, Loads, Ask, Count, Now);
  if (!Places) {
    keepRoom(Which, Count, Now);
    if (From && From->Advice)
      askAdvice(Which, *From, false, Now);
    return;
  }
  for (uint32_t I = 0; I < Count; ++I)
    place(Which.task(I), (*Places)[I]);
}

/// When the executor is expected to have room for a task of the step; none
/// while a task that lasts is in its way.
std::optional<Millis> CellOwner::roomIn(ExecutorIndex Index,
                                        const StepSpec &Spec,
                                        TimePoint Now) const {
  Resources Free = Pool.free(Index);
  std::vector<std::pair<Millis, Resources>> Ends;
  for (const TaskKey &Key : OpenOn[Index]) {
    if (Key.spec().LongRunning)
      continue;
    const LiveTask &Task = Key.task();
    Millis Whole = Speeds.expected(Key.Job->Spec.Queue, Key.spec().Estimate);
    Millis Ran(Task.Confirmed ? toMillis(Now - Task.RunningSince) : 0);
    Ends.emplace_back(std::max(Millis(0), Whole - Ran), chargeOf(Key.spec()));
  }
  std::sort(Ends.begin(), Ends.end(), [](const auto &Left, const auto &Right) {
    return Left.first < Right.first;
  });
  Millis At{0};
  for (const auto &[Left, Size] : Ends) {
    if (chargeOf(Spec).fitsIn(Free))
      break;
    At = Left;
    Free += Size;
  }
  if (!chargeOf(Spec).fitsIn(Free))
    return std::nullopt;
  return At;
}

/// Keeps the executors that will soonest have room for a gang, or for tasks
/// that take much of one, from less urgent work: a stream of small tasks would
/// starve them.
void CellOwner::keepRoom(const Waiting &Which, size_t Wanted, TimePoint Now) {
  const LiveStep &Step = Which.step();
  const StepSpec &Spec = Which.spec();
  const auto *Permissions =
      permissionsOf(Step, Config->queue(Which.Job->Spec.Queue));
  auto Limit =
      static_cast<size_t>(MaxKeptShare * static_cast<double>(Pool.size()));
  auto Taken = static_cast<size_t>(
      std::count_if(Kept.begin(), Kept.end(),
                    [](const Reservation &Each) { return Each.Held; }));
  std::vector<std::pair<Millis, ExecutorIndex>> Soonest;
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    bool Wide = Spec.Gang || isWide(chargeOf(Spec), Pool[I].Info.Capacity);
    if (!allows(Permissions, I) || !Wide || Kept[I].Held ||
        !Pool.usable(I, Now) || !suits(Pool[I], Spec))
      continue;
    if (auto At = roomIn(I, Spec, Now))
      Soonest.emplace_back(*At, I);
  }
  std::sort(Soonest.begin(), Soonest.end());
  for (size_t N = 0; N < Soonest.size() && N < Wanted && Taken < Limit; ++N) {
    Kept[Soonest[N].second] = {.Held = true, .FreeIn = Soonest[N].first};
    ++Taken;
  }
}

/// Turns placed tasks into recorded starts once their tickets hold; asks for
/// new tickets where they don't. A gang goes as a whole. Whether any was
/// recorded.
bool CellOwner::recordPlaced(const Waiting &Which, const Queue *From,
                             TimePoint Now) {
  LiveStep &Step = Which.step();
  const StepSpec &Spec = Which.spec();
  bool NeedsTicket = From && From->Advice;
  auto Valid = [&](const LiveTask &Each) {
    if (!NeedsTicket)
      return true;
    auto Found = Step.Permissions.find(Each.On);
    return Found != Step.Permissions.end() &&
           Found->second.ValidUntil > Now + TicketMargin;
  };
  bool AllValid = true;
  uint32_t HighestRun = 0;
  for (const LiveTask &Each : Step.Tasks) {
    HighestRun = std::max(HighestRun, Each.Run);
    if (Each.Phase == TaskPhase::Placed)
      AllValid = AllValid && Valid(Each);
  }
  if (!AllValid)
    askAdvice(Which, *From, true, Now);
  if (Spec.Gang && !AllValid)
    return false;
  bool Recorded = false;
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    LiveTask &Task = Step.Tasks[I];
    if (Task.Phase != TaskPhase::Placed || !Valid(Task))
      continue;
    // Members of a gang share their run's number.
    Task.Run = Spec.Gang ? HighestRun + 1 : Task.Run + 1;
    record(Which.task(I));
    Recorded = true;
  }
  return Recorded;
}

/// Asks about all executors that were not asked about, or, to \p Renew, about
/// those whose tickets are needed again.
void CellOwner::askAdvice(const Waiting &Which, const Queue &From, bool Renew,
                          TimePoint Now) {
  LiveStep &Step = Which.step();
  const StepSpec &Spec = Which.spec();
  if (Step.AdviceOpen || Now < Step.NextAdvice)
    return;
  std::vector<ExecutorIndex> Asked;
  if (Renew) {
    for (const LiveTask &Each : Step.Tasks) {
      if (Each.Phase == TaskPhase::Placed &&
          std::find(Asked.begin(), Asked.end(), Each.On) == Asked.end())
        Asked.push_back(Each.On);
    }
  } else {
    for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
      const Executor &Each = Pool[I];
      bool Candidate = Each.Listed && !Each.Over && !Each.Info.Draining &&
                       suits(Each, Spec) && !Step.Permissions.count(I);
      if (Candidate && Asked.size() < executor::MaxExecutorsPerAdviceCall)
        Asked.push_back(I);
    }
  }
  if (Asked.empty())
    return;
  Step.AdviceOpen = true;
  auto Slack = Micros(static_cast<int64_t>(Which.SlackMs * 1e3));
  AdviceCommand Command{.Id = ++NextAdviceId, .Due = Now + Slack};
  Command.Call.Step = stepName({.Job = Which.Job->Spec.Id,
                                .Occurrence = Which.Occurrence,
                                .Step = Which.Step});
  for (ExecutorIndex Each : Asked)
    Command.Call.ExecutorIds.push_back(Pool[Each].Info.Id);
  Command.ExpectedMs =
      From.Advice->BaseMs +
      From.Advice->PerExecutorMs * static_cast<double>(Asked.size());
  // Other owners' calls may be ahead on the line, but a lost one must not hold
  // the step up for long.
  Command.Call.Timeout =
      AdviceSlack + Millis(static_cast<int64_t>(2 * Command.ExpectedMs));
  Advices[Command.Id] = {.JobId = Which.Job->Spec.Id,
                         .At = {Which.Occurrence, Which.Step, 0},
                         .Asked = std::move(Asked)};
  Out.Advices.push_back(std::move(Command));
}

void CellOwner::onAdvice(uint64_t Id, const Result<executor::Advice> &Answer,
                         TimePoint Now) {
  auto Found = Advices.find(Id);
  if (Found == Advices.end())
    return;
  AdviceOpen Open = std::move(Found->second);
  Advices.erase(Found);
  LiveJob *Job = find(Open.JobId);
  if (!Job || !Job->Occurrences.count(Open.At.Occurrence))
    return;
  LiveStep &Step = TaskKey{Job, Open.At}.step();
  Step.AdviceOpen = false;
  if (!Answer) {
    Step.NextAdvice = Now + AdviceRetry;
    logInfo("advice-failed", "job={} step={} error={}", Open.JobId,
            Open.At.Step, Answer.error().message());
    return;
  }
  for (ExecutorIndex Each : Open.Asked)
    Step.Permissions.try_emplace(Each);
  for (const executor::Ticket &Each : Answer->Tickets) {
    ExecutorIndex Index = Pool.intern(Each.ExecutorId);
    Step.Permissions[Index] = {.Allowed = true,
                               .Ticket = Each.Text,
                               .ValidUntil =
                                   Now + Answer->Validity - TicketTransit};
  }
}

/// Slows what fills beside tasks that serve users: down at once when their
/// tail nears its target, slowly up when it is far below.
void CellOwner::controlPace(ExecutorIndex Index, TimePoint Now) {
  constexpr double DownAt = 0.8; ///< Tail as a share of its target.
  constexpr double UpAt = 0.55;
  constexpr uint32_t LowestPace = 10;
  constexpr uint32_t UpStep = 15;
  constexpr Millis DownGap{250};
  constexpr Millis UpGap{700};
  double Worst = 0;
  bool Serving = false;
  for (const TaskKey &Key : OpenOn[Index]) {
    const StepSpec &Spec = Key.spec();
    const LiveTask &Task = Key.task();
    if (Spec.ServingTarget.count() <= 0 || Task.Phase != TaskPhase::Running)
      continue;
    Serving = true;
    Worst = std::max(
        Worst, Task.Usage / static_cast<double>(Spec.ServingTarget.count()));
  }
  PaceState &State = Paces[Index];
  if (!Serving) {
    State.Percent = 100;
  } else if (Worst > DownAt && Now >= State.Changed + DownGap) {
    uint32_t Half = State.Percent / 2;
    State.Percent = Half < LowestPace ? 0 : Half;
    State.Changed = Now;
  } else if (Worst < UpAt && State.Percent < 100 &&
             Now >= State.Changed + UpGap) {
    State.Percent = std::min(100U, State.Percent + UpStep);
    State.Changed = Now;
  }
  for (const TaskKey &Key : OpenOn[Index]) {
    LiveTask &Task = Key.task();
    bool Wanted = Key.spec().Filler && Task.Phase == TaskPhase::Running &&
                  Task.Pace != State.Percent;
    if (!Wanted)
      continue;
    Task.Pace = State.Percent;
    Out.Paces.push_back({.On = Index,
                         .Order = {.Target = targetOf(Index),
                                   .Id = {Key.name(), Task.Run},
                                   .Percent = State.Percent,
                                   .FencingToken = Row.Epoch}});
  }
}

void CellOwner::onPace(const executor::RunId &What, ExecutorIndex On,
                       const executor::OrderAnswer &Answer, TimePoint Now) {
  /// Told again with the next list of the executor.
  constexpr uint32_t UnknownPace = 101;
  if (Answer.Outcome == executor::OrderOutcome::Done) {
    Pool.heard(On, Answer.ClockMs, Now);
    return;
  }
  auto Key = find(What);
  if (Key && Key->task().Run == What.Run)
    Key->task().Pace = UnknownPace;
}

} // namespace daisylanding::cell
