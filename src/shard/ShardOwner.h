#ifndef DAISYLANDING_SHARD_SHARDOWNER_H
#define DAISYLANDING_SHARD_SHARDOWNER_H

#include "policy/OutlierDetector.h"
#include "shard/Scheduler.h"

#include <optional>

namespace daisylanding::shard {

struct ShardOwnerOptions {
  std::string Id;
  std::string Incarnation; ///< Of the owning process.
  uint64_t Epoch = 0;
  Millis SyncInterval{1'000};
  Millis Lease{6'000};
  Millis LeaseMargin{2'000};
  size_t MaxStartsPerGroup = 512;
  uint64_t Seed = 1;
  TimePoint TakenAt{}; ///< When the ownership was taken, or later.
};

/// A command in the shard's inbox, put there by whoever took an operator's
/// call: a job to accept, or a job to stop.
struct InboxItem {
  std::string Key;
  uint64_t Version = 0;
  std::optional<JobAccepted> Accept;
  std::string Stop; ///< The job to stop, when nothing is to be accepted.
};

/// The record by which a command takes effect.
Record recordOf(const InboxItem &Item);

/// A job that goes to another zone's shard.
struct JobMove {
  JobAccepted Job;
  std::string Target;
};

/// A group of records to be written under the next sequence number.
struct JournalGroup {
  uint64_t Sequence = 0;
  JournalRow Row;
  std::vector<InboxItem> Consumed; ///< Deleted in the same transaction.
  std::vector<JobEnded> Ended;     ///< Their job rows are closed with it.
  std::vector<JobMove> Moves;      ///< Put into other shards' inboxes with it.
};

/// One exchange with one worker.
struct WorkerCall {
  uint32_t Instance = 0;
  std::string Address;
  worker::SyncRequest Request;
};

/// What a job looks like to operators.
struct JobStatus {
  config::JobSpec Spec;
  uint32_t Pending = 0;
  uint32_t Running = 0;
  uint32_t Succeeded = 0;
  uint32_t Failures = 0;
  bool Stopping = false;
};

/// A start that was written, for the time line and the waiting-time metric.
struct StartNotice {
  AttemptId Id;
  std::string Instance;
  std::string Class;
  Micros Waited{0};
};

/// The owner's side of one shard, without I/O: what the loops around it read
/// from the table and hear from workers goes in with the present time; what is
/// to be written and said to workers comes out. Nothing is said to a worker
/// before the record of it is known to be written.
class ShardOwner {
public:
  explicit ShardOwner(ShardOwnerOptions Options);

  /// Rebuilds the state from the snapshot and the journal after it.
  std::error_code load(std::string_view Snapshot,
                       std::span<const JournalRow> Rows, uint64_t LastSequence,
                       TimePoint Now);

  /// The shard's part of the instance list and the configuration in force.
  void applyView(std::span<const table::Instance> Listed, uint64_t ListVersion,
                 std::shared_ptr<const config::ClusterConfig> Config,
                 TimePoint Now);
  /// How long leases may be renewed: the ownership was confirmed at \p At.
  void confirmOwnership(TimePoint At) { Confirmed = At; }
  void onInbox(std::span<const InboxItem> Items);

  /// The next group to write, unless one is being written or there is none.
  std::optional<JournalGroup> nextGroup(TimePoint Now);
  /// The group that `nextGroup` gave is written.
  void onWritten(TimePoint Now);

  std::vector<WorkerCall> dueSyncs(TimePoint Now);
  void onSynced(uint32_t Instance, const Result<worker::SyncReport> &Report,
                TimePoint Now);

  std::optional<JobStatus> status(std::string_view JobId) const;
  std::vector<StartNotice> takeNotices() { return std::move(Notices); }
  std::string snapshotText() const;
  bool writing() const { return InFlight.has_value(); }
  /// Whether everything applied is written.
  bool settled() const { return !InFlight && Queue.empty(); }
  const std::string &id() const { return Options.Id; }
  size_t ejectedWorkers() const { return Health.ejectedCount(); }

  ShardState State;
  Scheduler Decisions{State};

private:
  /// What the owner knows of one worker.
  struct Link {
    bool InFlight = false;
    bool Dirty = true; ///< Something is to be said before the interval ends.
    TimePoint NextSync{};
    uint32_t SilentSyncs = 0;
    uint32_t ThrottlePercent = 100;
    std::string Boot; ///< Empty before the first report.
    /// The worker's clock less this owner's, at the latest possible moment
    /// of the report; a lease converted with it ends early, never late.
    int64_t ClockOffsetMs = 0;
    /// The end, on this owner's clock, of the longest lease ever sent.
    TimePoint LeaseUntil{};
    std::vector<AttemptId> Acknowledge; ///< Their ends are written.
    std::vector<AttemptId> Orphans;     ///< Running there, but not recorded.
    std::vector<AttemptId> Told;        ///< In the sync that is under way.
  };

  void record(Record Each, TimePoint Now);
  void recordLosses(TimePoint Now);
  void recordLapses(TimePoint Now);
  void renewLease(Link &To, worker::SyncRequest &Request, TimePoint Now);
  void recordEndings(TimePoint Now);
  void planStarts(TimePoint Now);
  TimePoint nextSync(uint32_t Index, TimePoint Now) const;
  worker::SyncRequest buildSync(uint32_t Index, TimePoint Now);
  void onReport(uint32_t Index, const worker::SyncReport &Report,
                TimePoint Now);
  void onEndedReport(uint32_t Index, const worker::EndedReport &Each,
                     TimePoint Now);
  void onRunningReport(uint32_t Index, const worker::RunningReport &Each);
  void relieve(uint32_t Index, const worker::SyncReport &Report);
  void recordMissing(uint32_t Index, const worker::SyncReport &Report,
                     bool Rebooted, TimePoint Now);
  void noteHealth(uint32_t Index, EndReason Reason, Millis Ran, TimePoint Now);
  void refreshUsable(TimePoint Now);
  bool silent(const Link &Each) const;
  bool mayDeclareLoss() const { return ListVersion >= JournalListVersion; }

  ShardOwnerOptions Options;
  std::shared_ptr<const config::ClusterConfig> Config;
  uint64_t ListVersion = 0;
  uint64_t JournalListVersion = 0; ///< The newest list the journal relied on.
  uint64_t Sequence = 0;
  uint64_t SyncSequence = 0;
  TimePoint Confirmed{};
  TimePoint NextAdjust{};
  std::vector<Record> Queue; ///< Applied, not yet written.
  std::optional<JournalGroup> InFlight;
  std::vector<InboxItem> QueuedInbox;
  std::set<std::string> InboxSeen; ///< Keys handled but not yet deleted.
  std::vector<Link> Links;         ///< Indexes match the instances'.
  policy::OutlierDetector Health;
  std::vector<StartNotice> Notices;
};

} // namespace daisylanding::shard

#endif
