#ifndef DAISYLANDING_HTTP_POLLROUNDS_H
#define DAISYLANDING_HTTP_POLLROUNDS_H

#include "common/Time.h"

#include <cstddef>

namespace daisylanding::http {

/// How often one poll looks for events: until none are left, but at most as
/// often as it takes to see each socket once. Those that are ready are seen in
/// turn, so that what is read by then includes all that had arrived at the
/// first look, however fast answers start further calls.
class PollRounds {
public:
  static constexpr size_t MaxEventsPerRound = 64;

  explicit PollRounds(size_t Sockets)
      : RoundsLeft((Sockets + MaxEventsPerRound - 1) / MaxEventsPerRound) {}

  /// After a look at \p SeenAt that showed \p Events. Returns whether it was
  /// the last.
  bool isLast(size_t Events, TimePoint SeenAt) {
    if (FirstSeenAt == TimePoint{})
      FirstSeenAt = SeenAt;
    RoundsLeft -= RoundsLeft > 0 ? 1 : 0;
    bool NoneLeft = Events < MaxEventsPerRound;
    ReadUntil = NoneLeft ? SeenAt : FirstSeenAt;
    return NoneLeft || RoundsLeft == 0;
  }

  /// All that had arrived by then has been read; after the last look.
  TimePoint readUntil() const { return ReadUntil; }

private:
  size_t RoundsLeft;
  TimePoint FirstSeenAt{};
  TimePoint ReadUntil{};
};

} // namespace daisylanding::http

#endif
