#include "cell/CellOwner.h"

#include "cell/UsefulTime.h"
#include "common/Log.h"

#include <algorithm>
#include <utility>

/// Waits for near places: tasks that run longer away from their data, and gangs
/// that do so across racks.
namespace daisylanding::cell {

namespace {

/// Places are taken to be free once this share of runs like those that use them
/// would have ended.
constexpr double FreeByShare = 0.75;

Millis scale(Millis Time, double Factor) {
  return Millis(
      static_cast<int64_t>(static_cast<double>(Time.count()) * Factor));
}

} // namespace

/// Whether the executors are not all near: to the data, or to each other.
bool CellOwner::isSpread(const StepSpec &Spec,
                         std::span<const ExecutorIndex> Members) const {
  if (Members.empty())
    return false;
  bool NeedsOneRack = Spec.Gang && Spec.Colocate;
  if (Spec.Affinity.empty() && !NeedsOneRack)
    return false;
  const std::string &Rack =
      Spec.Affinity.empty() ? Pool[Members.front()].Info.Rack : Spec.Affinity;
  return std::any_of(Members.begin(), Members.end(), [&](ExecutorIndex I) {
    return Pool[I].Info.Rack != Rack;
  });
}

/// By how much the run is slower than at a near place.
double CellOwner::spreadOf(const TaskKey &Key) const {
  if (Options.SpreadFactor <= 1)
    return 1;
  std::vector<ExecutorIndex> Members{Key.task().Executor};
  if (Key.spec().Gang) {
    for (const LiveTask &Member : Key.step().Tasks)
      Members.push_back(Member.Executor);
  }
  std::erase(Members, NoExecutor);
  return isSpread(Key.spec(), Members) ? Options.SpreadFactor : 1;
}

/// \p Share of the runs like this one end within the result.
Millis CellOwner::timeLeft(const TaskKey &Key, double Share,
                           TimePoint Now) const {
  const LiveTask &Task = Key.task();
  Millis Elapsed(Task.Confirmed ? toMillis(Now - Task.RunningSince) : 0);
  double Slowness = Loads[Task.Executor].Slowness * spreadOf(Key);
  return Times.remaining(runTimeClassOf(Key), Key.spec().Estimate, Elapsed,
                         Slowness, Share);
}

RoomForecast CellOwner::forecastOf(ExecutorIndex Index, TimePoint Now) const {
  RoomForecast Forecast(Pool.freeCapacity(Index));
  for (const TaskKey &Key : OpenRunsByExecutor[Index]) {
    if (Key.spec().LongRunning)
      continue;
    Millis Left = timeLeft(Key, FreeByShare, Now);
    Forecast.addRelease(std::max(Millis(1), Left), demandOf(Key.spec()));
  }
  return Forecast;
}

/// Of the call for a new ticket, if the one for the executor has expired by
/// then.
Millis CellOwner::delayOfStart(const WaitingStepRef &Waiting,
                               const Queue &JobQueue, ExecutorIndex Index,
                               TimePoint StartsAt) const {
  if (!JobQueue.Advice || hasValidTicket(Waiting.step(), Index, StartsAt))
    return Millis(0);
  return Millis(static_cast<int64_t>(CallDelays.factor(JobQueue.Name) *
                                     serviceMs(*JobQueue.Advice, 1)));
}

WaitTerms CellOwner::waitTermsOf(const WaitingStepRef &Waiting,
                                 TimePoint Now) const {
  const StepSpec &Spec = Waiting.spec();
  Millis RunTime =
      Times.typical(runTimeClassOf(Waiting.task(0)), Spec.Estimate);
  WaitTerms Terms{.NearRunTime = RunTime,
                  .FarRunTime = scale(RunTime, Options.SpreadFactor),
                  .Slack = Millis(static_cast<int64_t>(Waiting.SlackMs))};
  const auto &Until = Waiting.step().PlaceWaitUntil;
  if (Until)
    Terms.WaitLeft = std::max(Millis(0), Millis(toMillis(*Until - Now)));
  return Terms;
}

/// Steps without near places to ask for, and those whose run times don't depend
/// on their place alone, are placed as if all places were equal.
bool CellOwner::mayWaitForPlace(const WaitingStepRef &Waiting) const {
  const StepSpec &Spec = Waiting.spec();
  if (Options.SpreadFactor <= 1 || !queueOf(*Waiting.Job) || Spec.LongRunning ||
      Spec.BestEffort || Waiting.SlackMs >= WorthlessSlackMs)
    return false;
  return !Spec.Affinity.empty() || (Spec.Gang && Spec.Colocate);
}

/// \p Rooms numbers the executors that are asked for; it is added to.
PlaceBid CellOwner::bidOf(const WaitingStepRef &Waiting, const Queue &JobQueue,
                          std::map<ExecutorIndex, size_t> &Rooms,
                          TimePoint Now) const {
  const StepSpec &Spec = Waiting.spec();
  TaskCounts TasksByExecutor;
  PlacementRequest Request =
      placementRequestFor(Waiting, &JobQueue, TasksByExecutor);
  PlaceBid Bid{.Demand = demandOf(Spec),
               .Tasks = startableTasks(Waiting),
               .Terms = waitTermsOf(Waiting, Now)};
  Request.AvoidedRack = Spec.Affinity;
  if (auto Far = chooseExecutor(Pool, Loads, Request, Now)) {
    Bid.HasFarPlace = true;
    Bid.Terms.FarRunTime = scale(Bid.Terms.FarRunTime, Loads[*Far].Slowness) +
                           delayOfStart(Waiting, JobQueue, *Far, Now);
  }
  Millis LongestWait = longestWait(Bid.Terms);
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (Pool[I].Info.Rack != Spec.Affinity || !Pool.isUsable(I, Now) ||
        isTooSlow(Loads[I]) || !isSuitable(Pool[I], Spec) ||
        !isAllowed(Request.Permissions, I))
      continue;
    bool IsFree = Pool.hasCapacityFor(I, Bid.Demand);
    TimePoint StartsAt = IsFree ? Now : Now + LongestWait;
    Bid.Places.push_back(
        {.Room = Rooms.try_emplace(I, Rooms.size()).first->second,
         .Slowness = Loads[I].Slowness,
         .StartDelay = delayOfStart(Waiting, JobQueue, I, StartsAt),
         .MaxTasks = placesByAntiAffinity(Spec, TasksByExecutor, I)});
  }
  return Bid;
}

