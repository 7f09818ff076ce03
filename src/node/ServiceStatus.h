#ifndef DAISYLANDING_NODE_SERVICESTATUS_H
#define DAISYLANDING_NODE_SERVICESTATUS_H

#include "cell/OwnerStatus.h"
#include "common/Metrics.h"
#include "common/Time.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

/// What the owners in this process tell operators, and as of when.
namespace daisylanding::node {

/// Owners publish their status each second; a long turn delays it. An older
/// one tells nothing of the present.
constexpr Millis MaxStatusAge{5'000};

/// Whether a status tells of the service's jobs.
enum class FiguresState {
  Known,
  Loading,  ///< The stored jobs are being read.
  Outdated, ///< The owner has published nothing for `MaxStatusAge`.
};

/// As it stands in answers: "known", "loading", "outdated".
std::string_view figuresStateName(FiguresState State);

/// A live job as last published by its owner.
struct JobStatus {
  std::string Id;
  std::string Queue;
  std::string Phase;
  uint32_t OpenRuns = 0;
  int64_t AgeMs = 0;
};

/// A service owned by this process, as shown to operators.
struct ServiceStatus {
  uint64_t Epoch = 0;
  TimePoint TakenAt{}; ///< When the owner made this status.
  cell::OwnerStatus State;
  std::vector<JobStatus> Jobs;
  std::vector<Gauge> Gauges;

  Millis age(TimePoint Now) const;
  FiguresState figures(TimePoint Now) const;
};

/// Statuses last published by the owners in this process, by service.
class ServiceStatuses {
public:
  void set(const std::string &Service, ServiceStatus Status) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Services[Service] = std::move(Status);
  }
  void remove(const std::string &Service) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Services.erase(Service);
  }
  std::map<std::string, ServiceStatus> all() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Services;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, ServiceStatus> Services;
};

} // namespace daisylanding::node

#endif
