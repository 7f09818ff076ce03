#ifndef DAISYLANDING_ENTRY_SERVICESTATE_H
#define DAISYLANDING_ENTRY_SERVICESTATE_H

#include "config/ClusterConfig.h"
#include "policy/CreditPlanner.h"
#include "policy/EndpointPicker.h"
#include "policy/OutlierDetector.h"
#include "policy/RequestQueue.h"
#include "policy/RetryBudget.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisylanding::entry {

/// One endpoint of the home zone as the front loop keeps it.
struct EndpointInfo {
  std::string Name;
  std::string Address;
  bool Listed = true; ///< Still in the instance list and not leaving.
};

/// One service's queue, endpoints and credits on this entry.
class ServiceState {
public:
  ServiceState(const config::ServiceSpec &Spec,
               const config::ClusterConfig &Config, size_t MaxWaiting);

  /// Takes over the targets of a new configuration; the queue is kept. What
  /// waits in a class that is gone moves to the service's default class.
  void configure(const config::ServiceSpec &Spec,
                 const config::ClusterConfig &Config);
  /// Takes over the instance list: new endpoints, addresses, leaving ones.
  void applyInstanceList(const table::InstanceSnapshot &List,
                         const std::set<std::string> &Drained,
                         std::string_view Zone);
  /// Takes over the escrow row as \p Holder finds it.
  void applyCredits(const policy::CreditTable &Table,
                    const std::string &Holder);
  /// Reduces credits that a plan gives away, before it is written.
  void withdrawCredits(const std::map<std::string, uint32_t> &Given);

  /// The index of a class; that of the default class if it is gone.
  uint32_t classIndex(std::string_view Name) const;
  Millis waitingTarget(std::string_view Class) const {
    return WaitingTargets[classIndex(Class)];
  }
  std::optional<size_t> pickEndpoint(std::optional<size_t> Exclude,
                                     TimePoint Now, Random &Generator);
  void onSent(size_t EndpointIndex, TimePoint Now);
  /// A request ended; its slot is free again.
  void onEnded(size_t EndpointIndex, Micros Latency, bool Succeeded,
               TimePoint Now);
  /// A request's fate is open; its slot stays taken until \p Until.
  void onUnresolved(size_t EndpointIndex, TimePoint Until, TimePoint Now);
  /// Frees slots whose request can no longer run.
  void releaseExpiredSlots(TimePoint Now);

  policy::CreditDemand creditDemand(const std::string &Holder) const;
  std::map<std::string, uint32_t> listedSlots() const;
  /// Free slots less waiting requests; negative when work waits.
  int64_t netFreeSlots(TimePoint Now) const;
  bool hasCredits() const;
  Micros meanServiceTime() const;
  double startsPerSecond() const;

  size_t MaxWaiting;
  config::ServiceSpec Spec;
  std::vector<std::string> ClassNames;
  std::vector<Millis> WaitingTargets;
  policy::RequestQueue Queue;
  policy::RetryBudget Retries{{}};
  std::vector<EndpointInfo> Endpoints;
  std::vector<policy::EndpointView> EndpointViews;
  policy::OutlierDetector Outliers{{}};
  uint64_t CreditWriteCount = 0; ///< Handed to the credit loop so far.

private:
  size_t findOrAddEndpoint(const table::Instance &Instance);
  void refreshUsable(TimePoint Now);

  std::multimap<TimePoint, size_t> UnresolvedUntil;
  double MeanServiceMs = 0;
};

} // namespace daisylanding::entry

#endif
