#ifndef DAISYLANDING_POLICY_QUOTAPLANNER_H
#define DAISYLANDING_POLICY_QUOTAPLANNER_H

#include "table/InstanceList.h"

#include <map>
#include <string>

namespace daisylanding::policy {

/// A team's quota as it is shared out between shards. The sum of shares never
/// exceeds the quota, so that a shard spends its own share without asking.
using QuotaShares = std::map<std::string, table::Resources>;

/// The share that \p Shard gets when it wants \p Wanted in all and uses
/// \p Used: what it wants if the quota leaves that, else the most that is
/// left, and never less than what it uses.
table::Resources planShare(const QuotaShares &Shares,
                           const table::Resources &Quota,
                           const std::string &Shard,
                           const table::Resources &Used,
                           const table::Resources &Wanted);

} // namespace daisylanding::policy

#endif
