#include "cell/CapShares.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace daisylanding::cell {

int64_t partsFor(uint64_t Amount, uint32_t Cap) {
  if (Cap == 0)
    return 0;
  uint64_t Parts = (Amount * static_cast<uint64_t>(WholeCap) + Cap - 1) / Cap;
  return static_cast<int64_t>(Parts);
}

uint64_t allowanceOf(int64_t Parts, uint32_t Cap) {
  auto Positive = static_cast<uint64_t>(std::max<int64_t>(Parts, 0));
  return Positive * Cap / static_cast<uint64_t>(WholeCap);
}

int64_t initialRight(size_t Index, size_t Services) {
  auto Count = static_cast<int64_t>(Services);
  auto Number = static_cast<int64_t>(Index);
  return WholeCap / Count + (Number < WholeCap % Count ? 1 : 0);
}

std::vector<int64_t> scaledRights(std::span<const int64_t> Rights) {
  std::vector<int64_t> Scaled(Rights.begin(), Rights.end());
  for (int64_t &Right : Scaled)
    Right = std::max<int64_t>(Right, 0);
  int64_t Sum = std::accumulate(Scaled.begin(), Scaled.end(), int64_t{0});
  if (Sum <= WholeCap)
    return Scaled;
  for (int64_t &Right : Scaled)
    Right = std::min(Right, WholeCap) * WholeCap / Sum;
  return Scaled;
}

namespace {

constexpr size_t NoService = SIZE_MAX;

/// Divides what \p Lifted, if any, leaves of the cap among the others.
std::vector<int64_t> maxMinParts(std::span<const CapClaim> Claims,
                                 size_t Lifted) {
  std::vector<int64_t> Parts(Claims.size(), 0);
  std::vector<size_t> ByWanted;
  int64_t Left = WholeCap;
  for (size_t I = 0; I < Claims.size(); ++I) {
    if (I != Lifted) {
      ByWanted.push_back(I);
      continue;
    }
    Parts[I] = std::min(Claims[I].Width, WholeCap);
    Left -= Parts[I];
  }
  std::stable_sort(ByWanted.begin(), ByWanted.end(),
                   [&](size_t First, size_t Second) {
                     return Claims[First].Wanted < Claims[Second].Wanted;
                   });
  auto Waiting = static_cast<int64_t>(ByWanted.size());
  for (size_t Index : ByWanted) {
    Parts[Index] = std::min(Claims[Index].Wanted, Left / Waiting);
    Left -= Parts[Index];
    --Waiting;
  }
  return Parts;
}

} // namespace

std::vector<int64_t> fairParts(std::span<const CapClaim> Claims) {
  std::vector<int64_t> Parts = maxMinParts(Claims, NoService);
  size_t Lifted = NoService;
  for (size_t I = 0; I < Claims.size(); ++I) {
    if (Claims[I].Width <= Parts[I])
      continue;
    if (Lifted == NoService || Claims[I].Right < Claims[Lifted].Right)
      Lifted = I;
  }
  return Lifted == NoService ? Parts : maxMinParts(Claims, Lifted);
}

CapDecision decideGrants(std::span<const CapClaim> Claims,
                         const CapGiver &Giver) {
  CapDecision Decision{.Grants = std::vector<int64_t>(Claims.size(), 0)};
  std::vector<int64_t> Fair = fairParts(Claims);
  int64_t Right = Claims[Giver.Index].Right;
  int64_t OwnFair = std::max(Fair[Giver.Index], Giver.Reserve);
  int64_t BeyondFair = std::max<int64_t>(Right - OwnFair, 0);
  int64_t Unused = std::max<int64_t>(Right - Giver.Used, 0);
  // Others give it what its own widest task needs.
  bool GathersRight = Claims[Giver.Index].Width > Right &&
                      Claims[Giver.Index].Width <= Fair[Giver.Index];
  for (size_t I = 0; I < Claims.size(); ++I) {
    if (I == Giver.Index)
      continue;
    const CapClaim &Other = Claims[I];
    int64_t Debt = std::clamp<int64_t>(Fair[I] - Other.Right, 0, BeyondFair);
    int64_t Grant = std::min(Debt, Unused);
    Decision.Owed += Debt - Grant;
    int64_t ForOneTask = Other.Needed - Other.Right - Grant;
    bool NeedsReserve = Other.Width > Other.Right + Grant;
    int64_t Left = Unused - Grant - (NeedsReserve ? 0 : Giver.Reserve);
    if (!GathersRight)
      Grant += std::clamp<int64_t>(ForOneTask, 0, std::max<int64_t>(Left, 0));
    Decision.Grants[I] = Grant;
    BeyondFair -= std::min(Debt, BeyondFair);
    Unused -= Grant;
  }
  return Decision;
}

} // namespace daisylanding::cell
