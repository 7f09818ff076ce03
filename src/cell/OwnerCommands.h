#ifndef DAISYLANDING_CELL_OWNERCOMMANDS_H
#define DAISYLANDING_CELL_OWNERCOMMANDS_H

#include "cell/ExecutorPool.h"
#include "common/Time.h"
#include "executor/AdvicePort.h"
#include "executor/ExecutorPort.h"

#include <vector>

/// What an owner has its caller send: orders, renewals and advice calls.
namespace daisylanding::cell {

/// A start whose record is committed, so that it may be sent.
struct StartCommand {
  ExecutorIndex Executor = NoExecutor;
  executor::StartOrder Order;
};

struct StopCommand {
  ExecutorIndex Executor = NoExecutor;
  executor::StopOrder Order;
};

struct RenewalCommand {
  ExecutorIndex Executor = 0;
  executor::RenewalCall Call;
};

struct PaceCommand {
  ExecutorIndex Executor = NoExecutor;
  executor::PaceOrder Order;
};

/// Why advice is requested: for a step without any, on executors that it has no
/// permission for, or because tickets have expired.
enum class AdviceReason : uint8_t { First, Further, Renewal };

/// An advice call that has not been assigned to an entry's advice queue.
struct AdviceCallCommand {
  uint64_t Id = 0;
  AdviceReason Reason = AdviceReason::First;
  TimePoint RequestedAt{};
  executor::AdviceCall Call;
  TimePoint DueAt{};     ///< When the step's slack is used up.
  double ExpectedMs = 0; ///< Service time, without waiting.
};

/// Actions requested by one `advance`; the caller's loop carries them out.
struct OwnerCommands {
  std::vector<StartCommand> Starts;
  std::vector<StopCommand> Stops;
  std::vector<RenewalCommand> Renewals;
  bool RenewalsLeft = false; ///< More are due than one turn requests.
  std::vector<PaceCommand> PaceChanges;
  std::vector<AdviceCallCommand> AdviceCalls;
};

} // namespace daisylanding::cell

#endif
