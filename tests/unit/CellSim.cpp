#include "unit/CellSim.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace daisylanding::cellsim {

using executor::EndKind;
using executor::OrderOutcome;

namespace {

constexpr int64_t StepMs = 5;
constexpr int64_t TransitMs = 2;
constexpr int64_t CommitTimeoutMs = 400;
constexpr int64_t OrderTimeoutMs = 500;
constexpr int64_t MaxLateMs = 3'000;
/// Of the job feed.
constexpr int64_t FeedDelayMs = 1'000;
/// Until the entry of an executor that has ended leaves the instance list.
constexpr int64_t ListDelayMs = 3'500;

std::shared_ptr<const cell::CellConfig> makeConfig() {
  auto Config = std::make_shared<cell::CellConfig>();
  Config->Version = 1;
  Config->Services = {"s"};
  Config->Queues.push_back({.Name = "q",
                            .Host = "h",
                            .PathPrefix = "/q/",
                            .Service = "s",
                            .MaxAttempts = 2,
                            .Stretch = 2,
                            .TargetLatency = Millis(500)});
  return Config;
}

/// Adds the real time until the end of the scope.
class CostTimer {
public:
  explicit CostTimer(std::chrono::nanoseconds &Total)
      : Total(Total), BeganAt(std::chrono::steady_clock::now()) {}
  ~CostTimer() { Total += std::chrono::steady_clock::now() - BeganAt; }
  CostTimer(const CostTimer &) = delete;
  CostTimer &operator=(const CostTimer &) = delete;

private:
  std::chrono::nanoseconds &Total;
  std::chrono::steady_clock::time_point BeganAt;
};

} // namespace

int64_t SimExecutor::clockMs(TimePoint Now) const {
  auto ElapsedMs = static_cast<double>(toMillis(Now - SimulationStart));
  return toMillis(SimulationStart.time_since_epoch()) + ClockOffset.count() +
         static_cast<int64_t>(ElapsedMs * ClockRate);
}

void SimExecutor::grantLease(int64_t EndMs, TimePoint Now) {
  constexpr int64_t MaxLeaseMs = 10'000;
  LeaseEndMs = std::max(LeaseEndMs, std::min(EndMs, clockMs(Now) + MaxLeaseMs));
}

Simulation::Simulation(uint64_t Seed)
    : Rng(Seed), Config(makeConfig()),
      Attempts(Config->Queues.front().MaxAttempts) {
  EndKindFor = [](const std::string &) { return EndKind::Done; };
  RunTimeFor = [](const std::string &, int64_t Estimate) { return Estimate; };
}

std::string Simulation::addExecutor(Resources Capacity, std::string Rack) {
  return addIncarnation({.Service = "s",
                         .Address = fmt::format("addr-{}", Executors.size()),
                         .AvailabilityZone = "z" + Rack,
                         .Rack = Rack,
                         .Labels = {"a", Rack},
                         .Capacity = Capacity});
}

std::string Simulation::addIncarnation(executor::ExecutorInfo Info) {
  std::string Id = fmt::format("i-{}", Executors.size());
  Info.Id = Id;
  auto Added = std::make_unique<SimExecutor>();
  Added->Info = std::move(Info);
  Added->BornMs = clockMs();
  Added->Info.Born = Added->BornMs;
  Executors.emplace(Id, std::move(Added));
  if (isLoaded())
    Owner->setExecutors(instanceList(), Now);
  return Id;
}

void Simulation::requireAdvice(const SimPolicy &NewPolicy) {
  Policy = NewPolicy;
  auto NewConfig = std::make_shared<cell::CellConfig>(*Config);
  NewConfig->Queues.front().Advice = NewPolicy.Settings;
  Config = std::move(NewConfig);
}

std::vector<executor::ExecutorInfo> Simulation::instanceList() const {
  std::vector<executor::ExecutorInfo> List;
  for (const auto &Entry : Executors) {
    if (Entry.second->Listed)
      List.push_back(Entry.second->OutdatedEntry.value_or(Entry.second->Info));
  }
  return List;
}

