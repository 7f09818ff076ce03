#include "node/IntakeLoop.h"

#include "common/Log.h"

/// Callers who ask how many jobs of a queue are pending. Jobs keep their
/// service when their queue is moved, so that all services are added up.
namespace daisylanding::node {

void IntakeLoop::answerPending(const RequestPtr &Request) {
  TimePoint Now = monotonicNow();
  int64_t StoreClockMs = Context.StoreHealth.clock(Now).MaxMs;
  const std::string &Queue = Request->Queue->Name;
  uint64_t Count = 0;
  for (const std::string &Service : Request->Config->Services) {
    auto Reading = Context.Pending.of(Service);
    auto Found = Reading->Jobs.ByQueue.find(Queue);
    bool HasCount = Found != Reading->Jobs.ByQueue.end();
    if (!HasCount && Service != Request->Queue->Service)
      continue;
    uint64_t Jobs = HasCount ? Found->second : 0;
    Count += Jobs;
    logInfo("pending-counted",
            "queue={} service={} jobs={} row={} row_epoch={} counted_by={} "
            "as_of_ms_ago={} read_ms_ago={}",
            Queue, Service, Jobs, Reading->RowVersion, Reading->RowEpoch,
            Reading->Jobs.CountedBy, StoreClockMs - Reading->Jobs.AsOfMs,
            toMillis(Now - Reading->SentAt));
  }
  answer(Request, http::StatusOk, Context.Platform.codec().formatPending(Count),
         "pending");
}

} // namespace daisylanding::node
