#ifndef DAISYLANDING_EXECUTOR_EXECUTORPORT_H
#define DAISYLANDING_EXECUTOR_EXECUTORPORT_H

#include "common/Resources.h"
#include "common/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Interface to the executors, the instances that run tasks.
namespace daisylanding::executor {

/// An executor as described by the instance list.
struct ExecutorInfo {
  std::string Id; ///< May be that of an earlier incarnation.
  std::string Service;
  std::string Address; ///< host:port.
  std::string AvailabilityZone;
  std::string Rack;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Draining = false;
  /// When the incarnation started, in Unix ms; 0 if not stated. Together with
  /// the id it identifies the incarnation.
  int64_t Born = 0;
};

/// An executor whose start is stated as later than this from now, on this
/// entry's wall clock, is none to use. Wall clocks differ by seconds, and jump
/// by minutes.
constexpr std::chrono::hours MaxBornAhead{1};

/// Whether that is so: the statement would end the incarnation that runs under
/// the id, and all later ones would count as earlier.
inline bool isBornAhead(int64_t Born, Micros WallNow) {
  return Born > toMillis(WallNow + MaxBornAhead);
}

/// The executor that a call is meant for.
struct ExecutorTarget {
  std::string Address; ///< host:port.
  /// Refused under any other id. Another incarnation under the same id carries
  /// the call out.
  std::string Id;
};

/// One run of one task.
struct RunId {
  std::string Task; ///< Unique across all jobs.
  uint32_t Run = 0; ///< Number of the run of this task.

  bool operator==(const RunId &) const = default;
};

struct StartOrder {
  ExecutorTarget Target;
  RunId Id;
  std::string Spec;
  int64_t LeaseEndMs = 0; ///< On the executor's steady clock.
  uint64_t FencingToken = 0;
  std::string Checkpoint; ///< Empty to start from the beginning.
  std::string Ticket;     ///< Empty if the queue requires none.
};

struct StopOrder {
  ExecutorTarget Target;
  RunId Id;
  uint64_t FencingToken = 0;
};

/// Sets the speed of a run.
struct PaceOrder {
  ExecutorTarget Target;
  RunId Id;
  uint32_t Percent = 100; ///< Of full speed.
  uint64_t FencingToken = 0;
};

/// Renews the leases of all runs on an executor and asks which runs are active
/// and which have ended.
struct RenewalCall {
  ExecutorTarget Target;
  uint64_t FencingToken = 0;
  /// The executor may discard run ends up to this sequence number.
  uint64_t AcknowledgedEnd = 0;
  /// On the executor's steady clock; absent to renew nothing.
  std::optional<int64_t> LeaseEndMs;
  /// The executor delays its answer by up to this until a run ends.
  Millis MaxWait{0};
};

enum class OrderOutcome : uint8_t {
  Done,
  Fenced,        ///< The executor has seen a higher fencing token.
  RunTooLow,     ///< This run or a later one was stopped or ended there.
  LeaseTooLate,  ///< The lease end had already passed.
  NoRoom,        ///< The task exceeds the executor's free capacity.
  TicketInvalid, ///< The ticket is missing or no longer valid.
  Rejected,      ///< The executor could not parse the order.
  Unhealthy,     ///< Temporarily refused; nothing was done.
  Replaced,      ///< Another incarnation answered at the address.
  NotSent,       ///< No connection; nothing was sent.
  Unknown        ///< No answer; the order may still be carried out.
};

std::string_view outcomeName(OrderOutcome Outcome);

struct OrderAnswer {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  std::optional<int64_t> ClockMs; ///< The executor's steady clock.
};

/// An active run, as its executor reports it.
struct RunStatus {
  RunId Id;
  std::string Checkpoint;
  uint32_t Percent = 0;
  /// Over the last half second: tail response time in ms for a task that
  /// serves users, milli-cores in use for any other.
  double Usage = 0;
};

enum class EndKind : uint8_t {
  Done,
  Failed,
  Stopped,
  Expired,
  GangMemberEnded, ///< Ended because another member of its gang ended.
  GangIncomplete   ///< Ended because other members did not start in time.
};

std::string_view endName(EndKind Kind);

/// A run that has ended, as its executor reports it.
struct RunEnd {
  uint64_t Sequence = 0; ///< Counts the run ends of an incarnation from 1.
  RunId Id;
  EndKind Kind = EndKind::Failed;
  std::string Checkpoint;
};

/// An answer with this many run ends may omit later ones.
constexpr size_t MaxRunEndsPerAnswer = 500;

struct RenewalAnswer {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  std::optional<int64_t> ClockMs;
  /// When the incarnation that answers started, in Unix ms; 0 if not stated.
  int64_t Born = 0;
  std::vector<RunStatus> Running;
  std::vector<RunEnd> Ended;

  /// Whether the run is among `Running`.
  bool lists(const RunId &Id) const {
    return std::any_of(Running.begin(), Running.end(),
                       [&](const RunStatus &Task) { return Task.Id == Id; });
  }
};

/// Calls do not block; `Done` runs on the caller's loop.
class ExecutorPort {
public:
  virtual ~ExecutorPort() = default;
  virtual void start(const StartOrder &Order,
                     std::function<void(OrderAnswer)> Done) = 0;
  virtual void stop(const StopOrder &Order,
                    std::function<void(OrderAnswer)> Done) = 0;
  virtual void pace(const PaceOrder &Order,
                    std::function<void(OrderAnswer)> Done) = 0;
  virtual void renewLeases(const RenewalCall &Call,
                           std::function<void(RenewalAnswer)> Done) = 0;
};

} // namespace daisylanding::executor

#endif
