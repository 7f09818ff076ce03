#ifndef DAISYLANDING_ENTRY_HOLDERWATCH_H
#define DAISYLANDING_ENTRY_HOLDERWATCH_H

#include "entry/ClusterView.h"
#include "policy/CreditPlanner.h"

#include <map>
#include <string>

namespace daisylanding::entry {

/// Tracks which credit holders are live, and whose credits can be reclaimed
/// because their process has been gone for longer than a request can run.
class HolderWatch {
public:
  explicit HolderWatch(std::string AvailabilityZone)
      : AvailabilityZone(std::move(AvailabilityZone)) {}

  /// Returns the state of the zone that credits are planned from. \p Slots are
  /// the slots of the listed endpoints, by endpoint; \p RunLimit is the
  /// service's longest run of a request.
  policy::CreditZone creditZone(const ClusterView &View,
                                const policy::CreditTable &Table,
                                std::map<std::string, uint32_t> Slots,
                                Millis RunLimit, TimePoint Now);

private:
  std::string AvailabilityZone;
  /// When this process first observed that a holder's process was gone.
  std::map<std::string, TimePoint> GoneSince;
};

} // namespace daisylanding::entry

#endif
