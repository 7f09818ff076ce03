#ifndef DAISYLANDING_POLICY_THROTTLE_H
#define DAISYLANDING_POLICY_THROTTLE_H

#include <algorithm>
#include <cstdint>

namespace daisylanding::policy {

/// Returns the speed, in percent, at which the tasks of an instance may run. It
/// is reduced when they use more cores than the instance has, since declared
/// sizes are often wrong.
inline uint32_t throttlePercent(uint64_t UsedMilliCores,
                                uint64_t CapacityMilliCores) {
  constexpr uint64_t FullSpeed = 100;
  constexpr uint64_t SlowestSpeed = 10;
  if (UsedMilliCores <= CapacityMilliCores)
    return FullSpeed;
  uint64_t Percent = FullSpeed * CapacityMilliCores / UsedMilliCores;
  return static_cast<uint32_t>(std::max(SlowestSpeed, Percent));
}

} // namespace daisylanding::policy

#endif
