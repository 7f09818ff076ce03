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

namespace {

bool isSaidByAll(const store::RowPage &Page, bool (*Says)(std::string_view)) {
  return !Page.Rows.empty() && !Page.HasMore &&
         std::all_of(Page.Rows.begin(), Page.Rows.end(),
                     [&](const store::Row &Row) { return Says(Row.Value); });
}

} // namespace

bool allKnowEndedJobs(const store::RowPage &Page) {
  return isSaidByAll(Page, cell::knowsEndedJobs);
}

bool allKnowQueueOfEnded(const store::RowPage &Page) {
  return isSaidByAll(Page, cell::knowsQueueOfEnded);
}

bool allKnowQueuedRuns(const store::RowPage &Page) {
  return isSaidByAll(Page, cell::knowsQueuedRuns);
}

} // namespace daisylanding::node
