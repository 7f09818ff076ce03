#include "policy/QuotaPlanner.h"

#include <algorithm>

namespace daisylanding::policy {

namespace {

uint32_t planShareAmount(uint64_t Quota, uint64_t OtherShares, uint32_t Used,
                         uint32_t Wanted) {
  uint64_t Remaining = Quota > OtherShares ? Quota - OtherShares : 0;
  auto Granted = static_cast<uint32_t>(std::min<uint64_t>(Wanted, Remaining));
  return std::max(Granted, Used);
}

} // namespace

table::Resources planShare(const QuotaShares &Shares,
                           const table::Resources &Quota,
                           const std::string &Shard,
                           const table::Resources &Used,
                           const table::Resources &Wanted) {
  table::Resources OtherShares;
  for (const auto &[ShardId, Share] : Shares) {
    if (ShardId != Shard)
      OtherShares += Share;
  }
  return {.MilliCores =
              planShareAmount(Quota.MilliCores, OtherShares.MilliCores,
                              Used.MilliCores, Wanted.MilliCores),
          .MemoryMb = planShareAmount(Quota.MemoryMb, OtherShares.MemoryMb,
                                      Used.MemoryMb, Wanted.MemoryMb),
          .Accelerators =
              planShareAmount(Quota.Accelerators, OtherShares.Accelerators,
                              Used.Accelerators, Wanted.Accelerators)};
}

} // namespace daisylanding::policy