void Simulation::killOwner() { EndedOwners.push_back(std::move(Owner)); }

void Simulation::pauseOwner() {
  EndedOwners.push_back(std::move(OldOwner));
  OldOwner = std::move(Owner);
  OldOwnerPaused = true;
}

void Simulation::resumeOwner() {
  OldOwnerPaused = false;
  for (const OwnerAction &Action : std::exchange(PausedActions, {}))
    Action(*OldOwner);
  if (Owner)
    return;
  Owner = std::move(OldOwner);
  if (!isLoaded())
    return;
  // The feeds deliver what changed meanwhile.
  Owner->setExecutors(instanceList(), Now);
  for (const auto &Entry : Specs) {
    if (Rows.count({cell::JobTable, Entry.first}))
      Owner->accept(Entry.second, Now, Now);
  }
}

void Simulation::loseExecutor(const std::string &Id) {
  executor(Id).Dead = true;
  schedule(ListDelayMs, [this, Id] { setListed(Id, false); });
}

void Simulation::crashExecutor(const std::string &Id, int64_t BackAfterMs) {
  if (executor(Id).Dead)
    return;
  ++Crashes;
  executor(Id).Running.clear();
  loseExecutor(Id);
  schedule(BackAfterMs, [this, Id] {
    executor(Id).Replaced = true;
    addIncarnation(executor(Id).Info);
  });
}

void Simulation::leaveExecutor(const std::string &Id, int64_t AfterMs) {
  setDraining(Id, true);
  schedule(AfterMs, [this, Id] { loseExecutor(Id); });
}

void Simulation::setDraining(const std::string &Id, bool IsDraining) {
  executor(Id).Info.Draining = IsDraining;
  if (isLoaded())
    Owner->setExecutors(instanceList(), Now);
}

/// All that an incarnation holds begins empty, its clock near 0.
void Simulation::beginIncarnation(SimExecutor &Executor) const {
  constexpr int64_t StartTimeMs = 5;
  int64_t OldReading = Executor.clockMs(Now);
  Executor.ClockOffset -= Millis(OldReading - StartTimeMs);
  Executor.FencingToken = 0;
  Executor.LeaseEndMs = 0;
  Executor.Running.clear();
  Executor.HighestEndedRun.clear();
  Executor.Ended.clear();
  Executor.EndCount = 0;
  Executor.LastVoidEnd = 0;
  Executor.BornMs = clockMs();
  if (Executor.StatesBorn)
    Executor.Info.Born = Executor.BornMs;
}

void Simulation::restartExecutor(const std::string &Id, int64_t BackAfterMs,
                                 int64_t ListedAfterMs) {
  SimExecutor &Executor = executor(Id);
  if (Executor.Dead)
    return;
  ++Crashes;
  for (const executor::RunEnd &End : Executor.Ended) {
    if (End.Kind == EndKind::Done)
      DoneBeforeRestart.insert(End.Id.Task);
  }
  Executor.Dead = true;
  Executor.Running.clear();
  schedule(BackAfterMs, [this, Id, ListedAfterMs] {
    SimExecutor &Restarted = executor(Id);
    Restarted.Dead = false;
    if (!Restarted.OutdatedEntry)
      Restarted.OutdatedEntry = Restarted.Info;
    beginIncarnation(Restarted);
    int64_t Born = Restarted.BornMs;
    schedule(ListedAfterMs, [this, Id, Born] {
      if (executor(Id).BornMs != Born)
        return;
      executor(Id).OutdatedEntry.reset();
      if (isLoaded())
        Owner->setExecutors(instanceList(), Now);
    });
  });
}

void Simulation::setListed(const std::string &Id, bool IsListed) {
  executor(Id).Listed = IsListed && !executor(Id).Dead;
  if (isLoaded())
    Owner->setExecutors(instanceList(), Now);
}

