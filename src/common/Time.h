#ifndef DAISYLANDING_COMMON_TIME_H
#define DAISYLANDING_COMMON_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace daisylanding {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// A monotonic clock that goes on while the instance is suspended, unlike
/// std::chrono::steady_clock: others may have taken over meanwhile. Not a
/// complete standard clock, so that waits on other clocks don't take its times.
struct BootClock {
  using duration = Micros;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;

  static time_point now() noexcept {
    timespec Time{};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return time_point(std::chrono::duration_cast<Micros>(
        std::chrono::seconds(Time.tv_sec) +
        std::chrono::nanoseconds(Time.tv_nsec)));
  }
};

/// Monotonic time of this process; not comparable across processes.
using TimePoint = BootClock::time_point;

/// Reads the monotonic clock. Only thread loops call this; the decision logic
/// takes `Now` as a parameter.
inline TimePoint monotonicNow() { return BootClock::now(); }

/// Wall-clock time in microseconds since 1970, for logs and the timeline.
inline int64_t wallMicros() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Micros>(SinceEpoch).count();
}

inline int64_t toMillis(Micros Duration) {
  return std::chrono::duration_cast<Millis>(Duration).count();
}

/// For logs; -1 if \p Past was never set.
inline int64_t millisSince(TimePoint Past, TimePoint Now) {
  return Past == TimePoint{} ? -1 : toMillis(Now - Past);
}

inline double toSeconds(Micros Duration) {
  return std::chrono::duration<double>(Duration).count();
}

} // namespace daisylanding

#endif
