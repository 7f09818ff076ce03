#ifndef DAISYLANDING_NODE_SHARED_H
#define DAISYLANDING_NODE_SHARED_H

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
class PendingBox {
public:
  void set(const std::string &Service, std::map<std::string, uint64_t> Counts) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Services[Service] = std::move(Counts);
  }
  uint64_t of(const std::string &Queue) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    uint64_t Sum = 0;
    for (const auto &Each : Services) {
      auto Found = Each.second.find(Queue);
      Sum += Found == Each.second.end() ? 0 : Found->second;
    }
    return Sum;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::map<std::string, uint64_t>> Services;
};

/// Where the owners of services take offers, as their rows last told.
class OwnerBox {
public:
  void set(const std::string &Service, std::string Relay) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Relays[Service] = std::move(Relay);
  }
  /// Empty when no owner is known.
  std::string of(const std::string &Service) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Relays.find(Service);
    return Found == Relays.end() ? std::string() : Found->second;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::string> Relays;
};

/// When the store last answered, and its clock, as any loop saw them.
class StoreHealth {
public:
  void answered(TimePoint Now, int64_t StoreMillis) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Last = std::max(Last, Now);
    if (StoreMillis <= Clock)
      return;
    Clock = StoreMillis;
    ClockAt = Now;
  }
  TimePoint lastAnswer() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Last;
  }
  /// A read took so long; tells a slow store from a lost answer.
  void readTook(Micros Took) {
    constexpr double Weight = 0.4;
    std::lock_guard<std::mutex> Lock(Mutex);
    ReadMs += Weight * (toSeconds(Took) * 1e3 - ReadMs);
  }
  /// The oldest read that waits for its answer was sent so long ago: a store
  /// that turns slow is noticed before it answers.
  void readOpenFor(Micros Age) {
    std::lock_guard<std::mutex> Lock(Mutex);
    OpenMs = toSeconds(Age) * 1e3;
  }
  double readMillis() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return std::max(ReadMs, OpenMs);
  }
  /// The store's steady clock, by its newest answer.
  int64_t clockMillis(TimePoint Now) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Clock + toMillis(Now - ClockAt);
  }

private:
  mutable std::mutex Mutex;
  TimePoint Last{};
  double ReadMs = 5; ///< Moving average.
  double OpenMs = 0;
  int64_t Clock = 0;
  TimePoint ClockAt{};
};

/// A live job as its owner last told.
struct OwnedJob {
  std::string Id;
  std::string Queue;
  std::string Phase;
  uint32_t OpenRuns = 0;
  int64_t AgeMs = 0;
};

/// A service that this process owns, for operators.
struct OwnedService {
  uint64_t Epoch = 0;
  cell::OwnerStatus State;
  std::vector<OwnedJob> Jobs;
};

/// What the owners in this process last told of themselves.
class StatusBoard {
public:
  void set(const std::string &Service, OwnedService Told) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Services[Service] = std::move(Told);
  }
  void remove(const std::string &Service) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Services.erase(Service);
  }
  std::map<std::string, OwnedService> all() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Services;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, OwnedService> Services;
};

/// What all loops of one process share.
struct Shared {
  Shared(config::CellSettings Options, std::string Incarnation,
         const Ports &Around)
      : Options(std::move(Options)), Incarnation(std::move(Incarnation)),
        Around(Around), Events(this->Options.Name, EventCapacity) {}

  config::CellSettings Options;
  std::string Incarnation;
  const Ports &Around;
  cell::SharedConfig Config;
  PendingBox Pending;
  OwnerBox Owners;
  cell::OfferRegistry Offers;
  StoreHealth Store;
  StatusBoard Board;
  Metrics Numbers;
  EventLog Events;
  std::atomic<bool> Draining{false};

  static constexpr size_t EventCapacity = 5'000;

  std::string holder() const { return Options.Name + "/" + Incarnation; }
};

} // namespace daisylanding::node

#endif
