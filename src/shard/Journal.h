#ifndef DAISYLANDING_SHARD_JOURNAL_H
#define DAISYLANDING_SHARD_JOURNAL_H

#include "config/JobSpec.h"
#include "worker/Protocol.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// A shard's journal: what its owner decided, written before it is carried
/// out. Whoever takes the shard over reads it and knows the same.
namespace daisylanding::shard {

using worker::AttemptId;

/// Why an attempt is over.
enum class EndKind : uint8_t {
  Succeeded,
  Failed,
  Stopped, ///< Stopped on the owner's request, with its checkpoint.
  Lost,    ///< Its instance is gone, or its lease lapsed.
};

enum class JobOutcome : uint8_t { Succeeded, Failed, Stopped };

struct JobAccepted {
  config::JobSpec Spec;
  int64_t WallMicros = 0;
  /// For a job that moved here: tasks that had succeeded before, and the
  /// highest attempt number used for any of its tasks.
  std::vector<uint32_t> SucceededTasks;
  uint32_t AttemptBase = 0;
};

struct TaskStarted {
  AttemptId Id;
  std::string Instance;
  table::Resources Size; ///< As taken from the instance.
  bool Leased = false;   ///< It stops by itself when its lease lapses.
};

struct TaskEnded {
  AttemptId Id;
  EndKind Kind = EndKind::Lost;
  table::Resources Peak;
  Millis RunTime{0};
};

/// An operator asked for the job to stop.
struct JobStopped {
  std::string Job;
};

/// Nothing of the job runs any more, and nothing will.
struct JobEnded {
  std::string Job;
  JobOutcome Outcome = JobOutcome::Succeeded;
};

/// The job goes on in another zone's shard; nothing of it runs here.
struct JobMoved {
  std::string Job;
};

using Record = std::variant<JobAccepted, TaskStarted, TaskEnded, JobStopped,
                            JobEnded, JobMoved>;

/// One journal row: a group of records and the token of its writer.
struct JournalRow {
  std::string Token;
  /// Of the instance list that its writer saw. A reader with an older list
  /// can't tell an instance that is gone from one that it hasn't seen yet.
  uint64_t ListVersion = 0;
  std::vector<Record> Records;
};

std::string journalRowToText(const JournalRow &Row);
Result<JournalRow> journalRowFromText(std::string_view Text);

std::string_view outcomeName(JobOutcome Outcome);
std::string_view endKindName(EndKind Kind);

} // namespace daisylanding::shard

#endif
