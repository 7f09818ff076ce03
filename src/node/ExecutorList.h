#ifndef DAISYLANDING_NODE_EXECUTORLIST_H
#define DAISYLANDING_NODE_EXECUTORLIST_H

#include "common/LogLimiter.h"
#include "common/Timers.h"
#include "executor/ExecutorPort.h"
#include "node/Ports.h"
#include "store/FeedCursor.h"

#include <map>
#include <optional>

namespace daisylanding::node {

/// A copy of the store's instance list of executors. The change feed delivers
/// changes early, but may skip some; only full reads confirm the copy.
class ExecutorList {
public:
  /// Interval of full reads. Starts require a list confirmed within the time in
  /// which a draining executor must stop receiving them.
  static constexpr Millis FullReadInterval{700};
  static constexpr Millis RetryDelay{100};
  /// Of entries that name no executor to use. Their writer may rewrite them at
  /// any rate.
  static constexpr uint64_t MaxOddEntryLines = 10;

  /// \p OnStoreAnswer receives the store's clock (ms) with every answer, but
  /// for feed pages without rows, as they end a wait that began long before.
  ExecutorList(store::RowStore &Store, const DocumentCodec &Codec,
               Timers &TimerQueue,
               std::function<void(int64_t StoreMillis)> OnStoreAnswer);

  void start();

  /// When the last complete full read was sent: the copy reflects the list at
  /// this time or later.
  TimePoint confirmedAt() const { return ConfirmedAt; }
  /// All listed executors, if any has changed since the last call.
  std::optional<std::vector<executor::ExecutorInfo>> takeChanges();
  /// Number of changes that the feed skipped and a full read found.
  uint64_t skippedChanges() const { return Skipped; }

private:
  /// Without `Info` the row was removed or names no executor to use; its
  /// version then only rejects older changes.
  struct ListedExecutor {
    uint64_t Version = 0;
    std::optional<executor::ExecutorInfo> Info;
    /// Its start is stated as too far ahead: not listed until that is no longer
    /// so.
    bool BornAhead = false;
  };

  void readAll();
  void readPage(const std::string &FromKey, TimePoint RequestedAt);
  void applyPage(const store::RowPage &Page, const std::string &FromKey);
  void removeAbsent(const store::RowPage &Page, const std::string &FromKey);
  void followFeed();
  void applyRow(const store::Row &Row);
  void readEntry(const store::Row &Row, ListedExecutor &Updated);
  void logOddEntry(const store::Row &Row, std::string_view Reason);
  void replace(const std::string &Id, ListedExecutor &Existing,
               ListedExecutor Updated);

  store::RowStore &Store;
  const DocumentCodec &Codec;
  Timers &TimerQueue;
  std::function<void(int64_t)> OnStoreAnswer;
  std::map<std::string, ListedExecutor> Executors;
  store::FeedCursor Cursor;
  uint64_t FullReadVersion = 0; ///< Of the newest full read.
  bool FollowingFeed = false;
  bool Changed = false;
  TimePoint ConfirmedAt{};
  uint64_t Skipped = 0;
  LogLimiter OddEntryLog{MaxOddEntryLines};
};

} // namespace daisylanding::node

#endif
