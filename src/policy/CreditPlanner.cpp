#include "policy/CreditPlanner.h"

#include <algorithm>

namespace daisylanding::policy {

namespace {

uint32_t countHeldSlots(const CreditTable &Table, const std::string &Holder) {
  uint32_t Sum = 0;
  for (const auto &NameAndEndpoint : Table.Endpoints) {
    auto Found = NameAndEndpoint.second.HeldSlots.find(Holder);
    if (Found != NameAndEndpoint.second.HeldSlots.end())
      Sum += Found->second;
  }
  return Sum;
}

uint32_t countSlots(const CreditTable &Table) {
  uint32_t Sum = 0;
  for (const auto &NameAndEndpoint : Table.Endpoints)
    Sum += NameAndEndpoint.second.Slots;
  return Sum;
}

void removeHolders(CreditTable &Table,
                   const std::set<std::string> &EndedHolders) {
  for (const std::string &Holder : EndedHolders) {
    Table.MissingSlots.erase(Holder);
    for (auto &NameAndEndpoint : Table.Endpoints)
      NameAndEndpoint.second.HeldSlots.erase(Holder);
  }
}

void updateEndpoints(CreditTable &Table,
                     const std::map<std::string, uint32_t> &EndpointSlots) {
  std::erase_if(Table.Endpoints, [&](const auto &NameAndEndpoint) {
    return !EndpointSlots.count(NameAndEndpoint.first);
  });
  for (const auto &[Name, Count] : EndpointSlots)
    Table.Endpoints[Name].Slots = Count;
}

/// Takes unheld slots, one of each endpoint in turn, until \p Holder has
/// \p Limit in total or none is left.
void takeUnheldSlots(CreditTable &Table, const std::string &Holder,
                     uint32_t Limit) {
  uint32_t HeldTotal = countHeldSlots(Table, Holder);
  bool TookSlot = true;
  while (HeldTotal < Limit && TookSlot) {
    TookSlot = false;
    for (auto &NameAndEndpoint : Table.Endpoints) {
      if (HeldTotal >= Limit || NameAndEndpoint.second.unheldSlots() == 0)
        continue;
      ++NameAndEndpoint.second.HeldSlots[Holder];
      ++HeldTotal;
      TookSlot = true;
    }
  }
}

/// Gives idle slots above \p Share to holders that lack some.
void giveIdleSlots(CreditPlan &Plan, const HolderState &Holder,
                   uint32_t Share) {
  std::map<std::string, uint32_t> IdleSlots = Holder.IdleSlots;
  uint32_t HeldTotal = countHeldSlots(Plan.NextTable, Holder.Name);
  for (auto &[Recipient, Missing] : Plan.NextTable.MissingSlots) {
    if (Recipient == Holder.Name)
      continue;
    for (auto &[EndpointName, Endpoint] : Plan.NextTable.Endpoints) {
      auto Held = Endpoint.HeldSlots.find(Holder.Name);
      while (Missing > 0 && HeldTotal > Share && IdleSlots[EndpointName] > 0 &&
             Held != Endpoint.HeldSlots.end() && Held->second > 0) {
        --Held->second;
        --IdleSlots[EndpointName];
        --HeldTotal;
        --Missing;
        ++Endpoint.HeldSlots[Recipient];
        ++Plan.GivenSlots[EndpointName];
      }
    }
  }
}

/// Records how many slots \p Holder lacks to \p Share.
void updateMissingSlots(CreditTable &Table, const std::string &Holder,
                        uint32_t Share) {
  uint32_t Held = countHeldSlots(Table, Holder);
  if (Held < Share)
    Table.MissingSlots[Holder] = Share - Held;
  else
    Table.MissingSlots.erase(Holder);
}

/// Releases all idle slots of a holder that shuts down.
void releaseIdleSlots(CreditPlan &Plan, const HolderState &Holder) {
  Plan.NextTable.MissingSlots.erase(Holder.Name);
  for (const auto &[EndpointName, IdleCount] : Holder.IdleSlots) {
    auto Found = Plan.NextTable.Endpoints.find(EndpointName);
    if (Found == Plan.NextTable.Endpoints.end())
      continue;
    uint32_t &Held = Found->second.HeldSlots[Holder.Name];
    uint32_t Released = std::min(Held, IdleCount);
    Held -= Released;
    Plan.GivenSlots[EndpointName] = Released;
  }
}

void removeZeroCounts(CreditTable &Table) {
  auto IsZero = [](const auto &NameAndCount) {
    return NameAndCount.second == 0;
  };
  std::erase_if(Table.MissingSlots, IsZero);
  for (auto &NameAndEndpoint : Table.Endpoints)
    std::erase_if(NameAndEndpoint.second.HeldSlots, IsZero);
}

bool equalExceptVersion(const CreditTable &Left, const CreditTable &Right) {
  // A newer list version alone does not need a write.
  if (Left.MissingSlots != Right.MissingSlots ||
      Left.Endpoints.size() != Right.Endpoints.size())
    return false;
  return std::equal(
      Left.Endpoints.begin(), Left.Endpoints.end(), Right.Endpoints.begin(),
      [](const auto &LeftEndpoint, const auto &RightEndpoint) {
        return LeftEndpoint.first == RightEndpoint.first &&
               LeftEndpoint.second.Slots == RightEndpoint.second.Slots &&
               LeftEndpoint.second.HeldSlots == RightEndpoint.second.HeldSlots;
      });
}

} // namespace

uint32_t CreditTable::Endpoint::unheldSlots() const {
  uint32_t Sum = 0;
  for (const auto &HolderAndSlots : HeldSlots)
    Sum += HolderAndSlots.second;
  return Slots > Sum ? Slots - Sum : 0;
}

CreditPlan planCredits(const CreditTable &Current, const CreditZone &Zone,
                       const HolderState &Holder) {
  CreditPlan Plan;
  Plan.NextTable = Current;
  if (Zone.ListVersion >= Current.ListVersion) {
    Plan.NextTable.ListVersion = Zone.ListVersion;
    removeHolders(Plan.NextTable, Zone.EndedHolders);
    updateEndpoints(Plan.NextTable, Zone.EndpointSlots);
  }
  if (Holder.Leaving) {
    releaseIdleSlots(Plan, Holder);
    removeZeroCounts(Plan.NextTable);
    Plan.Changed = !equalExceptVersion(Plan.NextTable, Current);
    return Plan;
  }
  uint32_t TotalSlots = countSlots(Plan.NextTable);
  auto HolderCount =
      static_cast<uint32_t>(std::max<size_t>(1, Zone.LiveHolders.size()));
  uint32_t MinShare = TotalSlots / HolderCount;
  uint32_t MaxShare = (TotalSlots + HolderCount - 1) / HolderCount;
  takeUnheldSlots(Plan.NextTable, Holder.Name, MaxShare);
  // With shares that do not divide evenly, two holders could pass slots back
  // and forth. So a holder with the rounded-down share requests none, and one
  // with the rounded-up share gives none.
  giveIdleSlots(Plan, Holder, MaxShare);
  updateMissingSlots(Plan.NextTable, Holder.Name, MinShare);
  removeZeroCounts(Plan.NextTable);
  Plan.Changed = !equalExceptVersion(Plan.NextTable, Current);
  return Plan;
}

} // namespace daisylanding::policy
