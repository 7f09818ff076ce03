#include "node/PendingCount.h"

namespace daisylanding::node {

std::string_view gapName(PendingGap Gap) {
  switch (Gap) {
  case PendingGap::Unread:
    return "unread";
  case PendingGap::Uncounted:
    return "uncounted";
  case PendingGap::Outdated:
    return "outdated";
  }
  return "";
}

Millis ageOf(const PendingReading &Reading, int64_t StoreClockMs) {
  return Millis(StoreClockMs - Reading.Jobs.AsOfMs);
}

std::optional<PendingGap> findGap(const PendingReading &Reading,
                                  int64_t StoreClockMs) {
  if (Reading.RowVersion == 0)
    return PendingGap::Unread;
  if (Reading.Jobs.CountedBy == 0 || Reading.Jobs.AsOfMs == 0)
    return PendingGap::Uncounted;
  if (ageOf(Reading, StoreClockMs) > MaxPendingAge)
    return PendingGap::Outdated;
  return std::nullopt;
}

} // namespace daisylanding::node
