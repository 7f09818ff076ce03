#ifndef DAISYLANDING_EXECUTOR_ADVICEPORT_H
#define DAISYLANDING_EXECUTOR_ADVICEPORT_H

#include "common/Error.h"
#include "common/Time.h"

#include <functional>
#include <string>
#include <vector>

namespace daisylanding::executor {

/// Asks the policy service which executors may run a step.
struct AdviceCall {
  std::string Step; ///< Identifier, unique across all jobs.
  /// At most MaxExecutorsPerAdviceCall.
  std::vector<std::string> ExecutorIds;
  Millis Timeout{5'000};
};

constexpr size_t MaxExecutorsPerAdviceCall = 100;

/// Permits starting runs of the step on one executor.
struct Ticket {
  std::string ExecutorId;
  std::string Text; ///< Opaque; sent with every start order to the executor.
};

/// The answer to an advice call.
struct Advice {
  std::vector<Ticket> Tickets; ///< One for each permitted executor.
  Millis Validity{0};          ///< Of the tickets, from when they were issued.
};

using AdviceDone = std::function<void(Result<Advice>)>;

/// Client of the policy service. The service handles one call at a time for
/// each calling instance. Errors: BudgetExhausted (too many calls are waiting
/// at the service), NotReady (refused for another reason), Unreachable,
/// AnswerLost, Timeout, Malformed.
class AdvicePort {
public:
  virtual ~AdvicePort() = default;
  virtual void requestAdvice(const AdviceCall &Call, AdviceDone Done) = 0;
};

} // namespace daisylanding::executor

#endif
