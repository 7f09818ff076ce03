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

/// An endpoint of the home zone, as the request loop tracks it.
struct EndpointInfo {
  std::string Name;
  std::string Address;
  bool Listed = true; ///< In the instance list and not leaving.
};

/// The queue, endpoints and credits of one service on this entry.
class ServiceState {
public:
  ServiceState(const config::ServiceSpec &Spec,
               const config::ClusterConfig &Config, size_t MaxWaiting);

  /// Applies a new configuration and keeps the queue. Requests of a class that
  /// was removed move to the service's default class.
  void configure(const config::ServiceSpec &Spec,
                 const config::ClusterConfig &Config);
  /// Applies the instance list: new endpoints, changed addresses, endpoints
  /// that leave.
  void applyInstanceList(const table::InstanceSnapshot &List,
                         const std::set<std::string> &Drained,
                         std::string_view Zone);
  /// Sets the credits to those that \p Holder has in the credit row.
  void applyCredits(const policy::CreditTable &Table,
                    const std::string &Holder);
  /// Subtracts the credits that a plan gives away. Called before the plan is
  /// written, so that they are not used meanwhile.
  void withdrawCredits(const std::map<std::string, uint32_t> &Given);

  /// Returns the index of a class, or that of the default class if it does not
  /// exist.
  uint32_t classIndex(std::string_view Name) const;
  Millis waitingTarget(std::string_view Class) const {
    return WaitingTargets[classIndex(Class)];
  }
  std::optional<size_t> pickEndpoint(std::optional<size_t> Exclude,
                                     TimePoint Now, Random &Generator);
  void onSent(size_t EndpointIndex, TimePoint Now);
  /// A request ended and frees its slot.
  void onEnded(size_t EndpointIndex, Micros Latency, bool Succeeded,
               TimePoint Now);
  /// The outcome of a request is unknown; its slot stays taken until \p Until.
  void onUnresolved(size_t EndpointIndex, TimePoint Until, TimePoint Now);
  /// Frees the slots of unresolved requests that can no longer run.
  void releaseExpiredSlots(TimePoint Now);

  policy::HolderState creditDemand(const std::string &Holder) const;
  std::map<std::string, uint32_t> listedSlots() const;
  /// Free slots minus waiting requests; may be negative.
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
  uint64_t CreditWriteCount = 0; ///< Passed to the credit loop so far.

private:
  size_t findOrAddEndpoint(const table::Instance &Instance);
  void refreshUsable(TimePoint Now);

  std::multimap<TimePoint, size_t> UnresolvedUntil;
  double MeanServiceMs = 0;
};

} // namespace daisylanding::entry

#endif
