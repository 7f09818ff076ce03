#ifndef DAISYLANDING_CELL_LEAVINGEXECUTORS_H
#define DAISYLANDING_CELL_LEAVINGEXECUTORS_H

#include "cell/CellConfig.h"
#include "common/Time.h"

#include <algorithm>

/// How long it takes to move a task off an executor that leaves. No I/O.
namespace daisylanding::cell {

/// From a stop order until the run has ended, at most; the protocol's limit.
constexpr Millis MaxStopTime{900};
/// From the end of a stopped run until its next start is recorded: the order's
/// way there and the answer that lists the end.
constexpr Millis EndNoticeTime{100};

/// How long a ticket must still be valid when a run is stopped, so that the
/// next one can be started with it. Where no ticket lasts as long, one that has
/// just been issued must do; it is renewed meanwhile.
constexpr Millis moveTime(const AdviceSettings &Advice) {
  constexpr int64_t FreshTicketPercent = 70; ///< Of its validity.
  return std::min(MaxStopTime + EndNoticeTime,
                  Advice.Validity * FreshTicketPercent / 100);
}

} // namespace daisylanding::cell

#endif
