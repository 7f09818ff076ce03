#ifndef DAISYLANDING_CELL_CELLCONFIG_H
#define DAISYLANDING_CELL_CELLCONFIG_H

#include "common/Time.h"
#include "http/RequestScanner.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::cell {

/// What the policy service takes for a call, and how long a ticket holds.
struct AdviceSettings {
  double BaseMs = 0;
  double PerExecutorMs = 0;
  Millis Validity{0};
};

/// A queue of jobs: where callers hand them in and what is promised.
struct Queue {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Ends with a slash.
  std::string Service;    ///< Whose executors run its tasks.
  uint32_t Priority = 0;  ///< 0 is the most urgent.
  uint32_t MaxAttempts = 1;
  double Stretch = 1; ///< Allowed multiple of a job's longest chain of work.
  Millis TargetLatency{0}; ///< Allowed besides.
  std::optional<AdviceSettings> Advice;
};

/// One version of the cell's configuration, in full.
struct CellConfig {
  uint64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<std::string> Services;
  http::RequestLimits Limits;

  /// The queue of a host (without its port) with the longest prefix that
  /// \p Path begins with; null if there is none.
  const Queue *findQueueByPath(std::string_view Host,
                               std::string_view Path) const;
  const Queue *findQueue(std::string_view Name) const;
};

/// The configuration in force, shared between loops. Versions only rise.
class SharedConfig {
public:
  std::shared_ptr<const CellConfig> current() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Current;
  }
  /// False when the version in force is as high already.
  bool replaceIfNewer(std::shared_ptr<const CellConfig> NewConfig) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Current && Current->Version >= NewConfig->Version)
      return false;
    Current = std::move(NewConfig);
    return true;
  }

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const CellConfig> Current;
};

} // namespace daisylanding::cell

#endif
