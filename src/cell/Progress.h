#ifndef DAISYLANDING_CELL_PROGRESS_H
#define DAISYLANDING_CELL_PROGRESS_H

#include "cell/JobSpec.h"
#include "executor/ExecutorPort.h"

#include <map>
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

/// What one task is at. A run is open from its record until it is known that
/// it does not run and never will.
enum class TaskPhase : uint8_t {
  Waiting,   ///< No open run.
  Placed,    ///< Room is taken; a ticket is being fetched.
  Recording, ///< The start is being written.
  Starting,  ///< Written; the executor has not confirmed it.
  Running,
  Stopping, ///< A stop was decided; the run is still open.
  Done
};

inline bool isOpen(TaskPhase Phase) {
  return Phase == TaskPhase::Recording || Phase == TaskPhase::Starting ||
         Phase == TaskPhase::Running || Phase == TaskPhase::Stopping;
}

/// The stored part of a task.
struct TaskProgress {
  TaskPhase Phase = TaskPhase::Waiting;
  uint32_t Run = 0;      ///< Of the newest run; 0 before the first.
  uint32_t Failures = 0; ///< Runs that ended as failed.
  std::string Executor;  ///< Of the open run.
  std::string Address;   ///< Of that executor, which may be missing from the
                         ///< instance list when another owner takes over.
  std::string Checkpoint;

  bool operator==(const TaskProgress &) const = default;
};

/// Where a task stands in its job.
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

/// The stored form of a job's progress; tasks without one are waiting.
struct JobProgress {
  JobPhase Phase = JobPhase::Queued;
  int64_t EndedMs = 0; ///< Store clock; of a final phase.
  std::map<TaskPosition, TaskProgress> Tasks;
  std::set<uint32_t> DoneOccurrences; ///< Their tasks are left out.
};

/// Of a task, only whether its run is open and whether it is done is kept.
std::string encodeProgress(const JobProgress &Progress);
/// Errors: Malformed.
Result<JobProgress> decodeProgress(std::string_view Text);
/// The phase alone. Errors: Malformed.
Result<JobPhase> decodePhase(std::string_view Text);

} // namespace daisylanding::cell

#endif
