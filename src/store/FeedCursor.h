#ifndef DAISYLANDING_STORE_FEEDCURSOR_H
#define DAISYLANDING_STORE_FEEDCURSOR_H

#include "store/RowStore.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace daisylanding::store {

/// A feed may hear nothing for about a second while changes are made, and for
/// longer on a slow store.
constexpr Millis LongestFeedSilence{3'000};

/// Where a change feed goes on. A feed may hear nothing for a while though
/// changes are made, so an answer without rows moves it on only after that
/// while: until then the same changes are asked for again.
class FeedCursor {
public:
  /// \p Silence is how long a feed may hear nothing.
  explicit FeedCursor(Millis Silence) : Silence(Silence) {}

  /// Goes on after a whole read.
  void restart(uint64_t Version) {
    Position = Version;
    Empty.clear();
  }

  void took(const ChangePage &Page, TimePoint Now) {
    for (const Row &Each : Page.Rows)
      Position = std::max(Position, Each.Version);
    if (Page.Rows.empty())
      Empty.emplace_back(Now, Page.Version);
    while (!Empty.empty() && Empty.front().first + Silence <= Now) {
      Position = std::max(Position, Empty.front().second);
      Empty.pop_front();
    }
  }

  uint64_t after() const { return Position; }

private:
  Millis Silence;
  uint64_t Position = 0;
  /// Answers without rows: when they came, and their version.
  std::deque<std::pair<TimePoint, uint64_t>> Empty;
};

} // namespace daisylanding::store

#endif
