#ifndef DAISYLANDING_POLICY_CREDITPLANNER_H
#define DAISYLANDING_POLICY_CREDITPLANNER_H

#include "common/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisylanding::policy {

/// Who holds how many slots of each endpoint of one service in one zone.
/// Spending a held slot needs no message; only moving slots between holders
/// is agreed, through one row of the platform's table. This is escrow, in the
/// frame of SIEVE: what keeps the bound from local state alone runs without
/// coordination. "Automating the Choice of Consistency Levels in Replicated
/// Systems", section 5. Shares are equal and move only with membership; load
/// is evened out by forwarding requests, which docs/DESIGN.md measures.
struct CreditTable {
  struct Endpoint {
    uint32_t Slots = 0;
    std::map<std::string, uint32_t> HeldSlots; ///< By holder.

    uint32_t unheldSlots() const;
  };

  /// The newest version of the instance list that a planner has applied. A
  /// planner with an older list adds and drops nothing.
  uint64_t ListVersion = 0;
  std::map<std::string, Endpoint> Endpoints;
  /// Slots that holders lack to an equal share.
  std::map<std::string, uint32_t> MissingSlots;
};

/// What one holder knows when it plans a move.
struct HolderState {
  std::string Name;
  bool Leaving = false; ///< It shuts down: what is idle is released.
  /// Slots of each endpoint that are free here and may be given away.
  std::map<std::string, uint32_t> IdleSlots;
};

/// The zone as the planner sees it.
struct CreditZone {
  uint64_t ListVersion = 0;
  std::map<std::string, uint32_t>
      EndpointSlots;                 ///< Of each endpoint in the list.
  std::set<std::string> LiveHolders; ///< Holders that may get slots.
  std::set<std::string>
      EndedHolders; ///< Holders whose work is known to be over.
};

/// The row after this holder's move, and whether it differs from \p Current.
struct CreditPlan {
  CreditTable NextTable;
  bool Changed = false;
  /// Slots taken from this holder's idle ones, by endpoint. The holder must
  /// stop using them before the row is written.
  std::map<std::string, uint32_t> GivenSlots;
};

/// Plans one holder's move: reclaims slots of holders that are over, takes
/// unheld slots up to an equal share, gives idle slots above its share to
/// holders that lack some, and asks for what it lacks itself.
CreditPlan planCredits(const CreditTable &Current, const CreditZone &Zone,
                       const HolderState &Holder);

} // namespace daisylanding::policy

#endif
