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
/// late, so a page without rows advances the position only once a page that was
/// requested the maximum lag later has shown no earlier change; until then the
/// same range is requested again. A page tells what the feed held at some time
/// since its request: the transfer of a page, or the wait for the thread that
/// takes it, may have lasted as long as the lag.
class FeedCursor {
public:
  /// \p MaxLag bounds how late a change reaches the feed.
  explicit FeedCursor(Millis MaxLag) : MaxLag(MaxLag) {}

  /// Continues from \p Version after a full read of the table.
  void restart(uint64_t Version) {
    Position = Version;
    EmptyPages.clear();
  }

  /// Accounts for \p Page, requested at \p RequestedAt and received at \p Now.
  void advance(const ChangePage &Page, TimePoint RequestedAt, TimePoint Now) {
    for (const Row &ChangedRow : Page.Rows)
      Position = std::max(Position, ChangedRow.Version);
    if (Page.Rows.empty())
      EmptyPages.emplace_back(Now, Page.Version);
    while (!EmptyPages.empty() &&
           EmptyPages.front().first + MaxLag <= RequestedAt) {
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
