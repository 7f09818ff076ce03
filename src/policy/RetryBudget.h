#ifndef DAISYLANDING_POLICY_RETRYBUDGET_H
#define DAISYLANDING_POLICY_RETRYBUDGET_H

#include <algorithm>

namespace daisylanding::policy {

struct RetryBudgetOptions {
  double RetriesPerRequest = 0.1; ///< Tokens earned by each first try.
  double MaxTokens = 20;
};

/// Token bucket that limits retries to a share of first tries, so that retries
/// do not multiply the load on a failing fleet.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options)
      : Options(Options), Tokens(Options.MaxTokens) {}

  void recordFirstTry() {
    Tokens = std::min(Options.MaxTokens, Tokens + Options.RetriesPerRequest);
  }

  /// Takes one token; returns false when there is none.
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
