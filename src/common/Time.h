#ifndef DAISYLANDING_COMMON_TIME_H
#define DAISYLANDING_COMMON_TIME_H

#include <chrono>
#include <cstdint>

namespace daisylanding {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// Monotonic time of this process; not comparable across processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Micros>;

/// Reads the monotonic clock. Only thread loops call this; the decision logic
/// takes `Now` as a parameter.
inline TimePoint monotonicNow() {
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

/// Wall-clock time in microseconds since 1970, for logs and the timeline.
inline int64_t wallMicros() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Micros>(SinceEpoch).count();
}

inline int64_t toMillis(Micros Duration) {
  return std::chrono::duration_cast<Millis>(Duration).count();
}

inline double toSeconds(Micros Duration) {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace daisylanding

#endif
