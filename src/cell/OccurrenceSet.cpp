#include "cell/OccurrenceSet.h"

#include <algorithm>
#include <iterator>

namespace daisylanding::cell {

namespace {

size_t lengthOf(uint32_t First, uint32_t Last) {
  return static_cast<size_t>(Last) - First + 1;
}

/// Whether a range that ends at \p Last overlaps one from \p First, or is next
/// to it.
bool touches(uint32_t Last, uint32_t First) {
  return static_cast<uint64_t>(Last) + 1 >= First;
}

} // namespace

void OccurrenceSet::insertRange(uint32_t First, uint32_t Last) {
  auto Next = Ranges.upper_bound(First);
  if (Next != Ranges.begin() && touches(std::prev(Next)->second, First))
    --Next;
  while (Next != Ranges.end() && touches(Last, Next->first)) {
    First = std::min(First, Next->first);
    Last = std::max(Last, Next->second);
    Size -= lengthOf(Next->first, Next->second);
    Next = Ranges.erase(Next);
  }
  Ranges.emplace(First, Last);
  Size += lengthOf(First, Last);
}

size_t OccurrenceSet::count(uint32_t Number) const {
  auto Next = Ranges.upper_bound(Number);
  return Next != Ranges.begin() && std::prev(Next)->second >= Number ? 1 : 0;
}

} // namespace daisylanding::cell
