#include "policy/OutlierDetector.h"

#include <algorithm>

namespace daisylanding::policy {

namespace {

/// A probe without a result is repeated after this time.
constexpr Millis ProbeTimeout{10'000};

constexpr uint32_t MaxDoublings = 10;

} // namespace

void OutlierDetector::reset(size_t Member) {
  if (Members[Member].Ejected)
    --EjectedCount;
  Members[Member] = MemberState();
}

void OutlierDetector::recordSuccess(size_t Member) {
  MemberState &State = Members[Member];
  State.ConsecutiveFailures = 0;
  if (!State.Ejected) {
    State.Ejections = 0;
    return;
  }
  State.Ejected = false;
  State.Probing = false;
  --EjectedCount;
}

Micros OutlierDetector::ejectionTime(const MemberState &State) const {
  uint32_t Doublings = std::min(State.Ejections, MaxDoublings);
  return std::min<Micros>(Options.BaseEjection * (1U << Doublings),
                          Options.MaxEjection);
}

void OutlierDetector::eject(MemberState &State, TimePoint Now) {
  State.RetryAt = Now + ejectionTime(State);
  State.Probing = false;
  ++State.Ejections;
}

void OutlierDetector::recordFailure(size_t Member, TimePoint Now) {
  MemberState &State = Members[Member];
  ++State.ConsecutiveFailures;
  if (State.Ejected) {
    if (State.Probing)
      eject(State, Now);
    return;
  }
  if (State.ConsecutiveFailures < Options.FailuresToEject)
    return;
  double Allowed =
      static_cast<double>(Members.size()) * Options.MaxEjectedShare;
  if (static_cast<double>(EjectedCount + 1) > Allowed)
    return;
  State.Ejected = true;
  ++EjectedCount;
  eject(State, Now);
}

bool OutlierDetector::isAvailable(size_t Member, TimePoint Now) const {
  const MemberState &State = Members[Member];
  return !State.Ejected || Now >= State.RetryAt;
}

void OutlierDetector::recordUse(size_t Member, TimePoint Now) {
  MemberState &State = Members[Member];
  if (!State.Ejected)
    return;
  State.Probing = true;
  State.RetryAt = Now + ProbeTimeout;
}

} // namespace daisylanding::policy
