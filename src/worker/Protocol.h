#ifndef DAISYLANDING_WORKER_PROTOCOL_H
#define DAISYLANDING_WORKER_PROTOCOL_H

#include "common/Error.h"
#include "common/Time.h"
#include "table/InstanceList.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Messages between a shard owner and its workers: one request and report,
/// repeated until the worker's report matches the desired state. Every part is
/// idempotent.
namespace daisylanding::worker {

/// Identifies one attempt at one task, uniquely.
struct AttemptId {
  std::string Job;
  uint32_t Index = 0; ///< Of the task in its job.
  uint32_t Attempt = 0;

  bool operator==(const AttemptId &) const = default;
  // NOLINTNEXTLINE(readability-identifier-naming): set by C++.
  auto operator<=>(const AttemptId &) const = default;
};

struct StartCommand {
  AttemptId Id;
  table::Resources Size;
  Millis RunTime{0};   ///< As declared by the job; 0 for services.
  bool Leased = false; ///< The worker stops it when its lease expires.
  std::string Payload;
};

struct StopCommand {
  AttemptId Id;
  bool TakeCheckpoint = false;
};

/// A worker refuses (409) a sync whose epoch is below the highest seen for the
/// shard, so that a replaced owner cannot start or stop anything, and a sync
/// whose sequence number is not above the last one of its epoch, so that a
/// delayed duplicate cannot restart an attempt that has ended and was
/// discarded.
struct SyncRequest {
  std::string Shard;
  uint64_t Epoch = 0;
  uint64_t Sequence = 0;
  /// The boot that the commands are for; on any other the worker only reports.
  std::string Boot;
  /// End of the leases of leased tasks, on the worker's monotonic clock as
  /// given in its reports; 0 renews nothing. The time is absolute so that a
  /// renewal left in a paused worker's socket extends no lease when it is read
  /// late.
  int64_t LeaseEndMs = 0;
  std::vector<StartCommand> Starts;
  std::vector<StopCommand> Stops;
  std::vector<AttemptId> Acknowledged; ///< Ended attempts to discard.
  uint32_t ThrottlePercent = 100; ///< Speed of tasks; below 100 on overload.
};

enum class AttemptResult : uint8_t { Succeeded, Failed, Stopped, Expired };

/// An attempt in progress.
struct RunningReport {
  AttemptId Id;
  table::Resources Usage;
};

/// An attempt that ended; reported until acknowledged.
struct EndedReport {
  AttemptId Id;
  AttemptResult Result = AttemptResult::Failed;
  table::Resources PeakUsage;
  Millis RunTime{0};
};

struct SyncReport {
  std::string Boot;    ///< Changes when the worker has lost its attempts.
  int64_t ClockMs = 0; ///< The worker's monotonic clock at this report.
  uint64_t Epoch = 0;
  std::vector<RunningReport> Running;
  std::vector<EndedReport> Ended;
};

/// JSON text of the messages. Parsing errors: Malformed.
std::string toText(const SyncRequest &Request);
std::string toText(const SyncReport &Report);
Result<SyncRequest> syncRequestFromText(std::string_view Text);
Result<SyncReport> syncReportFromText(std::string_view Text);

std::string_view resultName(AttemptResult Outcome);

} // namespace daisylanding::worker

#endif
