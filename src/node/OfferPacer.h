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

  /// Whether all are served best by the owner's commit alone: each write
  /// beside it makes it wait on a store that serves few transactions a second.
  static bool onlyByOwner(double ReadMs) { return ReadMs > SlowReadMs; }

  /// How long to wait for the owner's word; \p Left is the caller's time.
  Millis patience(Millis Left, double ReadMs) const {
    if (onlyByOwner(ReadMs))
      return std::max(Left, Least);
    Millis Usual(static_cast<int64_t>(OfferReads * ReadMs));
    return std::clamp(std::max(Usual, timeout()), Least,
                      std::max(Least, Left / 2));
  }

  /// Whether a write of one's own can still be answered in time.
  static bool mayWrite(Millis Left, double ReadMs) {
    return toMillis(Left) > static_cast<int64_t>(WriteReads * ReadMs);
  }

  void answered(Micros Took) { learn(toSeconds(Took) * 1e3); }

  void failed(TimePoint Now) {
    // It may be slow rather than gone; the next wait is longer.
    learn(2 * static_cast<double>(timeout().count()) / Factor);
    RestUntil = Now + Rest;
  }

private:
  void learn(double Ms) { UsualMs += Weight * (Ms - UsualMs); }

  /// A store whose reads take longer serves few transactions a second.
  static constexpr double SlowReadMs = 50;
  /// An owner may take so many times a read's time to store a job.
  static constexpr double OfferReads = 20;
  /// A write takes about so many times what a read takes.
  static constexpr double WriteReads = 2.5;
  static constexpr Millis Least{1};
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
