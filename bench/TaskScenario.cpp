#include "bench/Scenarios.h"
#include "bench/Statistics.h"

#include "policy/OutlierDetector.h"
#include "shard/Scheduler.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>

namespace daisylanding::bench {

namespace {

using namespace shard;

constexpr Millis Tick{100};
constexpr Millis LoadTime{300'000};
constexpr Millis WarmUp{30'000};
/// How long a worker takes to checkpoint and stop a task.
constexpr Millis StopTime{300};

struct JobMix {
  config::JobSpec Spec; ///< Its id is the kind's name.
  double Share;         ///< Of the jobs.
};

struct TaskMix {
  std::string Name;
  std::vector<std::pair<uint32_t, table::Resources>> Workers;
  std::vector<config::WorkClass> Classes;
  std::vector<JobMix> Jobs;
};

struct TaskTrouble {
  std::string Name;
  double TrueOverDeclared = 1; ///< Run times.
  bool FailingWorker = false;
  bool CancelWave = false; ///< Half of all jobs at half-time.
  bool LoseRack = false;   ///< Three workers at half-time.
};

/// How starts are chosen; the subject of the run.
class Planner {
public:
  virtual ~Planner() = default;
  virtual std::vector<Record> plan(TimePoint Now) = 0;
  virtual void everySecond() {}
};

class ProductPlanner final : public Planner {
public:
  ProductPlanner(ShardState &State, const config::ClusterConfig &Config)
      : Decisions(State), Config(Config) {}
  std::vector<Record> plan(TimePoint Now) override {
    return Decisions.plan(Config, Now, UINT32_MAX);
  }
  void everySecond() override { Decisions.adjustTightness(Config); }

private:
  Scheduler Decisions;
  const config::ClusterConfig &Config;
};

/// Jobs in the order of their arrival; each takes the first place that fits,
/// or the fuller of two drawn at random that fit.
class FifoPlanner final : public Planner {
public:
  FifoPlanner(ShardState &State, bool TwoChoices)
      : State(State), TwoChoices(TwoChoices) {}

  std::vector<Record> plan(TimePoint Now) override {
    std::vector<JobState *> Order;
    for (auto &Each : State.Jobs) {
      if (Each.second->PendingTasks > 0)
        Order.push_back(Each.second.get());
    }
    std::sort(Order.begin(), Order.end(),
              [](const JobState *Left, const JobState *Right) {
                return Left->AcceptedAt < Right->AcceptedAt;
              });
    std::vector<Record> Out;
    for (JobState *Each : Order)
      planJob(*Each, Now, Out);
    return Out;
  }

private:
  void planJob(JobState &Owner, TimePoint Now, std::vector<Record> &Out) {
    bool Gang = Owner.Spec.Kind == config::JobKind::Gang;
    if (Gang &&
        State.Pool.countFitting(Owner.Spec.Size, false) < Owner.PendingTasks)
      return;
    for (uint32_t I = 0; I < Owner.Tasks.size(); ++I) {
      const TaskState &One = Owner.Tasks[I];
      if (One.Phase != TaskPhase::Pending || One.NotBefore > Now)
        continue;
      auto Place =
          TwoChoices ? fullerOfTwo(Owner.Spec.Size) : firstFit(Owner.Spec.Size);
      if (!Place)
        return;
      TaskStarted Started{.Id = {Owner.Spec.Id, I, One.Attempt + 1},
                          .Instance = State.Instances[*Place].Name,
                          .Size = Owner.Spec.Size};
      State.apply(Started, Now);
      Out.push_back(std::move(Started));
    }
  }

  bool fits(uint32_t Index, const table::Resources &Size) const {
    return State.Pool.isUsable(Index) &&
           Size.fitsIn(State.Pool.freeCapacity(Index));
  }

  std::optional<uint32_t> firstFit(const table::Resources &Size) const {
    for (uint32_t I = 0; I < State.Pool.size(); ++I) {
      if (fits(I, Size))
        return I;
    }
    return std::nullopt;
  }

  std::optional<uint32_t> fullerOfTwo(const table::Resources &Size) {
    auto One = static_cast<uint32_t>(Generator.below(State.Pool.size()));
    auto Other = static_cast<uint32_t>(Generator.below(State.Pool.size()));
    if (!fits(One, Size) && !fits(Other, Size))
      return firstFit(Size);
    if (!fits(One, Size))
      return Other;
    bool Fuller =
        fits(Other, Size) && State.Pool.freeCapacity(Other).MilliCores <
                                 State.Pool.freeCapacity(One).MilliCores;
    return Fuller ? Other : One;
  }

  ShardState &State;
  bool TwoChoices;
  Random Generator{1};
};

struct TaskResult {
  std::map<std::string, std::vector<double>> WaitedMs; ///< By job kind.
  std::map<std::string, size_t> Missed;
  double PackingSum = 0;
  double AcceleratorSum = 0;
  size_t Samples = 0;
  double WastedCoreSeconds = 0;
  double PlanMicros = 0;
  size_t Starts = 0;
  size_t NeverStarted = 0;
};

class TaskRun {
public:
  TaskRun(const TaskMix &Mix, const TaskTrouble &Wrong, double Load);
  TaskResult run(const std::function<std::unique_ptr<Planner>(
                     ShardState &, const config::ClusterConfig &)> &Make);

private:
  struct Ending {
    TimePoint At;
    AttemptId Id;
    EndKind Reason;
    bool operator>(const Ending &Other) const { return At > Other.At; }
  };

  void arrive();
  void submit(const JobMix &Kind);
  void begin(const TaskStarted &Started);
  void endDue();
  void stopAsked();
  void goWrong();
  void sample();
  double declaredRate(double Load) const;

  const TaskMix &Mix;
  const TaskTrouble &Wrong;
  config::ClusterConfig Config;
  ShardState State{1};
  policy::OutlierDetector Health{{.FailuresToEject = 3}};
  std::vector<table::Instance> List;
  Random Generator{11};
  double JobsPerSecond = 0;
  TimePoint Now{Micros(std::chrono::hours(1))};
  TimePoint Start = Now;
  TimePoint NextJob = Now;
  uint32_t NextId = 0;
  std::map<std::string, std::string> KindOf; ///< By job id.
  /// Seconds of work that checkpoints have kept, by job and index.
  std::map<std::pair<std::string, uint32_t>, double> Kept;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> Endings;
  TaskResult Out;
};

TaskRun::TaskRun(const TaskMix &Mix, const TaskTrouble &Wrong, double Load)
    : Mix(Mix), Wrong(Wrong) {
  Config.Classes = Mix.Classes;
  uint32_t Number = 0;
  constexpr uint32_t PerRack = 4;
  for (const auto &[Count, Capacity] : Mix.Workers) {
    for (uint32_t I = 0; I < Count; ++I) {
      std::string Name = fmt::format("w{}", Number);
      List.push_back({.Name = Name,
                      .Kind = table::Role::Worker,
                      .Rack = fmt::format("r{}", Number++ / PerRack),
                      .Address = Name,
                      .Capacity = Capacity});
    }
  }
  State.applyInstances(List, {});
  Health.resize(List.size());
  JobsPerSecond = declaredRate(Load);
}

/// The jobs a second that use the scarcer of cores and accelerators to the
/// given share.
double TaskRun::declaredRate(double Load) const {
  double Cores = 0;
  double Accelerators = 0;
  for (const table::Instance &Each : List) {
    Cores += Each.Capacity.MilliCores;
    Accelerators += Each.Capacity.Accelerators;
  }
  double CoreWork = 0;
  double AcceleratorWork = 0;
  for (const JobMix &Each : Mix.Jobs) {
    double Seconds = toSeconds(Each.Spec.RunTime) * Each.Spec.Tasks *
                     Each.Share * Wrong.TrueOverDeclared;
    CoreWork += Seconds * Each.Spec.Size.MilliCores;
    AcceleratorWork += Seconds * Each.Spec.Size.Accelerators;
  }
  double Rate = Cores / CoreWork;
  if (AcceleratorWork > 0)
    Rate = std::min(Rate, Accelerators / AcceleratorWork);
  return Rate * Load;
}

void TaskRun::submit(const JobMix &Kind) {
  config::JobSpec Spec = Kind.Spec;
  Spec.Id = fmt::format("{}-{}", Kind.Spec.Id, NextId++);
  KindOf[Spec.Id] = Kind.Spec.Id;
  State.apply(JobAccepted{Spec}, Now);
}

void TaskRun::arrive() {
  while (NextJob <= Now) {
    double Draw = Generator.uniform();
    const JobMix *Drawn = &Mix.Jobs.back();
    for (const JobMix &Each : Mix.Jobs) {
      Draw -= Each.Share;
      if (Draw < 0) {
        Drawn = &Each;
        break;
      }
    }
    submit(*Drawn);
    double Gap = -std::log(1 - Generator.uniform()) / JobsPerSecond;
    NextJob += Micros(static_cast<int64_t>(Gap * 1e6));
  }
}

void TaskRun::begin(const TaskStarted &Started) {
  State.onStartWritten(Started.Id, Now);
  JobState &Owner = *State.findJob(Started.Id.Job);
  TaskState &One = Owner.Tasks[Started.Id.Index];
  Micros Waited = Now - One.ReadySince;
  const std::string &Kind = KindOf[Started.Id.Job];
  ++Out.Starts;
  if (Now - Start > WarmUp) {
    Out.WaitedMs[Kind].push_back(toSeconds(Waited) * 1'000);
    Out.Missed[Kind] +=
        Waited > Config.findClass(Owner.Spec.Class)->WaitingTarget;
  }
  if (Wrong.FailingWorker && Started.Instance == "w0") {
    Endings.push({Now + Tick, Started.Id, EndKind::Failed});
    return;
  }
  double Spread = 0.7 + 0.6 * Generator.uniform();
  double Seconds =
      toSeconds(Owner.Spec.RunTime) * Wrong.TrueOverDeclared * Spread;
  Seconds = std::max(0.1, Seconds - Kept[{Started.Id.Job, Started.Id.Index}]);
  Endings.push({Now + Micros(static_cast<int64_t>(Seconds * 1e6)), Started.Id,
                EndKind::Succeeded});
}

void TaskRun::endDue() {
  while (!Endings.empty() && Endings.top().At <= Now) {
    Ending Each = Endings.top();
    Endings.pop();
    TaskState *One = State.findActiveAttempt(Each.Id);
    if (!One)
      continue;
    uint32_t Place = One->Instance;
    Millis Ran(toMillis(Now - One->StartedAt));
    double Lost = toSeconds(Now - One->StartedAt);
    if (Each.Reason == EndKind::Stopped) {
      Kept[{Each.Id.Job, Each.Id.Index}] += Lost - toSeconds(StopTime);
      Lost = toSeconds(StopTime);
    }
    if (Each.Reason != EndKind::Succeeded)
      Out.WastedCoreSeconds += Lost * One->ReservedSize.MilliCores / 1'000;
    State.apply(TaskEnded{Each.Id, Each.Reason, {}, Ran}, Now);
    if (Each.Reason == EndKind::Failed)
      Health.recordFailure(Place, Now);
    else if (Each.Reason == EndKind::Succeeded)
      Health.recordSuccess(Place);
  }
  for (Record &Each : State.findJobEnds())
    State.apply(Each, Now);
  for (uint32_t I = 0; I < State.Instances.size(); ++I)
    State.Pool.setUsable(I, !State.Instances[I].Gone &&
                                Health.isAvailable(I, Now));
}

/// Tasks asked to stop end a little later, with their checkpoint.
void TaskRun::stopAsked() {
  for (auto &Each : State.Jobs) {
    for (uint32_t I = 0; I < Each.second->Tasks.size(); ++I) {
      TaskState &One = Each.second->Tasks[I];
      if (!One.StopRequested || One.Phase != TaskPhase::Running)
        continue;
      One.StopRequested = false;
      Endings.push(
          {Now + StopTime, Each.second->attemptId(I), EndKind::Stopped});
    }
  }
}

void TaskRun::goWrong() {
  bool HalfTime = Now - Start == LoadTime / 2;
  if (!HalfTime)
    return;
  if (Wrong.CancelWave) {
    std::vector<std::string> Cancelled;
    for (auto &Each : State.Jobs) {
      if (Generator.uniform() < 0.5)
        Cancelled.push_back(Each.first);
    }
    for (const std::string &Each : Cancelled)
      State.apply(JobStopped{Each}, Now);
  }
  if (Wrong.LoseRack) {
    List.erase(List.begin(), List.begin() + 3);
    State.applyInstances(List, {});
    for (uint32_t I = 0; I < 3; ++I) {
      auto Tasks = State.Instances[I].Tasks;
      for (const auto &[JobId, Index] : Tasks)
        State.apply(TaskEnded{.Id = State.findJob(JobId)->attemptId(Index)},
                    Now);
    }
  }
}

void TaskRun::sample() {
  double Cores[2] = {};
  double Accelerators[2] = {};
  for (uint32_t I = 0; I < State.Pool.size(); ++I) {
    Cores[0] += State.Pool.capacity(I).MilliCores;
    Cores[1] += State.Pool.freeCapacity(I).MilliCores;
    Accelerators[0] += State.Pool.capacity(I).Accelerators;
    Accelerators[1] += State.Pool.freeCapacity(I).Accelerators;
  }
  Out.PackingSum += 1 - Cores[1] / Cores[0];
  if (Accelerators[0] > 0)
    Out.AcceleratorSum += 1 - Accelerators[1] / Accelerators[0];
  ++Out.Samples;
}

TaskResult
TaskRun::run(const std::function<std::unique_ptr<Planner>(
                 ShardState &, const config::ClusterConfig &)> &Make) {
  auto Subject = Make(State, Config);
  uint32_t Ticks = 0;
  constexpr uint32_t TicksPerSecond = 10;
  for (; Now - Start < LoadTime; Now += Tick) {
    arrive();
    endDue();
    goWrong();
    TimePoint Before = monotonicNow();
    auto Planned = Subject->plan(Now);
    Out.PlanMicros += static_cast<double>((monotonicNow() - Before).count());
    for (const Record &Each : Planned)
      begin(std::get<TaskStarted>(Each));
    stopAsked();
    if (++Ticks % TicksPerSecond != 0)
      continue;
    Subject->everySecond();
    if (Now - Start > WarmUp)
      sample();
  }
  // What still waits counts with the time it has waited so far.
  for (auto &Each : State.Jobs) {
    for (const TaskState &One : Each.second->Tasks) {
      if (One.Phase != TaskPhase::Pending)
        continue;
      const std::string &Kind = KindOf[Each.first];
      Micros Waited = Now - One.ReadySince;
      Out.WaitedMs[Kind].push_back(toSeconds(Waited) * 1'000);
      Out.Missed[Kind] +=
          Waited > Config.findClass(Each.second->Spec.Class)->WaitingTarget;
      ++Out.NeverStarted;
    }
  }
  return std::move(Out);
}

void print(const std::string &Name, const TaskMix &Mix,
           const TaskResult &Result) {
  auto Mean = [&](double Sum) {
    return 100 * Sum / static_cast<double>(std::max<size_t>(1, Result.Samples));
  };
  for (const JobMix &Each : Mix.Jobs) {
    auto Waited = Result.WaitedMs.find(Each.Spec.Id);
    if (Waited == Result.WaitedMs.end())
      continue;
    double Missed = 100.0 *
                    static_cast<double>(Result.Missed.at(Each.Spec.Id)) /
                    static_cast<double>(Waited->second.size());
    fmt::print("| {} | {} | {:.1f} | {:.1f} | {:.1f} % | {:.0f} % | {:.0f} % "
               "| {:.0f} | {:.1f} |\n",
               Name, Each.Spec.Id, quantile(Waited->second, 0.5) / 1'000,
               quantile(Waited->second, 0.99) / 1'000, Missed,
               Mean(Result.PackingSum), Mean(Result.AcceleratorSum),
               Result.WastedCoreSeconds,
               Result.PlanMicros /
                   static_cast<double>(std::max<size_t>(1, Result.Starts)));
  }
}

void runOne(const TaskMix &Mix, const TaskTrouble &Wrong, double Load) {
  fmt::print("\n### {}, {} times capacity, {}\n\n", Mix.Name, Load, Wrong.Name);
  fmt::print("| planner | work | p50 s | p99 s | missed | cores used | "
             "accelerators used | wasted core s | us a start |\n"
             "|---|---|---|---|---|---|---|---|---|\n");
  print("daisylanding", Mix,
        TaskRun(Mix, Wrong, Load)
            .run([](ShardState &State, const config::ClusterConfig &Config) {
              return std::make_unique<ProductPlanner>(State, Config);
            }));
  for (bool TwoChoices : {false, true}) {
    print(TwoChoices ? "two choices, best fit" : "FIFO, first fit", Mix,
          TaskRun(Mix, Wrong, Load)
              .run([&](ShardState &State, const config::ClusterConfig &) {
                return std::make_unique<FifoPlanner>(State, TwoChoices);
              }));
  }
}

config::JobSpec spec(const std::string &Name, config::JobKind Kind,
                     const std::string &Class, uint32_t Tasks, uint32_t Cores,
                     uint32_t MemoryMb, uint32_t Accelerators,
                     uint32_t Seconds) {
  return {.Id = Name,
          .Kind = Kind,
          .Class = Class,
          .Tasks = Tasks,
          .Size = {.MilliCores = Cores * 1'000,
                   .MemoryMb = MemoryMb,
                   .Accelerators = Accelerators},
          .RunTime = Millis(Seconds * 1'000),
          .MaxFailures = 1'000};
}

} // namespace

void runTaskScenarios() {
  using config::JobKind;
  const TaskMix Sohar = {
      "sohar",
      {{35, {16'000, 64'000, 0}}, {13, {128'000, 256'000, 8}}},
      {{.Name = "urgent", .WaitingTarget = Millis(3'200), .PackingTarget = 0.2},
       {.Name = "imaging",
        .WaitingTarget = Millis(10'000),
        .PackingTarget = 0.6},
       {.Name = "bulk", .WaitingTarget = Millis(30'000), .PackingTarget = 0.8}},
      {{spec("urgent", JobKind::Batch, "urgent", 2, 2, 2'000, 0, 3), 0.25},
       {spec("stamps", JobKind::Batch, "imaging", 4, 8, 16'000, 1, 12), 0.25},
       {spec("gang", JobKind::Gang, "bulk", 4, 32, 64'000, 4, 20), 0.05},
       {spec("bulk", JobKind::Batch, "bulk", 20, 4, 8'000, 0, 15), 0.45}}};
  const TaskMix Akureyri = {
      "akureyri",
      {{35, {64'000, 128'000, 0}}, {13, {64'000, 256'000, 8}}},
      {{.Name = "urgent", .WaitingTarget = Millis(3'200), .PackingTarget = 0.4},
       {.Name = "score", .WaitingTarget = Millis(20'000), .PackingTarget = 0.9},
       {.Name = "batch",
        .WaitingTarget = Millis(60'000),
        .PackingTarget = 0.9}},
      {{spec("recall", JobKind::Batch, "urgent", 2, 4, 4'000, 1, 3), 0.2},
       {spec("score", JobKind::Batch, "score", 6, 4, 24'000, 1, 15), 0.35},
       {spec("train", JobKind::Gang, "score", 3, 16, 64'000, 8, 30), 0.05},
       {spec("readings", JobKind::Batch, "batch", 30, 8, 8'000, 0, 20), 0.4}}};
  const TaskTrouble Well = {.Name = "all well"};
  for (const TaskMix *Mix : {&Sohar, &Akureyri}) {
    for (double Load : {0.5, 0.9, 1.2, 3.0})
      runOne(*Mix, Well, Load);
    runOne(*Mix,
           {.Name = "run times twice the declared", .TrueOverDeclared = 2},
           0.9);
    runOne(*Mix, {.Name = "one worker fails everything", .FailingWorker = true},
           0.9);
    runOne(*Mix, {.Name = "half of all jobs cancelled", .CancelWave = true},
           1.2);
    runOne(*Mix, {.Name = "a rack lost", .LoseRack = true}, 0.9);
  }
}

} // namespace daisylanding::bench
