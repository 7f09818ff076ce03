#ifndef DAISYLANDING_NODE_OWNERREADS_H
#define DAISYLANDING_NODE_OWNERREADS_H

#include "common/Time.h"

#include <algorithm>
#include <set>

namespace daisylanding::node {

/// When to read an owner row, which also shows whether the store answers and
/// how fast. A read without an answer is followed by copies, so that a store
/// that was silent is used again at once. No I/O.
class OwnerReads {
public:
  /// \p AverageReadMs is the store's read latency, without open reads.
  bool isDue(TimePoint Now, double AverageReadMs) const {
    if (SentTimes.empty())
      return Now >= NextReadAt;
    Millis CopyDelay(static_cast<int64_t>(CopyReadFactor * AverageReadMs));
    return Now >= *SentTimes.rbegin() + std::max(MinCopyDelay, CopyDelay);
  }

  /// Age of the oldest read that may be slow; 0 if there is none. Reads sent
  /// before one that was answered got lost in a silence.
  Micros oldestAge(TimePoint Now) const {
    auto Oldest = SentTimes.upper_bound(NewestAnswered);
    return Oldest == SentTimes.end() ? Micros(0) : Micros(Now - *Oldest);
  }

  void recordSent(TimePoint Now) { SentTimes.insert(Now); }

  /// Records the end of the read that was sent at \p SentAt. Returns whether it
  /// is newer than all reads that were answered before.
  bool recordEnd(TimePoint SentAt, bool IsAnswered, TimePoint Now) {
    auto Found = SentTimes.find(SentAt);
    if (Found != SentTimes.end())
      SentTimes.erase(Found);
    NextReadAt = Now + Interval;
    bool IsNewest = SentAt > NewestAnswered;
    if (IsAnswered && IsNewest)
      NewestAnswered = SentAt;
    return IsNewest;
  }

  /// Whether a read that was sent before \p SentAt has no answer yet.
  bool hasOlder(TimePoint SentAt) const {
    return !SentTimes.empty() && *SentTimes.begin() < SentAt;
  }

  void readAtOnce() { NextReadAt = {}; }

private:
  static constexpr Millis Interval{300};
  static constexpr Millis MinCopyDelay{250};
  /// So that a store that is only slow gets few copies.
  static constexpr double CopyReadFactor = 10;

  std::multiset<TimePoint> SentTimes; ///< Of the reads without an answer.
  TimePoint NewestAnswered{};         ///< When it was sent.
  TimePoint NextReadAt{};
};

} // namespace daisylanding::node

#endif
