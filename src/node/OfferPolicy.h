#ifndef DAISYLANDING_NODE_OFFERPOLICY_H
#define DAISYLANDING_NODE_OFFERPOLICY_H

#include "common/Time.h"

#include <algorithm>

namespace daisylanding::node {

/// Decides whether an entry offers a job to its service's owner, and how long
/// it waits before it stores the job itself. Copes with owners that fail while
/// offers are in flight, and with a store that becomes slow. No I/O.
class OfferPolicy {
public:
  /// False for a short time after a failure; jobs are then stored directly.
  bool mayOffer(TimePoint Now) const { return Now >= NextOfferAt; }

  /// A multiple of the average time of recent offers, within bounds.
  Millis adaptiveTimeout() const {
    return Millis(static_cast<int64_t>(
        std::clamp(TimeoutFactor * AverageMs, MinAdaptiveMs, MaxAdaptiveMs)));
  }

  /// Whether the store is so slow that jobs should be stored by the owner's
  /// commits alone: it then serves few transactions a second, and every other
  /// write delays those commits.
  static bool isStoreSlow(double ReadMs) { return ReadMs > SlowReadMs; }

  /// How long to wait for the owner's answer; \p TimeLeft is the caller's.
  Millis offerTimeout(Millis TimeLeft, double ReadMs) const {
    if (isStoreSlow(ReadMs))
      return std::max(TimeLeft, MinTimeout);
    Millis ExpectedTime(static_cast<int64_t>(ReadsPerOffer * ReadMs));
    return std::clamp(std::max(ExpectedTime, adaptiveTimeout()), MinTimeout,
                      std::max(MinTimeout, TimeLeft / 2));
  }

  /// Whether a write by this entry can still be answered in time.
  static bool canWriteInTime(Millis TimeLeft, double ReadMs) {
    return toMillis(TimeLeft) > static_cast<int64_t>(ReadsPerWrite * ReadMs);
  }

  void recordAnswer(Micros Duration) {
    updateAverage(toSeconds(Duration) * 1e3);
  }

  void recordFailure(TimePoint Now) {
    // The owner may be slow rather than dead, so the next timeout is longer.
    updateAverage(2 * static_cast<double>(adaptiveTimeout().count()) /
                  TimeoutFactor);
    NextOfferAt = Now + FailurePause;
  }

private:
  void updateAverage(double SampleMs) {
    AverageMs += SmoothingFactor * (SampleMs - AverageMs);
  }

  /// A store with slower reads serves few transactions a second.
  static constexpr double SlowReadMs = 50;
  /// Time an owner may take to store a job, in multiples of the read time.
  static constexpr double ReadsPerOffer = 20;
  /// Typical time of a write, in multiples of the read time.
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
