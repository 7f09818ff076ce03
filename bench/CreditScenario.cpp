#include "bench/Scenarios.h"
#include "bench/Statistics.h"

#include "common/Random.h"
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>

namespace daisylanding::bench {

namespace {

constexpr uint32_t EndpointCount = 12;
constexpr uint32_t SlotsPerEndpoint = 8;
constexpr double MeanRunTimeMs = 30;
constexpr double PlanIntervalMs = 250;
constexpr double TableWriteMs = 6; ///< Round trip of one write.
constexpr double HopMs = 0.4;      ///< One way between two entries.
constexpr double GossipIntervalMs = 100;
constexpr double SimulatedSeconds = 60;
constexpr double WaitingTargetMs = 500;
constexpr size_t EntryCount = 2;

/// How the endpoints' slots are divided between the entries, and when an entry
/// forwards a request.
enum class SlotScheme {
  DynamicShares,
  FixedShares,
  ForwardToOwner,
  ForwardToFree,
  BalancedForwarding,
  DynamicBalanced
};

std::string_view schemeName(SlotScheme Scheme) {
  switch (Scheme) {
  case SlotScheme::DynamicShares:
    return "dynamic shares";
  case SlotScheme::FixedShares:
    return "fixed shares";
  case SlotScheme::ForwardToOwner:
    return "all slots at one entry, others forward";
  case SlotScheme::ForwardToFree:
    return "fixed shares, forward to free slots";
  case SlotScheme::BalancedForwarding:
    return "fixed shares, balanced forwarding";
  case SlotScheme::DynamicBalanced:
    return "dynamic shares, balanced forwarding";
  }
  return "";
}

struct SimulationResult {
  std::vector<double> WaitingMs;
  size_t MissedTargets = 0;
  size_t OfferedRequests = 0;
  size_t TableWrites = 0;
  size_t ForwardHops = 0;
};

/// Simulates, in virtual milliseconds, one zone with two entries behind a load
/// balancer that sends the share Skew of all requests to one of them and
/// changes the preferred entry every 8 s.
class CreditSimulation {
public:
  CreditSimulation(SlotScheme Scheme, double LoadFactor, double Skew)
      : Scheme(Scheme), Skew(Skew), Generator(5) {
    ArrivalsPerMs =
        LoadFactor * EndpointCount * SlotsPerEndpoint / MeanRunTimeMs;
    HeldSlots[0] = HeldSlots[1] = EndpointCount * SlotsPerEndpoint / 2;
  }

  SimulationResult run() {
    double NextArrivalMs = 0;
    double NextPlanMs = 0;
    double NextGossipMs = 0;
    for (NowMs = 0; NowMs < SimulatedSeconds * 1'000; NowMs += 0.1) {
      while (NextArrivalMs <= NowMs) {
        enqueueRequest(NextArrivalMs);
        NextArrivalMs += -std::log(1 - Generator.uniform()) / ArrivalsPerMs;
      }
      while (!RunEnds.empty() && RunEnds.top().first <= NowMs) {
        --UsedSlots[RunEnds.top().second];
        RunEnds.pop();
      }
      applyMoves();
      if (NowMs >= NextGossipMs) {
        NextGossipMs += GossipIntervalMs;
        exchangeFreeSlots();
      }
      bool MovesSlots = Scheme == SlotScheme::DynamicShares ||
                        Scheme == SlotScheme::DynamicBalanced;
      if (MovesSlots && NowMs >= NextPlanMs) {
        NextPlanMs += PlanIntervalMs / EntryCount;
        planMove(PlanCount++ % EntryCount);
      }
      for (size_t I = 0; I < EntryCount; ++I)
        startRequests(I);
    }
    return std::move(Result);
  }

private:
  /// Time in ms from which the receiver may use the slots, receiving entry,
  /// number of slots.
  using SlotMove = std::pair<double, std::pair<size_t, int64_t>>;

