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

constexpr uint32_t Endpoints = 12;
constexpr uint32_t SlotsPerEndpoint = 8;
constexpr double WorkMs = 30;
constexpr double PlanEveryMs = 250;
constexpr double TableMs = 6;  ///< Of one write, both ways.
constexpr double PeerMs = 0.4; ///< Of one hop between entries, one way.
constexpr double GossipEveryMs = 100;
constexpr double RunSeconds = 60;
constexpr double TargetMs = 500;
constexpr size_t Entries = 2;

enum class Scheme { Moving, Fixed, Forwarding, FreeForward, Balanced, Both };

std::string_view schemeName(Scheme Which) {
  switch (Which) {
  case Scheme::Moving:
    return "shares that move";
  case Scheme::Fixed:
    return "fixed shares";
  case Scheme::Forwarding:
    return "forwarding to an owner";
  case Scheme::FreeForward:
    return "fixed shares, forward to known free slots";
  case Scheme::Balanced:
    return "fixed shares, balanced by forwarding";
  case Scheme::Both:
    return "shares that move, balanced by forwarding";
  }
  return "";
}

struct CreditResult {
  std::vector<double> WaitedMs;
  size_t Missed = 0;
  size_t Offered = 0;
  size_t Writes = 0;
  size_t Hops = 0;
};

/// One zone: two entries, a balancer that prefers one of them and changes its
/// mind every few seconds, in virtual milliseconds.
class CreditRun {
public:
  CreditRun(Scheme Which, double Load, double Skew)
      : Which(Which), Skew(Skew), Generator(5) {
    RatePerMs = Load * Endpoints * SlotsPerEndpoint / WorkMs;
    Held[0] = Held[1] = Endpoints * SlotsPerEndpoint / 2;
  }

  CreditResult run() {
    double Arrival = 0;
    double NextPlan = 0;
    double NextGossip = 0;
    for (Now = 0; Now < RunSeconds * 1'000; Now += 0.1) {
      while (Arrival <= Now) {
        arrive(Arrival);
        Arrival += -std::log(1 - Generator.uniform()) / RatePerMs;
      }
      while (!Ends.empty() && Ends.top().first <= Now) {
        --Used[Ends.top().second];
        Ends.pop();
      }
      applyMoves();
      if (Now >= NextGossip) {
        NextGossip += GossipEveryMs;
        gossip();
      }
      bool Moves = Which == Scheme::Moving || Which == Scheme::Both;
      if (Moves && Now >= NextPlan) {
        NextPlan += PlanEveryMs / Entries;
        plan(Turn++ % Entries);
      }
      for (size_t I = 0; I < Entries; ++I)
        start(I);
    }
    return std::move(Out);
  }

private:
  using Move = std::pair<double, std::pair<size_t, int64_t>>;

