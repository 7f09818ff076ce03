#include "node/ServiceLoader.h"

#include "cell/OwnerRow.h"
#include "common/Log.h"

namespace daisylanding::node {

namespace {

constexpr Millis ReadRetryDelay{100};

} // namespace

ServiceLoader::ServiceLoader(std::string Service, store::RowStore &Store,
                             Timers &TimerQueue,
                             std::function<void(int64_t)> OnStoreAnswer)
    : Service(std::move(Service)), Store(Store), TimerQueue(TimerQueue),
      OnStoreAnswer(std::move(OnStoreAnswer)) {}

void ServiceLoader::start(uint64_t AcquiredVersion, TimePoint Now) {
  Loaded.JobsVersion = AcquiredVersion;
  Loaded.JobsReadAt = Now;
  LastProgressAt = Now;
  OpenTables = 3;
  readPage(cell::JobTable, "");
  readPage(cell::ProgressTable, "");
  readPage(cell::IncarnationTable, "");
}

void ServiceLoader::readPage(const std::string &Table,
                             const std::string &FromKey) {
  store::RangeRead Range{.Table = Table,
                         .Partition = Service,
                         .From = FromKey,
                         .Limit = JobPageRows};
  Store.read(Range, [this, Table, FromKey](const Result<store::RowPage> &Page) {
    if (Page) {
      onPage(Table, *Page);
      return;
    }
    ++Counts.FailedReads;
    logWarn("load-failed", "service={} table={} pages={} rows={} error={}",
            Service, Table, Counts.Pages, Counts.Rows, Page.error().message());
    TimerQueue.schedule(monotonicNow() + ReadRetryDelay,
                        [this, Table, FromKey] { readPage(Table, FromKey); });
  });
}

void ServiceLoader::onPage(const std::string &Table,
                           const store::RowPage &Page) {
  OnStoreAnswer(Page.StoreClockMs);
  bool IsJobTable = Table == cell::JobTable;
  LastProgressAt = monotonicNow();
  ++Counts.Pages;
  Counts.Rows += Page.Rows.size();
  for (const store::Row &Row : Page.Rows) {
    Counts.Bytes += Row.Value.size();
    if (IsJobTable)
      addJobRow(Row);
    else if (Table == cell::ProgressTable)
      addProgressRow(Row);
    else
      addIncarnationRow(Row);
  }
  if (auto NextKey = store::nextPageStart(Page))
    readPage(Table, *NextKey);
  else
    --OpenTables;
}

void ServiceLoader::addJobRow(const store::Row &Row) {
  size_t Separator = Row.Key.find('/');
  if (Separator != std::string::npos) {
    Loaded.CancelledJobs.insert(Row.Key.substr(0, Separator));
    return;
  }
  auto Job = cell::decodeJob(Row.Value);
  if (Job)
    Loaded.Jobs.emplace(Row.Key, std::move(*Job));
  else
    logError("job-unreadable", "job={}", Row.Key);
}

void ServiceLoader::addProgressRow(const store::Row &Row) {
  if (!Progress.add(Row))
    logError("progress-unreadable", "key={} version={}", Row.Key, Row.Version);
}

/// Without the row, its executors count as ones that nobody has called.
void ServiceLoader::addIncarnationRow(const store::Row &Row) {
  auto Incarnations = cell::decodeIncarnations(Row.Value);
  if (Incarnations)
    Loaded.Incarnations.emplace(Row.Key, std::move(*Incarnations));
  else
    logError("executor-incarnations-unreadable", "key={} version={}", Row.Key,
             Row.Version);
}

StoredService ServiceLoader::take() {
  // Restarting such a job could run its tasks twice. It stays unscheduled until
  // an owner can read its record.
  Loaded.UnreadableJobs = Progress.unreadableJobs();
  Loaded.Progress = Progress.take();
  return std::move(Loaded);
}

} // namespace daisylanding::node