void Simulation::takeOver(const std::string &Holder) {
  if (Owner)
    killOwner();
  cell::OwnerRow Row{.Holder = Holder.empty() ? "e" + std::to_string(Epoch + 1)
                                              : Holder,
                     .Epoch = ++Epoch};
  auto OldRow = Rows.find({cell::OwnerTable, cell::OwnerKey});
  if (OldRow != Rows.end()) {
    auto Old = cell::decodeOwnerRow(OldRow->second.Value);
    Row.LeasesEndMs = Old->LeasesEndMs;
    Row.SilentLeaseEnds = Old->SilentLeaseEnds;
  }
  Rows[{cell::OwnerTable, cell::OwnerKey}] = {cell::encodeOwnerRow(Row),
                                              ++Version};
  cell::OwnerOptions Options{.Service = "s",
                             .AcquiredRow = Row,
                             .RowVersion = Version,
                             .Leases = Leases,
                             .ClockAtCreation = storeClock(),
                             .CreatedAt = Now,
                             .Loading = true};
  if (Policy) {
    std::vector<cell::AdviceQueueInfo> Queues;
    for (size_t I = 0; I < Policy->Entries; ++I)
      Queues.push_back({.Entry = "e" + std::to_string(I),
                        .Address = "relay-" + std::to_string(I)});
    AdviceQueues.setQueues(Queues);
  }
  Owner = std::make_unique<cell::CellOwner>(std::move(Options), Config);
  Owner->setMovesEndedJobs(MovesEndedJobs);
  LoadingOwners.insert(Owner.get());
  if (LoadTimeMs == 0) {
    loadStoredJobs(*Owner);
    return;
  }
  const cell::CellOwner *Target = Owner.get();
  schedule(LoadTimeMs, [this, Target] {
    notify(Target,
           [this](cell::CellOwner &Receiver) { loadStoredJobs(Receiver); });
  });
}

void Simulation::loadStoredJobs(cell::CellOwner &Target) {
  for (const auto &[Id, Job] : Specs) {
    if (storedValue(cell::JobTable, Id).empty())
      continue;
    std::string Text = storedValue(cell::ProgressTable, Id);
    std::optional<cell::JobProgress> Progress;
    if (!Text.empty())
      Progress = *cell::decodeProgress(Text);
    bool Cancelled = !storedValue(cell::JobTable, cell::cancelKey(Id)).empty();
    Target.restore(Job, Progress, Cancelled, Now, Now);
  }
  LoadingOwners.erase(&Target);
  Target.finishLoading();
  Target.setExecutors(instanceList(), Now);
}

uint64_t Simulation::ownerRowVersion() const {
  auto Found = Rows.find({cell::OwnerTable, cell::OwnerKey});
  return Found == Rows.end() ? 0 : Found->second.Version;
}

cell::OwnerRow Simulation::ownerRow() const {
  return *cell::decodeOwnerRow(storedValue(cell::OwnerTable, cell::OwnerKey));
}

void Simulation::schedule(int64_t Ms, std::function<void()> Action) {
  PendingEvents.push_back({Now + Millis(Ms), NextEvent++, std::move(Action)});
}

void Simulation::runFor(int64_t Ms) {
  TimePoint End = Now + Millis(Ms);
  while (Now < End)
    step();
}

bool Simulation::runUntil(const std::function<bool()> &IsDone,
                          int64_t LimitMs) {
  TimePoint End = Now + Millis(LimitMs);
  while (Now < End && !IsDone())
    step();
  return IsDone();
}

