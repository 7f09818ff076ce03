#ifndef DAISYLANDING_NODE_ENTRYCONTEXT_H
#define DAISYLANDING_NODE_ENTRYCONTEXT_H

#include "cell/CellConfig.h"
#include "cell/CellOwner.h"
#include "cell/Offer.h"
#include "common/EventLog.h"
#include "common/Metrics.h"
#include "config/CellSettings.h"
#include "node/Ports.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

namespace daisylanding::node {

/// Jobs not begun, by queue, as the owners of the services last told.
class PendingJobCounts {
public:
  void set(const std::string &Service, std::map<std::string, uint64_t> Counts) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Services[Service] = std::move(Counts);
  }
  uint64_t count(const std::string &Queue) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    uint64_t Total = 0;
    for (const auto &ServiceCounts : Services) {
      auto It = ServiceCounts.second.find(Queue);
      Total += It == ServiceCounts.second.end() ? 0 : It->second;
    }
    return Total;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::map<std::string, uint64_t>> Services;
};

/// Where the owners of services take offers, as their rows last told.
class OwnerAddresses {
public:
  void set(const std::string &Service, std::string Relay) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Relays[Service] = std::move(Relay);
  }
  /// Empty when no owner is known.
  std::string relayAddress(const std::string &Service) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto It = Relays.find(Service);
    return It == Relays.end() ? std::string() : It->second;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::string> Relays;
};

/// When the store last answered, and its clock, as any loop saw them.
class StoreMonitor {
public:
  void recordAnswer(TimePoint Now, int64_t StoreMillis) {
    std::lock_guard<std::mutex> Lock(Mutex);
    LastAnswer = std::max(LastAnswer, Now);
    if (StoreMillis <= ClockMs)
      return;
    ClockMs = StoreMillis;
    ClockReadAt = Now;
  }
  TimePoint lastAnswer() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return LastAnswer;
  }
  /// A read took so long; tells a slow store from a lost answer.
  void recordReadTime(Micros Duration) {
    constexpr double SmoothingFactor = 0.4;
    std::lock_guard<std::mutex> Lock(Mutex);
    AverageReadMs +=
        SmoothingFactor * (toSeconds(Duration) * 1e3 - AverageReadMs);
  }
  /// The oldest read that waits for its answer was sent so long ago: a store
  /// that turns slow is noticed before it answers.
  void setOpenReadAge(Micros Age) {
    std::lock_guard<std::mutex> Lock(Mutex);
    OpenReadMs = toSeconds(Age) * 1e3;
  }
  double readLatencyMs() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return std::max(AverageReadMs, OpenReadMs);
  }
  /// The store's steady clock, by its newest answer.
  int64_t clockMillis(TimePoint Now) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return ClockMs + toMillis(Now - ClockReadAt);
  }

private:
  mutable std::mutex Mutex;
  TimePoint LastAnswer{};
  double AverageReadMs = 5; ///< Moving average.
  double OpenReadMs = 0;
  int64_t ClockMs = 0;
  TimePoint ClockReadAt{};
};

/// A live job as its owner last told.
struct JobStatus {
  std::string Id;
  std::string Queue;
  std::string Phase;
  uint32_t OpenRuns = 0;
  int64_t AgeMs = 0;
};

/// A service that this process owns, for operators.
struct ServiceStatus {
  uint64_t Epoch = 0;
  cell::OwnerState State;
  std::vector<JobStatus> Jobs;
};

/// What the owners in this process last told of themselves.
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

/// What all loops of one process share.
struct EntryContext {
  EntryContext(config::CellSettings Options, std::string Incarnation,
               const Ports &Platform)
      : Options(std::move(Options)), Incarnation(std::move(Incarnation)),
        Platform(Platform), Events(this->Options.Name, EventCapacity) {}

  config::CellSettings Options;
  std::string Incarnation;
  const Ports &Platform;
  cell::ConfigBox Config;
  PendingJobCounts PendingJobs;
  OwnerAddresses Owners;
  cell::OfferDesk Offers;
  StoreMonitor StoreHealth;
  ServiceStatuses OwnedServices;
  Metrics EntryMetrics;
  EventLog Events;
  std::atomic<bool> Draining{false};

  static constexpr size_t EventCapacity = 5'000;

  std::string holder() const { return Options.Name + "/" + Incarnation; }
};

} // namespace daisylanding::node

#endif
