#ifndef DAISYLANDING_CELL_OWNEROPTIONS_H
#define DAISYLANDING_CELL_OWNEROPTIONS_H

#include "cell/ExecutorPool.h"
#include "cell/OtherServices.h"
#include "cell/OwnerRow.h"
#include "common/Time.h"

#include <cstdint>
#include <string>

/// With what an entry begins to own a service.
namespace daisylanding::cell {

/// The store's steady clock, in ms, as far as an entry can tell.
struct StoreClock {
  int64_t MinMs = 0;
  int64_t MaxMs = 0;
};

struct OwnerOptions {
  std::string Service;     ///< Also the partition key of all its rows.
  OwnerRow AcquiredRow;    ///< As written on acquiring the service.
  uint64_t RowVersion = 0; ///< Version of `AcquiredRow` in the store.
  LeaseOptions Leases;
  StoreClock ClockAtCreation; ///< Store clock at `CreatedAt`.
  TimePoint CreatedAt{};
  /// No start is planned or sent when the instance list was last confirmed
  /// longer ago: an executor may be draining.
  Millis MaxInstanceListAge{900};
  /// No start is planned or sent when the job feed was last confirmed longer
  /// ago: a cancellation may have been missed.
  Millis MaxJobFeedAge{1'900};
  Millis HeartbeatInterval{300}; ///< Longest time between two commits.
  /// Whether the stored jobs are still to be read. Until `finishLoading` the
  /// owner only renews its row.
  bool Loading = false;
  /// Outlives the owner. If null, any of them may hold any job.
  OtherServices *Others = nullptr;
  /// How long the status of ended jobs can be read.
  Millis StatusRetention{120'000};
  /// How many times as long tasks take away from the rack of their data, or
  /// from the others of their gang. 1: it makes no difference that is known.
  double SpreadFactor = 1;
};

} // namespace daisylanding::cell

#endif
