#ifndef DAISYLANDING_EXECUTOR_ADVICEPORT_H
#define DAISYLANDING_EXECUTOR_ADVICEPORT_H

#include "common/Error.h"
#include "common/Time.h"

#include <functional>
#include <string>
#include <vector>

namespace daisylanding::executor {

/// Asks which executors a queue's policy lets run a step.
struct AdviceCall {
  std::string Step; ///< Names the step over all jobs.
  std::vector<std::string>
      ExecutorIds; ///< Ids; at most MaxExecutorsPerAdviceCall.
  Millis Timeout{5'000};
};

/// The most executors that one call may name.
constexpr size_t MaxExecutorsPerAdviceCall = 100;

struct Ticket {
  std::string ExecutorId;
  std::string Text; ///< Goes along with each start there.
};

struct Advice {
  std::vector<Ticket> Tickets;
  Millis Validity{0}; ///< Of the tickets, from when they were given.
};

using AdviceDone = std::function<void(Result<Advice>)>;

/// A line to the policy service. It serves one call at a time for each
/// instance that calls. Errors: BudgetExhausted (too many wait there),
/// Unreachable, AnswerLost, Timeout, Malformed.
class AdvicePort {
public:
  virtual ~AdvicePort() = default;
  virtual void requestAdvice(const AdviceCall &Call, AdviceDone Done) = 0;
};

} // namespace daisylanding::executor

#endif
