#ifndef DAISYLANDING_CELL_JOBSPEC_H
#define DAISYLANDING_CELL_JOBSPEC_H

#include "cell/CellConfig.h"
#include "common/Error.h"
#include "common/Resources.h"
#include "common/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::cell {

/// Step of a job: a number of equal tasks.
struct StepSpec {
  uint32_t Count = 1;
  Resources Size;
  Millis Estimate{0}; ///< Declared run time of one task.
  /// Earlier steps that must be done first.
  std::vector<uint32_t> Dependencies;
  std::string Constraint;    ///< A label that the executor must have.
  std::string Affinity;      ///< The rack nearest to the step's data.
  uint32_t AntiAffinity = 0; ///< Most tasks on one executor; 0: no limit.
  std::string Image;
  Millis TailLatencyTarget{0}; ///< Of its users' requests; 0: none.
  uint32_t MaxUnavailable = 0; ///< Tasks that may be unavailable at once.
  bool Checkpointing = false;
  bool Gang = false;
  /// Prefers one rack for all tasks; slower across racks.
  bool Colocate = false;
  bool Speculative = false;
  bool LongRunning = false;
  bool BestEffort = false; ///< Uses capacity that others leave unused.
};

/// A job as accepted; immutable.
struct JobSpec {
  std::string Id;
  std::string Queue;
  std::string Payload; ///< Opaque; passed to each task.
  std::vector<StepSpec> Steps;
  uint32_t RepeatCount = 0; ///< 0: runs once, at once.
  int64_t FirstRunMs = 0;   ///< Wall clock time of the first occurrence.
  int64_t IntervalMs = 0;
  int64_t AcceptedMs = 0; ///< On the store's clock.
  /// Whose key it was submitted with; empty if with none, or if a version
  /// without workspaces has stored it.
  std::string Workspace;
  /// Those of its queue when the job was accepted, for use by an owner whose
  /// configuration is older, or doesn't have the queue. None if an earlier
  /// version has stored the job.
  std::optional<cell::Queue> Terms;
  uint64_t TermsVersion = 0; ///< Of their configuration; 0 if not stored.
};

/// Limits of a submitted job.
constexpr size_t MaxPayloadBytes = 4'000;
constexpr uint32_t MaxSteps = 64;
/// Of one occurrence: its progress, in several rows if need be, fits one
/// transaction.
constexpr uint32_t MaxTasks = 800;
/// Of an encoded job, which is one row; what its acceptance adds fits beside.
constexpr size_t MaxJobBytes = 60'000;
/// Occurrences of one job that are open at a time, and their tasks: further
/// ones that are due begin as these end. A single one always begins.
constexpr size_t MaxOpenOccurrences = 1'000;
constexpr size_t MaxOpenTasks = 8'000;
constexpr size_t JobIdDigits = 16;

/// Whether \p Text is a job's id: 16 hexadecimal digits.
bool isJobId(std::string_view Text);

/// Of all steps.
uint32_t tasksPerOccurrence(const JobSpec &Job);

/// The stored form of a job. `decodeJob` errors: Malformed.
std::string encodeJob(const JobSpec &Job);
Result<JobSpec> decodeJob(std::string_view Text);

/// Whether two jobs are equal except for what their acceptance adds: id, time,
/// workspace and terms.
bool isSameWork(const JobSpec &Left, const JobSpec &Right);
/// Whether two jobs are copies of one request: of the same work, and not of two
/// workspaces. A job without a workspace may be a copy of any.
bool isSameRequest(const JobSpec &Left, const JobSpec &Right);
/// Equal for jobs of the same work, also in other processes.
uint64_t workHash(const JobSpec &Job);

/// Parts of a task's name.
struct TaskRef {
  std::string_view Job;
  uint32_t Occurrence = 0;
  uint32_t Step = 0;
  uint32_t Index = 0;
};

std::string taskName(const TaskRef &Ref);
std::string stepName(const TaskRef &Ref);
/// Errors: Malformed. The result refers to \p Name.
Result<TaskRef> parseTaskName(std::string_view Name);

} // namespace daisylanding::cell

#endif
