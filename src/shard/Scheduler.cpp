#include "shard/Scheduler.h"

#include <algorithm>
#include <array>
#include <set>

namespace daisylanding::shard {

namespace {

/// Classes with a waiting target up to this may preempt others.
constexpr Millis UrgentTarget{5'000};

/// A blocked task gets a reservation when this part of its waiting target is
/// used up; a gang gets one at once.
constexpr int64_t ReserveAfterDivisor = 2;

/// Allowed for a task to checkpoint and for its end to be heard of.
constexpr Millis TimeToStop{1'500};

/// The time allowed for preempted tasks to stop before more are preempted.
constexpr Millis PreemptionPatience{2'000};

/// For how many tasks of a job room is made at once.
constexpr uint32_t MaxPreemptionsAtOnce = 32;

/// How many jobs one plan looks at.
constexpr size_t MaxCandidates = 4'096;

table::Resources times(const table::Resources &Size, uint32_t Count) {
  return {.MilliCores = Size.MilliCores * Count,
          .MemoryMb = Size.MemoryMb * Count,
          .Accelerators = Size.Accelerators * Count};
}

/// The class of a job; jobs whose class was removed go on as lax work.
const config::WorkClass &classOf(const config::ClusterConfig &Config,
                                 const Job &Owner) {
  static const config::WorkClass Removed = {
      .Name = "(removed)", .WaitingTarget = std::chrono::minutes(1)};
  const config::WorkClass *Found = Config.findClass(Owner.Spec.Class);
  return Found ? *Found : Removed;
}

TimePoint oldestReady(const Job &Owner, TimePoint Now) {
  TimePoint Oldest = TimePoint::max();
  for (const Task &Each : Owner.Tasks) {
    if (Each.Phase == TaskPhase::Pending && Each.NotBefore <= Now)
      Oldest = std::min(Oldest, Each.ReadySince);
  }
  return Oldest;
}

} // namespace

std::vector<Scheduler::Candidate>
Scheduler::candidates(const config::ClusterConfig &Config,
                      TimePoint Now) const {
  std::vector<Candidate> Out;
  std::set<std::string_view> Waiting;
  for (const auto &Each : State.Jobs) {
    Job &Owner = *Each.second;
    if (Owner.Pending == 0)
      continue;
    const config::WorkClass *Class = &classOf(Config, Owner);
    TimePoint Ready = oldestReady(Owner, Now);
    if (Ready == TimePoint::max())
      continue;
    Waiting.insert(Class->Name);
    Out.push_back(
        {.Due = Ready + Class->WaitingTarget, .Owner = &Owner, .Class = Class});
  }
  auto Shares = classShares();
  double Fair = 1 / static_cast<double>(std::max<size_t>(1, Waiting.size()));
  for (Candidate &Each : Out)
    Each.OverShare = Shares[Each.Class->Name] > Fair;
  auto Sooner = [](const Candidate &Left, const Candidate &Right) {
    if (Left.OverShare != Right.OverShare)
      return Right.OverShare;
    return Left.Due < Right.Due;
  };
  size_t Kept = std::min(Out.size(), MaxCandidates);
  std::partial_sort(Out.begin(),
                    Out.begin() + static_cast<std::ptrdiff_t>(Kept), Out.end(),
                    Sooner);
  Out.resize(Kept);
  return Out;
}

/// The part of the shard that each class's running tasks hold, in the resource
/// of which they hold most.
std::map<std::string_view, double> Scheduler::classShares() const {
  std::map<std::string_view, std::array<double, 3>> Held;
  std::array<double, 3> Whole = {1, 1, 1};
  for (uint32_t I = 0; I < State.Pool.size(); ++I) {
    Whole[0] += State.Pool.capacity(I).MilliCores;
    Whole[1] += State.Pool.capacity(I).MemoryMb;
    Whole[2] += State.Pool.capacity(I).Accelerators;
  }
  for (const auto &Each : State.Jobs) {
    const Job &Owner = *Each.second;
    auto &Sum = Held[Owner.Spec.Class];
    const table::Resources &Size = Owner.Estimate.size();
    Sum[0] += static_cast<double>(Size.MilliCores) * Owner.Active;
    Sum[1] += static_cast<double>(Size.MemoryMb) * Owner.Active;
    Sum[2] += static_cast<double>(Size.Accelerators) * Owner.Active;
  }
  std::map<std::string_view, double> Out;
  for (const auto &[Class, Sum] : Held)
    Out[Class] =
        std::max({Sum[0] / Whole[0], Sum[1] / Whole[1], Sum[2] / Whole[2]});
  return Out;
}

/// What tasks with accelerators need beside each, on the average of those that
/// wait or run; nothing when there are none.
table::Resources Scheduler::needPerAccelerator() const {
  uint64_t Cores = 0;
  uint64_t Memory = 0;
  uint64_t Accelerators = 0;
  for (const auto &Each : State.Jobs) {
    const Job &Owner = *Each.second;
    const table::Resources &Size = Owner.Estimate.size();
    uint64_t Tasks = Owner.Pending + Owner.Active;
    if (!Size.Accelerators)
      continue;
    Cores += Tasks * Size.MilliCores;
    Memory += Tasks * Size.MemoryMb;
    Accelerators += Tasks * Size.Accelerators;
  }
  if (!Accelerators)
    return {};
  return {.MilliCores = static_cast<uint32_t>(Cores / Accelerators),
          .MemoryMb = static_cast<uint32_t>(Memory / Accelerators)};
}

std::vector<Record> Scheduler::plan(const config::ClusterConfig &Config,
                                    TimePoint Now, size_t MaxStarts) {
  Current = &Config;
  Planned.clear();
  Blocked.clear();
  dropStaleReservation();
  std::erase_if(PreemptingUntil,
                [&](const auto &Each) { return Each.second <= Now; });
  countQuotaUse(Config);
  KeepPerAccelerator = needPerAccelerator();
  for (const Candidate &Each : candidates(Config, Now)) {
    if (Planned.size() >= MaxStarts)
      break;
    planJob(Each, Now, MaxStarts);
  }
  return std::move(Planned);
}

void Scheduler::planJob(const Candidate &Each, TimePoint Now,
                        size_t MaxStarts) {
  Job &Owner = *Each.Owner;
  if (Owner.Spec.Kind == config::JobKind::Gang) {
    if (!planGang(Each, Now))
      blocked(Each, Owner.Pending, Each.Due - Each.Class->WaitingTarget, Now);
    return;
  }
  RackCounts.clear();
  if (Owner.Spec.Kind == config::JobKind::Service)
    RackCounts = rackLoad(Owner);
  for (uint32_t I = 0; I < Owner.Tasks.size(); ++I) {
    Task &One = Owner.Tasks[I];
    if (One.Phase != TaskPhase::Pending || One.NotBefore > Now)
      continue;
    if (Planned.size() >= MaxStarts || !withinQuota(Each, 1))
      return;
    if (!planTask(Each, I, Now)) {
      blocked(Each, 1, One.ReadySince, Now);
      return;
    }
  }
}

policy::PlacementRequest Scheduler::requestFor(const Candidate &Each,
                                               TimePoint Now) {
  const Job &Owner = *Each.Owner;
  policy::PlacementRequest Request{
      .Size = Owner.Estimate.size(),
      .Tightness = Tightness[Each.Class->Name].tightness(),
      .RackLoad = RackCounts,
      .KeepPerAccelerator = KeepPerAccelerator,
      .OwnsReservation = Reserved && Reserved->Job == Owner.Spec.Id};
  // What fits nowhere else may not be kept out for ever.
  if (!State.Pool.fitsWithoutAccelerators(Request.Size))
    Request.KeepPerAccelerator = {};
  if (Owner.Spec.Kind != config::JobKind::Service)
    Request.ExpectedEnd = Now + Owner.Estimate.runTime();
  return Request;
}

bool Scheduler::planGang(const Candidate &Each, TimePoint Now) {
  Job &Owner = *Each.Owner;
  if (Owner.Pending < Owner.Tasks.size() || !withinQuota(Each, Owner.Pending))
    return true; // Not ready as a whole; no room would help.
  RackCounts.clear();
  auto Places =
      policy::placeGang(State.Pool, requestFor(Each, Now), Owner.Pending);
  if (!Places)
    return false;
  for (uint32_t I = 0; I < Owner.Tasks.size(); ++I)
    start(Owner, I, (*Places)[I], Now);
  return true;
}

/// Whether a request no harder than \p Request failed in this plan.
bool Scheduler::knownBlocked(const policy::PlacementRequest &Request) const {
  return std::any_of(Blocked.begin(), Blocked.end(),
                     [&](const policy::PlacementRequest &Each) {
                       return Each.Size.fitsIn(Request.Size) &&
                              Request.ExpectedEnd >= Each.ExpectedEnd &&
                              (Each.Size.Accelerators > 0) ==
                                  (Request.Size.Accelerators > 0) &&
                              !Request.OwnsReservation;
                     });
}

bool Scheduler::planTask(const Candidate &Each, uint32_t Index, TimePoint Now) {
  Job &Owner = *Each.Owner;
  auto Request = requestFor(Each, Now);
  if (knownBlocked(Request))
    return false;
  auto Place = State.Pool.choose(Request);
  if (!Place) {
    Request.RackLoad = {};
    Blocked.push_back(Request);
    return false;
  }
  start(Owner, Index, *Place, Now);
  if (!RackCounts.empty())
    ++RackCounts[State.Pool.rack(*Place)];
  return true;
}

void Scheduler::start(Job &Owner, uint32_t Index, uint32_t Instance,
                      TimePoint Now) {
  Task &One = Owner.Tasks[Index];
  const config::WorkClass *Class = &classOf(*Current, Owner);
  Tightness[Class->Name].sawWaiting(Now - One.ReadySince, Class->WaitingTarget);
  TaskStarted Started{.Id = {Owner.Spec.Id, Index, One.Attempt + 1},
                      .Instance = State.Instances[Instance].Name,
                      .Size = Owner.Estimate.size(),
                      .Leased =
                          Class->ZoneLoss == config::ZoneLossPolicy::Move};
  auto Demand = QuotaDemands.find(Owner.Spec.Team);
  if (Demand != QuotaDemands.end())
    Demand->second.Used += Started.Size;
  State.apply(Started, Now);
  Planned.push_back(std::move(Started));
  if (Reserved && Reserved->Job == Owner.Spec.Id) {
    Reserved.reset();
    State.Pool.clearReservations();
  }
}

std::vector<uint32_t> Scheduler::rackLoad(const Job &Owner) const {
  std::vector<uint32_t> Out;
  for (uint32_t I = 0; I < State.Pool.size(); ++I)
    Out.resize(std::max<size_t>(Out.size(), State.Pool.rack(I) + 1));
  for (const Task &Each : Owner.Tasks) {
    if (Each.Instance != NoInstance)
      ++Out[State.Pool.rack(Each.Instance)];
  }
  return Out;
}

void Scheduler::countQuotaUse(const config::ClusterConfig &Config) {
  QuotaDemands.clear();
  for (const config::Team &Each : Config.Teams)
    QuotaDemands[Each.Name];
  for (const auto &Each : State.Jobs) {
    auto Demand = QuotaDemands.find(Each.second->Spec.Team);
    if (Demand == QuotaDemands.end())
      continue;
    for (const Task &One : Each.second->Tasks) {
      if (One.Instance != NoInstance)
        Demand->second.Used += One.Recorded;
    }
  }
  for (auto &Each : QuotaDemands)
    Each.second.Wanted = Each.second.Used;
}

/// Whether the team's share covers \p Tasks more; else asks for more of it.
bool Scheduler::withinQuota(const Candidate &Each, uint32_t Tasks) {
  auto Demand = QuotaDemands.find(Each.Owner->Spec.Team);
  if (Demand == QuotaDemands.end())
    return Each.Owner->Spec.Team.empty();
  table::Resources Size = Each.Owner->Estimate.size();
  table::Resources Total = Demand->second.Used;
  Total += times(Size, Tasks);
  if (Total.fitsIn(QuotaShares[Each.Owner->Spec.Team]))
    return true;
  Demand->second.Wanted = Demand->second.Used;
  Demand->second.Wanted += times(Size, Each.Owner->Pending);
  return false;
}

void Scheduler::blocked(const Candidate &Each, uint32_t Tasks,
                        TimePoint ReadySince, TimePoint Now) {
  bool Gang = Each.Owner->Spec.Kind == config::JobKind::Gang;
  Micros Waited = Now - ReadySince;
  bool Urgent = !Gang && Each.Class->WaitingTarget <= UrgentTarget;
  if (Urgent && !Each.OverShare && !fitsInTime(Each, Now))
    preemptFor(Each, Now);
  bool Overdue = Waited * ReserveAfterDivisor > Each.Class->WaitingTarget;
  if (!Reserved && (Gang || Overdue))
    reserveFor(Each, Tasks, Now);
}

std::vector<policy::RunningTask> Scheduler::running(TimePoint Now) const {
  std::vector<policy::RunningTask> Out;
  for (const auto &Each : State.Jobs) {
    const Job &Owner = *Each.second;
    bool Endless = Owner.Spec.Kind == config::JobKind::Service;
    for (const Task &One : Owner.Tasks) {
      if (One.Instance == NoInstance)
        continue;
      TimePoint End = Endless
                          ? TimePoint::max()
                          : std::max<TimePoint>(
                                Now, One.StartedAt + Owner.Estimate.runTime());
      Out.push_back({One.Instance, One.Taken, End});
    }
  }
  return Out;
}

void Scheduler::reserveFor(const Candidate &Each, uint32_t Tasks,
                           TimePoint Now) {
  auto Plan = policy::planReservation(State.Pool, running(Now),
                                      Each.Owner->Estimate.size(), Tasks, Now);
  if (!Plan)
    return;
  for (uint32_t Index : Plan->Instances)
    State.Pool.reserve(Index, Plan->Start);
  Reserved = Holder{Each.Owner->Spec.Id, std::move(*Plan)};
}

/// A reservation ends with its job, or when an instance of it can't be used.
/// Otherwise it stays, also past its start: with run times longer than
/// expected the instances drain until the holder fits.
void Scheduler::dropStaleReservation() {
  if (!Reserved)
    return;
  Job *Owner = State.find(Reserved->Job);
  bool Usable = std::all_of(
      Reserved->Plan.Instances.begin(), Reserved->Plan.Instances.end(),
      [&](uint32_t Index) { return State.Pool.usable(Index); });
  if (Owner && Owner->Pending > 0 && Usable)
    return;
  Reserved.reset();
  State.Pool.clearReservations();
}

/// Whether room comes free by itself before the target is missed, with time
/// left to make some if it does not.
bool Scheduler::fitsInTime(const Candidate &Each, TimePoint Now) const {
  auto Plan = policy::planReservation(State.Pool, running(Now),
                                      Each.Owner->Estimate.size(), 1, Now);
  return Plan && Plan->Start + TimeToStop < Each.Due;
}

void Scheduler::preemptFor(const Candidate &Each, TimePoint Now) {
  if (PreemptingUntil.count(Each.Owner->Spec.Id))
    return; // The room made for it is not free yet.
  std::vector<policy::PreemptionCandidate> Candidates;
  std::vector<Task *> Tasks;
  for (const auto &Other : State.Jobs) {
    const config::WorkClass *Class = &classOf(*Current, *Other.second);
    if (Other.second->Spec.Kind != config::JobKind::Batch)
      continue;
    for (Task &One : Other.second->Tasks) {
      if (One.Phase != TaskPhase::Running || One.StopAsked)
        continue;
      Candidates.push_back({.Instance = One.Instance,
                            .Size = One.Taken,
                            .WaitingTarget = Class->WaitingTarget,
                            .Preemptions = One.Preemptions,
                            .Ran = Now - One.StartedAt});
      Tasks.push_back(&One);
    }
  }
  uint32_t Wanted = std::min(Each.Owner->Pending, MaxPreemptionsAtOnce);
  for (uint32_t I = 0; I < Wanted; ++I) {
    auto Plan = policy::planPreemption(State.Pool, Each.Owner->Estimate.size(),
                                       Each.Class->WaitingTarget, Candidates);
    if (!Plan)
      return;
    for (size_t Victim : Plan->Victims) {
      Tasks[Victim]->StopAsked = true;
      Candidates[Victim].Preemptions = policy::MaxPreemptions;
    }
    PreemptingUntil[Each.Owner->Spec.Id] = Now + PreemptionPatience;
  }
}

void Scheduler::adjustTargets(const config::ClusterConfig &Config) {
  double Packing = State.packing();
  for (const config::WorkClass &Each : Config.Classes)
    Tightness[Each.Name].adjust(Packing, Each.PackingTarget);
}

} // namespace daisylanding::shard
