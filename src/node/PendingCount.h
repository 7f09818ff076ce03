#ifndef DAISYLANDING_NODE_PENDINGCOUNT_H
#define DAISYLANDING_NODE_PENDINGCOUNT_H

#include "cell/PendingJobs.h"
#include "common/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

/// What an entry tells of pending jobs, which the services' owners count. Each
/// owner states in its row as of when its count holds, and an entry tells no
/// older one, whatever the reason: an owner that is gone, one that is still
/// loading, jobs that it can't read, a row that this entry can't read. No I/O.
namespace daisylanding::node {

/// Limit of the platform's protocol.
constexpr Millis MaxPendingAge{2'000};

/// An owner's row, as far as it tells of pending jobs.
struct PendingReading {
  uint64_t RowVersion = 0; ///< 0 if no row was read.
  uint64_t RowEpoch = 0;   ///< Of the owner that wrote the row.
  TimePoint SentAt{};      ///< When the row was asked for.
  cell::PendingJobs Jobs;
};

/// Why a reading tells no count.
enum class PendingGap : uint8_t {
  Unread,    ///< No row was read.
  Uncounted, ///< The row doesn't say when its jobs were counted.
  Outdated   ///< The count is older than `MaxPendingAge`.
};

std::string_view gapName(PendingGap Gap);

/// How long ago the count of the reading held, at the latest. \p StoreClockMs
/// is an upper bound of the store's clock, in ms.
Millis ageOf(const PendingReading &Reading, int64_t StoreClockMs);

/// None if the reading's count may be told.
std::optional<PendingGap> findGap(const PendingReading &Reading,
                                  int64_t StoreClockMs);

} // namespace daisylanding::node

#endif
