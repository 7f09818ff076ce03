#ifndef DAISYLANDING_CELL_OWNERSTATUS_H
#define DAISYLANDING_CELL_OWNERSTATUS_H

#include "common/Resources.h"
#include "common/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// What an owner tells of itself, for logs, metrics and operators.
namespace daisylanding::cell {

/// Event counts since the owner was created, for metrics.
struct OwnerCounts {
  uint64_t Starts = 0;
  uint64_t EndsDone = 0;
  uint64_t EndsFailed = 0;
  uint64_t EndsOther = 0;
  uint64_t TicketRefusals = 0;
  uint64_t CapacityRefusals = 0;
  uint64_t ExpiredRuns = 0;
  uint64_t Restarts = 0; ///< Of executors under their ids.
  /// First answers of executors that may hold a lease by an earlier clock.
  uint64_t LongLeases = 0;
  uint64_t Stragglers = 0;
  uint64_t PlaceWaits = 0;    ///< Tasks that waited for a near place.
  uint64_t PlaceWaitHits = 0; ///< Of these, those that got one.
  uint64_t JobsCompleted = 0;
  uint64_t JobsFailed = 0;
  uint64_t JobsCancelled = 0;
};

/// Most workspaces that an owner tells of, the busiest first.
constexpr size_t MaxReportedWorkspaces = 100;

/// One workspace on the executors of one service.
struct WorkspaceStatus {
  std::string Name;
  uint32_t Weight = 1;
  Resources Used;       ///< By open and placed runs.
  double UsedShare = 0; ///< Of the service, by what it uses most of; decayed.
  double FairShare = 0; ///< Beyond it, its work goes after that of others.
  bool IsBeyondShare = false;
  size_t WaitingSteps = 0;
  Millis OldestWait{0};
  uint64_t Refused = 0; ///< Jobs, since the owner was created.
};

/// Current totals of an owner.
struct OwnerStatus {
  bool Loading = false; ///< The stored jobs are being read; none is known yet.
  size_t LiveJobs = 0;
  size_t OfferedJobs = 0;  ///< Of these, those that are not stored.
  size_t PendingJobs = 0;  ///< Of these, those of which no task has started.
  Millis JobReadingAge{0}; ///< Since the stored jobs were known to be read.
  size_t WaitingSteps = 0;
  size_t StepsWithoutAdvice = 0;
  size_t OpenRuns = 0;
  size_t Executors = 0; ///< In the instance list.
  size_t Usable = 0;    ///< Of those, the ones that may be sent tasks.
  double CommitMs = 0;
  uint32_t TotalCores = 0;    ///< Of listed executors.
  uint32_t ReservedCores = 0; ///< For open and placed runs.
  size_t PlacedTasks = 0;     ///< They wait for a valid ticket.
  uint32_t PlacedCores = 0;   ///< Reserved for placed tasks.
  /// Empty in a configuration without workspaces.
  std::vector<WorkspaceStatus> Workspaces;
};

/// A waiting step and the number of executors left after each placement check
/// in turn: label and size (`Suitable`), policy (`Allowed`), health (`Usable`),
/// free capacity (`WithFreeCapacity`).
struct WaitingStepReport {
  std::string Job;
  uint32_t Step = 0;
  uint32_t Tasks = 0;
  Resources Size; ///< Of one task.
  bool Gang = false;
  bool Colocate = false;
  Millis Age{0};
  double SlackMs = 0;
  uint32_t Suitable = 0;
  uint32_t Allowed = 0;
  uint32_t Usable = 0;
  uint32_t WithFreeCapacity = 0;
};

} // namespace daisylanding::cell

#endif
