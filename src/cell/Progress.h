#ifndef DAISYLANDING_CELL_PROGRESS_H
#define DAISYLANDING_CELL_PROGRESS_H

#include "cell/JobSpec.h"
#include "cell/OccurrenceSet.h"
#include "executor/ExecutorPort.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace daisylanding::cell {

enum class JobPhase : uint8_t { Queued, Running, Completed, Failed, Cancelled };

inline bool isFinal(JobPhase Phase) {
  return Phase == JobPhase::Completed || Phase == JobPhase::Failed ||
         Phase == JobPhase::Cancelled;
}

std::string_view phaseName(JobPhase Phase);
std::optional<JobPhase> phaseOf(std::string_view Name);

/// State of a task. A run is open from its record until it is known that it
/// does not run and never will.
enum class TaskPhase : uint8_t {
  Waiting,   ///< No open run.
  Placed,    ///< Capacity is reserved; waits for a valid ticket.
  Recording, ///< The start is being committed.
  Starting,  ///< Committed; not confirmed by the executor.
  Running,
  Stopping, ///< To be stopped; the run is still open.
  Done
};

inline bool isOpen(TaskPhase Phase) {
  return Phase == TaskPhase::Recording || Phase == TaskPhase::Starting ||
         Phase == TaskPhase::Running || Phase == TaskPhase::Stopping;
}

std::string_view phaseName(TaskPhase Phase);

/// The stored state of a task.
struct TaskProgress {
  TaskPhase Phase = TaskPhase::Waiting;
  uint32_t Run = 0;      ///< Of the newest run; 0 before the first.
  uint32_t Failures = 0; ///< Runs that ended as failed.
  uint32_t Crashes = 0;  ///< Executors that crashed under its runs.
  std::string Executor;  ///< Of the open run.
  std::string Address;   ///< Of that executor, which may be missing from the
                         ///< instance list after a takeover.
  int64_t Born = 0;      ///< Of that executor's incarnation; 0 if not known.
  std::string Checkpoint;

  bool operator==(const TaskProgress &) const = default;
};

/// Position of a task in its job.
struct TaskPosition {
  uint32_t Occurrence = 0;
  uint32_t Step = 0;
  uint32_t Index = 0;

  bool operator==(const TaskPosition &) const = default;
  bool operator<(const TaskPosition &Other) const {
    return std::tie(Occurrence, Step, Index) <
           std::tie(Other.Occurrence, Other.Step, Other.Index);
  }
};

/// Stored progress of a job; tasks without an entry are waiting.
struct JobProgress {
  JobPhase Phase = JobPhase::Queued;
  /// When the final phase was stored, on the store's clock.
  int64_t EndedMs = 0;
  std::map<TaskPosition, TaskProgress> Tasks;
  OccurrenceSet DoneOccurrences; ///< Their tasks have no entries.
  /// Whether occurrences have rows of their own, as one row can't hold all.
  bool IsSplit = false;
  std::set<uint32_t> OccurrencesInRows; ///< With rows of their own.
};

/// Whether a task is known to have begun. A job is stored as queued again once
/// no run is open, if none has; whether an open run has begun isn't stored.
bool hasBegun(const JobProgress &Progress);

/// Of a task's phase, encodes only whether its run is open or it is done. The
/// text is that of the head, and then of the tasks.
std::string encodeProgress(const JobProgress &Progress);
/// Encodes all but the tasks.
std::string encodeProgressHead(const JobProgress &Progress);
std::string encodeTasks(const std::map<TaskPosition, TaskProgress> &Tasks);
/// Also reads the rows of earlier versions. Errors: Malformed.
Result<JobProgress> decodeProgress(std::string_view Text);
/// Decodes the phase alone. Errors: Malformed.
Result<JobPhase> decodePhase(std::string_view Text);
/// Whether each task in the progress is one of the job's.
bool fitsJob(const JobProgress &Progress, const JobSpec &Job);

} // namespace daisylanding::cell

#endif
