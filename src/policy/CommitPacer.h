#ifndef DAISYLANDING_POLICY_COMMITPACER_H
#define DAISYLANDING_POLICY_COMMITPACER_H

#include "common/Time.h"

#include <cstddef>

namespace daisylanding::policy {

struct CommitPacerOptions {
  double WritesPerSecond = 50;
  /// Group size from which waiting longer gains nothing.
  size_t FullGroupItems = 256;
};

/// Decides when a group of pending items is written. While at least half of the
/// write budget is left, a group is written at once. Below that, the interval
/// between writes grows up to that of the budget's refill, 1 / WritesPerSecond,
/// and groups grow with the load.
class CommitPacer {
public:
  explicit CommitPacer(CommitPacerOptions Options) : Options(Options) {}

  /// Returns how long the group still has to wait; zero means write now.
  /// \p BudgetLevel is the filled part of the write budget, 0 to 1.
  Micros delay(size_t PendingItems, double BudgetLevel, TimePoint Now) const {
    if (PendingItems == 0 || PendingItems >= Options.FullGroupItems)
      return Micros(0);
    constexpr double UnpacedLevel = 0.5;
    if (BudgetLevel >= UnpacedLevel)
      return Micros(0);
    double Scarcity = 1 - BudgetLevel / UnpacedLevel;
    constexpr double MicrosPerSecond = 1e6;
    auto Spacing = Micros(static_cast<int64_t>(Scarcity * MicrosPerSecond /
                                               Options.WritesPerSecond));
    TimePoint DueAt = LastWriteAt + Spacing;
    return DueAt > Now ? DueAt - Now : Micros(0);
  }

  void noteWrite(TimePoint Now) { LastWriteAt = Now; }

private:
  CommitPacerOptions Options;
  TimePoint LastWriteAt{};
};

} // namespace daisylanding::policy

#endif
