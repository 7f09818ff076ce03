#include "node/EntryCapacities.h"

#include "common/Log.h"

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

} // namespace daisylanding::node
