#ifndef DAISYLANDING_POLICY_CREDITPLANNER_H
#define DAISYLANDING_POLICY_CREDITPLANNER_H

#include "common/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisylanding::policy {

/// Which holder has how many slots of each endpoint of one service in one zone.
/// Using a held slot needs no message; only moving slots between holders is
/// coordinated, through one row of the platform's table. This is escrow; in
/// terms of SIEVE, operations that local state alone shows to keep the bound
/// run without coordination ("Automating the Choice of Consistency Levels in
/// Replicated Systems", section 5). Shares are equal and change only with
/// membership; load is balanced by forwarding requests (measured in
/// docs/DESIGN.md).
struct CreditTable {
  struct Endpoint {
    uint32_t Slots = 0;
    std::map<std::string, uint32_t> HeldSlots; ///< By holder.

    uint32_t unheldSlots() const;
  };

  /// Newest version of the instance list that a planner has applied. A planner
  /// with an older list adds and removes no endpoint or holder.
  uint64_t ListVersion = 0;
  std::map<std::string, Endpoint> Endpoints;
  /// Slots that each holder lacks to its equal share.
  std::map<std::string, uint32_t> MissingSlots;
};

/// State of the holder that plans a move.
struct HolderState {
  std::string Name;
  bool Leaving = false; ///< The holder is shutting down.
  /// Free slots by endpoint, which may be given away.
  std::map<std::string, uint32_t> IdleSlots;
};

/// Members of the zone as the planner knows them.
struct CreditZone {
  uint64_t ListVersion = 0;
  std::map<std::string, uint32_t> EndpointSlots; ///< By endpoint in the list.
  std::set<std::string> LiveHolders; ///< Holders that may get slots.
  /// Holders known to have no running request.
  std::set<std::string> EndedHolders;
};

/// The planned row. Changed tells whether it differs from the current one in
/// more than its list version.
struct CreditPlan {
  CreditTable NextTable;
  bool Changed = false;
  /// Idle slots taken from this holder, by endpoint. The holder must stop using
  /// them before the row is written.
  std::map<std::string, uint32_t> GivenSlots;
};

/// Plans one holder's move: reclaims slots of ended holders, takes unheld slots
/// up to an equal share, gives idle slots above its share to holders that lack
/// some, and records how many it lacks itself. A leaving holder only releases
/// its idle slots.
CreditPlan planCredits(const CreditTable &Current, const CreditZone &Zone,
                       const HolderState &Holder);

} // namespace daisylanding::policy

#endif
