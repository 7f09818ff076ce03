#ifndef DAISYLANDING_WORKER_PROTOCOL_H
#define DAISYLANDING_WORKER_PROTOCOL_H

#include "common/Error.h"
#include "common/Time.h"
#include "table/InstanceList.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// What workers and the shard owner tell each other: one exchange, repeated
/// until the worker's report shows what was wanted. Every part is idempotent.
namespace daisylanding::worker {

/// Names one attempt at one task; no two attempts share it.
struct AttemptId {
  std::string Job;
  uint32_t Index = 0;
  uint32_t Attempt = 0;

  bool operator==(const AttemptId &) const = default;
  // NOLINTNEXTLINE(readability-identifier-naming): found in the library.
  auto operator<=>(const AttemptId &) const = default;
};

struct StartCommand {
  AttemptId Id;
  table::Resources Size;
  Millis RunTime{0};   ///< As declared; 0 for services.
  bool Leased = false; ///< Stops when its lease lapses.
  std::string Payload;
};

struct StopCommand {
  AttemptId Id;
  bool TakeCheckpoint = false;
};

/// A worker refuses (409) a sync whose epoch is below the highest it has seen
/// for the shard, so a replaced owner can start or stop nothing, and one whose
/// sequence is not above the last of its epoch, so a delayed duplicate can't
/// start an attempt that has ended and was forgotten.
struct SyncRequest {
  std::string Shard;
  uint64_t Epoch = 0;
  uint64_t Sequence = 0;
  /// The boot that this is meant for; a worker of another boot only reports.
  std::string Boot;
  /// Until when leased tasks may run, on the worker's own monotonic clock as
  /// its reports give it; 0 renews nothing. Being absolute, a renewal that
  /// waited in a paused worker's socket extends nothing when it is read.
  int64_t LeaseEndMs = 0;
  std::vector<StartCommand> Starts;
  std::vector<StopCommand> Stops;
  std::vector<AttemptId> Acknowledged; ///< Ended attempts to forget.
  uint32_t ThrottlePercent = 100;      ///< Speed of tasks, for overload.
};

enum class AttemptResult : uint8_t { Succeeded, Failed, Stopped, Expired };

struct RunningReport {
  AttemptId Id;
  table::Resources Usage;
};

struct EndedReport {
  AttemptId Id;
  AttemptResult Result = AttemptResult::Failed;
  table::Resources PeakUsage;
  Millis RunTime{0};
};

struct SyncReport {
  std::string Boot;    ///< Changes when the worker lost what it ran.
  int64_t ClockMs = 0; ///< The worker's monotonic clock at this report.
  uint64_t Epoch = 0;
  std::vector<RunningReport> Running;
  std::vector<EndedReport> Ended;
};

std::string toText(const SyncRequest &Request);
std::string toText(const SyncReport &Report);
Result<SyncRequest> syncRequestFromText(std::string_view Text);
Result<SyncReport> syncReportFromText(std::string_view Text);

std::string_view resultName(AttemptResult Outcome);

} // namespace daisylanding::worker

#endif