void Simulation::step() {
  Now += Millis(StepMs);
  advanceExecutors();
  std::vector<Event> DueEvents;
  for (Event &Pending : PendingEvents) {
    if (Pending.At <= Now)
      DueEvents.push_back(std::move(Pending));
  }
  std::erase_if(PendingEvents,
                [&](const Event &Pending) { return Pending.At <= Now; });
  std::sort(DueEvents.begin(), DueEvents.end(),
            [](const Event &Left, const Event &Right) {
              return std::pair(Left.At, Left.Sequence) <
                     std::pair(Right.At, Right.Sequence);
            });
  for (Event &Pending : DueEvents)
    Pending.Action();
  if (!isOwnerTurn())
    return;
  runWaitingActions();
  if (Owner)
    advanceOwner(*Owner);
  if (OldOwner && !OldOwnerPaused)
    advanceOwner(*OldOwner);
}

bool Simulation::isOwnerTurn() const {
  return OwnerTurnMs == 0 || clockMs() % OwnerTurnMs < StepMs;
}

void Simulation::runWaitingActions() {
  for (const auto &[Target, Action] : std::exchange(WaitingActions, {}))
    deliver(Target, Action);
}

void Simulation::advanceOwner(cell::CellOwner &Target) {
  if (Target.deposed())
    return;
  if (!FeedsSilent) {
    Target.confirmInstanceList(Now);
    Target.confirmJobFeed(Now);
  }
  cell::OwnerCommands Commands;
  {
    CostTimer Timer(Cost.Turns);
    Commands = Target.advance(Now, clockMs());
  }
  executeCommands(Commands, Target);
  sendCommit(Target);
}

void Simulation::notify(const cell::CellOwner *Target,
                        const OwnerAction &Action) {
  if (OwnerTurnMs > 0)
    WaitingActions.emplace_back(Target, Action);
  else
    deliver(Target, Action);
}

void Simulation::deliver(const cell::CellOwner *Target,
                         const OwnerAction &Action) {
  if (Owner.get() == Target)
    Action(*Owner);
  else if (OldOwner.get() == Target && OldOwnerPaused)
    PausedActions.push_back(Action);
  else if (OldOwner.get() == Target)
    Action(*OldOwner);
}

store::TransactionResult Simulation::apply(const store::Transaction &Tx) {
  store::TransactionResult Result;
  Result.StoreClockMs = clockMs();
  bool ConditionsHold = true;
  for (const store::Precondition &Condition : Tx.Preconditions) {
    auto Found = Rows.find({Condition.Table, Condition.Key});
    uint64_t CurrentVersion = Found == Rows.end() ? 0 : Found->second.Version;
    ConditionsHold = ConditionsHold && CurrentVersion == Condition.Version;
    if (Found != Rows.end())
      Result.CurrentRows.push_back({.Table = Condition.Table,
                                    .Key = Condition.Key,
                                    .Value = Found->second.Value,
                                    .Version = CurrentVersion});
  }
  Result.Outcome = ConditionsHold ? store::TransactionOutcome::Committed
                                  : store::TransactionOutcome::Conflict;
  if (!ConditionsHold)
    return Result;
  Result.Version = ++Version;
  for (const store::RowWrite &Write : Tx.Writes)
    Rows[{Write.Table, Write.Key}] = {Write.Value, Version};
  for (const store::RowRemoval &Removal : Tx.Removals)
    Rows.erase({Removal.Table, Removal.Key});
  if (KeepsHistory)
    AppliedCommits.push_back(Tx);
  return Result;
}

