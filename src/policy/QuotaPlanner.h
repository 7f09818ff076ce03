#ifndef DAISYLANDING_POLICY_QUOTAPLANNER_H
#define DAISYLANDING_POLICY_QUOTAPLANNER_H

#include "table/InstanceList.h"

#include <map>
#include <string>

namespace daisylanding::policy {

/// A team's quota divided among shards, by shard. The sum of the shares never
/// exceeds the quota, so a shard uses its share without coordination.
using QuotaShares = std::map<std::string, table::Resources>;

/// Returns the share of \p Shard, which uses \p Used and wants \p Wanted in
/// total: what it wants or what the quota leaves, whichever is less, but never
/// less than what it uses.
table::Resources planShare(const QuotaShares &Shares,
                           const table::Resources &Quota,
                           const std::string &Shard,
                           const table::Resources &Used,
                           const table::Resources &Wanted);

} // namespace daisylanding::policy

#endif
