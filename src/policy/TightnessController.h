#ifndef DAISYLANDING_POLICY_TIGHTNESSCONTROLLER_H
#define DAISYLANDING_POLICY_TIGHTNESSCONTROLLER_H

#include "common/Time.h"

#include <algorithm>

namespace daisylanding::policy {

/// Controls how tightly the tasks of a class are packed. While the waiting
/// target is met, tightness moves towards the packing target; while it is
/// missed, tasks are spread.
class TightnessController {
public:
  /// Records the waiting time of one started task.
  void recordWait(Micros Waited, Micros Target) {
    double Ratio = toSeconds(Waited) / std::max(1e-3, toSeconds(Target));
    constexpr double Weight = 0.05;
    WaitRatio += Weight * (std::min(Ratio, MaxRatio) - WaitRatio);
  }

  /// Adjusts the tightness to the current packing of the shard; called at a
  /// fixed interval.
  void adjust(double Packing, double PackingTarget) {
    constexpr double Step = 0.05;
    constexpr double Hysteresis = 0.05;
    if (WaitRatio > 1)
      Tightness -= Step;
    else if (Packing < PackingTarget)
      Tightness += Step;
    else if (Packing > PackingTarget + Hysteresis)
      Tightness -= Step / 2;
    Tightness = std::clamp(Tightness, 0.0, 1.0);
  }

  double tightness() const { return Tightness; }

private:
  static constexpr double MaxRatio = 10;
  double WaitRatio = 0;
  double Tightness = 0.5;
};

} // namespace daisylanding::policy

#endif
