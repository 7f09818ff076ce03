#include "cell/PlaceWait.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace daisylanding::cell {

namespace {

/// A wait that saves less of the time at a far place isn't worth its risk.
constexpr double MinSavedShare = 0.1;
constexpr double MillisPerSecond = 1e3;
/// Demand is taken to go on as it was in this time: long beside a wait, so that
/// a burst doesn't look like steady demand.
constexpr double DemandMemoryMs = 30'000;

Millis scale(Millis Time, double Factor) {
  return Millis(
      static_cast<int64_t>(static_cast<double>(Time.count()) * Factor));
}

/// Until a far place is too late for the job.
Millis farSlack(const WaitTerms &Terms) {
  return Terms.Slack - (Terms.FarRunTime - Terms.NearRunTime);
}

bool isInTimeOnlyNear(const WaitTerms &Terms) {
  return Terms.Slack >= Millis(0) && farSlack(Terms) < Millis(0);
}

/// Whether \p Left gets near places before \p Right. A step that can't go
/// elsewhere loses most.
bool goesBefore(const PlaceBid &Left, const PlaceBid &Right) {
  if (Left.HasFarPlace != Right.HasFarPlace)
    return Right.HasFarPlace;
  bool IsLeftPressed = isInTimeOnlyNear(Left.Terms);
  if (IsLeftPressed != isInTimeOnlyNear(Right.Terms))
    return IsLeftPressed;
  return Left.Terms.FarRunTime - Left.Terms.NearRunTime >
         Right.Terms.FarRunTime - Right.Terms.NearRunTime;
}

std::vector<size_t> orderOf(std::span<const PlaceBid> Bids) {
  std::vector<size_t> Order(Bids.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  std::stable_sort(Order.begin(), Order.end(), [&](size_t Left, size_t Right) {
    return goesBefore(Bids[Left], Bids[Right]);
  });
  return Order;
}

/// When a task that waits for \p Start ends, on average.
Millis expectedFinish(const WaitTerms &Terms, Millis Start, Millis RunTime,
                      double HitShare) {
  if (Start == Millis(0))
    return RunTime;
  return Start + scale(RunTime, HitShare) +
         scale(Terms.FarRunTime, 1 - HitShare);
}

/// What work that comes meanwhile loses by a wait.
Millis lossOfOthers(const WaitTerms &Terms) {
  return scale(Terms.FarRunTime - Terms.NearRunTime,
               std::min(Terms.Contention, 1.0));
}

/// What a wait must save to be worth its risk.
Millis leastSaving(const WaitTerms &Terms) {
  return lossOfOthers(Terms) + scale(Terms.FarRunTime, MinSavedShare);
}

struct PlannedTask {
  size_t Place = 0; ///< Among those of the bid.
  Millis Start{0};
  Millis RunTime{0};
  Millis Finish{0};
};

/// The place at which the next task of the bid ends first, if one is better
/// than a far place. \p Used: by tasks of the bid, for each of its places.
std::optional<PlannedTask> bestPlace(const PlaceBid &Bid,
                                     std::span<const RoomForecast> Rooms,
                                     std::span<const uint32_t> Used,
                                     double HitShare) {
  std::optional<PlannedTask> Best;
  Millis WaitLimit = longestWait(Bid.Terms);
  for (size_t I = 0; I < Bid.Places.size(); ++I) {
    const NearPlace &Place = Bid.Places[I];
    if (Used[I] >= Place.MaxTasks)
      continue;
    Millis RunTime =
        std::max(Millis(1), scale(Bid.Terms.NearRunTime, Place.Slowness));
    auto Start = Rooms[Place.Room].earliestStart(
        {.Demand = Bid.Demand, .RunTime = RunTime, .LatestStart = WaitLimit});
    if (!Start)
      continue;
    Millis Finish =
        Place.StartDelay + expectedFinish(Bid.Terms, *Start, RunTime, HitShare);
    Millis Saved = *Start == Millis(0) ? Millis(0) : leastSaving(Bid.Terms);
    if (Finish + Saved > Bid.Terms.FarRunTime ||
        (Best && Finish >= Best->Finish))
      continue;
    Best = {.Place = I, .Start = *Start, .RunTime = RunTime, .Finish = Finish};
  }
  return Best;
}

PlaceShare shareOf(const PlaceBid &Bid, std::span<RoomForecast> Rooms,
                   double HitShare) {
  PlaceShare Share{.WaitLimit = longestWait(Bid.Terms),
                   .FarFinish = Bid.Terms.FarRunTime};
  std::vector<uint32_t> Used(Bid.Places.size());
  for (uint32_t I = 0; I < Bid.Tasks; ++I) {
    auto Next = bestPlace(Bid, Rooms, Used, HitShare);
    if (!Next)
      break; // The others find no better ones.
    ++Used[Next->Place];
    Rooms[Bid.Places[Next->Place].Room].take(Next->Start, Next->RunTime,
                                             Bid.Demand);
    if (Next->Start == Millis(0)) {
      ++Share.NearTasks;
      continue;
    }
    ++Share.WaitingTasks;
    Share.NearFinish = std::max(Share.NearFinish, Next->Finish);
  }
  return Share;
}

} // namespace

Millis longestWait(const WaitTerms &Terms) {
  Millis Longest = std::max(Millis(0), Terms.FarRunTime - Terms.NearRunTime);
  if (farSlack(Terms) >= Millis(0))
    Longest = std::min(Longest, farSlack(Terms));
  else if (Terms.Slack >= Millis(0))
    Longest = std::min(Longest, Terms.Slack);
  if (Terms.WaitLeft)
    Longest = std::clamp(*Terms.WaitLeft, Millis(0), Longest);
  return Longest;
}

std::vector<PlaceShare> sharePlaces(std::span<const PlaceBid> Bids,
                                    std::span<RoomForecast> Rooms,
                                    double HitShare) {
  std::vector<PlaceShare> Shares(Bids.size());
  for (size_t I : orderOf(Bids))
    Shares[I] = shareOf(Bids[I], Rooms, HitShare);
  return Shares;
}

bool paysToWait(const WaitTerms &Terms, Millis FreeIn, double HitShare) {
  Millis Finish = expectedFinish(Terms, FreeIn, Terms.NearRunTime, HitShare);
  return FreeIn <= longestWait(Terms) &&
         Finish + leastSaving(Terms) <= Terms.FarRunTime;
}

double RackDemand::RecentWork::at(TimePoint Now) const {
  return Work * std::exp(-toSeconds(Now - UpdatedAt) * MillisPerSecond /
                         DemandMemoryMs);
}

void RackDemand::add(const std::string &Rack, double Work, TimePoint Now) {
  RecentWork &Recent = Racks[Rack];
  Recent.Work = Recent.at(Now) + Work;
  Recent.UpdatedAt = Now;
}

double RackDemand::load(const std::string &Rack, size_t Executors,
                        TimePoint Now) const {
  auto Found = Racks.find(Rack);
  if (Found == Racks.end() || Executors == 0)
    return 0;
  return Found->second.at(Now) /
         (DemandMemoryMs * static_cast<double>(Executors));
}

void WaitOutcomes::record(bool IsNear) {
  constexpr double Weight = 0.05;
  /// So that waits are tried again.
  constexpr double MinHitShare = 0.3;
  HitShare += Weight * ((IsNear ? 1.0 : 0.0) - HitShare);
  HitShare = std::max(HitShare, MinHitShare);
}

} // namespace daisylanding::cell
