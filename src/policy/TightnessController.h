#ifndef DAISYLANDING_POLICY_TIGHTNESSCONTROLLER_H
#define DAISYLANDING_POLICY_TIGHTNESSCONTROLLER_H

#include "common/Time.h"

#include <algorithm>

namespace daisylanding::policy {

/// Turns a class's waiting and packing targets into how tightly its tasks are
/// placed. While waiting is met, it moves towards the packing target; while
/// waiting is missed, it spreads.
class TightnessController {
public:
  /// Takes one task's waiting time against its target.
  void recordWait(Micros Waited, Micros Target) {
    double Ratio = toSeconds(Waited) / std::max(1e-3, toSeconds(Target));
    constexpr double Weight = 0.05;
    WaitRatio += Weight * (std::min(Ratio, MaxRatio) - WaitRatio);
  }

  /// Takes the shard's packing now against the class's target; called at a
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
