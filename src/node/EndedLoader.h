#ifndef DAISYLANDING_NODE_ENDEDLOADER_H
#define DAISYLANDING_NODE_ENDEDLOADER_H

#include "cell/EndedJob.h"
#include "common/Timers.h"
#include "store/RowStore.h"

#include <functional>
#include <string>

namespace daisylanding::node {

/// Reads the ended jobs of a service for its owner, which works meanwhile. A
/// failed read is repeated until it succeeds. Single-threaded.
class EndedLoader {
public:
  using OnJob =
      std::function<void(const std::string &, const cell::EndedJob &)>;

  /// Calls \p OnEndedJob for each row, and \p OnDone after the last one.
  EndedLoader(std::string Service, store::RowStore &Store, Timers &TimerQueue,
              OnJob OnEndedJob, std::function<void()> OnDone)
      : Service(std::move(Service)), Store(Store), TimerQueue(TimerQueue),
        OnEndedJob(std::move(OnEndedJob)), OnDone(std::move(OnDone)) {}

  void start() { readPage(""); }

private:
  void readPage(const std::string &FromKey);
  void readPageLater(const std::string &FromKey);
  void addRow(const store::Row &Row);

  std::string Service;
  store::RowStore &Store;
  Timers &TimerQueue;
  OnJob OnEndedJob;
  std::function<void()> OnDone;
};

} // namespace daisylanding::node

#endif