void Simulation::sendCommit(cell::CellOwner &Sender) {
  std::optional<store::Transaction> Tx;
  {
    CostTimer Timer(Cost.Commits);
    Tx = Sender.nextCommit(Now, storeClock());
  }
  if (!Tx)
    return;
  ++CommitsSent;
  for (const store::RowWrite &Write : Tx->Writes)
    Cost.CommitBytes += Write.Value.size();
  uint64_t Sequence = Sender.commitSequence();
  const cell::CellOwner *Target = &Sender;
  auto Answer = [this, Target,
                 Sequence](const store::TransactionResult &Result) {
    notify(Target, [this, Sequence, Result](cell::CellOwner &Receiver) {
      CostTimer Timer(Cost.Commits);
      Receiver.onCommit(Sequence, Result, Now);
    });
  };
  auto AnswerTimeout = [this, Answer] {
    schedule(CommitTimeoutMs, [Answer] {
      Answer({.Outcome = store::TransactionOutcome::Unknown});
    });
  };
  if (StoreDown) {
    schedule(TransitMs, [Answer] {
      Answer({.Outcome = store::TransactionOutcome::NotApplied});
    });
    return;
  }
  if (StoreSilent || cutsOf(Sender).Store) {
    AnswerTimeout();
    return;
  }
  if (Rng.uniform() < Faults.CommitLate) {
    auto Delay = static_cast<int64_t>(Rng.below(MaxLateMs));
    schedule(Delay, [this, Tx = *Tx] { apply(Tx); });
    AnswerTimeout();
    return;
  }
  bool AnswerLost = Rng.uniform() < Faults.CommitAnswerLost;
  schedule(CommitTimeMs, [this, Tx = *Tx, Answer, AnswerLost, AnswerTimeout] {
    store::TransactionResult Result = apply(Tx);
    if (AnswerLost)
      AnswerTimeout();
    else
      Answer(Result);
  });
}

executor::Advice Simulation::adviceFor(const executor::AdviceCall &Call) const {
  executor::Advice Advice{.Validity = Policy->Settings.Validity};
  constexpr size_t Buckets = 1'000;
  for (const std::string &Id : Call.ExecutorIds) {
    size_t Bucket = std::hash<std::string>()(Call.Step + "@" + Id) % Buckets;
    if (static_cast<double>(Bucket) < Policy->AllowedShare * Buckets)
      Advice.Tickets.push_back(
          {.ExecutorId = Id, .Text = std::to_string(clockMs())});
  }
  return Advice;
}

/// Tickets carry the time of their issue.
bool Simulation::isTicketValid(const executor::StartOrder &Order) const {
  if (!Policy)
    return true;
  return !Order.Ticket.empty() &&
         std::stoll(Order.Ticket) >= Executors.at(Order.Target.Id)->BornMs &&
         clockMs() <
             std::stoll(Order.Ticket) + Policy->Settings.Validity.count();
}

void Simulation::sendAdviceCalls() {
  cell::CellOwner *Target = Owner.get();
  constexpr int64_t RefreshIntervalMs = 100;
  CostTimer Timer(Cost.Advice);
  if (clockMs() % RefreshIntervalMs == 0)
    AdviceQueues.refreshCalls(
        [&](uint64_t Id) { return Owner->adviceDueAt(Id, Now); });
  AdviceQueues.addCopies(Now);
  while (auto Assignment = AdviceQueues.assignNext(Now)) {
    TimePoint &QueueEnd = AdviceQueueEnds[Assignment->Address];
    double ServiceMs =
        Policy->Settings.BaseMs +
        Policy->Settings.PerExecutorMs *
            static_cast<double>(Assignment->Command.Call.ExecutorIds.size());
    QueueEnd = std::max(QueueEnd, Now + Millis(TransitMs)) +
               Micros(static_cast<int64_t>(ServiceMs * 1e3));
    int64_t AnswerMs = toMillis(QueueEnd - Now) + TransitMs;
    schedule(AnswerMs - TransitMs, [this, Target, AnswerAfterMs = TransitMs,
                                    Assignment = *Assignment] {
      executor::Advice Advice = adviceFor(Assignment.Command.Call);
      schedule(AnswerAfterMs, [this, Target, Assignment, Advice] {
        bool IsOutcome = AdviceQueues.onCallEnded(
            Assignment.Address, Assignment.Command.Id, false, Now);
        CostTimer AnswerTimer(Cost.Advice);
        if (IsOutcome && Owner.get() == Target)
          Owner->onAdvice(Assignment.Command.Id, Advice, Now);
      });
    });
  }
}

