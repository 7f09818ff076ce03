#ifndef DAISYLANDING_POLICY_PLACEMENT_H
#define DAISYLANDING_POLICY_PLACEMENT_H

#include "common/Time.h"
#include "table/InstanceList.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace daisylanding::policy {

using table::Resources;

/// Size and constraints of a task to be placed.
struct PlacementRequest {
  Resources Size;
  /// 0 spreads tasks over instances; 1 packs them onto the fullest instances
  /// that fit.
  double Tightness = 0.5;
  /// Expected end of the task. An instance under an advance reservation accepts
  /// the task only if it ends by the start of the reservation.
  TimePoint ExpectedEnd = TimePoint::max();
  /// Tasks of the same service by rack index; may be empty.
  std::span<const uint32_t> TasksPerRack;
  /// Free capacity that tasks without accelerators must leave for each free
  /// accelerator of an instance, so that accelerators are not stranded.
  Resources HeadroomPerAccelerator;
  /// Set for the job that holds the advance reservation.
  bool OwnsAdvanceReservation = false;
};

/// Exact ledger of the capacity and free capacity of a shard's instances. The
/// sum of reserved sizes never exceeds a capacity: reserve() returns false for
/// a size that does not fit.
class InstancePool {
public:
  /// Adds an instance and returns its index; indexes are never reused.
  uint32_t add(const Resources &Capacity, uint32_t Rack);
  void setUsable(uint32_t Index, bool Usable) { UsableFlags[Index] = Usable; }

  bool reserve(uint32_t Index, const Resources &Size);
  void release(uint32_t Index, const Resources &Size);

  /// Until the reservations are cleared, \p Index accepts tasks of other jobs
  /// only if they are expected to end by \p Start.
  void setAdvanceReservation(uint32_t Index, TimePoint Start);
  void clearAdvanceReservations();

  /// Returns the index of the best instance for \p Request, or nothing if none
  /// fits.
  std::optional<uint32_t> chooseInstance(const PlacementRequest &Request) const;
  /// Whether \p Size fits into an empty instance without accelerators.
  bool fitsWithoutAccelerators(const Resources &Size) const;
  /// Returns how many tasks of \p Size fit into the free capacity at once.
  uint64_t countFitting(const Resources &Size,
                        bool OwnsAdvanceReservation) const;

  size_t size() const { return FreeCapacities.size(); }
  bool isUsable(uint32_t Index) const { return UsableFlags[Index]; }
  const Resources &capacity(uint32_t Index) const { return Capacities[Index]; }
  const Resources &freeCapacity(uint32_t Index) const {
    return FreeCapacities[Index];
  }
  uint32_t rackIndex(uint32_t Index) const { return RackIndexes[Index]; }

private:
  bool accepts(uint32_t Index, const PlacementRequest &Request) const;
  double score(uint32_t Index, const PlacementRequest &Request) const;

  std::vector<Resources> FreeCapacities;
  std::vector<Resources> Capacities;
  std::vector<uint32_t> RackIndexes;
  std::vector<uint8_t> UsableFlags;
  std::vector<TimePoint> AdvanceReservedFrom; ///< max(): not reserved.
};

/// Returns how many tasks of \p Size fit into \p Free, at most \p Limit.
uint64_t fittingTasks(const Resources &Free, const Resources &Size,
                      uint64_t Limit);

} // namespace daisylanding::policy

#endif
