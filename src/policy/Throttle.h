#ifndef DAISYLANDING_POLICY_THROTTLE_H
#define DAISYLANDING_POLICY_THROTTLE_H

#include <algorithm>
#include <cstdint>

namespace daisylanding::policy {

/// How fast, in percent, an instance's tasks may run when they use more cores
/// than it has; declared sizes are often wrong.
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
