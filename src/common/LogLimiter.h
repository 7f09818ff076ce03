#ifndef DAISYLANDING_COMMON_LOGLIMITER_H
#define DAISYLANDING_COMMON_LOGLIMITER_H

#include "common/Time.h"

#include <cstdint>

namespace daisylanding {

/// Limits a log to a number of lines per second and counts dropped lines. Not
/// thread-safe.
class LogLimiter {
public:
  explicit LogLimiter(uint64_t LinesPerSecond) : MaxLines(LinesPerSecond) {}

  /// Whether a line may be written now. \p Dropped is set to the number of
  /// lines dropped earlier if it should be reported first, else to 0.
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
  void setMaxLines(uint64_t LinesPerSecond) { MaxLines = LinesPerSecond; }
  /// Counts an admitted line that could not be written.
  void recordDropped() { ++DroppedLines; }

private:
  uint64_t MaxLines;
  uint64_t LinesInWindow = 0;
  uint64_t DroppedLines = 0;
  TimePoint WindowStart{};
};

} // namespace daisylanding

#endif