  void enqueueRequest(double ArrivalMs) {
    ++Result.OfferedRequests;
    bool PrefersFirst = static_cast<int64_t>(ArrivalMs / 8'000) % 2 == 0;
    size_t PreferredEntry = PrefersFirst ? 0 : 1;
    size_t Receiver =
        Generator.uniform() < Skew ? PreferredEntry : 1 - PreferredEntry;
    if (Scheme == SlotScheme::ForwardToOwner) {
      // Entry 0 holds all slots; a request that reaches entry 1 takes one hop
      // to entry 0, and its answer one hop back.
      Result.ForwardHops += Receiver != 0;
      Receiver = 0;
    }
    if (UsedSlots[Receiver] + ArrivalTimesMs[Receiver].size() >=
            slotLimit(Receiver) &&
        shouldForward(Receiver)) {
      --KnownFreeSlots[1 - Receiver];
      ++Result.ForwardHops;
      Receiver = 1 - Receiver;
      ArrivalMs += HopMs;
    }
    ArrivalTimesMs[Receiver].push_back(ArrivalMs);
  }

  /// Free slots of an entry minus the requests waiting there; may be negative.
  int64_t freeSlots(size_t Entry) const {
    return static_cast<int64_t>(slotLimit(Entry)) - UsedSlots[Entry] -
           static_cast<int64_t>(ArrivalTimesMs[Entry].size());
  }

  bool shouldForward(size_t Sender) const {
    int64_t OtherFreeSlots = KnownFreeSlots[1 - Sender];
    if (Scheme == SlotScheme::ForwardToFree)
      return OtherFreeSlots > 0;
    if (Scheme != SlotScheme::BalancedForwarding &&
        Scheme != SlotScheme::DynamicBalanced)
      return false;
    constexpr int64_t FreeSlotMargin = 2;
    return OtherFreeSlots > freeSlots(Sender) + FreeSlotMargin;
  }

  /// Each entry learns the other's free slots.
  void exchangeFreeSlots() {
    for (size_t I = 0; I < EntryCount; ++I)
      KnownFreeSlots[I] = freeSlots(I);
  }

  uint32_t slotLimit(size_t Entry) const {
    if (Scheme == SlotScheme::ForwardToOwner)
      return Entry == 0 ? EndpointCount * SlotsPerEndpoint : 0;
    return HeldSlots[Entry];
  }

  void startRequests(size_t Entry) {
    while (!ArrivalTimesMs[Entry].empty() &&
           UsedSlots[Entry] < slotLimit(Entry)) {
      double WaitedMs = NowMs - ArrivalTimesMs[Entry].front();
      ArrivalTimesMs[Entry].pop_front();
      if (Scheme == SlotScheme::ForwardToOwner)
        WaitedMs += HopMs;
      Result.WaitingMs.push_back(WaitedMs);
      Result.MissedTargets += WaitedMs > WaitingTargetMs;
      ++UsedSlots[Entry];
      RunEnds.emplace(NowMs + MeanRunTimeMs * (0.5 + Generator.uniform()),
                      Entry);
    }
  }

  /// Moves slots that are idle at \p Entry to the other entry, at most as many
  /// as requests wait there.
  void planMove(size_t Entry) {
    size_t OtherEntry = 1 - Entry;
    uint32_t IdleSlots = HeldSlots[Entry] > UsedSlots[Entry]
                             ? HeldSlots[Entry] - UsedSlots[Entry]
                             : 0;
    uint32_t OwnWaiting = static_cast<uint32_t>(ArrivalTimesMs[Entry].size());
    uint32_t SpareSlots = IdleSlots > OwnWaiting ? IdleSlots - OwnWaiting : 0;
    auto OtherWaiting =
        static_cast<uint32_t>(ArrivalTimesMs[OtherEntry].size());
    uint32_t MovedSlots = std::min(SpareSlots, OtherWaiting);
    if (MovedSlots == 0)
      return;
    ++Result.TableWrites;
    HeldSlots[Entry] -= MovedSlots;
    PendingMoves.push_back(
        {NowMs + TableWriteMs + PlanIntervalMs / 2, {OtherEntry, MovedSlots}});
  }

  /// The giver loses its slots when it plans the move. The receiver gains them
  /// when it next reads the table row, taken as half a plan interval after the
  /// write.
  void applyMoves() {
    while (!PendingMoves.empty() && PendingMoves.front().first <= NowMs) {
      HeldSlots[PendingMoves.front().second.first] +=
          static_cast<uint32_t>(PendingMoves.front().second.second);
      PendingMoves.pop_front();
    }
  }

  SlotScheme Scheme;
  double Skew;
  Random Generator;
  double ArrivalsPerMs = 0;
  double NowMs = 0;
  size_t PlanCount = 0;
  uint32_t HeldSlots[EntryCount] = {};
  uint32_t UsedSlots[EntryCount] = {};
  int64_t KnownFreeSlots[EntryCount] = {};       ///< As last told to the other.
  std::deque<double> ArrivalTimesMs[EntryCount]; ///< Of waiting requests.
  std::deque<SlotMove> PendingMoves;
  std::priority_queue<std::pair<double, size_t>,
                      std::vector<std::pair<double, size_t>>, std::greater<>>
      RunEnds;
  SimulationResult Result;
};

} // namespace

void runCreditScenarios() {
  fmt::print("\n### Slots of 12 endpoints between two entries\n\n"
             "| load | skew | scheme | p50 ms | p99 ms | missed | writes/s | "
             "hops/s |\n|---|---|---|---|---|---|---|---|\n");
  for (double LoadFactor : {0.5, 0.8, 0.95}) {
    for (double Skew : {0.5, 0.7, 0.9}) {
      for (SlotScheme Scheme :
           {SlotScheme::DynamicShares, SlotScheme::FixedShares,
            SlotScheme::ForwardToOwner, SlotScheme::ForwardToFree,
            SlotScheme::BalancedForwarding, SlotScheme::DynamicBalanced}) {
        SimulationResult Result =
            CreditSimulation(Scheme, LoadFactor, Skew).run();
        fmt::print("| {} | {} | {} | {:.1f} | {:.1f} | {:.1f} % | {:.1f} | "
                   "{:.0f} |\n",
                   LoadFactor, Skew, schemeName(Scheme),
                   quantile(Result.WaitingMs, 0.5),
                   quantile(Result.WaitingMs, 0.99),
                   100.0 * static_cast<double>(Result.MissedTargets) /
                       static_cast<double>(Result.OfferedRequests),
                   static_cast<double>(Result.TableWrites) / SimulatedSeconds,
                   static_cast<double>(Result.ForwardHops) / SimulatedSeconds);
      }
    }
  }
}

} // namespace daisylanding::bench
