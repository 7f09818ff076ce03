#ifndef DAISYLANDING_NODE_TURNPACER_H
#define DAISYLANDING_NODE_TURNPACER_H

#include "common/Time.h"

#include <algorithm>

/// Spaces the turns of an owner, each of which looks at all its jobs and
/// executors. Handles many answers a second on a slow processor: a turn after
/// each one would leave no time to read the others, and answers that are read
/// late count as lost. No I/O.
namespace daisylanding::node {

class TurnPacer {
public:
  bool isDue(TimePoint Now) const { return Now >= NextTurnAt; }
  /// Until the next turn is due.
  Micros timeLeft(TimePoint Now) const {
    return std::max(Micros(0), Micros(NextTurnAt - Now));
  }
  /// \p HasWorkLeft: the turn ended at a limit; the next one is due at once.
  void recordTurn(TimePoint BeganAt, TimePoint EndedAt, bool HasWorkLeft) {
    if (HasWorkLeft) {
      NextTurnAt = EndedAt;
      return;
    }
    Micros Pause = PausePerTurnTime * Micros(EndedAt - BeganAt);
    Pause = std::clamp(Pause, Micros(MinPause), Micros(MaxPause));
    NextTurnAt = EndedAt + Pause;
  }

private:
  /// Leaves three quarters of the time to the answers.
  static constexpr int64_t PausePerTurnTime = 3;
  /// Answers that arrive together are seen by one turn.
  static constexpr Millis MinPause{2};
  /// Leases and the owner's row must be renewed in time on any processor.
  static constexpr Millis MaxPause{60};

  TimePoint NextTurnAt{};
};

} // namespace daisylanding::node

#endif
