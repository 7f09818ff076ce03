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
  Over,
};

constexpr uint32_t NoInstance = UINT32_MAX;

struct Task {
  TaskPhase Phase = TaskPhase::Pending;
  bool Confirmed = false; ///< A worker reported this attempt as running.
  bool StopAsked = false; ///< To preempt it, move it, or end its job.
  bool Succeeded = false;
  bool Leased = false;  ///< Its worker ends it when the lease lapses.
  uint32_t Attempt = 0; ///< The newest one's number; the first is 1.
  uint32_t Failures = 0;
  uint32_t Preemptions = 0;
  uint32_t Instance = NoInstance;
  table::Resources Recorded; ///< Its size as its start was written.
  table::Resources Taken;    ///< From the instance's ledger.
  TimePoint ReadySince;
  TimePoint NotBefore; ///< Back-off after a failure.
  TimePoint StartedAt;
};

struct Job {
  Job(config::JobSpec Spec, TimePoint Now);

  config::JobSpec Spec;
  std::vector<Task> Tasks;
  policy::SizeEstimator Estimate;
  TimePoint Accepted;
  uint32_t Pending = 0;
  uint32_t Active = 0; ///< Starting or running.
  bool Stopping = false;
  bool FailedForGood = false;

  AttemptId attemptOf(uint32_t Index) const {
    return {Spec.Id, Index, Tasks[Index].Attempt};
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
  void startWritten(const AttemptId &Id, TimePoint Now);

  Job *find(std::string_view Id);
  /// The task if \p Id is its newest attempt and is active; else null.
  Task *activeAttempt(const AttemptId &Id);

  /// Records for jobs that are over but not recorded as such.
  std::vector<Record> endings() const;

  /// Used capacity over capacity of usable instances, in the fuller of cores,
  /// memory and accelerators.
  double packing() const;

  std::map<std::string, std::unique_ptr<Job>, std::less<>> Jobs;
  std::vector<ShardInstance> Instances; ///< Indexes match the pool's.
  policy::InstancePool Pool;

  /// The whole state as text, with the version of the list it relies on.
  std::string snapshotText(uint64_t ListVersion) const;
  std::error_code restore(std::string_view Text, uint64_t &ListVersion,
                          TimePoint Now);

private:
  void onAccepted(const JobAccepted &Change, TimePoint Now);
  void onStarted(const TaskStarted &Change, TimePoint Now);
  void onEnded(const TaskEnded &Change, TimePoint Now);
  void onStopped(const JobStopped &Change);
  void restoreJob(config::JobSpec Spec, const nlohmann::json &Source,
                  TimePoint Now);
  void release(Task &Each, const std::string &JobId, uint32_t Index);
  void afterEnd(Job &Owner, Task &Each, EndReason Reason, TimePoint Now);
  void afterGangEnd(Job &Owner, TimePoint Now);
  void makePending(Job &Owner, Task &Each, TimePoint Now);
  uint32_t instanceIndex(std::string_view Name);
  uint32_t addListed(const table::Instance &Each);
  void adopt(uint32_t From, uint32_t To);
  uint32_t rackIndex(const std::string &Rack);

  Random Generator;
  std::map<std::string, uint32_t, std::less<>> IndexByName;
  std::map<std::string, uint32_t> RackIndexes;
};

} // namespace daisylanding::shard

#endif
