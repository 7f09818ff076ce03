#ifndef DAISYLANDING_NODE_CONFIGFOLLOWER_H
#define DAISYLANDING_NODE_CONFIGFOLLOWER_H

#include "common/Timers.h"
#include "node/EntryContext.h"
#include "store/FeedCursor.h"

#include <span>

namespace daisylanding::node {

/// Keeps the entry's configuration up to date: reads it as a whole, then
/// follows its change feed, and reads it again if the feed is lost.
/// Single-threaded.
class ConfigFollower {
public:
  /// A feed read may miss changes made while it waits; this wait keeps a
  /// configuration change within its bound of two seconds.
  static constexpr Millis FeedWait{700};

  ConfigFollower(EntryContext &Context, store::RowStore &Store,
                 Timers &TimerQueue)
      : Context(Context), Store(Store), TimerQueue(TimerQueue) {}

  void start() { readAll(); }

private:
  void readAll();
  void followFeed();
  /// \p IsFromFeed: no version between is missed.
  void apply(const store::Row &Row, bool IsFromFeed);
  void logUnreadable(const store::Row &Row,
                     std::span<const ConfigProblem> Problems);
  uint64_t versionInForce() const;

  EntryContext &Context;
  store::RowStore &Store;
  Timers &TimerQueue;
  store::FeedCursor Cursor{store::MaxFeedLag};
};

} // namespace daisylanding::node

#endif
