#include "node/IntakeLoop.h"

#include "common/Log.h"

#include <fmt/format.h>

/// Callers who ask how many jobs of a queue are pending. Jobs keep their
/// service when their queue is moved, so that the services which may hold some
/// are added up.
namespace daisylanding::node {

bool IntakeLoop::mayHoldJobsOf(const PendingRequest &Request,
                               const std::string &Service) const {
  return Service == Request.Queue->Service ||
         checkOf(Request, Service) != PlaceCheck::None;
}

/// The jobs of the queue that the service's owner has counted; none if its
/// count can't be told.
std::optional<uint64_t> IntakeLoop::countPending(const std::string &Queue,
                                                 const std::string &Service,
                                                 TimePoint Now) {
  auto Reading = Context.Pending.of(Service);
  int64_t StoreClockMs = Context.StoreHealth.clock(Now).MaxMs;
  auto Gap = findGap(*Reading, StoreClockMs);
  auto Found = Reading->Jobs.ByQueue.find(Queue);
  uint64_t Jobs = Found == Reading->Jobs.ByQueue.end() ? 0 : Found->second;
  std::string_view Name = Gap ? gapName(*Gap) : "none";
  Context.EntryMetrics.count(fmt::format(
      "pending_counts{{service=\"{}\",gap=\"{}\"}}", Service, Name));
  logInfo("pending-counted",
          "queue={} service={} jobs={} gap={} row={} row_epoch={} "
          "counted_by={} as_of_ms_ago={} read_ms_ago={}",
          Queue, Service, Jobs, Name, Reading->RowVersion, Reading->RowEpoch,
          Reading->Jobs.CountedBy, ageOf(*Reading, StoreClockMs).count(),
          toMillis(Now - Reading->SentAt));
  return Gap ? std::nullopt : std::optional(Jobs);
}

void IntakeLoop::answerPending(const RequestPtr &Request) {
  TimePoint Now = monotonicNow();
  uint64_t Total = 0;
  for (const std::string &Service : Request->Partitions) {
    if (!mayHoldJobsOf(*Request, Service))
      continue;
    auto Jobs = countPending(Request->Queue->Name, Service, Now);
    if (!Jobs) {
      refuse(Request, "pending-unknown");
      return;
    }
    Total += *Jobs;
  }
  answer(Request, http::StatusOk, Context.Platform.codec().formatPending(Total),
         "pending");
}

} // namespace daisylanding::node
