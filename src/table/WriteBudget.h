#ifndef DAISYLANDING_TABLE_WRITEBUDGET_H
#define DAISYLANDING_TABLE_WRITEBUDGET_H

#include "common/Time.h"

#include <algorithm>
#include <mutex>

namespace daisylanding::table {

/// Who writes: heartbeats must not fail because bulk writes used the budget,
/// or a busy entry would look dead.
enum class WritePriority : uint8_t { Bulk, Heartbeat };

/// A process's share of the table's writes a second, as a token bucket that
/// holds one second's worth.
class WriteBudget {
public:
  explicit WriteBudget(double WritesPerSecond)
      : TokensPerSecond(WritesPerSecond), Tokens(WritesPerSecond) {}

  /// Takes one write; false when the share is used up. A heartbeat may
  /// overdraw, which bulk writes then pay back.
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

  /// The part of the bucket that is filled, from 0 to 1.
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
