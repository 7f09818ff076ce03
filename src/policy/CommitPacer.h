#ifndef DAISYLANDING_POLICY_COMMITPACER_H
#define DAISYLANDING_POLICY_COMMITPACER_H

#include "common/Time.h"

#include <cstddef>

namespace daisylanding::policy {

struct CommitPacerOptions {
  double WritesPerSecond = 50;
  size_t FullGroupItems = 256; ///< Items after which waiting gains nothing.
};

/// Decides when a group of pending items is written. While the write budget
/// is plentiful a group goes at once; as it drains the groups are spaced out,
/// at the longest to the budget's own rate, and grow with the load.
class CommitPacer {
public:
  explicit CommitPacer(CommitPacerOptions Options) : Options(Options) {}

  /// How long the group should still wait; zero means write now.
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
