#include "unit/CellSim.h"

#include <algorithm>

namespace daisylanding::cellsim {

using executor::EndKind;
using executor::OrderOutcome;

namespace {

constexpr int64_t StepMs = 5;
constexpr int64_t TransitMs = 2;
constexpr int64_t CommitTimeoutMs = 400;
constexpr int64_t OrderTimeoutMs = 500;
constexpr int64_t MaxLateMs = 3'000;

std::shared_ptr<const cell::CellConfig> makeConfig() {
  auto Out = std::make_shared<cell::CellConfig>();
  Out->Version = 1;
  Out->Services = {"s"};
  Out->Queues.push_back({.Name = "q",
                         .Host = "h",
                         .PathPrefix = "/q/",
                         .Service = "s",
                         .MaxAttempts = 2,
                         .Stretch = 2,
                         .TargetLatency = Millis(500)});
  return Out;
}

} // namespace

Sim::Sim(uint64_t Seed) : Dice(Seed), Config(makeConfig()) {
  HowEnds = [](const std::string &) { return EndKind::Done; };
  Takes = [](const std::string &, int64_t Estimate) { return Estimate; };
}

std::string Sim::addExecutor(Resources Capacity, std::string Rack) {
  std::string Id = "i-" + std::to_string(Executors.size());
  auto Added = std::make_unique<SimExecutor>();
  Added->Info = {.Id = Id,
                 .Service = "s",
                 .Address = "addr-" + Id,
                 .AvailabilityZone = "z" + Rack,
                 .Rack = Rack,
                 .Labels = {"a", Rack},
                 .Capacity = Capacity};
  Executors.emplace(Id, std::move(Added));
  if (Owner)
    Owner->setExecutors(list(), Now);
  return Id;
}

std::vector<executor::ExecutorInfo> Sim::list() const {
  std::vector<executor::ExecutorInfo> Out;
  for (const auto &Each : Executors) {
    if (!Each.second->Dead)
      Out.push_back(Each.second->Info);
  }
  return Out;
}

void Sim::takeOver() {
  cell::OwnerRow Mine{.Holder = "e" + std::to_string(Epoch + 1),
                      .Epoch = ++Epoch};
  auto Old = Rows.find({cell::OwnerTable, cell::OwnerKey});
  if (Old != Rows.end())
    Mine.InheritedLeaseEnds =
        cell::decodeOwnerRow(Old->second.Value)->InheritedLeaseEnds;
  Rows[{cell::OwnerTable, cell::OwnerKey}] = {cell::encodeOwnerRow(Mine),
                                              ++Version};
  cell::OwnerOptions Options{.Service = "s",
                             .AcquiredRow = Mine,
                             .RowVersion = Version,
                             .StoreClockMs = clockOf(),
                             .CreatedAt = Now};
  Options.InheritedLeaseEnd = cell::inheritedLeaseEnd(Options.Contact, Now);
  Owner = std::make_unique<cell::CellOwner>(std::move(Options), Config);
  for (const auto &[Id, Job] : Specs) {
    std::string Text = stored(cell::ProgressTable, Id);
    std::optional<cell::JobProgress> Progress;
    if (!Text.empty())
      Progress = *cell::decodeProgress(Text);
    bool Cancelled = !stored(cell::JobTable, cell::cancelKey(Id)).empty();
    Owner->restore(Job, Progress, Cancelled, Now, Now);
  }
  Owner->setExecutors(list(), Now);
}

void Sim::later(int64_t Ms, std::function<void()> Run) {
  Events.push_back({Now + Millis(Ms), NextEvent++, std::move(Run)});
}

void Sim::pass(int64_t Ms) {
  TimePoint Until = Now + Millis(Ms);
  while (Now < Until)
    step();
}

bool Sim::passUntil(const std::function<bool()> &IsDone, int64_t LongestMs) {
  TimePoint Until = Now + Millis(LongestMs);
  while (Now < Until && !IsDone())
    step();
  return IsDone();
}

void Sim::step() {
  Now += Millis(StepMs);
  moveExecutors();
  std::vector<Event> Due;
  for (Event &Each : Events) {
    if (Each.At <= Now)
      Due.push_back(std::move(Each));
  }
  std::erase_if(Events, [&](const Event &Each) { return Each.At <= Now; });
  std::sort(Due.begin(), Due.end(), [](const Event &Left, const Event &Right) {
    return std::pair(Left.At, Left.Order) < std::pair(Right.At, Right.Order);
  });
  for (Event &Each : Due)
    Each.Run();
  if (!Owner || Owner->deposed())
    return;
  if (!FeedsSilent) {
    Owner->confirmInstanceList(Now);
    Owner->confirmJobFeed(Now);
  }
  carryOut(Owner->advance(Now, clockOf()));
  sendCommit();
}

store::TransactionResult Sim::apply(const store::Transaction &Tx) {
  store::TransactionResult Out;
  Out.StoreMillis = clockOf();
  bool Holds = true;
  for (const store::Precondition &Each : Tx.Expected) {
    auto Found = Rows.find({Each.Table, Each.Key});
    uint64_t Present = Found == Rows.end() ? 0 : Found->second.Version;
    Holds = Holds && Present == Each.Version;
    if (Found != Rows.end())
      Out.Current.push_back({.Table = Each.Table,
                             .Key = Each.Key,
                             .Value = Found->second.Value,
                             .Version = Present});
  }
  Out.Outcome = Holds ? store::TransactionOutcome::Committed
                      : store::TransactionOutcome::Conflict;
  if (!Holds)
    return Out;
  Out.Version = ++Version;
  for (const store::RowWrite &Each : Tx.Writes)
    Rows[{Each.Table, Each.Key}] = {Each.Value, Version};
  for (const store::RowRemoval &Each : Tx.Removals)
    Rows.erase({Each.Table, Each.Key});
  Commits.push_back(Tx);
  return Out;
}

void Sim::sendCommit() {
  auto Tx = Owner->nextCommit(Now, clockOf());
  if (!Tx)
    return;
  ++CommitsSent;
  uint64_t Sequence = Owner->commitSequence();
  cell::CellOwner *To = Owner.get();
  auto Answer = [this, To, Sequence](const store::TransactionResult &Result) {
    if (Owner.get() == To)
      Owner->onCommit(Sequence, Result, Now);
  };
  auto Lost = [this, Answer] {
    later(CommitTimeoutMs, [Answer] {
      Answer({.Outcome = store::TransactionOutcome::Unknown});
    });
  };
  if (StoreDown) {
    later(TransitMs, [Answer] {
      Answer({.Outcome = store::TransactionOutcome::NotDone});
    });
    return;
  }
  if (StoreSilent) {
    Lost();
    return;
  }
  if (Dice.unit() < Trouble.CommitLate) {
    auto Delay = static_cast<int64_t>(Dice.below(MaxLateMs));
    later(Delay, [this, Tx = *Tx] { apply(Tx); });
    Lost();
    return;
  }
  bool AnswerLost = Dice.unit() < Trouble.CommitAnswerLost;
  later(CommitTakesMs, [this, Tx = *Tx, Answer, AnswerLost, Lost] {
    store::TransactionResult Result = apply(Tx);
    if (AnswerLost)
      Lost();
    else
      Answer(Result);
  });
}

void Sim::carryOut(const cell::OwnerCommands &Out) {
  cell::CellOwner *To = Owner.get();
  for (const cell::StartCommand &Each : Out.Starts)
    start(Each.Order, Each.Executor);
  for (const cell::StopCommand &Each : Out.Stops) {
    later(TransitMs, [this, To, Each] {
      SimExecutor &At = executor(Each.Order.To.Id);
      executor::OrderAnswer Answer;
      if (!At.Cut && !At.Dead)
        Answer = doStop(At, Each.Order);
      if (Owner.get() == To)
        Owner->onStop(Each.Order.What, Each.Executor, Answer, Now);
    });
  }
  for (const cell::RenewalCommand &Each : Out.Renewals) {
    later(TransitMs, [this, To, Each] {
      SimExecutor &At = executor(Each.Call.To.Id);
      executor::HoldAnswer Answer;
      if (!At.Cut && !At.Dead)
        Answer = doHold(At, Each.Call);
      int64_t Wait = Answer.Ended.empty() ? 50 : 1;
      later(Wait, [this, To, Each, Answer] {
        if (Owner.get() == To)
          Owner->onRenewal(Each.Executor, Answer, Now);
      });
    });
  }
}

void Sim::start(const executor::StartOrder &Order, cell::ExecutorIndex On) {
  cell::CellOwner *To = Owner.get();
  auto Answer = [this, To, Order, On](const executor::OrderAnswer &Got) {
    if (Owner.get() == To)
      Owner->onStart(Order.What, On, Got, Now);
  };
  if (Dice.unit() < Trouble.OrderLate) {
    auto Delay = 500 + static_cast<int64_t>(Dice.below(MaxLateMs));
    later(Delay, [this, Order] {
      SimExecutor &At = executor(Order.To.Id);
      if (!At.Dead && !At.Cut)
        doStart(At, Order);
    });
    later(OrderTimeoutMs, [Answer] { Answer({}); });
    return;
  }
  bool Lost = Dice.unit() < Trouble.OrderAnswerLost;
  later(TransitMs, [this, Order, Answer, Lost] {
    SimExecutor &At = executor(Order.To.Id);
    if (At.Dead || At.Cut) {
      later(OrderTimeoutMs, [Answer] { Answer({}); });
      return;
    }
    auto Refused = Refuses ? Refuses(Order) : std::nullopt;
    executor::OrderAnswer Got{.Outcome = Refused.value_or(OrderOutcome::Done),
                              .ClockMs = clockOf()};
    if (!Refused)
      Got = doStart(At, Order);
    if (Lost)
      later(OrderTimeoutMs, [Answer] { Answer({}); });
    else
      Answer(Got);
  });
}

executor::OrderAnswer Sim::doStart(SimExecutor &At,
                                   const executor::StartOrder &Order) {
  executor::OrderAnswer Out{.ClockMs = clockOf()};
  auto Running = At.Running.find(Order.What.Task);
  if (Order.FencingToken < At.Token) {
    Out.Outcome = OrderOutcome::Fenced;
    return Out;
  }
  At.Token = Order.FencingToken;
  if (Order.LeaseEndMs <= clockOf()) {
    Out.Outcome = OrderOutcome::LeaseTooLate;
    return Out;
  }
  At.LeaseEnd = std::max(At.LeaseEnd, TimePoint(Millis(Order.LeaseEndMs)));
  if (Running != At.Running.end() && Running->second.Run == Order.What.Run) {
    Out.Outcome = OrderOutcome::Done;
    return Out;
  }
  auto Over = At.Over.find(Order.What.Task);
  if (Over != At.Over.end() && Order.What.Run <= Over->second) {
    Out.Outcome = OrderOutcome::RunTooLow;
    return Out;
  }
  check(At, Order);
  Started.push_back(Order);
  auto Ref = *cell::parseTaskName(Order.What.Task);
  const cell::StepSpec &Step = Specs.at(std::string(Ref.Job)).Steps[Ref.Step];
  int64_t Ms = Takes(Order.What.Task, Step.Estimate.count());
  At.Running[Order.What.Task] = {
      .Run = Order.What.Run, .Ends = Now + Millis(Ms), .Size = Step.Size};
  Out.Outcome = OrderOutcome::Done;
  return Out;
}

/// Whether some member of the task's gang was listed, or noted, as done.
bool Sim::gangIsDone(const std::string &Task) const {
  std::string Prefix = Task.substr(0, Task.rfind('.') + 1);
  auto IsMember = [&](const std::string &Other) {
    return Other.starts_with(Prefix);
  };
  for (const auto &Each : Executors) {
    for (const executor::EndedTask &End : Each.second->Ended) {
      if (End.How == EndKind::Done && IsMember(End.What.Task))
        return true;
    }
  }
  return std::any_of(Done.begin(), Done.end(),
                     [&](const auto &Each) { return IsMember(Each.first); });
}

/// What must hold at each start.
void Sim::check(SimExecutor &At, const executor::StartOrder &Order) {
  const std::string &Task = Order.What.Task;
  for (const auto &Each : Executors) {
    if (!Each.second->Dead && Each.second->Running.count(Task))
      Broken.push_back("twice at once: " + Task);
  }
  auto Parsed = *cell::parseTaskName(Task);
  bool Lasts = Specs.at(std::string(Parsed.Job)).Steps[Parsed.Step].LongRunning;
  if (Done.count(Task) && !Lasts)
    Broken.push_back("begun after done: " + Task);
  auto Ref = *cell::parseTaskName(Task);
  const cell::JobSpec &Job = Specs.at(std::string(Ref.Job));
  Resources Sum = Job.Steps[Ref.Step].Size;
  for (const auto &Each : At.Running)
    Sum += Each.second.Size;
  if (!Sum.fitsIn(At.Info.Capacity))
    Broken.push_back("overbooked: " + At.Info.Id + " by " + Task + " run " +
                     std::to_string(Order.What.Run) + " beside " +
                     std::to_string(At.Running.size()));
  std::string Text = stored(cell::ProgressTable, std::string(Ref.Job));
  auto Progress = cell::decodeProgress(Text);
  auto Known =
      Progress ? Progress->Tasks.find({Ref.Occurrence, Ref.Step, Ref.Index})
               : std::map<cell::TaskPosition, cell::TaskProgress>::iterator{};
  bool Recorded = Progress && Known != Progress->Tasks.end() &&
                  Known->second.Run >= Order.What.Run;
  if (!Recorded)
    Broken.push_back("begun before it was recorded: " + Task);
  for (uint32_t Before : Job.Steps[Ref.Step].Dependencies) {
    for (uint32_t I = 0; I < Job.Steps[Before].Count; ++I) {
      std::string Other = cell::taskName({.Job = Job.Id,
                                          .Occurrence = Ref.Occurrence,
                                          .Step = Before,
                                          .Index = I});
      bool Ended = std::any_of(
          Executors.begin(), Executors.end(), [&](const auto &Each) {
            return std::any_of(
                Each.second->Ended.begin(), Each.second->Ended.end(),
                [&](const executor::EndedTask &End) {
                  return End.What.Task == Other && End.How == EndKind::Done;
                });
          });
      bool OfDoneGang = Job.Steps[Before].Gang && gangIsDone(Other);
      if (!Ended && !Done.count(Other) && !OfDoneGang)
        Broken.push_back("begun before its turn: " + Task);
    }
  }
}

executor::OrderAnswer Sim::doStop(SimExecutor &At,
                                  const executor::StopOrder &Order) {
  executor::OrderAnswer Out{.ClockMs = clockOf()};
  if (Order.FencingToken < At.Token) {
    Out.Outcome = OrderOutcome::Fenced;
    return Out;
  }
  At.Token = Order.FencingToken;
  Out.Outcome = OrderOutcome::Done;
  auto Found = At.Running.find(Order.What.Task);
  if (Found != At.Running.end() && Found->second.Run == Order.What.Run)
    endRun(At, Order.What.Task, EndKind::Stopped);
  uint32_t &Over = At.Over[Order.What.Task];
  Over = std::max(Over, Order.What.Run);
  return Out;
}

executor::HoldAnswer Sim::doHold(SimExecutor &At,
                                 const executor::HoldCall &Call) {
  executor::HoldAnswer Out;
  Out.ClockMs = clockOf();
  if (Call.FencingToken < At.Token) {
    Out.Outcome = OrderOutcome::Fenced;
    return Out;
  }
  At.Token = Call.FencingToken;
  Out.Outcome = OrderOutcome::Done;
  if (Call.LeaseEndMs)
    At.LeaseEnd = std::max(At.LeaseEnd, TimePoint(Millis(*Call.LeaseEndMs)));
  for (const executor::EndedTask &Each : At.Ended) {
    if (Each.Number <= Call.AcknowledgedEnd && Each.How == EndKind::Done)
      Done[Each.What.Task] = Each.What.Run;
  }
  std::erase_if(At.Ended, [&](const executor::EndedTask &Each) {
    return Each.Number <= Call.AcknowledgedEnd;
  });
  for (const auto &[Task, Run] : At.Running)
    Out.Running.push_back({.What = {Task, Run.Run}});
  Out.Ended = At.Ended;
  return Out;
}

void Sim::endRun(SimExecutor &At, const std::string &Task, EndKind How) {
  uint32_t Run = At.Running.at(Task).Run;
  At.Running.erase(Task);
  uint32_t &Over = At.Over[Task];
  Over = std::max(Over, Run);
  At.Ended.push_back({.Number = ++At.Ends, .What = {Task, Run}, .How = How});
  auto Ref = *cell::parseTaskName(Task);
  if (!Specs.at(std::string(Ref.Job)).Steps[Ref.Step].Gang)
    return;
  // The members of a gang end together.
  EndKind Others = How == EndKind::Done ? EndKind::Done : EndKind::Broken;
  std::string Prefix = cell::stepName(Ref) + ".";
  for (auto &Each : Executors) {
    std::vector<std::string> Members;
    for (const auto &Other : Each.second->Running) {
      if (Other.first.starts_with(Prefix))
        Members.push_back(Other.first);
    }
    for (const std::string &Other : Members) {
      if (Each.second->Running.count(Other))
        endRun(*Each.second, Other, Others);
    }
  }
}

/// A gang works only while all of its members are there.
bool Sim::isPresent(const std::string &Task) const {
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

void Sim::moveExecutors() {
  for (auto &Each : Executors) {
    SimExecutor &At = *Each.second;
    if (At.Dead)
      continue;
    std::vector<std::pair<std::string, EndKind>> Ends;
    bool Lapsed = Now > At.LeaseEnd;
    for (const auto &[Task, Run] : At.Running) {
      if (Lapsed)
        Ends.emplace_back(Task, EndKind::Lapsed);
      else if (Now >= Run.Ends && isPresent(Task))
        Ends.emplace_back(Task, HowEnds(Task));
    }
    for (const auto &[Task, How] : Ends) {
      if (At.Running.count(Task))
        endRun(At, Task, How);
    }
  }
}

void Sim::submit(cell::JobSpec Job) {
  Rows[{cell::JobTable, Job.Id}] = {cell::encodeJob(Job), ++Version};
  Specs[Job.Id] = Job;
  if (Owner)
    Owner->accept(std::move(Job), Now, Now);
}

void Sim::storeOnly(const cell::JobSpec &Job) {
  if (!Rows.count({cell::JobTable, Job.Id}))
    Rows[{cell::JobTable, Job.Id}] = {cell::encodeJob(Job), ++Version};
}

void Sim::cancel(const std::string &JobId) {
  Rows[{cell::JobTable, cell::cancelKey(JobId)}] = {"cancelled", ++Version};
}

cell::JobSpec Sim::job(const std::string &Id, uint32_t Tasks, Resources Size,
                       int64_t RunMs) {
  cell::JobSpec Out;
  Out.Id = Id;
  Out.Queue = "q";
  Out.Payload = "work";
  Out.Steps.push_back(
      {.Count = Tasks, .Size = Size, .Estimate = Millis(RunMs)});
  return Out;
}

std::string Sim::stored(const std::string &Table,
                        const std::string &Key) const {
  auto Found = Rows.find({Table, Key});
  return Found == Rows.end() ? std::string() : Found->second.Value;
}

cell::JobPhase Sim::storedPhase(const std::string &JobId) const {
  auto Phase = cell::decodePhase(stored(cell::ProgressTable, JobId));
  return Phase ? *Phase : cell::JobPhase::Queued;
}

size_t Sim::runsOf(const std::string &Task) const {
  return static_cast<size_t>(
      std::count_if(Started.begin(), Started.end(),
                    [&](const auto &Each) { return Each.What.Task == Task; }));
}

bool Sim::isOpen(const std::string &Task) const {
  return std::any_of(Executors.begin(), Executors.end(), [&](const auto &Each) {
    return !Each.second->Dead && Each.second->Running.count(Task);
  });
}

} // namespace daisylanding::cellsim
