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
struct EndpointSlot {
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
  void applyList(const table::InstanceSnapshot &List,
                 const std::set<std::string> &Drained, std::string_view Zone);
  /// Takes over the escrow row as \p Holder finds it.
  void applyCredits(const policy::CreditTable &Table,
                    const std::string &Holder);
  /// Reduces credits that a plan gives away, before it is written.
  void reduce(const std::map<std::string, uint32_t> &Given);

  /// The index of a class; that of the default class if it is gone.
  uint32_t classOf(std::string_view Name) const;
  Millis targetOf(std::string_view Class) const {
    return Targets[classOf(Class)];
  }
  std::optional<size_t> pick(std::optional<size_t> Exclude, TimePoint Now,
                             Random &Generator);
  void sent(size_t Endpoint, TimePoint Now);
  /// A request ended; its slot is free again.
  void ended(size_t Endpoint, Micros Latency, bool Good, TimePoint Now);
  /// A request's fate is open; its slot stays taken until \p Until.
  void unresolved(size_t Endpoint, TimePoint Until, TimePoint Now);
  /// Frees slots whose request can no longer run.
  void releaseResolved(TimePoint Now);

  policy::HolderState demand(const std::string &Holder) const;
  std::map<std::string, uint32_t> slotsInList() const;
  /// Free slots less waiting requests; negative when work waits.
  int64_t spareSlots(TimePoint Now) const;
  bool hasCredits() const;
  Micros meanServiceTime() const;
  double startsPerSecond() const;

  size_t MaxWaiting;
  config::ServiceSpec Spec;
  std::vector<std::string> ClassNames;
  std::vector<Millis> Targets;
  policy::RequestQueue Queue;
  policy::RetryBudget Retries{{}};
  std::vector<EndpointSlot> Slots;
  std::vector<policy::EndpointView> Views;
  policy::OutlierDetector Outliers{{}};
  uint64_t CreditWrites = 0; ///< Handed to the credit loop so far.

private:
  size_t indexOf(const table::Instance &Each);
  void refreshUsable(TimePoint Now);

  std::multimap<TimePoint, size_t> Unresolved;
  double MeanServiceMs = 0;
};

} // namespace daisylanding::entry

#endif
