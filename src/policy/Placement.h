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

/// What a task asks of its place.
struct PlacementRequest {
  Resources Size;
  /// 0 spreads load over instances, 1 fills the fullest that fit.
  double Tightness = 0.5;
  /// When the task is expected to end; instances reserved for a gang take it
  /// only if that is before the gang's start.
  TimePoint ExpectedEnd = TimePoint::max();
  /// How many tasks of the same service each rack already has; may be empty.
  std::span<const uint32_t> TasksPerRack;
  /// What work without accelerators must leave for each accelerator that is
  /// free on an instance, so that accelerators are not stranded.
  Resources HeadroomPerAccelerator;
  /// Set for the gang that holds the reservation.
  bool OwnsAdvanceReservation = false;
};

/// The exact ledger of what a shard's instances hold and have free. Sums never
/// exceed a capacity: `take` refuses what does not fit.
class InstancePool {
public:
  /// Adds an instance and returns its index; indexes are never reused.
  uint32_t add(const Resources &Capacity, uint32_t Rack);
  /// Whether new tasks may be placed there.
  void setUsable(uint32_t Index, bool Usable) { UsableFlags[Index] = Usable; }

  bool reserve(uint32_t Index, const Resources &Size);
  void release(uint32_t Index, const Resources &Size);

  /// Keeps \p Index for a gang that starts at \p Start.
  void setAdvanceReservation(uint32_t Index, TimePoint Start);
  void clearAdvanceReservations();

  /// The best instance for \p Request, or none that fits.
  std::optional<uint32_t> chooseInstance(const PlacementRequest &Request) const;
  /// Whether some instance without accelerators could hold \p Size when
  /// empty.
  bool fitsWithoutAccelerators(const Resources &Size) const;
  /// How many tasks of \p Size fit at once into what is free now.
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
  std::vector<TimePoint> AdvanceReservedFrom; ///< max() when not reserved.
};

/// How many tasks of \p Size fit into \p Free; at most \p Limit.
uint64_t fittingTasks(const Resources &Free, const Resources &Size,
                      uint64_t Limit);

} // namespace daisylanding::policy

#endif
