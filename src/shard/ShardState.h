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
  Pending,  ///< Waits for an instance.
  Starting, ///< The start is not yet written.
  Running,  ///< The start is written; the worker may not have started it yet.
  Ended,
};

constexpr uint32_t NoInstance = UINT32_MAX;

struct TaskState {
  TaskPhase Phase = TaskPhase::Pending;
  bool Confirmed = false;     ///< The worker reported this attempt as running.
  bool StopRequested = false; ///< To preempt or move it, or to end its job.
  bool Succeeded = false;
  bool Leased = false;  ///< The worker ends it when the lease expires.
  uint32_t Attempt = 0; ///< Number of the newest attempt, from 1.
  uint32_t Failures = 0;
  uint32_t Preemptions = 0;
  uint32_t Instance = NoInstance;
  table::Resources RecordedSize; ///< Size in the start record.
  /// Reserved in the pool; zero if it did not fit.
  table::Resources ReservedSize;
  TimePoint ReadySince;
  TimePoint NotBefore; ///< End of the back-off after a failure.
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

/// An instance of the shard.
struct ShardInstance {
  std::string Name;
  std::string Address;
  bool Gone = false;
  bool Draining = false; ///< Leaving, or drained by an operator.
  std::set<std::pair<std::string, uint32_t>> Tasks; ///< Active (job, index).
};

/// The state described by a shard's journal, with the exact ledger of its
/// instances. Jobs and tasks change only through apply(), both for the owner
/// that writes a record and for one that reads it back.
class ShardState {
public:
  explicit ShardState(uint64_t Seed) : Generator(Seed) {}

  void apply(const Record &Change, TimePoint Now);

  /// Adds, drains and removes instances according to the list. Removed
  /// instances keep their tasks until these are recorded as lost.
  void applyInstances(std::span<const table::Instance> Listed,
                      const std::set<std::string> &Drained);

  /// Called when the start of an attempt is written.
  void onStartWritten(const AttemptId &Id, TimePoint Now);

  JobState *findJob(std::string_view Id);
  /// Returns the task if \p Id is its newest attempt and is active, else null.
  TaskState *findActiveAttempt(const AttemptId &Id);

  /// Returns end records for jobs that have ended without one.
  std::vector<Record> findJobEnds() const;

  /// Returns the used share of the fullest of cores, memory and accelerators,
  /// over instances that are listed and not draining.
  double packing() const;

  std::map<std::string, std::unique_ptr<JobState>, std::less<>> Jobs;
  std::vector<ShardInstance> Instances; ///< Indexes match the pool's.
  policy::InstancePool Pool;

  /// Returns the state as text, with the version of the instance list that it
  /// relies on.
  std::string snapshotText(uint64_t ListVersion) const;
  /// Restores the state from snapshotText() and sets \p ListVersion. Returns an
  /// error if the text is unreadable.
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
