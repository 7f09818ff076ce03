#include "policy/OutlierDetector.h"

#include <algorithm>

namespace daisylanding::policy {

namespace {

/// A probe whose result never arrives is repeated after this time.
constexpr Millis ProbePatience{10'000};

constexpr uint32_t MaxDoublings = 10;

} // namespace

void OutlierDetector::reset(size_t Member) {
  if (States[Member].Ejected)
    --Ejected;
  States[Member] = State();
}

void OutlierDetector::succeeded(size_t Member) {
  State &Each = States[Member];
  Each.FailuresInRow = 0;
  if (!Each.Ejected) {
    Each.Ejections = 0;
    return;
  }
  Each.Ejected = false;
  Each.Probing = false;
  --Ejected;
}

Micros OutlierDetector::ejectionTime(const State &Each) const {
  uint32_t Doublings = std::min(Each.Ejections, MaxDoublings);
  return std::min<Micros>(Options.BaseEjection * (1U << Doublings),
                          Options.MaxEjection);
}

void OutlierDetector::eject(State &Each, TimePoint Now) {
  Each.Until = Now + ejectionTime(Each);
  Each.Probing = false;
  ++Each.Ejections;
}

void OutlierDetector::failed(size_t Member, TimePoint Now) {
  State &Each = States[Member];
  ++Each.FailuresInRow;
  if (Each.Ejected) {
    if (Each.Probing)
      eject(Each, Now);
    return;
  }
  if (Each.FailuresInRow < Options.FailuresToEject)
    return;
  double Allowed = static_cast<double>(States.size()) * Options.MaxEjectedShare;
  if (static_cast<double>(Ejected + 1) > Allowed)
    return;
  Each.Ejected = true;
  ++Ejected;
  eject(Each, Now);
}

bool OutlierDetector::available(size_t Member, TimePoint Now) const {
  const State &Each = States[Member];
  return !Each.Ejected || Now >= Each.Until;
}

void OutlierDetector::used(size_t Member, TimePoint Now) {
  State &Each = States[Member];
  if (!Each.Ejected)
    return;
  Each.Probing = true;
  Each.Until = Now + ProbePatience;
}

} // namespace daisylanding::policy
