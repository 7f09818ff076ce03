#ifndef DAISYLANDING_POLICY_SIZEESTIMATOR_H
#define DAISYLANDING_POLICY_SIZEESTIMATOR_H

#include "common/Time.h"
#include "table/InstanceList.h"

#include <algorithm>

namespace daisylanding::policy {

/// Corrects one job's declared size and run time by what its attempts showed.
/// Sizes are only ever raised, so that a correction can't overbook anything;
/// run times follow the observations both ways, since they only order work.
class SizeEstimator {
public:
  SizeEstimator(table::Resources Declared, Millis RunTime)
      : Size(Declared), RunTimeMs(static_cast<double>(RunTime.count())) {}

  /// Takes the peak use that a worker reported.
  void recordUse(const table::Resources &Peak) {
    Size.MilliCores = std::max(Size.MilliCores, Peak.MilliCores);
    Size.MemoryMb = std::max(Size.MemoryMb, Peak.MemoryMb);
    Size.Accelerators = std::max(Size.Accelerators, Peak.Accelerators);
  }

  /// Takes the run time of an attempt that ran to its end.
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