bool Simulation::isReachable(const SimExecutor &Executor,
                             const cell::CellOwner *Sender) const {
  auto Found = Cuts.find(Sender);
  bool IsCut =
      Found != Cuts.end() && Found->second.Executors.count(Executor.Info.Id);
  return !Executor.Unreachable && !Executor.Dead && !IsCut;
}

void Simulation::executeCommands(const cell::OwnerCommands &Commands,
                                 cell::CellOwner &Sender) {
  for (const cell::AdviceCallCommand &Command : Commands.AdviceCalls)
    AdviceQueues.add(Command);
  const cell::CellOwner *Target = &Sender;
  if (Policy && Target == Owner.get())
    sendAdviceCalls();
  for (const cell::StartCommand &Command : Commands.Starts)
    sendStart(Command.Order, Command.Executor, Target);
  for (const cell::StopCommand &Command : Commands.Stops) {
    schedule(TransitMs, [this, Target, Command] {
      SimExecutor &Executor = executor(Command.Order.Target.Id);
      executor::OrderAnswer Answer;
      if (isReachable(Executor, Target))
        Answer = handleStop(Executor, Command.Order);
      if (Executor.Replaced)
        Answer.Outcome = OrderOutcome::Replaced;
      if (Executor.AnswersLost)
        Answer = {};
      notify(Target, [this, Command, Answer](cell::CellOwner &Receiver) {
        Receiver.onStop(Command.Order.Id, Command.Executor, Answer, Now);
      });
    });
  }
  for (const cell::RenewalCommand &Command : Commands.Renewals)
    sendRenewal(Command, Target);
}

void Simulation::sendRenewal(const cell::RenewalCommand &Command,
                             const cell::CellOwner *Sender) {
  if (KeepsHistory)
    Renewals.push_back(Command.Call);
  auto Answer =
      [this, Sender, Index = Command.Executor,
       Id = Command.Call.Target.Id](const executor::RenewalAnswer &Result) {
        notify(Sender, [this, Index, Id, Result](cell::CellOwner &Receiver) {
          CostTimer Timer(Cost.Answers);
          Receiver.onRenewal(Index, Result, Now);
          if (KeepsHistory)
            recordHeardEnds(Receiver, executor(Id), Result);
        });
      };
  if (Faults.RenewalLate > 0 && Rng.uniform() < Faults.RenewalLate) {
    schedule(static_cast<int64_t>(Rng.below(MaxLateMs)),
             [this, Sender, Call = Command.Call] {
               SimExecutor &Executor = executor(Call.Target.Id);
               if (isReachable(Executor, Sender))
                 handleRenewal(Executor, Call);
             });
    schedule(OrderTimeoutMs, [Answer] { Answer({}); });
    return;
  }
  schedule(TransitMs, [this, Sender, Answer, Call = Command.Call] {
    SimExecutor &Executor = executor(Call.Target.Id);
    executor::RenewalAnswer Result;
    if (isReachable(Executor, Sender))
      Result = handleRenewal(Executor, Call);
    if (Executor.Replaced)
      Result.Outcome = OrderOutcome::Replaced;
    if (Executor.AnswersLost)
      Result = {};
    int64_t Wait = Result.Ended.empty() ? 50 : 1;
    schedule(Wait, [Answer, Result] { Answer(Result); });
  });
}

