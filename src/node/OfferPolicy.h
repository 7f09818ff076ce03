#ifndef DAISYLANDING_NODE_OFFERPOLICY_H
#define DAISYLANDING_NODE_OFFERPOLICY_H

#include "common/Time.h"

#include <algorithm>

namespace daisylanding::node {

/// How long to wait for an owner to store a job before storing it oneself.
/// Pure; answers owners that vanish with jobs on their way, and stores that
/// turn slow for everyone.
class OfferPolicy {
public:
  /// After a failure the next jobs are stored directly for a while.
  bool mayOffer(TimePoint Now) const { return Now >= NextOfferAt; }

  /// A multiple of what offers took of late.
  Millis adaptiveTimeout() const {
    return Millis(static_cast<int64_t>(
        std::clamp(TimeoutFactor * AverageMs, MinAdaptiveMs, MaxAdaptiveMs)));
  }

  /// Whether all are served best by the owner's commit alone: each write
  /// beside it makes it wait on a store that serves few transactions a second.
  static bool isStoreSlow(double ReadMs) { return ReadMs > SlowReadMs; }

  /// How long to wait for the owner's word; \p Left is the caller's time.
  Millis offerTimeout(Millis TimeLeft, double ReadMs) const {
    if (isStoreSlow(ReadMs))
      return std::max(TimeLeft, MinTimeout);
    Millis ExpectedTime(static_cast<int64_t>(ReadsPerOffer * ReadMs));
    return std::clamp(std::max(ExpectedTime, adaptiveTimeout()), MinTimeout,
                      std::max(MinTimeout, TimeLeft / 2));
  }

  /// Whether a write of one's own can still be answered in time.
  static bool canWriteInTime(Millis TimeLeft, double ReadMs) {
    return toMillis(TimeLeft) > static_cast<int64_t>(ReadsPerWrite * ReadMs);
  }

  void recordAnswer(Micros Duration) {
    updateAverage(toSeconds(Duration) * 1e3);
  }

  void recordFailure(TimePoint Now) {
    // It may be slow rather than gone; the next wait is longer.
    updateAverage(2 * static_cast<double>(adaptiveTimeout().count()) /
                  TimeoutFactor);
    NextOfferAt = Now + FailurePause;
  }

private:
  void updateAverage(double SampleMs) {
    AverageMs += SmoothingFactor * (SampleMs - AverageMs);
  }

  /// A store whose reads take longer serves few transactions a second.
  static constexpr double SlowReadMs = 50;
  /// An owner may take so many times a read's time to store a job.
  static constexpr double ReadsPerOffer = 20;
  /// A write takes about so many times what a read takes.
  static constexpr double ReadsPerWrite = 2.5;
  static constexpr Millis MinTimeout{1};
  static constexpr double TimeoutFactor = 5;
  static constexpr double SmoothingFactor = 0.3;
  static constexpr double MinAdaptiveMs = 600;
  static constexpr double MaxAdaptiveMs = 1'500;
  static constexpr Millis FailurePause{400};

  double AverageMs = 25;
  TimePoint NextOfferAt{};
};

} // namespace daisylanding::node

#endif
