#ifndef DAISYLANDING_POLICY_BACKOFF_H
#define DAISYLANDING_POLICY_BACKOFF_H

#include "common/Random.h"
#include "common/Time.h"

#include <algorithm>
#include <cmath>

namespace daisylanding::policy {

/// Returns the Retry-After time in whole seconds, 1 to 120, for a refused
/// caller: the expected wait plus a random part of up to the same length, so
/// that refused callers do not all return at once.
inline int64_t retryAfterSeconds(Micros ExpectedWait, Random &Generator) {
  constexpr double MaxSeconds = 60;
  double ExpectedSeconds = std::clamp(toSeconds(ExpectedWait), 1.0, MaxSeconds);
  return std::llround(ExpectedSeconds + ExpectedSeconds * Generator.uniform());
}

/// Returns an exponential back-off with equal jitter: half of the delay is
/// fixed, half random. The delay doubles with each failure, from \p BaseDelay
/// up to \p MaxDelay.
inline Micros backoffDelay(uint32_t Failures, Millis BaseDelay, Millis MaxDelay,
                           Random &Generator) {
  constexpr uint32_t MaxDoublings = 16;
  uint32_t Doublings = std::min(Failures > 0 ? Failures - 1 : 0, MaxDoublings);
  Micros FullDelay = std::min<Micros>(BaseDelay * (1U << Doublings), MaxDelay);
  double JitterFactor = 0.5 + 0.5 * Generator.uniform();
  return Micros(static_cast<int64_t>(static_cast<double>(FullDelay.count()) *
                                     JitterFactor));
}

} // namespace daisylanding::policy

#endif