/// The owner has heard of these ends: it must not send a start of a task that
/// is done, or of a member of its gang, nor of one without an attempt left.
void Simulation::recordHeardEnds(const cell::CellOwner &Receiver,
                                 const SimExecutor &Executor,
                                 const executor::RenewalAnswer &Answer) {
  // An answer of an earlier incarnation tells nothing.
  if (Answer.Born != 0 && Answer.Born != Executor.BornMs)
    return;
  for (const executor::RunEnd &End : Answer.Ended) {
    cell::TaskRef Ref = *cell::parseTaskName(End.Id.Task);
    const cell::StepSpec &Step = Specs.at(std::string(Ref.Job)).Steps[Ref.Step];
    if (Step.LongRunning)
      continue;
    if (End.Kind == EndKind::Failed)
      Attempts.onHeard(&Receiver, *limitedUnitOf(End.Id.Task), End.Id.Run);
    if (End.Kind != EndKind::Done)
      continue;
    HeardDone[&Receiver].insert(End.Id.Task);
    for (Ref.Index = 0; Step.Gang && Ref.Index < Step.Count; ++Ref.Index)
      HeardDone[&Receiver].insert(cell::taskName(Ref));
  }
}

void Simulation::sendStart(const executor::StartOrder &Order,
                           cell::ExecutorIndex Index,
                           const cell::CellOwner *Sender) {
  if (KeepsHistory && HeardDone[Sender].count(Order.Id.Task))
    Violations.push_back(
        "started after its owner had heard that it was done: " + Order.Id.Task);
  auto Unit = KeepsHistory ? limitedUnitOf(Order.Id.Task) : std::nullopt;
  if (Unit && Attempts.hasHeardLastAttempt(Sender, *Unit))
    Violations.push_back(
        "started after its owner had heard of its last attempt: " +
        Order.Id.Task);
  auto Answer = [this, Sender, Order,
                 Index](const executor::OrderAnswer &Result) {
    notify(Sender, [this, Order, Index, Result](cell::CellOwner &Receiver) {
      CostTimer Timer(Cost.Answers);
      Receiver.onStart(Order.Id, Index, Result, Now);
    });
  };
  if (Rng.uniform() < Faults.OrderLate) {
    auto Delay = 500 + static_cast<int64_t>(Rng.below(MaxLateMs));
    schedule(Delay, [this, Order, Sender] {
      SimExecutor &Executor = executor(Order.Target.Id);
      if (isReachable(Executor, Sender))
        handleStart(Executor, Order);
    });
    schedule(OrderTimeoutMs, [Answer] { Answer({}); });
    return;
  }
  bool AnswerLost = Rng.uniform() < Faults.OrderAnswerLost;
  schedule(TransitMs, [this, Order, Sender, Answer, AnswerLost] {
    SimExecutor &Executor = executor(Order.Target.Id);
    if (Executor.Replaced) {
      Answer({.Outcome = OrderOutcome::Replaced});
      return;
    }
    if (!isReachable(Executor, Sender)) {
      schedule(OrderTimeoutMs, [Answer] { Answer({}); });
      return;
    }
    auto Refused = RefusalFor ? RefusalFor(Order) : std::nullopt;
    executor::OrderAnswer Result{.Outcome =
                                     Refused.value_or(OrderOutcome::Done),
                                 .ClockMs = Executor.clockMs(Now)};
    if (!Refused)
      Result = handleStart(Executor, Order);
    int64_t DelayMs = StartAnswerDelayFor ? StartAnswerDelayFor(Order) : 0;
    if (AnswerLost || Executor.AnswersLost)
      schedule(OrderTimeoutMs, [Answer] { Answer({}); });
    else if (DelayMs > 0)
      schedule(DelayMs, [Answer, Result] { Answer(Result); });
    else
      Answer(Result);
  });
}

executor::OrderAnswer
Simulation::handleStart(SimExecutor &Executor,
                        const executor::StartOrder &Order) {
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
    noteStart(Order.Id.Task);
    Started.push_back(Order);
  }
  auto Ref = *cell::parseTaskName(Order.Id.Task);
  const cell::StepSpec &Step = Specs.at(std::string(Ref.Job)).Steps[Ref.Step];
  int64_t RunTimeMs = RunTimeFor(Order.Id.Task, Step.Estimate.count());
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
void Simulation::checkStart(SimExecutor &Executor,
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
  std::string Text = storedValue(cell::ProgressTable, std::string(Ref.Job));
  auto Progress = cell::decodeProgress(Text);
  auto StoredTask =
      Progress ? Progress->Tasks.find({Ref.Occurrence, Ref.Step, Ref.Index})
               : std::map<cell::TaskPosition, cell::TaskProgress>::iterator{};
  bool IsRecorded = Progress && StoredTask != Progress->Tasks.end() &&
                    StoredTask->second.Run >= Order.Id.Run;
  if (!IsRecorded)
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
    Answer.Running.push_back({.Id = {Task, Run.Run}});
  Answer.Ended = Executor.Ended;
  return Answer;
}

