#ifndef DAISYLANDING_COMMON_LOGLIMITER_H
#define DAISYLANDING_COMMON_LOGLIMITER_H

#include "common/Time.h"

#include <cstdint>

namespace daisylanding {

/// Bounds the lines of a log to a number a second and counts what it dropped.
class LogLimiter {
public:
  explicit LogLimiter(uint64_t LinesPerSecond) : Limit(LinesPerSecond) {}

  /// Whether a line may be written now. \p Dropped is set to the lines that
  /// were dropped before, if that is to be told first.
  bool admit(TimePoint Now, uint64_t &Dropped) {
    Dropped = 0;
    if (Now >= Begin + Micros(std::chrono::seconds(1))) {
      Begin = Now;
      Lines = 0;
      Dropped = Lost;
      Lost = 0;
    }
    if (Lines < Limit) {
      ++Lines;
      return true;
    }
    ++Lost;
    return false;
  }
  /// The line that was admitted could not be written.
  void lost() { ++Lost; }

private:
  uint64_t Limit;
  uint64_t Lines = 0;
  uint64_t Lost = 0;
  TimePoint Begin{};
};

} // namespace daisylanding

#endif