/// Of an executor of the usual size, by a task.
double CellOwner::shareOfExecutor(const StepSpec &Spec) const {
  Resources Total;
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (Pool[I].Listed && Pool[I].Info.Rack == Spec.Affinity &&
        isSuitable(Pool[I], Spec))
      Total = Pool[I].Info.Capacity;
  }
  auto Share = [](uint32_t Part, uint32_t Whole) {
    return static_cast<double>(Part) /
           std::max(1.0, static_cast<double>(Whole));
  };
  return std::max({Share(Spec.Size.MilliCores, Total.MilliCores),
                   Share(Spec.Size.MemoryMb, Total.MemoryMb),
                   Share(Spec.Size.Accelerators, Total.Accelerators)});
}

/// Counts what the step asks of its rack, and by how much others want it.
void CellOwner::countPlaceDemand(const WaitingStepRef &Waiting, PlaceBid &Bid,
                                 TimePoint Now) {
  const std::string &Rack = Waiting.spec().Affinity;
  // Callers may name racks that don't exist.
  if (Bid.Places.empty())
    return;
  if (!std::exchange(Waiting.step().IsDemandCounted, true)) {
    double RunMs = static_cast<double>(Bid.Terms.NearRunTime.count());
    double Work = shareOfExecutor(Waiting.spec()) * RunMs * Bid.Tasks;
    PlaceDemand.add(Rack, Work, Now);
  }
  Bid.Terms.Contention = PlaceDemand.load(Rack, Bid.Places.size(), Now);
}

