#ifndef DAISYLANDING_CELL_PROGRESSROWS_H
#define DAISYLANDING_CELL_PROGRESSROWS_H

#include "cell/Progress.h"
#include "store/RowStore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

/// Progress in several rows, for jobs of which one row can't hold all: one for
/// the job as a whole under its id, and one for each range of tasks of an
/// occurrence.
namespace daisylanding::cell {

/// Progress above this size is stored in several rows. The rest of a row is for
/// the list of occurrences that are done, which goes on growing.
constexpr size_t MaxSharedRowBytes = 48'000;
/// A task takes up to 300 bytes, most of them for its checkpoint, and the
/// executor of an open run half a kilobyte.
constexpr uint32_t TasksPerProgressRow = 64;

/// A row for a range of an occurrence's tasks, in the order of the steps.
struct ProgressRowRef {
  uint32_t Occurrence = 0;
  uint32_t Range = 0;
};

/// Sorts after the job's own row, whose key is the id.
std::string progressRowKey(std::string_view JobId, const ProgressRowRef &Ref);
/// The row of a task.
ProgressRowRef progressRowOf(const JobSpec &Job, const TaskPosition &Position);
uint32_t progressRowsPerOccurrence(const JobSpec &Job);

/// Puts the progress of jobs together from their rows, in any order. Rows of
/// occurrences that are done are what a later commit removes; those of others
/// replace what the job's own row tells of the occurrence.
class ProgressReader {
public:
  /// Returns false if the row is malformed; its job is then unreadable.
  bool add(const store::Row &Row);
  /// Ids of jobs whose rows are malformed or incomplete.
  std::set<std::string> unreadableJobs() const;
  /// All that were read, without the unreadable ones.
  std::map<std::string, JobProgress> take();

private:
  using OccurrenceTasks =
      std::map<uint32_t, std::map<TaskPosition, TaskProgress>>;

  bool addOwnRow(std::string_view JobId, const store::Row &Row);

  std::map<std::string, JobProgress> Jobs;
  std::map<std::string, OccurrenceTasks> Rows;
  std::set<std::string> MalformedJobs;
};

} // namespace daisylanding::cell

#endif
