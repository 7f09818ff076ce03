#include "node/EntryCapacities.h"

#include "common/Log.h"

#include <algorithm>

namespace daisylanding::node {

cell::EntryCapacity largestEntryIn(const store::RowPage &Page) {
  cell::EntryCapacity Largest;
  for (const store::Row &Row : Page.Rows) {
    auto Capacity = cell::decodeEntryCapacity(Row.Value);
    if (Capacity)
      Largest = cell::largerOf(Largest, *Capacity);
    else
      logWarn("capacity-unreadable", "entry={} version={}", Row.Key,
              Row.Version);
  }
  return Largest;
}

bool allKnowEndedJobs(const store::RowPage &Page) {
  return !Page.Rows.empty() && !Page.HasMore &&
         std::all_of(Page.Rows.begin(), Page.Rows.end(),
                     [](const store::Row &Row) {
                       return cell::knowsEndedJobs(Row.Value);
                     });
}

} // namespace daisylanding::node