/// Shares the near places out to the waiting steps. \p Steps are in the order
/// of planning.
void CellOwner::beginPlaceWaits(std::span<const WaitingStepRef> Steps,
                                TimePoint Now) {
  PlaceShares.clear();
  if (Options.SpreadFactor <= 1)
    return;
  std::vector<const WaitingStepRef *> Bidders;
  std::vector<PlaceBid> Bids;
  std::map<ExecutorIndex, size_t> RoomNumbers;
  for (const WaitingStepRef &Waiting : Steps) {
    if (Waiting.spec().Gang || !mayWaitForPlace(Waiting) ||
        startableTasks(Waiting) == 0)
      continue;
    Bidders.push_back(&Waiting);
    Bids.push_back(bidOf(Waiting, *queueOf(*Waiting.Job), RoomNumbers, Now));
    countPlaceDemand(Waiting, Bids.back(), Now);
  }
  std::vector<RoomForecast> Rooms(RoomNumbers.size(), RoomForecast({}));
  for (const auto &[Index, Number] : RoomNumbers)
    Rooms[Number] = forecastOf(Index, Now);
  auto Shares = sharePlaces(Bids, Rooms, PlaceWaitOutcomes.hitShare());
  for (size_t I = 0; I < Bids.size(); ++I) {
    if (!Bids[I].HasFarPlace)
      continue; // Whichever place is free first is taken.
    PlaceShares[&Bidders[I]->step()] = Shares[I];
    if (Shares[I].WaitingTasks > 0)
      beginPlaceWait(*Bidders[I], Shares[I], Bidders[I]->spec().Affinity, Now);
  }
}

void CellOwner::beginPlaceWait(const WaitingStepRef &Waiting,
                               const PlaceShare &Share, std::string_view Rack,
                               TimePoint Now) {
  LiveStep &Step = Waiting.step();
  if (Step.PlaceWaitUntil)
    return;
  Step.PlaceWaitUntil = Now + Share.WaitLimit;
  logInfo("place-wait",
          "job={} occurrence={} step={} rack={} near={} waiting={} far={} "
          "far_finish_ms={} near_finish_ms={} until_ms={}",
          Waiting.Job->Spec.Id, Waiting.Occurrence, Waiting.Step, Rack,
          Share.NearTasks, Share.WaitingTasks,
          countWaitingTasks(Step) - Share.NearTasks - Share.WaitingTasks,
          Share.FarFinish.count(), Share.NearFinish.count(),
          Share.WaitLimit.count());
}

/// Whether the task waits for a near place, though it could start at another
/// one. If not, sets whether it may take a near one.
bool CellOwner::awaitsPlace(const TaskKey &Key, PlacementRequest &Request) {
  auto Found = PlaceShares.find(&Key.step());
  if (Found == PlaceShares.end())
    return false;
  PlaceShare &Share = Found->second;
  Request.AvoidedRack = {};
  if (Share.NearTasks > 0) {
    --Share.NearTasks;
    return false;
  }
  if (Share.WaitingTasks > 0) {
    --Share.WaitingTasks;
    Key.task().AwaitedPlace = true;
    return true;
  }
  Request.AvoidedRack = Key.spec().Affinity;
  return false;
}

/// Learns how the task's wait for a near place has ended, if it did wait.
void CellOwner::notePlace(const TaskKey &Key, ExecutorIndex Index) {
  if (!std::exchange(Key.task().AwaitedPlace, false))
    return;
  countPlaceWait(Pool[Index].Info.Rack == Key.spec().Affinity);
}

void CellOwner::countPlaceWait(bool IsNear) {
  PlaceWaitOutcomes.record(IsNear);
  ++Counts.PlaceWaits;
  Counts.PlaceWaitHits += IsNear ? 1 : 0;
}

