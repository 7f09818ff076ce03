#ifndef DAISYLANDING_CELL_PLACEMENT_H
#define DAISYLANDING_CELL_PLACEMENT_H

#include "cell/CellConfig.h"
#include "cell/ExecutorPool.h"
#include "cell/LiveJob.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

/// Chooses executors for tasks by their free capacity. Handles small tasks,
/// wide gangs and tasks of a whole executor on the same executors. No I/O.
namespace daisylanding::cell {

/// Load on an executor, other than reserved capacity.
struct ExecutorLoad {
  uint32_t ServingTasks = 0; ///< Tasks with a tail latency target.
  uint32_t BestEffortTasks = 0;
  uint32_t BestEffortMilliCores = 0;
  Resources LongRunningDemand; ///< Of tasks that don't end by themselves.
  double Slowness = 1; ///< Run time of its tasks relative to other executors.
};

/// Whether the executor is so much slower than others that it gets no tasks.
bool isTooSlow(const ExecutorLoad &Load);

/// Whether an executor is reserved for more urgent work.
struct Reservation {
  bool Active = false;
  Millis FreeAfter{0}; ///< Until enough capacity is expected to be free.
};

/// Tasks of a step by executor.
using TaskCounts = std::map<ExecutorIndex, uint32_t>;

struct PlacementRequest {
  const StepSpec *Step = nullptr;
  /// Null where no policy restricts the step.
  const StepPermissions *Permissions = nullptr;
  const TaskCounts *TasksByExecutor = nullptr; ///< For anti-affinity.
  /// Chosen before others: tickets for these are being obtained.
  std::span<const ExecutorIndex> Preferred;
  /// Whether the task starts at once: a valid ticket matters more than the
  /// preferred executors.
  bool StartsAtOnce = false;
  /// Not where a task that may crash its executor has just been started.
  bool AvoidSuspects = false;
  /// Also on executors that are slow, or ejected: no others can hold the tasks.
  bool UsesLastResort = false;
  /// Not where a task of this demand would fit, if set.
  std::optional<Resources> KeptRoom;
  /// Only this rack, if set.
  std::string_view Rack;
  /// Not this rack, if set.
  std::string_view AvoidedRack;
  /// By how much tasks are slower away from their data; 1 if not known.
  double SpreadFactor = 1;
  /// Indexed by executor.
  std::span<const Reservation> Reservations;
  /// Of one task. A task that ends before a reserved executor is needed may run
  /// there.
  Millis ExpectedRunTime{0};
};

/// The policy's permissions for the step; null if no policy restricts it.
const StepPermissions *permissionsOf(const LiveStep &Step,
                                     const Queue *JobQueue);

/// Whether the policy allows the step on this executor.
bool isAllowed(const StepPermissions *Permissions, ExecutorIndex Index);

/// For the step's anti-affinity; empty if it has none.
TaskCounts countTasksByExecutor(const LiveStep &Step, const StepSpec &Spec);

/// How many more tasks of the step its anti-affinity allows on this executor.
uint32_t placesByAntiAffinity(const StepSpec &Step,
                              const TaskCounts &TasksByExecutor,
                              ExecutorIndex Index);

/// Tasks of this demand that fit into \p Room at once, at most \p MaxPlaces.
uint32_t placesIn(const Resources &Room, const Resources &Demand,
                  uint32_t MaxPlaces);

/// Whether the executor has the step's label and enough total capacity.
bool isSuitable(const ExecutorState &Executor, const StepSpec &Step);

/// The executor with the best score that can take the task now, if any.
std::optional<ExecutorIndex> chooseExecutor(const ExecutorPool &Pool,
                                            std::span<const ExecutorLoad> Loads,
                                            const PlacementRequest &Request,
                                            TimePoint Now);

/// Whether executors that the step may use could hold \p Count of its tasks, if
/// only lasting tasks were there.
bool canEverHold(const ExecutorPool &Pool, std::span<const ExecutorLoad> Loads,
                 const PlacementRequest &Request, uint32_t Count,
                 TimePoint Now);

/// Executors for \p Count tasks at once, or none if they don't all fit. \p Pool
/// is restored before returning.
std::optional<std::vector<ExecutorIndex>>
chooseGangExecutors(ExecutorPool &Pool, std::span<const ExecutorLoad> Loads,
                    const PlacementRequest &Request, uint32_t Count,
                    TimePoint Now);

} // namespace daisylanding::cell

#endif
