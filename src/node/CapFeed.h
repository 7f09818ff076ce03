#ifndef DAISYLANDING_NODE_CAPFEED_H
#define DAISYLANDING_NODE_CAPFEED_H

#include "cell/CellConfig.h"
#include "cell/CellOwner.h"
#include "common/Timers.h"
#include "store/FeedCursor.h"
#include "store/RowStore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace daisylanding::node {

/// Reads the rows of caps for the owner of a service: those of the others, then
/// its own, and from then on what the table's feed tells. Reads all again if
/// the feed is lost. Single-threaded; makes no call while the owner shares no
/// caps.
class CapFeed {
public:
  /// \p OnChange is called once the owner knows a further row.
  CapFeed(std::string Service, cell::CellOwner &Owner, store::RowStore &Store,
          Timers &TimerQueue, std::function<void(int64_t)> OnStoreAnswer,
          std::function<void()> OnChange);

  /// Begins, goes on or ends, as \p Config calls for.
  void follow(std::shared_ptr<const cell::CellConfig> Config);

private:
  void readAll();
  void readNext();
  void finishReading();
  void followFeed();
  void apply(const store::Row &Row);
  /// Drops the call's answer if a later reading has begun.
  bool isCurrent(uint64_t Reading) const { return Reading == Readings; }
  void retryLater();

  std::string Service;
  cell::CellOwner &Owner;
  store::RowStore &Store;
  Timers &TimerQueue;
  std::function<void(int64_t)> OnStoreAnswer;
  std::function<void()> OnChange;
  std::shared_ptr<const cell::CellConfig> Config;
  bool IsFollowing = false;
  uint64_t Readings = 0;
  std::vector<std::string> Unread; ///< Services; its own is read last.
  std::optional<cell::CapRow> OwnRow;
  uint64_t ReadVersion = 0; ///< Of the store, before the first row was read.
  store::FeedCursor Cursor{store::MaxFeedLag};
};

} // namespace daisylanding::node

#endif
