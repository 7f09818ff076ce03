#ifndef DAISYLANDING_NODE_EXECUTORLIST_H
#define DAISYLANDING_NODE_EXECUTORLIST_H

#include "common/Timers.h"
#include "executor/ExecutorPort.h"
#include "node/Ports.h"
#include "store/FeedCursor.h"

#include <map>
#include <optional>

namespace daisylanding::node {

/// Follows the store's list of executors. Its feed brings news early; only
/// whole reads confirm what is known, as a feed may leave changes out.
class ExecutorList {
public:
  /// \p OnAnswer is told the store's clock with every answer.
  ExecutorList(store::RowStore &Store, const DocumentCodec &Codec,
               Timers &TimerQueue,
               std::function<void(int64_t StoreMillis)> OnStoreAnswer);

  void start();

  /// Everything listed was so at this time or later, and nothing else was.
  TimePoint confirmedAt() const { return ConfirmedAt; }
  /// The executors, if they have changed since this was last asked.
  std::optional<std::vector<executor::ExecutorInfo>> takeChanges();
  /// Changes that the feed went past without telling them.
  uint64_t skippedChanges() const { return Skipped; }

private:
  /// Without `Info` the row is gone or can't be read; it then only keeps
  /// older news out.
  struct ListedExecutor {
    uint64_t Version = 0;
    std::optional<executor::ExecutorInfo> Info;
  };

  void readAll();
  void readPage(const std::string &FromKey, TimePoint RequestedAt);
  void applyPage(const store::RowPage &Page, const std::string &FromKey);
  void removeAbsent(const store::RowPage &Page, const std::string &FromKey);
  void followFeed();
  void applyRow(const store::Row &Row);
  void replace(const std::string &Id, ListedExecutor &Existing,
               ListedExecutor Updated);

  store::RowStore &Store;
  const DocumentCodec &Codec;
  Timers &TimerQueue;
  std::function<void(int64_t)> OnStoreAnswer;
  std::map<std::string, ListedExecutor> Executors;
  store::FeedCursor Cursor;
  uint64_t FullReadVersion = 0; ///< Of the newest whole read.
  bool FollowingFeed = false;
  bool Changed = false;
  TimePoint ConfirmedAt{};
  uint64_t Skipped = 0;
};

} // namespace daisylanding::node

#endif
