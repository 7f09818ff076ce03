#ifndef DAISYLANDING_STORE_FEEDCURSOR_H
#define DAISYLANDING_STORE_FEEDCURSOR_H

#include "store/RowStore.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace daisylanding::store {

/// A feed may hear nothing for about a second while changes are made, and for
/// longer on a slow store.
constexpr Millis MaxFeedLag{3'000};

/// Where a change feed goes on. A feed may hear nothing for a while though
/// changes are made, so an answer without rows moves it on only after that
/// while: until then the same changes are asked for again.
class FeedCursor {
public:
  /// \p MaxLag is how long a feed may hear nothing.
  explicit FeedCursor(Millis MaxLag) : MaxLag(MaxLag) {}

  /// Goes on after a whole read.
  void restart(uint64_t Version) {
    Position = Version;
    EmptyPages.clear();
  }

  void advance(const ChangePage &Page, TimePoint Now) {
    for (const Row &ChangedRow : Page.Rows)
      Position = std::max(Position, ChangedRow.Version);
    if (Page.Rows.empty())
      EmptyPages.emplace_back(Now, Page.Version);
    while (!EmptyPages.empty() && EmptyPages.front().first + MaxLag <= Now) {
      Position = std::max(Position, EmptyPages.front().second);
      EmptyPages.pop_front();
    }
  }

  uint64_t position() const { return Position; }

private:
  Millis MaxLag;
  uint64_t Position = 0;
  /// Answers without rows: when they came, and their version.
  std::deque<std::pair<TimePoint, uint64_t>> EmptyPages;
};

} // namespace daisylanding::store

#endif
