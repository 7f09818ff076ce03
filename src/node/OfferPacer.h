#ifndef DAISYLANDING_NODE_OFFERPACER_H
#define DAISYLANDING_NODE_OFFERPACER_H

#include "common/Time.h"

#include <algorithm>

namespace daisylanding::node {

/// How long to wait for an owner to store a job before storing it oneself.
/// Pure; answers owners that vanish with jobs on their way, and stores that
/// turn slow for everyone.
class OfferPacer {
public:
  /// After a failure the next jobs are stored directly for a while.
  bool mayOffer(TimePoint Now) const { return Now >= RestUntil; }

  /// A multiple of what offers took of late.
  Millis timeout() const {
    return Millis(static_cast<int64_t>(
        std::clamp(Factor * UsualMs, ShortestMs, LongestMs)));
  }

  void answered(Micros Took) { learn(toSeconds(Took) * 1e3); }

  void failed(TimePoint Now) {
    // It may be slow rather than gone; the next wait is longer.
    learn(2 * static_cast<double>(timeout().count()) / Factor);
    RestUntil = Now + Rest;
  }

private:
  void learn(double Ms) { UsualMs += Weight * (Ms - UsualMs); }

  static constexpr double Factor = 5;
  static constexpr double Weight = 0.3;
  static constexpr double ShortestMs = 600;
  static constexpr double LongestMs = 1'500;
  static constexpr Millis Rest{400};

  double UsualMs = 25;
  TimePoint RestUntil{};
};

} // namespace daisylanding::node

#endif
