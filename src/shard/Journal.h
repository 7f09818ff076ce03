#ifndef DAISYLANDING_SHARD_JOURNAL_H
#define DAISYLANDING_SHARD_JOURNAL_H

#include "config/JobSpec.h"
#include "worker/Protocol.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The journal of a shard: decisions of its owner, written before they are
/// carried out. An owner that takes the shard over restores the same state from
/// it.
namespace daisylanding::shard {

using worker::AttemptId;

/// How an attempt ended.
enum class EndKind : uint8_t {
  Succeeded,
  Failed,
  Stopped, ///< Stopped by the owner, with its checkpoint.
  /// The instance was removed, the lease expired, or the worker does not know
  /// the attempt.
  Lost,
};

enum class JobOutcome : uint8_t { Succeeded, Failed, Stopped };

struct JobAccepted {
  config::JobSpec Spec;
  int64_t WallMicros = 0;
  /// For a job moved from another zone: its tasks that had succeeded, and the
  /// highest attempt number used by any of its tasks.
  std::vector<uint32_t> SucceededTasks;
  uint32_t AttemptBase = 0;
};

struct TaskStarted {
  AttemptId Id;
  std::string Instance;
  table::Resources Size; ///< Reserved on the instance.
  bool Leased = false;   ///< The worker stops the task when its lease expires.
};

struct TaskEnded {
  AttemptId Id;
  EndKind Kind = EndKind::Lost;
  table::Resources Peak;
  Millis RunTime{0};
};

/// An operator requested that the job stop.
struct JobStopped {
  std::string Job;
};

/// No task of the job runs or will run again.
struct JobEnded {
  std::string Job;
  JobOutcome Outcome = JobOutcome::Succeeded;
};

/// The job continues in a shard of another zone; none of its tasks runs here.
struct JobMoved {
  std::string Job;
};

using Record = std::variant<JobAccepted, TaskStarted, TaskEnded, JobStopped,
                            JobEnded, JobMoved>;

/// One journal row: a group of records and a token that identifies the write.
struct JournalRow {
  std::string Token;
  /// Version of the instance list used by the writer. A reader with an older
  /// list can't tell a removed instance from one that its list does not have
  /// yet.
  uint64_t ListVersion = 0;
  std::vector<Record> Records;
};

std::string journalRowToText(const JournalRow &Row);
Result<JournalRow> journalRowFromText(std::string_view Text);

std::string_view outcomeName(JobOutcome Outcome);
std::string_view endKindName(EndKind Kind);

} // namespace daisylanding::shard

#endif