  void arrive(double At) {
    ++Out.Offered;
    bool FirstHalf = static_cast<int64_t>(At / 8'000) % 2 == 0;
    size_t Preferred = FirstHalf ? 0 : 1;
    size_t To = Generator.uniform() < Skew ? Preferred : 1 - Preferred;
    if (Which == Scheme::Forwarding) {
      // Entry 0 owns all slots; what reaches entry 1 takes a hop each way.
      Out.Hops += To != 0;
      To = 0;
    }
    if (Used[To] + Queues[To].size() >= limitOf(To) && shouldForward(To)) {
      --KnownFree[1 - To];
      ++Out.Hops;
      To = 1 - To;
      At += PeerMs;
    }
    Queues[To].push_back(At);
  }

  /// Slots free at an entry less the requests that wait there.
  int64_t freeAt(size_t Entry) const {
    return static_cast<int64_t>(limitOf(Entry)) - Used[Entry] -
           static_cast<int64_t>(Queues[Entry].size());
  }

  bool shouldForward(size_t From) const {
    int64_t Other = KnownFree[1 - From];
    if (Which == Scheme::FreeForward)
      return Other > 0;
    if (Which != Scheme::Balanced && Which != Scheme::Both)
      return false;
    constexpr int64_t Margin = 2;
    return Other > freeAt(From) + Margin;
  }

  /// What each entry last told the other.
  void gossip() {
    for (size_t I = 0; I < Entries; ++I)
      KnownFree[I] = freeAt(I);
  }

  uint32_t limitOf(size_t Entry) const {
    if (Which == Scheme::Forwarding)
      return Entry == 0 ? Endpoints * SlotsPerEndpoint : 0;
    return Held[Entry];
  }

  void start(size_t Entry) {
    while (!Queues[Entry].empty() && Used[Entry] < limitOf(Entry)) {
      double Waited = Now - Queues[Entry].front();
      Queues[Entry].pop_front();
      if (Which == Scheme::Forwarding)
        Waited += PeerMs;
      Out.WaitedMs.push_back(Waited);
      Out.Missed += Waited > TargetMs;
      ++Used[Entry];
      Ends.emplace(Now + WorkMs * (0.5 + Generator.uniform()), Entry);
    }
  }

  /// Idle slots go to the other entry when work waits there.
  void plan(size_t Entry) {
    size_t Other = 1 - Entry;
    uint32_t Idle = Held[Entry] > Used[Entry] ? Held[Entry] - Used[Entry] : 0;
    uint32_t Own = static_cast<uint32_t>(Queues[Entry].size());
    uint32_t Spare = Idle > Own ? Idle - Own : 0;
    auto Wanted = static_cast<uint32_t>(Queues[Other].size());
    uint32_t Count = std::min(Spare, Wanted);
    if (Count == 0)
      return;
    ++Out.Writes;
    Held[Entry] -= Count;
    Moves.push_back({Now + TableMs + PlanEveryMs / 2, {Other, Count}});
  }

  /// Slots given away are lost at once, those received count when the
  /// receiver next reads the row.
  void applyMoves() {
    while (!Moves.empty() && Moves.front().first <= Now) {
      Held[Moves.front().second.first] +=
          static_cast<uint32_t>(Moves.front().second.second);
      Moves.pop_front();
    }
  }

  Scheme Which;
  double Skew;
  Random Generator;
  double RatePerMs = 0;
  double Now = 0;
  size_t Turn = 0;
  uint32_t Held[Entries] = {};
  uint32_t Used[Entries] = {};
  int64_t KnownFree[Entries] = {};
  std::deque<double> Queues[Entries];
  std::deque<Move> Moves;
  std::priority_queue<std::pair<double, size_t>,
                      std::vector<std::pair<double, size_t>>, std::greater<>>
      Ends;
  CreditResult Out;
};

} // namespace

void runCreditScenarios() {
  fmt::print("\n### Slots of 12 endpoints between two entries\n\n"
             "| load | skew | scheme | p50 ms | p99 ms | missed | writes/s | "
             "hops/s |\n|---|---|---|---|---|---|---|---|\n");
  for (double Load : {0.5, 0.8, 0.95}) {
    for (double Skew : {0.5, 0.7, 0.9}) {
      for (Scheme Which :
           {Scheme::Moving, Scheme::Fixed, Scheme::Forwarding,
            Scheme::FreeForward, Scheme::Balanced, Scheme::Both}) {
        CreditResult Result = CreditRun(Which, Load, Skew).run();
        fmt::print("| {} | {} | {} | {:.1f} | {:.1f} | {:.1f} % | {:.1f} | "
                   "{:.0f} |\n",
                   Load, Skew, schemeName(Which),
                   quantile(Result.WaitedMs, 0.5),
                   quantile(Result.WaitedMs, 0.99),
                   100.0 * static_cast<double>(Result.Missed) /
                       static_cast<double>(Result.Offered),
                   static_cast<double>(Result.Writes) / RunSeconds,
                   static_cast<double>(Result.Hops) / RunSeconds);
      }
    }
  }
}

} // namespace daisylanding::bench
