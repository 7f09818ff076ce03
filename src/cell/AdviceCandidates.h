#ifndef DAISYLANDING_CELL_ADVICECANDIDATES_H
#define DAISYLANDING_CELL_ADVICECANDIDATES_H

#include "cell/Placement.h"

#include <map>
#include <span>
#include <string>
#include <vector>

/// Chooses which executors an advice call names. The time that the policy
/// service takes grows with their number, and tickets expire, so a call names
/// no more executors than the step is expected to need, those with free
/// capacity first. Handles fleets of more executors than one call may name and
/// bursts that fill them. No I/O.
namespace daisylanding::cell {

/// Learns which share of the named executors the policy allows, by queue.
class AllowedShares {
public:
  void record(const std::string &Queue, size_t Asked, size_t Allowed);
  double share(const std::string &Queue) const;

private:
  std::map<std::string, double, std::less<>> Shares;
};

/// Learns how much longer advice calls take than the policy service needs for
/// them, by queue: calls of others may be ahead.
class AdviceDelays {
public:
  void record(const std::string &Queue, double ExpectedMs, Micros Took);
  /// Multiple of the expected time, at least 1.
  double factor(const std::string &Queue) const;

private:
  std::map<std::string, double, std::less<>> Factors;
};

struct AdviceNeed {
  const StepSpec *Step = nullptr;
  uint32_t Tasks = 0; ///< Of the step, without an executor.
  /// Executors that have been named before are not named again.
  const StepPermissions *Known = nullptr;
  double AllowedShare = 1; ///< Expected.
  /// Name only executors that can take a task of the step now.
  bool OnlyWithFreeCapacity = false;
  /// Name none unless all missing members of a gang are expected to find free
  /// places on the named executors.
  bool OnlyForWholeGang = false;
  uint32_t FreeAllowedPlaces = 0; ///< On executors that are allowed already.
  std::span<const Reservation> Reservations; ///< Indexed by executor.
  /// Recent calls that name each executor and have no answer. With
  /// `OnlyWithFreeCapacity`, those named by enough of them are left out.
  std::span<const uint32_t> OpenCalls;
  uint64_t Seed = 0; ///< Spreads the steps over the executors.
};

/// The executors to name, at most MaxExecutorsPerAdviceCall.
std::vector<ExecutorIndex>
chooseAdviceCandidates(const ExecutorPool &Pool,
                       std::span<const ExecutorLoad> Loads,
                       const AdviceNeed &Need, TimePoint Now);

/// Places for further tasks of the step on the usable executors that the policy
/// allows.
struct AllowedPlaces {
  uint32_t Free = 0;  ///< Now.
  uint32_t Total = 0; ///< If nothing but long-running tasks ran there.
};

AllowedPlaces countAllowedPlaces(const ExecutorPool &Pool,
                                 std::span<const ExecutorLoad> Loads,
                                 const StepSpec &Step,
                                 const StepPermissions &Permissions,
                                 const TaskCounts &TasksByExecutor,
                                 TimePoint Now);

} // namespace daisylanding::cell

#endif
