#ifndef DAISYLANDING_CELL_CAPSHARES_H
#define DAISYLANDING_CELL_CAPSHARES_H

#include <cstdint>
#include <span>
#include <vector>

/// How the owners of several services share the cap of a workspace, for one
/// resource. Amounts are in parts of the cap, so that a change of the cap
/// scales them all. No I/O.
namespace daisylanding::cell {

/// The parts of a cap.
constexpr int64_t WholeCap = int64_t{1} << 20;

/// The least number of parts whose allowance is at least \p Amount.
int64_t partsFor(uint64_t Amount, uint32_t Cap);
/// What \p Parts of the cap allow, rounded down.
uint64_t allowanceOf(int64_t Parts, uint32_t Cap);
/// The right of service number \p Index of \p Services before any grant. Their
/// sum is `WholeCap`.
int64_t initialRight(size_t Index, size_t Services);
/// The rights after a change of the list of services may have made some of them
/// negative: those are 0, and the sum of all is at most `WholeCap`.
std::vector<int64_t> scaledRights(std::span<const int64_t> Rights);

/// What one owner knows about a service, in parts of the cap.
struct CapClaim {
  int64_t Right = 0;
  /// What it uses and what its ready tasks wait for; for another service that
  /// states no demand beyond its right, the right.
  int64_t Wanted = 0;
  /// What it would use with one more task or gang, which waits for its cap; 0
  /// if none does.
  int64_t Needed = 0;
  int64_t Width = 0; ///< Of the widest task or gang that waits.
};

/// The owner that decides about grants.
struct CapGiver {
  size_t Index = 0; ///< Of its own claim.
  int64_t Used = 0;
  int64_t Reserve = 0; ///< Kept so that a burst starts at once.
};

struct CapDecision {
  std::vector<int64_t> Grants; ///< To each service.
  /// What the giver would grant as well if it didn't use it. It starts nothing
  /// with that.
  int64_t Owed = 0;
};

/// The max-min fair parts of the cap: none gets more than it wants, and what
/// some leave is divided among the others. One task or gang that is wider than
/// its service's fair part could never start; so of such services, that with
/// the least right gets as much, and the others divide the rest.
std::vector<int64_t> fairParts(std::span<const CapClaim> Claims);

/// What the giver grants now: what it neither uses nor wants within its fair
/// part, without the reserve; and more if it is unused and another service
/// can't start a single task without it.
CapDecision decideGrants(std::span<const CapClaim> Claims,
                         const CapGiver &Giver);

} // namespace daisylanding::cell

#endif
