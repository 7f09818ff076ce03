#ifndef DAISYLANDING_COMMON_TIME_H
#define DAISYLANDING_COMMON_TIME_H

#include <chrono>
#include <cstdint>

namespace daisylanding {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// Monotonic time of this process; never compared across processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Micros>;

/// Reads the monotonic clock. Only loops call this; decisions take `Now`.
inline TimePoint monotonicNow() {
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

/// Wall time in microseconds since 1970, for people and the time line.
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
