#include "policy/QuotaPlanner.h"

#include <algorithm>

namespace daisylanding::policy {

namespace {

uint32_t planAmount(uint64_t Quota, uint64_t Others, uint32_t Used,
                    uint32_t Wanted) {
  uint64_t Left = Quota > Others ? Quota - Others : 0;
  auto Granted = static_cast<uint32_t>(std::min<uint64_t>(Wanted, Left));
  return std::max(Granted, Used);
}

} // namespace

table::Resources planShare(const QuotaShares &Shares,
                           const table::Resources &Quota,
                           const std::string &Shard,
                           const table::Resources &Used,
                           const table::Resources &Wanted) {
  table::Resources Others;
  for (const auto &[Name, Share] : Shares) {
    if (Name != Shard)
      Others += Share;
  }
  return {.MilliCores = planAmount(Quota.MilliCores, Others.MilliCores,
                                   Used.MilliCores, Wanted.MilliCores),
          .MemoryMb = planAmount(Quota.MemoryMb, Others.MemoryMb, Used.MemoryMb,
                                 Wanted.MemoryMb),
          .Accelerators = planAmount(Quota.Accelerators, Others.Accelerators,
                                     Used.Accelerators, Wanted.Accelerators)};
}

} // namespace daisylanding::policy
