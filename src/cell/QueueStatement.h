#ifndef DAISYLANDING_CELL_QUEUESTATEMENT_H
#define DAISYLANDING_CELL_QUEUESTATEMENT_H

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace daisylanding::cell {

/// One row for each service: the version of the configuration that its owner
/// states. It is written by the commit that states a newer one, so that its
/// row version is the fence of the jobs that entries store.
constexpr const char *StatedConfigTable = "stated_configs";
constexpr const char *StatedConfigKey = "config";

/// What the owner of a service states about queues that are served elsewhere.
/// Such a queue's jobs stay in the partition of the service that accepted them,
/// and copies of their requests arrive at entries that would send them to
/// another one.
struct QueueStatement {
  /// More of them are not listed.
  static constexpr size_t MaxMovedQueues = 100;

  /// The configuration by which the service accepts jobs; 0 if not stated.
  uint64_t ConfigVersion = 0;
  /// Queues that this configuration sends elsewhere, and of which the partition
  /// may hold jobs.
  std::set<std::string> MovedQueues;
  /// It may hold jobs of queues that aren't listed.
  bool MayHoldAny = false;

  bool mayHold(const std::string &Queue) const {
    return MayHoldAny || MovedQueues.count(Queue) > 0;
  }
  bool operator==(const QueueStatement &) const = default;
};

} // namespace daisylanding::cell

#endif
