#include "cell/StartTimes.h"

namespace daisylanding::cell {

StartTimes startTimesOf(const LiveStep &Step, const LiveTask &Task,
                        TimePoint Now) {
  StartTimes Times{.EndedMs = millisSince(Task.LastRunEndedAt, Now),
                   .PlacedMs = millisSince(Task.PlacedAt, Now),
                   .TicketedMs = millisSince(Task.TicketedAt, Now),
                   .SentMs = millisSince(Task.StartSentAt, Now)};
  auto Found = Step.Permissions.find(Task.Executor);
  if (Found == Step.Permissions.end())
    return Times;
  Times.AskedMs = millisSince(Found->second.AskedAt, Now);
  Times.AdvisedMs = millisSince(Found->second.AdvisedAt, Now);
  Times.TicketLeftMs = toMillis(Found->second.ValidUntil - Now);
  return Times;
}

} // namespace daisylanding::cell
