#ifndef DAISYLANDING_NODE_SHARED_H
#define DAISYLANDING_NODE_SHARED_H

#include "cell/CellConfig.h"
#include "common/Metrics.h"
#include "config/CellSettings.h"
#include "node/Ports.h"

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

/// When the store last answered, as any loop saw it.
class StoreHealth {
public:
  void answered(TimePoint Now) {
    Last.store(Now.time_since_epoch().count(), std::memory_order_relaxed);
  }
  TimePoint lastAnswer() const {
    return TimePoint(Micros(Last.load(std::memory_order_relaxed)));
  }

private:
  std::atomic<int64_t> Last{0};
};

/// What all loops of one process share.
struct Shared {
  Shared(config::CellSettings Options, std::string Incarnation,
         const Ports &Around)
      : Options(std::move(Options)), Incarnation(std::move(Incarnation)),
        Around(Around) {}

  config::CellSettings Options;
  std::string Incarnation;
  const Ports &Around;
  cell::ConfigBox Config;
  PendingBox Pending;
  StoreHealth Store;
  Metrics Numbers;
  std::atomic<bool> Draining{false};

  std::string holder() const { return Options.Name + "/" + Incarnation; }
};

} // namespace daisylanding::node

#endif
