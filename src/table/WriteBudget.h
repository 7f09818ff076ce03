#ifndef DAISYLANDING_TABLE_WRITEBUDGET_H
#define DAISYLANDING_TABLE_WRITEBUDGET_H

#include "common/Time.h"

#include <algorithm>
#include <mutex>

namespace daisylanding::table {

/// Heartbeats must not fail because bulk writes have used up the budget, or a
/// busy entry would be taken for dead.
enum class WritePriority : uint8_t { Bulk, Heartbeat };

/// Limits the table writes of a process per second. A token bucket that holds
/// the tokens of one second. Thread-safe.
class WriteBudget {
public:
  explicit WriteBudget(double WritesPerSecond)
      : TokensPerSecond(WritesPerSecond), Tokens(WritesPerSecond) {}

  /// Takes one token; false if none is left. A heartbeat may overdraw the
  /// bucket by up to one second's tokens, which then delays bulk writes.
  bool tryTake(TimePoint Now, WritePriority Priority = WritePriority::Bulk) {
    std::lock_guard<std::mutex> Lock(Mutex);
    refill(Now);
    double MinTokens =
        Priority == WritePriority::Heartbeat ? 1 - TokensPerSecond : 1;
    if (Tokens < MinTokens)
      return false;
    Tokens -= 1;
    return true;
  }

  /// The fill level of the bucket, 0 to 1.
  double level(TimePoint Now) {
    std::lock_guard<std::mutex> Lock(Mutex);
    refill(Now);
    return std::max(0.0, Tokens / TokensPerSecond);
  }

private:
  void refill(TimePoint Now) {
    if (Now > LastRefill)
      Tokens = std::min(TokensPerSecond,
                        Tokens + TokensPerSecond * toSeconds(Now - LastRefill));
    LastRefill = std::max(LastRefill, Now);
  }

  std::mutex Mutex;
  double TokensPerSecond;
  double Tokens;
  TimePoint LastRefill{};
};

} // namespace daisylanding::table

#endif
