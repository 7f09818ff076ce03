#ifndef DAISYLANDING_NODE_SERVICELOADER_H
#define DAISYLANDING_NODE_SERVICELOADER_H

#include "cell/JobSpec.h"
#include "cell/KnownIncarnations.h"
#include "cell/ProgressRows.h"
#include "common/Timers.h"
#include "store/RowStore.h"

#include <functional>
#include <map>
#include <set>
#include <string>

/// Reads the live jobs of a service for an entry that has acquired it.
namespace daisylanding::node {

/// Rows a page when all jobs of a service are read. Pages show the progress of
/// a load, also on a slow link.
constexpr uint32_t JobPageRows = 100;

/// All stored rows of a service, decoded, without those of jobs that were moved
/// at their end.
struct StoredService {
  std::map<std::string, cell::JobSpec> Jobs;
  std::set<std::string> CancelledJobs;
  std::map<std::string, cell::JobProgress> Progress;
  std::set<std::string> UnreadableJobs; ///< Their progress is malformed.
  /// Rows of executors' incarnations, by key.
  std::map<std::string, cell::BornById> Incarnations;
  /// The job feed continues after this version, which is older than all reads:
  /// the one that a page states may be newer than the page's rows.
  uint64_t JobsVersion = store::AbsentVersion;
  /// When the load began. Jobs and cancellations that were stored later may be
  /// missing.
  TimePoint JobsReadAt{};
};

/// What a load has read, for the log.
struct LoadCounts {
  size_t Pages = 0;
  size_t FailedReads = 0;
  size_t Rows = 0;
  size_t Bytes = 0; ///< Of the rows' values.
};

/// Reads jobs, progress and executors' incarnations side by side, page by page.
/// Nobody else writes the latter two once the service is acquired. A failed
/// read is repeated until it succeeds. Single-threaded.
class ServiceLoader {
public:
  ServiceLoader(std::string Service, store::RowStore &Store, Timers &TimerQueue,
                std::function<void(int64_t)> OnStoreAnswer);

  /// \p AcquiredVersion is that of the transaction that acquired the service.
  void start(uint64_t AcquiredVersion, TimePoint Now);
  bool done() const { return OpenTables == 0; }
  /// When the last page arrived, or the load started.
  TimePoint lastProgressAt() const { return LastProgressAt; }
  const LoadCounts &counts() const { return Counts; }
  /// The rows read. To be called once, when done.
  StoredService take();

private:
  void readPage(const std::string &Table, const std::string &FromKey);
  void onPage(const std::string &Table, const store::RowPage &Page);
  void addJobRow(const store::Row &Row);
  void addProgressRow(const store::Row &Row);
  void addIncarnationRow(const store::Row &Row);

  std::string Service;
  store::RowStore &Store;
  Timers &TimerQueue;
  std::function<void(int64_t)> OnStoreAnswer;
  StoredService Loaded;
  cell::ProgressReader Progress;
  LoadCounts Counts;
  TimePoint LastProgressAt{};
  size_t OpenTables = 0; ///< Not read to their end.
};

} // namespace daisylanding::node

#endif
