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
  ExecutorList(store::RowStore &Store, const Documents &Texts, Timers &Later,
               std::function<void(int64_t StoreMillis)> OnAnswer);

  void start();

  /// Everything listed was so at this time or later, and nothing else was.
  TimePoint confirmed() const { return Confirmed; }
  /// The executors, if they have changed since this was last asked.
  std::optional<std::vector<executor::ExecutorInfo>> changes();
  /// Changes that the feed went past without telling them.
  uint64_t skipped() const { return Skipped; }

private:
  /// Without `Info` the row is gone or can't be read; it then only keeps
  /// older news out.
  struct Entry {
    uint64_t Version = 0;
    std::optional<executor::ExecutorInfo> Info;
  };

  void readWhole();
  void readPage(const std::string &From, TimePoint Asked);
  void takePage(const store::RowPage &Page, const std::string &From);
  void dropAbsent(const store::RowPage &Page, const std::string &From);
  void follow();
  void take(const store::Row &Row);
  void replace(const std::string &Id, Entry &Known, Entry Next);

  store::RowStore &Store;
  const Documents &Texts;
  Timers &Later;
  std::function<void(int64_t)> OnAnswer;
  std::map<std::string, Entry> Entries;
  store::FeedCursor Cursor;
  uint64_t WholeVersion = 0; ///< Of the newest whole read.
  bool Following = false;
  bool Changed = false;
  TimePoint Confirmed{};
  uint64_t Skipped = 0;
};

} // namespace daisylanding::node

#endif
