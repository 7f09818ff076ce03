#include "entry/HolderWatch.h"

#include <algorithm>
#include <set>

namespace daisylanding::entry {

namespace {

/// Added to the run limit before the credits of a gone holder are reclaimed.
constexpr Millis RunLimitMargin{1'000};

/// Whether the platform lists the entry. True also if the list here is older
/// than the one that the entry has seen, since it may not contain it yet.
bool isListed(const Member &Entry, const ClusterView &View) {
  if (View.List.Version < Entry.ListVersion)
    return true;
  return std::any_of(View.List.Instances.begin(), View.List.Instances.end(),
                     [&](const table::Instance &Instance) {
                       return Instance.Name == Entry.Name;
                     });
}

/// Adds to \p Gone the holders in the table whose process was an incarnation of
/// \p Entry that is gone.
void collectGoneHolders(const Member &Entry, bool Listed,
                        const policy::CreditTable &Table,
                        std::set<std::string> &Gone) {
  for (const auto &Endpoint : Table.Endpoints) {
    for (const auto &Holding : Endpoint.second.HeldSlots) {
      bool SameName = Holding.first.starts_with(Entry.Name + "/");
      if (SameName && (!Listed || Holding.first != Entry.holderName()))
        Gone.insert(Holding.first);
    }
  }
}

} // namespace

policy::CreditZone HolderWatch::creditZone(
    const ClusterView &View, const policy::CreditTable &Table,
    std::map<std::string, uint32_t> Slots, Millis RunLimit, TimePoint Now) {
  policy::CreditZone Zone{.ListVersion = View.List.Version,
                          .EndpointSlots = std::move(Slots)};
  std::set<std::string> Gone;
  for (const Member &Entry : View.Members) {
    bool Listed = isListed(Entry, View);
    bool MayHold = Listed && Entry.Alive && !Entry.Draining;
    if (MayHold && Entry.AvailabilityZone == AvailabilityZone)
      Zone.LiveHolders.insert(Entry.holderName());
    collectGoneHolders(Entry, Listed, Table, Gone);
  }
  std::erase_if(GoneSince,
                [&](const auto &Item) { return !Gone.count(Item.first); });
  for (const std::string &Holder : Gone) {
    TimePoint GoneAt = GoneSince.try_emplace(Holder, Now).first->second;
    if (Now - GoneAt > RunLimit + RunLimitMargin)
      Zone.EndedHolders.insert(Holder);
  }
  return Zone;
}

} // namespace daisylanding::entry
