#include "entry/HolderWatch.h"

#include <algorithm>
#include <set>

namespace daisylanding::entry {

namespace {

/// A holder's work counts as over this long after its run limit.
constexpr Millis OverMargin{1'000};

/// Whether the platform lists the member, or is not known to have dropped it:
/// a list that is older than the member's own may not have it yet.
bool isListed(const Member &Each, const View &Seen) {
  if (Seen.List.Version < Each.ListVersion)
    return true;
  return std::any_of(
      Seen.List.Instances.begin(), Seen.List.Instances.end(),
      [&](const table::Instance &Other) { return Other.Name == Each.Name; });
}

/// Holders in the table that belong to a process of \p Each that is gone.
void collectGone(const Member &Each, bool Listed,
                 const policy::CreditTable &Table,
                 std::set<std::string> &Gone) {
  for (const auto &Endpoint : Table.Endpoints) {
    for (const auto &Held : Endpoint.second.HeldSlots) {
      bool SameName = Held.first.starts_with(Each.Name + "/");
      if (SameName && (!Listed || Held.first != Each.holder()))
        Gone.insert(Held.first);
    }
  }
}

} // namespace

policy::CreditZone HolderWatch::zone(const View &Seen,
                                     const policy::CreditTable &Table,
                                     std::map<std::string, uint32_t> Slots,
                                     Millis RunLimit, TimePoint Now) {
  policy::CreditZone Zone{.ListVersion = Seen.List.Version,
                          .EndpointSlots = std::move(Slots)};
  std::set<std::string> Gone;
  for (const Member &Each : Seen.Members) {
    bool Listed = isListed(Each, Seen);
    bool Takes = Listed && Each.Alive && !Each.Draining;
    if (Takes && Each.AvailabilityZone == AvailabilityZone)
      Zone.LiveHolders.insert(Each.holder());
    collectGone(Each, Listed, Table, Gone);
  }
  std::erase_if(GoneSince,
                [&](const auto &Each) { return !Gone.count(Each.first); });
  for (const std::string &Holder : Gone) {
    TimePoint Since = GoneSince.try_emplace(Holder, Now).first->second;
    if (Now - Since > RunLimit + OverMargin)
      Zone.EndedHolders.insert(Holder);
  }
  return Zone;
}

} // namespace daisylanding::entry
