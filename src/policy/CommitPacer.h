#ifndef DAISYLANDING_POLICY_COMMITPACER_H
#define DAISYLANDING_POLICY_COMMITPACER_H

#include "common/Time.h"

#include <cstddef>

namespace daisylanding::policy {

struct CommitPacerOptions {
  double WritesPerSecond = 50;
  size_t FullGroup = 256; ///< Items after which waiting gains nothing.
};

/// Decides when a group of pending items is written. While the write budget
/// is plentiful a group goes at once; as it drains the groups are spaced out,
/// at the longest to the budget's own rate, and grow with the load.
class CommitPacer {
public:
  explicit CommitPacer(CommitPacerOptions Options) : Options(Options) {}

  /// How long the group should still wait; zero means write now.
  /// \p BudgetLevel is the filled part of the write budget, 0 to 1.
  Micros delay(size_t Items, double BudgetLevel, TimePoint Now) const {
    if (Items == 0 || Items >= Options.FullGroup)
      return Micros(0);
    constexpr double PlentifulLevel = 0.5;
    if (BudgetLevel >= PlentifulLevel)
      return Micros(0);
    double Scarcity = 1 - BudgetLevel / PlentifulLevel;
    constexpr double MicrosPerSecond = 1e6;
    auto Spacing = Micros(static_cast<int64_t>(Scarcity * MicrosPerSecond /
                                               Options.WritesPerSecond));
    TimePoint Due = LastWrite + Spacing;
    return Due > Now ? Due - Now : Micros(0);
  }

  void wrote(TimePoint Now) { LastWrite = Now; }

private:
  CommitPacerOptions Options;
  TimePoint LastWrite{};
};

} // namespace daisylanding::policy

#endif
