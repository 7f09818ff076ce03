#include "cell/StartDelay.h"

#include <cmath>

namespace daisylanding::cell {

void StartDelay::record(Micros Taken) {
  constexpr double MeanWeight = 0.125;
  constexpr double DeviationWeight = 0.25;
  double ErrorMs = toSeconds(Taken) * 1e3 - MeanMs;
  MeanMs += MeanWeight * ErrorMs;
  DeviationMs += DeviationWeight * (std::abs(ErrorMs) - DeviationMs);
}

Millis StartDelay::bound() const {
  constexpr double DeviationFactor = 2;
  return Millis(static_cast<int64_t>(MeanMs + DeviationFactor * DeviationMs));
}

} // namespace daisylanding::cell
