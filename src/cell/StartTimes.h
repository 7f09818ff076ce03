#ifndef DAISYLANDING_CELL_STARTTIMES_H
#define DAISYLANDING_CELL_STARTTIMES_H

#include "cell/LiveJob.h"

/// Times of the steps that lead to a task's start. They tell apart a wait for
/// free capacity, for the policy service and for the store.
namespace daisylanding::cell {

/// How long ago each step was, in ms; -1 if it didn't happen.
struct StartTimes {
  int64_t EndedMs = -1; ///< The last run ended.
  /// The policy service was first asked about this executor for the step.
  int64_t AskedMs = -1;
  int64_t AdvisedMs = -1;  ///< It first answered.
  int64_t PlacedMs = -1;   ///< Capacity was reserved.
  int64_t TicketedMs = -1; ///< The ticket was valid; the commit remained.
  int64_t SentMs = -1;     ///< The start was sent.
  /// How much longer the ticket is valid; negative once it has expired.
  int64_t TicketLeftMs = 0;
};

StartTimes startTimesOf(const LiveStep &Step, const LiveTask &Task,
                        TimePoint Now);

} // namespace daisylanding::cell

#endif
