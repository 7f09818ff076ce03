#ifndef DAISYLANDING_ENTRY_HOLDERWATCH_H
#define DAISYLANDING_ENTRY_HOLDERWATCH_H

#include "entry/ClusterView.h"
#include "policy/CreditPlanner.h"

#include <map>
#include <string>

namespace daisylanding::entry {

/// Tells which holders of slots live, and which are over: their process is
/// gone, and so long ago that no request of theirs can still run.
class HolderWatch {
public:
  explicit HolderWatch(std::string AvailabilityZone)
      : AvailabilityZone(std::move(AvailabilityZone)) {}

  /// The zone as a planner of slots needs it. \p Slots are those of the listed
  /// endpoints, \p RunLimit the longest run of a request.
  policy::CreditZone creditZone(const ClusterView &View,
                                const policy::CreditTable &Table,
                                std::map<std::string, uint32_t> Slots,
                                Millis RunLimit, TimePoint Now);

private:
  std::string AvailabilityZone;
  /// When this process first knew that a holder's process was gone.
  std::map<std::string, TimePoint> GoneSince;
};

} // namespace daisylanding::entry

#endif