/// When the rack of the request is expected to have places for all members of a
/// gang; none if that takes too long, or can't be told.
std::optional<Millis>
CellOwner::timeUntilRackHolds(const PlacementRequest &Request, uint32_t Count,
                              const WaitTerms &Terms, TimePoint Now) const {
  // No member uses the place of another one after it.
  Millis LatestStart = longestWait(Terms);
  RoomRequest Place{.Demand = demandOf(*Request.Step),
                    .RunTime = LatestStart + Terms.NearRunTime + Millis(1),
                    .LatestStart = LatestStart};
  std::vector<Millis> PlaceTimes;
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    if (Pool[I].Info.Rack != Request.Rack || !Pool.isUsable(I, Now) ||
        isTooSlow(Loads[I]) || !isSuitable(Pool[I], *Request.Step) ||
        !isAllowed(Request.Permissions, I) || Reservations[I].Active)
      continue;
    RoomForecast Forecast = forecastOf(I, Now);
    uint32_t Places =
        std::min(Count, placesByAntiAffinity(*Request.Step,
                                             *Request.TasksByExecutor, I));
    for (; Places > 0; --Places) {
      auto Start = Forecast.earliestStart(Place);
      if (!Start)
        break;
      PlaceTimes.push_back(*Start);
      Forecast.take(*Start, Place.RunTime, Place.Demand);
    }
  }
  if (PlaceTimes.size() < Count)
    return std::nullopt;
  std::sort(PlaceTimes.begin(), PlaceTimes.end());
  return PlaceTimes[Count - 1];
}

/// The rack that can hold the gang first, of those near its data.
std::optional<CellOwner::RackWait>
CellOwner::soonestRack(const PlacementRequest &Request, uint32_t Count,
                       const WaitTerms &Terms, TimePoint Now) const {
  std::set<std::string> Racks{Request.Step->Affinity};
  if (Request.Step->Affinity.empty()) {
    Racks.clear();
    for (ExecutorIndex I = 0; I < Pool.size(); ++I)
      Racks.insert(Pool[I].Info.Rack);
  }
  std::optional<RackWait> Soonest;
  for (const std::string &Rack : Racks) {
    PlacementRequest OnRack = Request;
    OnRack.Rack = Rack;
    auto FreeIn = timeUntilRackHolds(OnRack, Count, Terms, Now);
    if (FreeIn && (!Soonest || *FreeIn < Soonest->FreeIn))
      Soonest = {.Rack = Rack, .FreeIn = *FreeIn};
  }
  return Soonest;
}

/// Whether a gang that could start on \p Members waits for places near its
/// data, or on one rack. Executors there are reserved for it.
bool CellOwner::awaitsRack(const WaitingStepRef &Waiting,
                           std::span<const ExecutorIndex> Members,
                           PlacementRequest Request, TimePoint Now) {
  if (!mayWaitForPlace(Waiting))
    return false;
  bool &HasAwaited = Waiting.step().Tasks.front().AwaitedPlace;
  bool IsNear = !isSpread(Waiting.spec(), Members);
  auto Count = static_cast<uint32_t>(Members.size());
  WaitTerms Terms = waitTermsOf(Waiting, Now);
  double Slowest = 1;
  for (ExecutorIndex I : Members)
    Slowest = std::max(Slowest, Loads[I].Slowness);
  Terms.FarRunTime = scale(Terms.FarRunTime, Slowest);
  auto Soonest =
      IsNear ? std::nullopt : soonestRack(Request, Count, Terms, Now);
  double HitShare = PlaceWaitOutcomes.hitShare();
  if (!Soonest || !paysToWait(Terms, Soonest->FreeIn, HitShare)) {
    if (std::exchange(HasAwaited, false))
      countPlaceWait(IsNear);
    return false;
  }
  HasAwaited = true;
  beginPlaceWait(Waiting,
                 {.WaitingTasks = Count,
                  .WaitLimit = longestWait(Terms),
                  .FarFinish = Terms.FarRunTime,
                  .NearFinish = Soonest->FreeIn + Terms.NearRunTime},
                 Soonest->Rack, Now);
  reserveExecutors(Waiting, Count, Now, Soonest->Rack);
  return true;
}

} // namespace daisylanding::cell
