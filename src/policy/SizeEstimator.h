#ifndef DAISYLANDING_POLICY_SIZEESTIMATOR_H
#define DAISYLANDING_POLICY_SIZEESTIMATOR_H

#include "common/Time.h"
#include "table/InstanceList.h"

#include <algorithm>

namespace daisylanding::policy {

/// Corrects the declared size and run time of a job by measurements of its
/// attempts. Sizes only grow, so that a correction never overbooks an instance;
/// run times follow the measurements in both directions, as they only affect
/// the order of work.
class SizeEstimator {
public:
  SizeEstimator(table::Resources Declared, Millis RunTime)
      : Size(Declared), RunTimeMs(static_cast<double>(RunTime.count())) {}

  /// Records the peak use reported by a worker.
  void recordUse(const table::Resources &Peak) {
    Size.MilliCores = std::max(Size.MilliCores, Peak.MilliCores);
    Size.MemoryMb = std::max(Size.MemoryMb, Peak.MemoryMb);
    Size.Accelerators = std::max(Size.Accelerators, Peak.Accelerators);
  }

  /// Records the run time of a successful attempt.
  void recordRunTime(Millis Observed) {
    constexpr double Weight = 0.3;
    RunTimeMs += Weight * (static_cast<double>(Observed.count()) - RunTimeMs);
  }

  const table::Resources &size() const { return Size; }
  Millis runTime() const { return Millis(static_cast<int64_t>(RunTimeMs)); }

private:
  table::Resources Size;
  double RunTimeMs;
};

} // namespace daisylanding::policy

#endif
