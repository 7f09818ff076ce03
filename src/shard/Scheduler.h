#ifndef DAISYLANDING_SHARD_SCHEDULER_H
#define DAISYLANDING_SHARD_SCHEDULER_H

#include "policy/GangPlanner.h"
#include "policy/Preemption.h"
#include "policy/TightnessController.h"
#include "shard/ShardState.h"

#include <optional>

namespace daisylanding::shard {

/// What is wanted of a team's quota beyond the share held.
struct QuotaDemand {
  table::Resources Used;
  table::Resources Wanted;
};

/// Decides which pending tasks of a shard start where: classes that hold less
/// than an equal share of the shard go first, then the least slack to the
/// class's waiting target. Pure: it works on the state given.
class Scheduler {
public:
  explicit Scheduler(ShardState &State) : State(State) {}

  /// Starts what can start now, at most \p MaxStarts tasks. The records are
  /// applied to the state and returned in order, to be written.
  std::vector<Record> plan(const config::ClusterConfig &Config, TimePoint Now,
                           size_t MaxStarts);

  /// Moves each class's placement towards its targets; called once a second.
  void adjustTargets(const config::ClusterConfig &Config);

  /// The shares of team quotas that this shard holds, by team.
  std::map<std::string, table::Resources> QuotaShares;
  /// What the last plan lacked or could give back, by team.
  std::map<std::string, QuotaDemand> QuotaDemands;

private:
  struct Candidate {
    /// Its class already holds more than an equal share of the shard.
    bool OverShare = false;
    TimePoint Due;
    Job *Owner = nullptr;
    const config::WorkClass *Class = nullptr;
  };

  std::vector<Candidate> candidates(const config::ClusterConfig &Config,
                                    TimePoint Now) const;
  void planJob(const Candidate &Each, TimePoint Now, size_t MaxStarts);
  bool planGang(const Candidate &Each, TimePoint Now);
  bool planTask(const Candidate &Each, uint32_t Index, TimePoint Now);
  void start(Job &Owner, uint32_t Index, uint32_t Instance, TimePoint Now);
  policy::PlacementRequest requestFor(const Candidate &Each, TimePoint Now);
  std::vector<uint32_t> rackLoad(const Job &Owner) const;
  bool withinQuota(const Candidate &Each, uint32_t Tasks);
  std::map<std::string_view, double> classShares() const;
  table::Resources needPerAccelerator() const;
  bool fitsInTime(const Candidate &Each, TimePoint Now) const;
  void countQuotaUse(const config::ClusterConfig &Config);
  void blocked(const Candidate &Each, uint32_t Tasks, TimePoint ReadySince,
               TimePoint Now);
  void reserveFor(const Candidate &Each, uint32_t Tasks, TimePoint Now);
  void preemptFor(const Candidate &Each, TimePoint Now);
  void dropStaleReservation();
  std::vector<policy::RunningTask> running(TimePoint Now) const;
  bool knownBlocked(const policy::PlacementRequest &Request) const;

  struct Holder {
    std::string Job;
    policy::Reservation Plan;
  };

  ShardState &State;
  std::map<std::string, policy::TightnessController> Tightness;
  std::optional<Holder> Reserved;
  std::map<std::string, TimePoint> PreemptingUntil;
  std::vector<policy::PlacementRequest> Blocked; ///< In this plan.
  std::vector<uint32_t> RackCounts;
  table::Resources KeepPerAccelerator;
  std::vector<Record> Planned;
  const config::ClusterConfig *Current = nullptr;
};

} // namespace daisylanding::shard

#endif