void Simulation::endRun(SimExecutor &Executor, const std::string &Task,
                        EndKind Kind) {
  uint32_t Run = Executor.Running.at(Task).Run;
  Executor.Running.erase(Task);
  uint32_t &HighestEndedRun = Executor.HighestEndedRun[Task];
  HighestEndedRun = std::max(HighestEndedRun, Run);
  Executor.Ended.push_back(
      {.Sequence = ++Executor.EndCount, .Id = {Task, Run}, .Kind = Kind});
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

void Simulation::submit(cell::JobSpec Job) {
  Rows[{cell::JobTable, Job.Id}] = {cell::encodeJob(Job), ++Version};
  Specs[Job.Id] = Job;
  if (isLoaded())
    Owner->accept(std::move(Job), Now, Now);
}

void Simulation::storeOnly(const cell::JobSpec &Job) {
  if (isStored(Job.Id))
    return;
  Rows[{cell::JobTable, Job.Id}] = {cell::encodeJob(Job), ++Version};
  schedule(FeedDelayMs, [this, Job] {
    if (isLoaded())
      Owner->accept(Job, Now, Now);
  });
}

void Simulation::cancel(const std::string &JobId) {
  Rows[{cell::JobTable, cell::cancelKey(JobId)}] = {"cancelled", ++Version};
}

cell::JobSpec Simulation::makeJob(const std::string &Id, uint32_t Tasks,
                                  Resources Size, int64_t RunMs) {
  cell::JobSpec Job;
  Job.Id = Id;
  Job.Queue = "q";
  Job.Payload = "work";
  Job.Steps.push_back(
      {.Count = Tasks, .Size = Size, .Estimate = Millis(RunMs)});
  return Job;
}

std::string Simulation::storedValue(const std::string &Table,
                                    const std::string &Key) const {
  auto Found = Rows.find({Table, Key});
  return Found == Rows.end() ? std::string() : Found->second.Value;
}

bool Simulation::isStored(const std::string &JobId) const {
  return Rows.count({cell::JobTable, JobId}) ||
         Rows.count({cell::EndedTable, JobId});
}

std::vector<store::Row> Simulation::rowsOf(const std::string &Table) const {
  std::vector<store::Row> Found;
  for (const auto &[Key, Stored] : Rows) {
    if (Key.first == Table)
      Found.push_back({.Table = Table,
                       .Key = Key.second,
                       .Value = Stored.Value,
                       .Version = Stored.Version});
  }
  return Found;
}

cell::JobPhase Simulation::storedPhase(const std::string &JobId) const {
  auto Ended = cell::decodeEndedJob(storedValue(cell::EndedTable, JobId));
  if (Ended)
    return Ended->Phase;
  auto Phase = cell::decodePhase(storedValue(cell::ProgressTable, JobId));
  return Phase ? *Phase : cell::JobPhase::Queued;
}

size_t Simulation::runsOf(const std::string &Task) const {
  return static_cast<size_t>(
      std::count_if(Started.begin(), Started.end(),
                    [&](const auto &Order) { return Order.Id.Task == Task; }));
}

bool Simulation::isOpen(const std::string &Task) const {
  return std::any_of(
      Executors.begin(), Executors.end(), [&](const auto &Entry) {
        return !Entry.second->Dead && Entry.second->Running.count(Task);
      });
}

} // namespace daisylanding::cellsim
