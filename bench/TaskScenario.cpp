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

constexpr Millis TickLength{100};
constexpr Millis LoadDuration{300'000};
constexpr Millis WarmUpTime{30'000};
/// Time a worker takes to checkpoint and stop a task.
constexpr Millis CheckpointStopTime{300};

struct JobTemplate {
  config::JobSpec Spec; ///< Its id names the job kind.
  double JobShare;      ///< Share of all jobs, 0 to 1.
};

struct WorkloadMix {
  std::string Name;
  /// Numbers of workers and the capacity of each.
  std::vector<std::pair<uint32_t, table::Resources>> Workers;
  std::vector<config::WorkClass> Classes;
  std::vector<JobTemplate> JobTemplates;
};

/// Faults injected into one simulation.
struct Faults {
  std::string Name;
  double RunTimeFactor = 1;      ///< Actual over declared run time.
  bool FirstWorkerFails = false; ///< Every task on worker w0 fails.
  bool CancelHalfOfJobs = false; ///< Halfway through the load.
  bool RackLost = false;         ///< Three workers, halfway through the load.
};

/// The planner under test: chooses which tasks start on which instances.
class Planner {
public:
  virtual ~Planner() = default;
  virtual std::vector<Record> plan(TimePoint Now) = 0;
  /// Called once per second of virtual time.
  virtual void adjustTargets() {}
};

/// The scheduler of the shard loop.
class SchedulerPlanner final : public Planner {
public:
  SchedulerPlanner(ShardState &State, const config::ClusterConfig &Config)
      : ShardScheduler(State), Config(Config) {}
  std::vector<Record> plan(TimePoint Now) override {
    return ShardScheduler.plan(Config, Now, UINT32_MAX);
  }
  void adjustTargets() override { ShardScheduler.adjustTightness(Config); }

private:
  Scheduler ShardScheduler;
  const config::ClusterConfig &Config;
};

/// Baseline: jobs in the order of their arrival. Each task takes the first
/// instance that it fits, or the fuller of two drawn at random; if neither of
/// the two fits, the first that does. A gang waits until all its tasks fit.
class FifoPlanner final : public Planner {
public:
  FifoPlanner(ShardState &State, bool UseTwoChoices)
      : State(State), UseTwoChoices(UseTwoChoices) {}

  std::vector<Record> plan(TimePoint Now) override {
    std::vector<JobState *> JobsByArrival;
    for (auto &IdAndJob : State.Jobs) {
      if (IdAndJob.second->PendingTasks > 0)
        JobsByArrival.push_back(IdAndJob.second.get());
    }
    std::sort(JobsByArrival.begin(), JobsByArrival.end(),
              [](const JobState *Left, const JobState *Right) {
                return Left->AcceptedAt < Right->AcceptedAt;
              });
    std::vector<Record> StartRecords;
    for (JobState *NextJob : JobsByArrival)
      planJob(*NextJob, Now, StartRecords);
    return StartRecords;
  }

private:
  void planJob(JobState &PlannedJob, TimePoint Now,
               std::vector<Record> &StartRecords) {
    bool IsGang = PlannedJob.Spec.Kind == config::JobKind::Gang;
    if (IsGang && State.Pool.countFitting(PlannedJob.Spec.Size, false) <
                      PlannedJob.PendingTasks)
      return;
    for (uint32_t I = 0; I < PlannedJob.Tasks.size(); ++I) {
      const TaskState &NextTask = PlannedJob.Tasks[I];
      if (NextTask.Phase != TaskPhase::Pending || NextTask.NotBefore > Now)
        continue;
      auto InstanceIndex = UseTwoChoices ? pickFullerOfTwo(PlannedJob.Spec.Size)
                                         : findFirstFit(PlannedJob.Spec.Size);
      if (!InstanceIndex)
        return;
      TaskStarted Start{.Id = {PlannedJob.Spec.Id, I, NextTask.Attempt + 1},
                        .Instance = State.Instances[*InstanceIndex].Name,
                        .Size = PlannedJob.Spec.Size};
      State.apply(Start, Now);
      StartRecords.push_back(std::move(Start));
    }
  }

  bool fits(uint32_t Index, const table::Resources &Size) const {
    return State.Pool.isUsable(Index) &&
           Size.fitsIn(State.Pool.freeCapacity(Index));
  }

  std::optional<uint32_t> findFirstFit(const table::Resources &Size) const {
    for (uint32_t I = 0; I < State.Pool.size(); ++I) {
      if (fits(I, Size))
        return I;
    }
    return std::nullopt;
  }

  std::optional<uint32_t> pickFullerOfTwo(const table::Resources &Size) {
    auto First = static_cast<uint32_t>(Generator.below(State.Pool.size()));
    auto Second = static_cast<uint32_t>(Generator.below(State.Pool.size()));
    if (!fits(First, Size) && !fits(Second, Size))
      return findFirstFit(Size);
    if (!fits(First, Size))
      return Second;
    bool SecondIsFuller =
        fits(Second, Size) && State.Pool.freeCapacity(Second).MilliCores <
                                  State.Pool.freeCapacity(First).MilliCores;
    return SecondIsFuller ? Second : First;
  }

  ShardState &State;
  bool UseTwoChoices;
  Random Generator{1};
};

struct SimulationResult {
  std::map<std::string, std::vector<double>> WaitingMsByKind;
  std::map<std::string, size_t> MissedByKind;
  double CoreUseSum = 0; ///< Used share, 0 to 1, added up over the samples.
  double AcceleratorUseSum = 0; ///< Likewise.
  size_t SampleCount = 0;
  double WastedCoreSeconds = 0;
  double PlanMicros = 0; ///< Wall time spent in the planner.
  size_t StartCount = 0;
  size_t NeverStartedCount = 0; ///< Tasks pending at the end.
};

/// Simulates callers and workers of one shard in virtual time.
class TaskSimulation {
public:
  TaskSimulation(const WorkloadMix &Mix, const Faults &ActiveFaults,
                 double LoadFactor);
  SimulationResult
  run(const std::function<std::unique_ptr<Planner>(
          ShardState &, const config::ClusterConfig &)> &MakePlanner);

private:
  struct AttemptEnd {
    TimePoint EndTime;
    AttemptId Id;
    EndKind Reason;
    bool operator>(const AttemptEnd &Other) const {
      return EndTime > Other.EndTime;
    }
  };

  void submitDueJobs();
  void submitJob(const JobTemplate &Template);
  void startTask(const TaskStarted &Start);
  void applyDueEnds();
  void scheduleRequestedStops();
  void injectFaults();
  void sampleUtilization();
  double arrivalRate(double LoadFactor) const;

  const WorkloadMix &Mix;
  const Faults &ActiveFaults;
  config::ClusterConfig Config;
  ShardState State{1};
  policy::OutlierDetector Health{{.FailuresToEject = 3}};
  std::vector<table::Instance> ListedInstances;
  Random Generator{11};
  double JobsPerSecond = 0;
  TimePoint Now{Micros(std::chrono::hours(1))};
  TimePoint StartTime = Now;
  TimePoint NextArrival = Now;
  uint32_t NextId = 0;
  std::map<std::string, std::string> KindByJobId;
  /// Seconds of work saved by checkpoints, by job id and task index.
  std::map<std::pair<std::string, uint32_t>, double> CheckpointedSeconds;
  std::priority_queue<AttemptEnd, std::vector<AttemptEnd>, std::greater<>>
      PendingEnds;
  SimulationResult Result;
};

TaskSimulation::TaskSimulation(const WorkloadMix &Mix,
                               const Faults &ActiveFaults, double LoadFactor)
    : Mix(Mix), ActiveFaults(ActiveFaults) {
  Config.Classes = Mix.Classes;
  uint32_t WorkerIndex = 0;
  constexpr uint32_t WorkersPerRack = 4;
  for (const auto &[Count, Capacity] : Mix.Workers) {
    for (uint32_t I = 0; I < Count; ++I) {
      std::string Name = fmt::format("w{}", WorkerIndex);
      ListedInstances.push_back(
          {.Name = Name,
           .Kind = table::Role::Worker,
           .Rack = fmt::format("r{}", WorkerIndex++ / WorkersPerRack),
           .Address = Name,
           .Capacity = Capacity});
    }
  }
  State.applyInstances(ListedInstances, {});
  Health.resize(ListedInstances.size());
  JobsPerSecond = arrivalRate(LoadFactor);
}

/// Jobs per second that need \p LoadFactor times the capacity of the scarcer of
/// cores and accelerators.
double TaskSimulation::arrivalRate(double LoadFactor) const {
  double TotalMilliCores = 0;
  double TotalAccelerators = 0;
  for (const table::Instance &Worker : ListedInstances) {
    TotalMilliCores += Worker.Capacity.MilliCores;
    TotalAccelerators += Worker.Capacity.Accelerators;
  }
  double MilliCoreSecondsPerJob = 0;
  double AcceleratorSecondsPerJob = 0;
  for (const JobTemplate &Template : Mix.JobTemplates) {
    double RunSeconds = toSeconds(Template.Spec.RunTime) * Template.Spec.Tasks *
                        Template.JobShare * ActiveFaults.RunTimeFactor;
    MilliCoreSecondsPerJob += RunSeconds * Template.Spec.Size.MilliCores;
    AcceleratorSecondsPerJob += RunSeconds * Template.Spec.Size.Accelerators;
  }
  double JobRate = TotalMilliCores / MilliCoreSecondsPerJob;
  if (AcceleratorSecondsPerJob > 0)
    JobRate = std::min(JobRate, TotalAccelerators / AcceleratorSecondsPerJob);
  return JobRate * LoadFactor;
}

void TaskSimulation::submitJob(const JobTemplate &Template) {
  config::JobSpec Spec = Template.Spec;
  Spec.Id = fmt::format("{}-{}", Template.Spec.Id, NextId++);
  KindByJobId[Spec.Id] = Template.Spec.Id;
  State.apply(JobAccepted{Spec}, Now);
}

void TaskSimulation::submitDueJobs() {
  while (NextArrival <= Now) {
    double Draw = Generator.uniform();
    const JobTemplate *DrawnTemplate = &Mix.JobTemplates.back();
    for (const JobTemplate &Template : Mix.JobTemplates) {
      Draw -= Template.JobShare;
      if (Draw < 0) {
        DrawnTemplate = &Template;
        break;
      }
    }
    submitJob(*DrawnTemplate);
    double GapSeconds = -std::log(1 - Generator.uniform()) / JobsPerSecond;
    NextArrival += Micros(static_cast<int64_t>(GapSeconds * 1e6));
  }
}

void TaskSimulation::startTask(const TaskStarted &Start) {
  State.onStartWritten(Start.Id, Now);
  JobState &OwningJob = *State.findJob(Start.Id.Job);
  TaskState &StartedTask = OwningJob.Tasks[Start.Id.Index];
  Micros WaitingTime = Now - StartedTask.ReadySince;
  const std::string &Kind = KindByJobId[Start.Id.Job];
  ++Result.StartCount;
  if (Now - StartTime > WarmUpTime) {
    Result.WaitingMsByKind[Kind].push_back(toSeconds(WaitingTime) * 1'000);
    Result.MissedByKind[Kind] +=
        WaitingTime > Config.findClass(OwningJob.Spec.Class)->WaitingTarget;
  }
  if (ActiveFaults.FirstWorkerFails && Start.Instance == "w0") {
    PendingEnds.push({Now + TickLength, Start.Id, EndKind::Failed});
    return;
  }
  double RunTimeSpread = 0.7 + 0.6 * Generator.uniform();
  double RunSeconds = toSeconds(OwningJob.Spec.RunTime) *
                      ActiveFaults.RunTimeFactor * RunTimeSpread;
  RunSeconds = std::max(
      0.1, RunSeconds - CheckpointedSeconds[{Start.Id.Job, Start.Id.Index}]);
  PendingEnds.push({Now + Micros(static_cast<int64_t>(RunSeconds * 1e6)),
                    Start.Id, EndKind::Succeeded});
}

void TaskSimulation::applyDueEnds() {
  while (!PendingEnds.empty() && PendingEnds.top().EndTime <= Now) {
    AttemptEnd End = PendingEnds.top();
    PendingEnds.pop();
    TaskState *EndedTask = State.findActiveAttempt(End.Id);
    if (!EndedTask)
      continue;
    uint32_t InstanceIndex = EndedTask->Instance;
    Millis RunTime(toMillis(Now - EndedTask->StartedAt));
    double LostSeconds = toSeconds(Now - EndedTask->StartedAt);
    if (End.Reason == EndKind::Stopped) {
      CheckpointedSeconds[{End.Id.Job, End.Id.Index}] +=
          LostSeconds - toSeconds(CheckpointStopTime);
      LostSeconds = toSeconds(CheckpointStopTime);
    }
    if (End.Reason != EndKind::Succeeded)
      Result.WastedCoreSeconds +=
          LostSeconds * EndedTask->ReservedSize.MilliCores / 1'000;
    State.apply(TaskEnded{End.Id, End.Reason, {}, RunTime}, Now);
    if (End.Reason == EndKind::Failed)
      Health.recordFailure(InstanceIndex, Now);
    else if (End.Reason == EndKind::Succeeded)
      Health.recordSuccess(InstanceIndex);
  }
  for (Record &EndRecord : State.findJobEnds())
    State.apply(EndRecord, Now);
  for (uint32_t I = 0; I < State.Instances.size(); ++I)
    State.Pool.setUsable(I, !State.Instances[I].Gone &&
                                Health.isAvailable(I, Now));
}

/// Running tasks that were asked to stop end after CheckpointStopTime, with a
/// checkpoint.
void TaskSimulation::scheduleRequestedStops() {
  for (auto &IdAndJob : State.Jobs) {
    for (uint32_t I = 0; I < IdAndJob.second->Tasks.size(); ++I) {
      TaskState &StoppedTask = IdAndJob.second->Tasks[I];
      if (!StoppedTask.StopRequested || StoppedTask.Phase != TaskPhase::Running)
        continue;
      StoppedTask.StopRequested = false;
      PendingEnds.push({Now + CheckpointStopTime, IdAndJob.second->attemptId(I),
                        EndKind::Stopped});
    }
  }
}

void TaskSimulation::injectFaults() {
  bool AtHalfTime = Now - StartTime == LoadDuration / 2;
  if (!AtHalfTime)
    return;
  if (ActiveFaults.CancelHalfOfJobs) {
    std::vector<std::string> CancelledJobIds;
    for (auto &IdAndJob : State.Jobs) {
      if (Generator.uniform() < 0.5)
        CancelledJobIds.push_back(IdAndJob.first);
    }
    for (const std::string &JobId : CancelledJobIds)
      State.apply(JobStopped{JobId}, Now);
  }
  if (ActiveFaults.RackLost) {
    ListedInstances.erase(ListedInstances.begin(), ListedInstances.begin() + 3);
    State.applyInstances(ListedInstances, {});
    for (uint32_t I = 0; I < 3; ++I) {
      auto Tasks = State.Instances[I].Tasks;
      for (const auto &[JobId, Index] : Tasks)
        State.apply(TaskEnded{.Id = State.findJob(JobId)->attemptId(Index)},
                    Now);
    }
  }
}

void TaskSimulation::sampleUtilization() {
  // Index 0 holds the capacity, index 1 the free part.
  double MilliCores[2] = {};
  double Accelerators[2] = {};
  for (uint32_t I = 0; I < State.Pool.size(); ++I) {
    MilliCores[0] += State.Pool.capacity(I).MilliCores;
    MilliCores[1] += State.Pool.freeCapacity(I).MilliCores;
    Accelerators[0] += State.Pool.capacity(I).Accelerators;
    Accelerators[1] += State.Pool.freeCapacity(I).Accelerators;
  }
  Result.CoreUseSum += 1 - MilliCores[1] / MilliCores[0];
  if (Accelerators[0] > 0)
    Result.AcceleratorUseSum += 1 - Accelerators[1] / Accelerators[0];
  ++Result.SampleCount;
}

SimulationResult TaskSimulation::run(
    const std::function<std::unique_ptr<Planner>(
        ShardState &, const config::ClusterConfig &)> &MakePlanner) {
  auto PlannerUnderTest = MakePlanner(State, Config);
  uint32_t TickCount = 0;
  constexpr uint32_t TicksPerSecond = 10;
  for (; Now - StartTime < LoadDuration; Now += TickLength) {
    submitDueJobs();
    applyDueEnds();
    injectFaults();
    TimePoint PlanStart = monotonicNow();
    auto StartRecords = PlannerUnderTest->plan(Now);
    Result.PlanMicros +=
        static_cast<double>((monotonicNow() - PlanStart).count());
    for (const Record &StartRecord : StartRecords)
      startTask(std::get<TaskStarted>(StartRecord));
    scheduleRequestedStops();
    if (++TickCount % TicksPerSecond != 0)
      continue;
    PlannerUnderTest->adjustTargets();
    if (Now - StartTime > WarmUpTime)
      sampleUtilization();
  }
  // Tasks that are still pending count with the time they have waited so far.
  for (auto &IdAndJob : State.Jobs) {
    for (const TaskState &WaitingTask : IdAndJob.second->Tasks) {
      if (WaitingTask.Phase != TaskPhase::Pending)
        continue;
      const std::string &Kind = KindByJobId[IdAndJob.first];
      Micros WaitingTime = Now - WaitingTask.ReadySince;
      Result.WaitingMsByKind[Kind].push_back(toSeconds(WaitingTime) * 1'000);
      Result.MissedByKind[Kind] +=
          WaitingTime >
          Config.findClass(IdAndJob.second->Spec.Class)->WaitingTarget;
      ++Result.NeverStartedCount;
    }
  }
  return std::move(Result);
}

void printResult(const std::string &PlannerName, const WorkloadMix &Mix,
                 const SimulationResult &Result) {
  auto MeanPercent = [&](double Sum) {
    return 100 * Sum /
           static_cast<double>(std::max<size_t>(1, Result.SampleCount));
  };
  for (const JobTemplate &Template : Mix.JobTemplates) {
    auto WaitingMs = Result.WaitingMsByKind.find(Template.Spec.Id);
    if (WaitingMs == Result.WaitingMsByKind.end())
      continue;
    double MissedPercent =
        100.0 * static_cast<double>(Result.MissedByKind.at(Template.Spec.Id)) /
        static_cast<double>(WaitingMs->second.size());
    fmt::print("| {} | {} | {:.1f} | {:.1f} | {:.1f} % | {:.0f} % | {:.0f} % "
               "| {:.0f} | {:.1f} |\n",
               PlannerName, Template.Spec.Id,
               quantile(WaitingMs->second, 0.5) / 1'000,
               quantile(WaitingMs->second, 0.99) / 1'000, MissedPercent,
               MeanPercent(Result.CoreUseSum),
               MeanPercent(Result.AcceleratorUseSum), Result.WastedCoreSeconds,
               Result.PlanMicros /
                   static_cast<double>(std::max<size_t>(1, Result.StartCount)));
  }
}

void runScenario(const WorkloadMix &Mix, const Faults &ActiveFaults,
                 double LoadFactor) {
  fmt::print("\n### {}, {} times capacity, {}\n\n", Mix.Name, LoadFactor,
             ActiveFaults.Name);
  fmt::print("| planner | work | p50 s | p99 s | missed | cores used | "
             "accelerators used | wasted core s | us per start |\n"
             "|---|---|---|---|---|---|---|---|---|\n");
  printResult(
      "daisylanding", Mix,
      TaskSimulation(Mix, ActiveFaults, LoadFactor)
          .run([](ShardState &State, const config::ClusterConfig &Config) {
            return std::make_unique<SchedulerPlanner>(State, Config);
          }));
  for (bool UseTwoChoices : {false, true}) {
    printResult(
        UseTwoChoices ? "two choices, best fit" : "FIFO, first fit", Mix,
        TaskSimulation(Mix, ActiveFaults, LoadFactor)
            .run([&](ShardState &State, const config::ClusterConfig &) {
              return std::make_unique<FifoPlanner>(State, UseTwoChoices);
            }));
  }
}

config::JobSpec makeJobSpec(const std::string &Name, config::JobKind Kind,
                            const std::string &Class, uint32_t TaskCount,
                            uint32_t Cores, uint32_t MemoryMb,
                            uint32_t Accelerators, uint32_t RunSeconds) {
  return {.Id = Name,
          .Kind = Kind,
          .Class = Class,
          .Tasks = TaskCount,
          .Size = {.MilliCores = Cores * 1'000,
                   .MemoryMb = MemoryMb,
                   .Accelerators = Accelerators},
          .RunTime = Millis(RunSeconds * 1'000),
          .MaxFailures = 1'000};
}

} // namespace

void runTaskScenarios() {
  using config::JobKind;
  const WorkloadMix Sohar = {
      "sohar",
      {{35, {16'000, 64'000, 0}}, {13, {128'000, 256'000, 8}}},
      {{.Name = "urgent", .WaitingTarget = Millis(3'200), .PackingTarget = 0.2},
       {.Name = "imaging",
        .WaitingTarget = Millis(10'000),
        .PackingTarget = 0.6},
       {.Name = "bulk", .WaitingTarget = Millis(30'000), .PackingTarget = 0.8}},
      {{makeJobSpec("urgent", JobKind::Batch, "urgent", 2, 2, 2'000, 0, 3),
        0.25},
       {makeJobSpec("stamps", JobKind::Batch, "imaging", 4, 8, 16'000, 1, 12),
        0.25},
       {makeJobSpec("gang", JobKind::Gang, "bulk", 4, 32, 64'000, 4, 20), 0.05},
       {makeJobSpec("bulk", JobKind::Batch, "bulk", 20, 4, 8'000, 0, 15),
        0.45}}};
  const WorkloadMix Akureyri = {
      "akureyri",
      {{35, {64'000, 128'000, 0}}, {13, {64'000, 256'000, 8}}},
      {{.Name = "urgent", .WaitingTarget = Millis(3'200), .PackingTarget = 0.4},
       {.Name = "score", .WaitingTarget = Millis(20'000), .PackingTarget = 0.9},
       {.Name = "batch",
        .WaitingTarget = Millis(60'000),
        .PackingTarget = 0.9}},
      {{makeJobSpec("recall", JobKind::Batch, "urgent", 2, 4, 4'000, 1, 3),
        0.2},
       {makeJobSpec("score", JobKind::Batch, "score", 6, 4, 24'000, 1, 15),
        0.35},
       {makeJobSpec("train", JobKind::Gang, "score", 3, 16, 64'000, 8, 30),
        0.05},
       {makeJobSpec("readings", JobKind::Batch, "batch", 30, 8, 8'000, 0, 20),
        0.4}}};
  const Faults NoFaults = {.Name = "no faults"};
  for (const WorkloadMix *Mix : {&Sohar, &Akureyri}) {
    for (double LoadFactor : {0.5, 0.9, 1.2, 3.0})
      runScenario(*Mix, NoFaults, LoadFactor);
    runScenario(
        *Mix,
        {.Name = "actual run times twice the declared", .RunTimeFactor = 2},
        0.9);
    runScenario(
        *Mix, {.Name = "one worker fails every task", .FirstWorkerFails = true},
        0.9);
    runScenario(
        *Mix, {.Name = "half of all jobs cancelled", .CancelHalfOfJobs = true},
        1.2);
    runScenario(*Mix, {.Name = "one rack lost", .RackLost = true}, 0.9);
  }
}

} // namespace daisylanding::bench
