#ifndef DAISYLANDING_POLICY_RETRYBUDGET_H
#define DAISYLANDING_POLICY_RETRYBUDGET_H

#include <algorithm>

namespace daisylanding::policy {

struct RetryBudgetOptions {
  double RetriesPerRequest = 0.1; ///< Earned by each first try.
  double MaxTokens = 20;
};

/// Bounds retries to a share of first tries, so that a failing fleet is not
/// met with a multiple of its load.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options)
      : Options(Options), Tokens(Options.MaxTokens) {}

  void recordFirstTry() {
    Tokens = std::min(Options.MaxTokens, Tokens + Options.RetriesPerRequest);
  }

  /// Takes one retry; false when the budget is used up.
  bool tryTakeRetry() {
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  RetryBudgetOptions Options;
  double Tokens;
};

} // namespace daisylanding::policy

#endif
