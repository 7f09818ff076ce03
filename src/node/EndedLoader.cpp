#include "node/EndedLoader.h"

#include "cell/OwnerRow.h"
#include "common/Log.h"
#include "node/ServiceLoader.h"

namespace daisylanding::node {

namespace {

/// Between two pages, or after a read that failed: leaves the link to the
/// owner's renewals and commits.
constexpr Millis PagePause{100};

} // namespace

void EndedLoader::readPage(const std::string &FromKey) {
  store::RangeRead Range{.Table = cell::EndedTable,
                         .Partition = Service,
                         .From = FromKey,
                         .Limit = JobPageRows};
  Store.read(Range, [this, FromKey](const Result<store::RowPage> &Page) {
    if (!Page) {
      readPageLater(FromKey);
      return;
    }
    for (const store::Row &Row : Page->Rows)
      addRow(Row);
    if (auto NextKey = store::nextPageStart(*Page))
      readPageLater(*NextKey);
    else
      OnDone();
  });
}

void EndedLoader::readPageLater(const std::string &FromKey) {
  TimerQueue.schedule(monotonicNow() + PagePause,
                      [this, FromKey] { readPage(FromKey); });
}

void EndedLoader::addRow(const store::Row &Row) {
  auto Ended = cell::decodeEndedJob(Row.Value);
  if (!Ended)
    logError("ended-job-unreadable", "job={} version={}", Row.Key, Row.Version);
  // Without a readable row, it is only known that the job must not run again.
  OnEndedJob(Row.Key, Ended ? *Ended : cell::EndedJob{});
}

} // namespace daisylanding::node
