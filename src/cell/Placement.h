#ifndef DAISYLANDING_CELL_PLACEMENT_H
#define DAISYLANDING_CELL_PLACEMENT_H

#include "cell/CellConfig.h"
#include "cell/ExecutorPool.h"
#include "cell/LiveJob.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

/// Where tasks go, given what executors have free. Pure; answers many small
/// tasks, wide gangs and whole-executor tasks on the same executors.
namespace daisylanding::cell {

/// What stands on an executor besides room.
struct ExecutorLoad {
  uint32_t ServingTasks = 0; ///< With a promise to users of their own.
  uint32_t BestEffortTasks = 0;
  uint32_t BestEffortMilliCores = 0;
  double Slowness = 1; ///< Of its tasks, against other executors'.
};

/// An executor that waits for room for more urgent work.
struct Reservation {
  bool Active = false;
  Millis FreeAfter{0}; ///< When the room is expected to be there.
};

struct PlacementRequest {
  const StepSpec *Step = nullptr;
  /// Null where no policy restricts the step.
  const std::map<ExecutorIndex, Permission> *Permissions = nullptr;
  /// Tasks of the step by executor, for anti-affinity.
  const std::map<ExecutorIndex, uint32_t> *TasksByExecutor = nullptr;
  /// Only this rack, if set.
  std::string_view Rack;
  /// Executors kept for more urgent work; indexed by executor.
  std::span<const Reservation> Reservations;
  /// What a task of the step takes; one that ends before a kept executor is
  /// wanted may run there meanwhile.
  Millis ExpectedRunTime{0};
};

/// What the policy said of the step's executors; null where none restricts it.
const std::map<ExecutorIndex, Permission> *permissionsOf(const LiveStep &Step,
                                                         const Queue *JobQueue);

/// Whether the policy lets the executor run the step.
bool isAllowed(const std::map<ExecutorIndex, Permission> *Permissions,
               ExecutorIndex Index);

/// Whether the executor could ever run the step's tasks, room aside.
bool isSuitable(const ExecutorState &Executor, const StepSpec &Step);

/// The best executor with room, or none.
std::optional<ExecutorIndex> chooseExecutor(const ExecutorPool &Pool,
                                            std::span<const ExecutorLoad> Loads,
                                            const PlacementRequest &Request,
                                            TimePoint Now);

/// Executors for \p Count tasks at once, or none if they don't all fit. The
/// pool is left as it was.
std::optional<std::vector<ExecutorIndex>>
chooseGangExecutors(ExecutorPool &Pool, std::span<const ExecutorLoad> Loads,
                    const PlacementRequest &Request, uint32_t Count,
                    TimePoint Now);

} // namespace daisylanding::cell

#endif
