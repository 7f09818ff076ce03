#ifndef DAISYLANDING_SHARD_SCHEDULER_H
#define DAISYLANDING_SHARD_SCHEDULER_H

#include "policy/GangPlanner.h"
#include "policy/Preemption.h"
#include "policy/TightnessController.h"
#include "shard/ShardState.h"

#include <optional>

namespace daisylanding::shard {

/// Use of a team's quota in this shard, and the share that the shard wants.
struct QuotaDemand {
  table::Resources Used;
  table::Resources Wanted;
};

/// Decides which pending tasks of a shard start on which instance. Jobs whose
/// class holds more than an equal share of the shard go last; otherwise the job
/// with the least slack to its waiting target goes first. Does no I/O and reads
/// no clock.
class Scheduler {
public:
  explicit Scheduler(ShardState &State) : State(State) {}

  /// Starts tasks that can start now, at most \p MaxStarts. Returns their
  /// records in order; they are already applied to the state and still have to
  /// be written.
  std::vector<Record> plan(const config::ClusterConfig &Config, TimePoint Now,
                           size_t MaxStarts);

  /// Adjusts the packing tightness of each class; called once a second.
  void adjustTightness(const config::ClusterConfig &Config);

  /// Shares of team quotas held by this shard, by team.
  std::map<std::string, table::Resources> QuotaShares;
  /// Use and demand of the last plan, by team.
  std::map<std::string, QuotaDemand> QuotaDemands;

private:
  struct CandidateJob {
    /// The class holds more than an equal share of the shard.
    bool OverShare = false;
    TimePoint DueAt;
    JobState *Job = nullptr;
    const config::WorkClass *Class = nullptr;
  };

  std::vector<CandidateJob> findCandidates(const config::ClusterConfig &Config,
                                           TimePoint Now) const;
  void planJob(const CandidateJob &Candidate, TimePoint Now, size_t MaxStarts);
  bool planGang(const CandidateJob &Candidate, TimePoint Now);
  bool planTask(const CandidateJob &Candidate, uint32_t TaskIndex,
                TimePoint Now);
  void startTask(JobState &Job, uint32_t TaskIndex, uint32_t Instance,
                 TimePoint Now);
  policy::PlacementRequest makeRequest(const CandidateJob &Candidate,
                                       TimePoint Now);
  std::vector<uint32_t> countTasksPerRack(const JobState &Job) const;
  bool checkQuota(const CandidateJob &Candidate, uint32_t TaskCount);
  std::map<std::string_view, double> computeClassShares() const;
  table::Resources computeHeadroomPerAccelerator() const;
  bool fitsInTime(const CandidateJob &Candidate, TimePoint Now) const;
  void countQuotaUse(const config::ClusterConfig &Config);
  void handleBlocked(const CandidateJob &Candidate, uint32_t TaskCount,
                     TimePoint ReadySince, TimePoint Now);
  void reserveFor(const CandidateJob &Candidate, uint32_t TaskCount,
                  TimePoint Now);
  void preemptFor(const CandidateJob &Candidate, TimePoint Now);
  void dropStaleReservation();
  std::vector<policy::RunningTask> runningTasks(TimePoint Now) const;
  bool isKnownBlocked(const policy::PlacementRequest &Request) const;

  struct JobReservation {
    std::string JobId;
    policy::AdvanceReservation Plan;
  };

  ShardState &State;
  std::map<std::string, policy::TightnessController> TightnessByClass;
  std::optional<JobReservation> ActiveReservation;
  std::map<std::string, TimePoint> PreemptingUntil;
  /// Failed in the current plan.
  std::vector<policy::PlacementRequest> BlockedRequests;
  std::vector<uint32_t> TasksPerRack;
  table::Resources HeadroomPerAccelerator;
  std::vector<Record> PlannedStarts;
  const config::ClusterConfig *CurrentConfig = nullptr;
};

} // namespace daisylanding::shard

#endif
