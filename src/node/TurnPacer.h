#ifndef DAISYLANDING_NODE_TURNPACER_H
#define DAISYLANDING_NODE_TURNPACER_H

#include "common/Time.h"

#include <algorithm>

/// Spaces the turns of an owner, each of which looks at all its jobs and
/// executors. Handles many answers a second on a slow processor: a turn after
/// each one would leave no time to read the others, and answers that are read
/// late count as lost. While nothing changes, turns only serve the owner's
/// timers. No I/O.
namespace daisylanding::node {

class TurnPacer {
public:
  bool isDue(TimePoint Now) const { return Now >= nextTurnAt(); }
  /// Until the next turn is due if nothing changes.
  Micros timeLeft(TimePoint Now) const {
    return std::max(Micros(0), Micros(nextTurnAt() - Now));
  }
  /// There is something to see before the next timers are due.
  void recordChange() { HasChange = true; }
  /// \p HasWorkLeft: the turn ended at a limit; the next one is due at once.
  void recordTurn(TimePoint BeganAt, TimePoint EndedAt, bool HasWorkLeft) {
    Pause = std::clamp(PausePerTurnTime * Micros(EndedAt - BeganAt),
                       Micros(MinPause), Micros(MaxPause));
    restartPause(EndedAt, HasWorkLeft);
  }
  /// A longer turn, spaced by another pacer, has done this one's work too. The
  /// pause is that after the last own turn.
  void restartPause(TimePoint EndedAt, bool HasWorkLeft) {
    HasChange = HasWorkLeft;
    NextTurnAt = HasWorkLeft ? EndedAt : EndedAt + Pause;
    NextIdleTurnAt = std::max(NextTurnAt, EndedAt + MaxIdlePause);
  }

private:
  /// Leaves three quarters of the time to the answers.
  static constexpr int64_t PausePerTurnTime = 3;
  /// Answers that arrive together are seen by one turn.
  static constexpr Millis MinPause{2};
  /// Leases and the owner's row must be renewed in time on any processor.
  static constexpr Millis MaxPause{60};
  /// How late the owner's timers may be while nothing changes.
  static constexpr Millis MaxIdlePause{20};

  TimePoint nextTurnAt() const {
    return HasChange ? NextTurnAt : NextIdleTurnAt;
  }

  Micros Pause{MinPause};
  bool HasChange = false;
  TimePoint NextTurnAt{};     ///< With a change.
  TimePoint NextIdleTurnAt{}; ///< Without one.
};

} // namespace daisylanding::node

#endif
