#ifndef DAISYLANDING_EXECUTOR_EXECUTORPORT_H
#define DAISYLANDING_EXECUTOR_EXECUTORPORT_H

#include "common/Resources.h"
#include "common/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What the product asks of the instances that run tasks.
namespace daisylanding::executor {

/// An executor as the instance list tells of it.
struct ExecutorInfo {
  std::string Id; ///< Of one life; a restarted executor has another.
  std::string Service;
  std::string Address; ///< host:port.
  std::string AvailabilityZone;
  std::string Rack;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Draining = false;
};

struct ExecutorTarget {
  std::string Address;
  std::string Id; ///< Another life at the address turns the call away.
};

/// One run of one task. `Task` is its name, unique over all jobs.
struct RunId {
  std::string Task;
  uint32_t Run = 0;
};

struct StartOrder {
  ExecutorTarget Target;
  RunId Id;
  std::string Spec;
  int64_t LeaseEndMs = 0; ///< On the executor's clock.
  uint64_t FencingToken = 0;
  std::string Checkpoint; ///< Empty: from the beginning.
  std::string Ticket;     ///< Empty where the queue needs none.
};

struct StopOrder {
  ExecutorTarget Target;
  RunId Id;
  uint64_t FencingToken = 0;
};

struct PaceOrder {
  ExecutorTarget Target;
  RunId Id;
  uint32_t Percent = 100;
  uint64_t FencingToken = 0;
};

/// Renews the leases of all that runs there and asks what runs and what
/// ended.
struct RenewalCall {
  ExecutorTarget Target;
  uint64_t FencingToken = 0;
  uint64_t AcknowledgedEnd = 0; ///< Ends up to this number may be forgotten.
  std::optional<int64_t> LeaseEndMs;
  Millis MaxWait{0}; ///< The answer waits this long for an end.
};

enum class OrderOutcome : uint8_t {
  Done,
  Fenced,        ///< A higher fencing token was seen there.
  RunTooLow,     ///< This run, or a higher one, was stopped or ended there.
  LeaseTooLate,  ///< The lease would have ended already.
  NoRoom,        ///< The executor guards its capacity, and this is too much.
  TicketInvalid, ///< No ticket, or one that has ended.
  Rejected,      ///< The executor can't read the order.
  Unhealthy,     ///< It refuses for now and has done nothing.
  Replaced,      ///< Another life answers at the address.
  NotSent,       ///< No connection; nothing was sent.
  Unknown        ///< No answer; it may be carried out now or later.
};

std::string_view outcomeName(OrderOutcome Outcome);

struct OrderAnswer {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  std::optional<int64_t> ClockMs; ///< The executor's steady clock.
};

struct RunStatus {
  RunId Id;
  std::string Checkpoint;
  uint32_t Percent = 0;
  /// Over the last half second: response-time tail in ms of a task that
  /// serves users, milli-cores in use of any other.
  double Usage = 0;
};

enum class EndKind : uint8_t {
  Done,
  Failed,
  Stopped,
  Expired,
  GangMemberEnded, ///< Another member of its gang ended.
  GangIncomplete   ///< The other members of its gang did not come in time.
};

struct RunEnd {
  uint64_t Sequence = 0; ///< Counts the ends of one executor life from 1.
  RunId Id;
  EndKind Kind = EndKind::Failed;
  std::string Checkpoint;
};

/// An answer with as many ends may leave out later ones.
constexpr size_t MaxRunEndsPerAnswer = 500;

struct RenewalAnswer {
  OrderOutcome Outcome = OrderOutcome::Unknown;
  std::optional<int64_t> ClockMs;
  std::vector<RunStatus> Running;
  std::vector<RunEnd> Ended;
};

/// Calls do not block; completions run on the caller's loop.
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
