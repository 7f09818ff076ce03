#ifndef DAISYLANDING_SHARD_SHARDSTATE_H
#define DAISYLANDING_SHARD_SHARDSTATE_H

#include "common/Random.h"
#include "policy/Placement.h"
#include "policy/SizeEstimator.h"
#include "shard/Journal.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace daisylanding::shard {

enum class TaskPhase : uint8_t {
  Pending,  ///< Waits for a place.
  Starting, ///< Its start is being written.
  Running,  ///< Its start is written; it runs, or is about to.
  Ended,
};

constexpr uint32_t NoInstance = UINT32_MAX;

struct TaskState {
  TaskPhase Phase = TaskPhase::Pending;
  bool Confirmed = false;     ///< A worker reported this attempt as running.
  bool StopRequested = false; ///< To preempt it, move it, or end its job.
  bool Succeeded = false;
  bool Leased = false;  ///< Its worker ends it when the lease lapses.
  uint32_t Attempt = 0; ///< The newest one's number; the first is 1.
  uint32_t Failures = 0;
  uint32_t Preemptions = 0;
  uint32_t Instance = NoInstance;
  table::Resources RecordedSize; ///< Its size as its start was written.
  table::Resources ReservedSize; ///< From the instance's ledger.
  TimePoint ReadySince;
  TimePoint NotBefore; ///< Back-off after a failure.
  TimePoint StartedAt;
};

struct JobState {
  JobState(config::JobSpec Spec, TimePoint Now);

  config::JobSpec Spec;
  std::vector<TaskState> Tasks;
  policy::SizeEstimator Estimate;
  TimePoint AcceptedAt;
  uint32_t PendingTasks = 0;
  uint32_t ActiveTasks = 0; ///< Starting or running.
  bool Stopping = false;
  bool FailedPermanently = false;

  AttemptId attemptId(uint32_t TaskIndex) const {
    return {Spec.Id, TaskIndex, Tasks[TaskIndex].Attempt};
  }
};

/// An instance of the shard in the ledger.
struct ShardInstance {
  std::string Name;
  std::string Address;
  bool Gone = false;
  bool Draining = false; ///< Leaving, or drained by an operator.
  std::set<std::pair<std::string, uint32_t>> Tasks; ///< (job, index) there.
};

/// The state that a shard's journal describes, with the exact ledger of its
/// instances. `apply` is the only way in which jobs and tasks change, for the
/// owner that writes a record and for the one that reads it back.
class ShardState {
public:
  explicit ShardState(uint64_t Seed) : Generator(Seed) {}

  void apply(const Record &Change, TimePoint Now);

  /// Adds, drains and removes instances as the list says. Gone instances keep
  /// their tasks until those are recorded as lost.
  void applyInstances(std::span<const table::Instance> Listed,
                      const std::set<std::string> &Drained);

  /// Tells that the start of an attempt is written.
  void onStartWritten(const AttemptId &Id, TimePoint Now);

  JobState *findJob(std::string_view Id);
  /// The task if \p Id is its newest attempt and is active; else null.
  TaskState *findActiveAttempt(const AttemptId &Id);

  /// Records for jobs that are over but not recorded as such.
  std::vector<Record> findJobEnds() const;

  /// Used capacity over capacity of usable instances, in the fuller of cores,
  /// memory and accelerators.
  double packing() const;

  std::map<std::string, std::unique_ptr<JobState>, std::less<>> Jobs;
  std::vector<ShardInstance> Instances; ///< Indexes match the pool's.
  policy::InstancePool Pool;

  /// The whole state as text, with the version of the list it relies on.
  std::string snapshotText(uint64_t ListVersion) const;
  std::error_code restore(std::string_view Text, uint64_t &ListVersion,
                          TimePoint Now);

private:
  void onJobAccepted(const JobAccepted &Change, TimePoint Now);
  void onTaskStarted(const TaskStarted &Change, TimePoint Now);
  void onTaskEnded(const TaskEnded &Change, TimePoint Now);
  void onJobStopped(const JobStopped &Change);
  void restoreJob(config::JobSpec Spec, const nlohmann::json &Source,
                  TimePoint Now);
  void releaseInstance(TaskState &Task, const std::string &JobId,
                       uint32_t TaskIndex);
  void handleTaskEnd(JobState &Job, TaskState &Task, EndKind Kind,
                     TimePoint Now);
  void handleGangTaskEnd(JobState &Job, TimePoint Now);
  void makePending(JobState &Job, TaskState &Task, TimePoint Now);
  uint32_t findOrAddInstance(std::string_view Name);
  uint32_t addListedInstance(const table::Instance &Listed);
  void moveTasks(uint32_t FromIndex, uint32_t ToIndex);
  uint32_t findOrAddRack(const std::string &Rack);

  Random Generator;
  std::map<std::string, uint32_t, std::less<>> IndexByName;
  std::map<std::string, uint32_t> RackIndexes;
};

} // namespace daisylanding::shard

#endif
