#ifndef DAISYLANDING_STORE_FEEDCURSOR_H
#define DAISYLANDING_STORE_FEEDCURSOR_H

#include "store/RowStore.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace daisylanding::store {

/// Changes may reach a feed about a second late, and later on a slow store.
constexpr Millis MaxFeedLag{3'000};

/// The position from which a change feed is read on. Changes may reach the feed
/// late, so a page without rows advances the position only after the maximum
/// lag; until then the same range is requested again.
class FeedCursor {
public:
  /// \p MaxLag bounds how late a change reaches the feed.
  explicit FeedCursor(Millis MaxLag) : MaxLag(MaxLag) {}

  /// Continues from \p Version after a full read of the table.
  void restart(uint64_t Version) {
    Position = Version;
    EmptyPages.clear();
  }

  /// Accounts for \p Page, received at \p Now.
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

  /// The version after which to query for changes.
  uint64_t position() const { return Position; }

private:
  Millis MaxLag;
  uint64_t Position = 0;
  /// Pages without rows: time of receipt and version.
  std::deque<std::pair<TimePoint, uint64_t>> EmptyPages;
};

} // namespace daisylanding::store

#endif
