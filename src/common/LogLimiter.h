#ifndef DAISYLANDING_COMMON_LOGLIMITER_H
#define DAISYLANDING_COMMON_LOGLIMITER_H

#include "common/Time.h"

#include <cstdint>

namespace daisylanding {

/// Bounds the lines of a log to a number a second and counts what it dropped.
class LogLimiter {
public:
  explicit LogLimiter(uint64_t LinesPerSecond) : MaxLines(LinesPerSecond) {}

  /// Whether a line may be written now. \p Dropped is set to the lines that
  /// were dropped before, if that is to be told first.
  bool admit(TimePoint Now, uint64_t &Dropped) {
    Dropped = 0;
    if (Now >= WindowStart + Micros(std::chrono::seconds(1))) {
      WindowStart = Now;
      LinesInWindow = 0;
      Dropped = DroppedLines;
      DroppedLines = 0;
    }
    if (LinesInWindow < MaxLines) {
      ++LinesInWindow;
      return true;
    }
    ++DroppedLines;
    return false;
  }
  /// The line that was admitted could not be written.
  void recordDropped() { ++DroppedLines; }

private:
  uint64_t MaxLines;
  uint64_t LinesInWindow = 0;
  uint64_t DroppedLines = 0;
  TimePoint WindowStart{};
};

} // namespace daisylanding

#endif
