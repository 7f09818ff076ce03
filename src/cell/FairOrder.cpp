#include "cell/FairOrder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisylanding::cell {

namespace {

/// A workspace goes beyond its share at this multiple of it, and comes back at
/// the share itself, so that the order doesn't change with each task.
constexpr double BeyondFactor = 1.25;
/// A workspace that uses nothing and less than this on average is forgotten.
constexpr double ForgottenShare = 1e-4;

double shareOf(uint64_t Used, uint64_t All) {
  return All == 0 ? 0 : static_cast<double>(Used) / static_cast<double>(All);
}

} // namespace

double dominantShare(const CapacitySum &Used, const CapacitySum &All) {
  return std::max({shareOf(Used.MilliCores, All.MilliCores),
                   shareOf(Used.MemoryMb, All.MemoryMb),
                   shareOf(Used.Accelerators, All.Accelerators)});
}

bool FairOrder::isBeyondShare(std::string_view Name) const {
  auto Found = Shares.find(Name);
  return Found != Shares.end() && Found->second.IsBeyond;
}

double FairOrder::usedShare(std::string_view Name) const {
  auto Found = Shares.find(Name);
  return Found == Shares.end() ? 0 : Found->second.Used;
}

/// At the first update, after an owner has loaded the open runs, what is in use
/// stands for the average.
void FairOrder::addUses(
    const WaitingByName &Waiting,
    const std::function<Resources(std::string_view)> &UsedBy,
    const CapacitySum &All, TimePoint Now) {
  bool IsFirst = UpdatedAt == TimePoint{};
  double Elapsed = toSeconds(Now - UpdatedAt);
  double Gain = -std::expm1(-Elapsed / toSeconds(Micros(AveragingTime)));
  UpdatedAt = Now;
  for (const auto &Entry : Waiting) {
    if (Shares.size() < MaxWorkspaces)
      Shares.try_emplace(std::string(Entry.first));
  }
  for (auto It = Shares.begin(); It != Shares.end();) {
    auto &[Name, Entry] = *It;
    CapacitySum Used;
    Used += UsedBy(Name);
    double Present = dominantShare(Used, All);
    Entry.Used += (IsFirst ? 1 : Gain) * (Present - Entry.Used);
    Entry.IsWaiting = Waiting.contains(Name);
    bool IsForgotten =
        !Entry.IsWaiting && Present == 0 && Entry.Used < ForgottenShare;
    It = IsForgotten ? Shares.erase(It) : std::next(It);
  }
}

/// What workspaces that wait for nothing leave of the service.
double FairOrder::shareLeftByOthers() const {
  double Left = 1;
  for (const auto &[Name, Entry] : Shares)
    Left -= Entry.IsWaiting ? 0 : Entry.Used;
  return std::max(0.0, Left);
}

std::vector<FairOrder::Change>
FairOrder::update(const WaitingByName &Waiting,
                  const std::function<Resources(std::string_view)> &UsedBy,
                  const CapacitySum &All, bool IsFull, TimePoint Now) {
  addUses(Waiting, UsedBy, All, Now);
  if (IsFull)
    FullUntil = Now + FullMemory;
  std::vector<Change> Changes;
  // One that waits for nothing comes back by its last fair share.
  for (auto &[Name, Entry] : Shares) {
    bool StaysBeyond = Now < FullUntil && Entry.Used > Entry.Fair;
    if (!Entry.IsBeyond || Entry.IsWaiting || StaysBeyond)
      continue;
    Entry.IsBeyond = false;
    Changes.push_back({.Name = Name, .Now = Entry});
  }
  double Weights = 0;
  for (const auto &Entry : Waiting)
    Weights += Entry.second.Weight;
  double Left = shareLeftByOthers();
  for (const auto &[Name, Demand] : Waiting) {
    auto Found = Shares.find(Name);
    if (Found == Shares.end())
      continue;
    Share &Own = Found->second;
    Own.Fair = Left * Demand.Weight / std::max(1.0, Weights);
    double Limit = Own.IsBeyond ? Own.Fair : BeyondFactor * Own.Fair;
    bool IsBeyond = Now < FullUntil && Own.Used > Limit;
    if (std::exchange(Own.IsBeyond, IsBeyond) != IsBeyond)
      Changes.push_back({.Name = std::string(Name), .Now = Own});
  }
  return Changes;
}

} // namespace daisylanding::cell
