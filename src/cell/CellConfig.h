#ifndef DAISYLANDING_CELL_CELLCONFIG_H
#define DAISYLANDING_CELL_CELLCONFIG_H

#include "cell/KeyRing.h"
#include "cell/Workspace.h"
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

/// Time that the policy service takes for a call, and validity of its tickets.
struct AdviceSettings {
  double BaseMs = 0;
  double PerExecutorMs = 0;
  Millis Validity{0};
};

/// How long the policy service takes for a call that names so many executors,
/// in ms.
inline double serviceMs(const AdviceSettings &Settings, size_t Executors) {
  return Settings.BaseMs +
         Settings.PerExecutorMs * static_cast<double>(Executors);
}

/// A queue of jobs: the address where callers submit them and its service
/// level.
struct Queue {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Ends with a slash.
  std::string Service;    ///< Whose executors run its tasks.
  uint32_t Priority = 0;  ///< 0 is the most urgent.
  uint32_t MaxAttempts = 1;
  double Stretch = 1;      ///< Allowed multiple of a job's critical path.
  Millis TargetLatency{0}; ///< Allowed in addition to `Stretch`.
  std::optional<AdviceSettings> Advice;
  bool IsPublic = false; ///< Its callers need no key.
};

/// The queue without its address: what a job keeps of it.
Queue termsOf(const Queue &Configured);

/// One complete version of the cell's configuration.
struct CellConfig {
  uint64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<std::string> Services;
  /// If there are none, callers need no keys.
  std::vector<Workspace> Workspaces;
  KeyRing Keys; ///< Of `Workspaces`, by their index.
  http::RequestLimits Limits;

  /// The queue of \p Host (without a port) with the longest prefix of \p Path;
  /// null if there is none.
  const Queue *findQueueByPath(std::string_view Host,
                               std::string_view Path) const;
  const Queue *findQueue(std::string_view Name) const;
  const Workspace *findWorkspace(std::string_view Name) const;
};

/// The configuration in force, shared between threads. Versions only rise.
class SharedConfig {
public:
  std::shared_ptr<const CellConfig> current() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Current;
  }
  /// Returns false if the version in force is the same or newer. Unless
  /// \p FollowsCurrent, others may have been in force between the two.
  bool replaceIfNewer(std::shared_ptr<const CellConfig> NewConfig,
                      bool FollowsCurrent) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Current && Current->Version >= NewConfig->Version)
      return false;
    if (!FollowsCurrent)
      History.clear();
    Current = std::move(NewConfig);
    History.push_back(Current);
    if (History.size() > MaxHistory)
      History.erase(History.begin());
    return true;
  }
  /// The last versions that were in force, the newest last, without a gap.
  std::vector<std::shared_ptr<const CellConfig>> history() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return History;
  }

private:
  static constexpr size_t MaxHistory = 4;

  mutable std::mutex Mutex;
  std::shared_ptr<const CellConfig> Current;
  std::vector<std::shared_ptr<const CellConfig>> History;
};

} // namespace daisylanding::cell

#endif
