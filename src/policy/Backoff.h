#ifndef DAISYLANDING_POLICY_BACKOFF_H
#define DAISYLANDING_POLICY_BACKOFF_H

#include "common/Random.h"
#include "common/Time.h"

#include <algorithm>
#include <cmath>

namespace daisylanding::policy {

/// When a refused caller should come back: after the expected wait, spread
/// over as much time again so that the refused don't return as one wave.
/// Whole seconds, at least one.
inline int64_t retryAfterSeconds(Micros ExpectedWait, Random &Generator) {
  constexpr double MaxSeconds = 60;
  double ExpectedSeconds = std::clamp(toSeconds(ExpectedWait), 1.0, MaxSeconds);
  return std::llround(ExpectedSeconds + ExpectedSeconds * Generator.unit());
}

/// Exponential back-off with full jitter on its upper half.
inline Micros backoffDelay(uint32_t Failures, Millis BaseDelay, Millis MaxDelay,
                           Random &Generator) {
  constexpr uint32_t MaxDoublings = 16;
  uint32_t Doublings = std::min(Failures > 0 ? Failures - 1 : 0, MaxDoublings);
  Micros FullDelay = std::min<Micros>(BaseDelay * (1U << Doublings), MaxDelay);
  double JitterFactor = 0.5 + 0.5 * Generator.unit();
  return Micros(static_cast<int64_t>(static_cast<double>(FullDelay.count()) *
                                     JitterFactor));
}

} // namespace daisylanding::policy

#endif
