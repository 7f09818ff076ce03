#include "policy/CreditPlanner.h"

#include <algorithm>

namespace daisylanding::policy {

namespace {

uint32_t heldBy(const CreditTable &Table, const std::string &Holder) {
  uint32_t Sum = 0;
  for (const auto &Each : Table.Endpoints) {
    auto Found = Each.second.Held.find(Holder);
    if (Found != Each.second.Held.end())
      Sum += Found->second;
  }
  return Sum;
}

uint32_t allSlots(const CreditTable &Table) {
  uint32_t Sum = 0;
  for (const auto &Each : Table.Endpoints)
    Sum += Each.second.Slots;
  return Sum;
}

void dropHolders(CreditTable &Table, const std::set<std::string> &Over) {
  for (const std::string &Holder : Over) {
    Table.Wanted.erase(Holder);
    for (auto &Each : Table.Endpoints)
      Each.second.Held.erase(Holder);
  }
}

/// Adds new endpoints and removes those that are gone from the list.
void matchEndpoints(CreditTable &Table,
                    const std::map<std::string, uint32_t> &Slots) {
  std::erase_if(Table.Endpoints,
                [&](const auto &Each) { return !Slots.count(Each.first); });
  for (const auto &[Name, Count] : Slots)
    Table.Endpoints[Name].Slots = Count;
}

/// Takes unheld slots while this holder is below \p Limit in all.
void takeUnheld(CreditTable &Table, const std::string &Holder, uint32_t Limit) {
  uint32_t Total = heldBy(Table, Holder);
  bool Progress = true;
  while (Total < Limit && Progress) {
    Progress = false;
    for (auto &Each : Table.Endpoints) {
      if (Total >= Limit || Each.second.unheld() == 0)
        continue;
      ++Each.second.Held[Holder];
      ++Total;
      Progress = true;
    }
  }
}

/// Hands idle slots above \p Share to those who lack some.
void giveIdle(CreditPlan &Plan, const CreditDemand &Demand, uint32_t Share) {
  std::map<std::string, uint32_t> Idle = Demand.Idle;
  uint32_t Mine = heldBy(Plan.Next, Demand.Holder);
  for (auto &[Asker, Count] : Plan.Next.Wanted) {
    if (Asker == Demand.Holder)
      continue;
    for (auto &[Name, Each] : Plan.Next.Endpoints) {
      auto Held = Each.Held.find(Demand.Holder);
      while (Count > 0 && Mine > Share && Idle[Name] > 0 &&
             Held != Each.Held.end() && Held->second > 0) {
        --Held->second;
        --Idle[Name];
        --Mine;
        --Count;
        ++Each.Held[Asker];
        ++Plan.Given[Name];
      }
    }
  }
}

/// Asks for what this holder lacks to the whole slots of an equal share.
void ask(CreditTable &Table, const std::string &Holder, uint32_t Share) {
  uint32_t Held = heldBy(Table, Holder);
  if (Held < Share)
    Table.Wanted[Holder] = Share - Held;
  else
    Table.Wanted.erase(Holder);
}

/// Releases all idle slots of a holder that shuts down.
void release(CreditPlan &Plan, const CreditDemand &Demand) {
  Plan.Next.Wanted.erase(Demand.Holder);
  for (const auto &[Name, Count] : Demand.Idle) {
    auto Endpoint = Plan.Next.Endpoints.find(Name);
    if (Endpoint == Plan.Next.Endpoints.end())
      continue;
    uint32_t &Held = Endpoint->second.Held[Demand.Holder];
    uint32_t Released = std::min(Held, Count);
    Held -= Released;
    Plan.Given[Name] = Released;
  }
}

void dropZeros(CreditTable &Table) {
  auto IsZero = [](const auto &Each) { return Each.second == 0; };
  std::erase_if(Table.Wanted, IsZero);
  for (auto &Each : Table.Endpoints)
    std::erase_if(Each.second.Held, IsZero);
}

bool same(const CreditTable &Left, const CreditTable &Right) {
  // A newer list alone is no reason to write.
  if (Left.Wanted != Right.Wanted ||
      Left.Endpoints.size() != Right.Endpoints.size())
    return false;
  return std::equal(Left.Endpoints.begin(), Left.Endpoints.end(),
                    Right.Endpoints.begin(),
                    [](const auto &One, const auto &Other) {
                      return One.first == Other.first &&
                             One.second.Slots == Other.second.Slots &&
                             One.second.Held == Other.second.Held;
                    });
}

} // namespace

uint32_t CreditTable::Endpoint::unheld() const {
  uint32_t Sum = 0;
  for (const auto &Each : Held)
    Sum += Each.second;
  return Slots > Sum ? Slots - Sum : 0;
}

CreditPlan planCredits(const CreditTable &Current, const CreditZone &Zone,
                       const CreditDemand &Demand) {
  CreditPlan Plan;
  Plan.Next = Current;
  if (Zone.ListVersion >= Current.ListVersion) {
    Plan.Next.ListVersion = Zone.ListVersion;
    dropHolders(Plan.Next, Zone.Over);
    matchEndpoints(Plan.Next, Zone.Slots);
  }
  if (Demand.Leaving) {
    release(Plan, Demand);
    dropZeros(Plan.Next);
    Plan.Changed = !same(Plan.Next, Current);
    return Plan;
  }
  uint32_t All = allSlots(Plan.Next);
  auto Holders = static_cast<uint32_t>(std::max<size_t>(1, Zone.Live.size()));
  uint32_t Floor = All / Holders;
  uint32_t Ceiling = (All + Holders - 1) / Holders;
  takeUnheld(Plan.Next, Demand.Holder, Ceiling);
  // Rounding must not make two holders ask and give in turn: who has the
  // floor asks for nothing, and who has the ceiling gives nothing.
  giveIdle(Plan, Demand, Ceiling);
  ask(Plan.Next, Demand.Holder, Floor);
  dropZeros(Plan.Next);
  Plan.Changed = !same(Plan.Next, Current);
  return Plan;
}

} // namespace daisylanding::policy
