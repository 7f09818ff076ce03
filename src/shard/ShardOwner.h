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
  TimePoint AcquiredAt{}; ///< When the ownership was taken, or later.
};

/// A command in the shard's inbox, put there by whoever took an operator's
/// call: a job to accept, or a job to stop.
struct InboxItem {
  std::string Key;
  uint64_t Version = 0;
  std::optional<JobAccepted> AcceptedJob;
  std::string StoppedJob; ///< The job to stop, when nothing is to be accepted.
};

/// The record by which a command takes effect.
Record toRecord(const InboxItem &Item);

/// A job that goes to another zone's shard.
struct JobMove {
  JobAccepted Job;
  std::string TargetShard;
};

/// A group of records to be written under the next sequence number.
struct JournalGroup {
  uint64_t Sequence = 0;
  JournalRow Row;
  std::vector<InboxItem> ConsumedItems; ///< Deleted in the same transaction.
  std::vector<JobEnded> EndedJobs;      ///< Their job rows are closed with it.
  std::vector<JobMove> MovedJobs; ///< Put into other shards' inboxes with it.
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
  /// How long leases may be renewed: the ownership was confirmed at \p
  /// ConfirmedAt.
  void confirmOwnership(TimePoint ConfirmedAt) {
    OwnershipConfirmedAt = ConfirmedAt;
  }
  void onInbox(std::span<const InboxItem> Items);

  /// The next group to write, unless one is being written or there is none.
  std::optional<JournalGroup> nextGroup(TimePoint Now);
  /// The group that `nextGroup` gave is written.
  void onGroupWritten(TimePoint Now);

  std::vector<WorkerCall> dueSyncs(TimePoint Now);
  void onSyncResult(uint32_t InstanceIndex,
                    const Result<worker::SyncReport> &Report, TimePoint Now);

  std::optional<JobStatus> status(std::string_view JobId) const;
  std::vector<StartNotice> takeStartNotices() {
    return std::move(StartNotices);
  }
  std::string snapshotText() const;
  bool isWriting() const { return GroupInFlight.has_value(); }
  /// Whether everything applied is written.
  bool isFullyWritten() const {
    return !GroupInFlight && UnwrittenRecords.empty();
  }
  const std::string &id() const { return Options.Id; }
  size_t ejectedWorkers() const { return WorkerHealth.ejectedCount(); }

  ShardState State;
  Scheduler TaskScheduler{State};

private:
  /// What the owner knows of one worker.
  struct WorkerLink {
    bool SyncInFlight = false;
    bool SyncRequested =
        true; ///< Something is to be said before the interval ends.
    TimePoint NextSync{};
    uint32_t FailedSyncs = 0;
    uint32_t ThrottlePercent = 100;
    std::string Boot; ///< Empty before the first report.
    /// The worker's clock less this owner's, at the latest possible moment
    /// of the report; a lease converted with it ends early, never late.
    int64_t ClockOffsetMs = 0;
    /// The end, on this owner's clock, of the longest lease ever sent.
    TimePoint LeaseUntil{};
    std::vector<AttemptId> EndsToAcknowledge; ///< Their ends are written.
    std::vector<AttemptId>
        UnrecordedAttempts; ///< Running there, but not recorded.
    std::vector<AttemptId> ExpectedAttempts; ///< In the sync that is under way.
  };

  void record(Record Change, TimePoint Now);
  void recordLostTasks(TimePoint Now);
  void recordExpiredLeases(TimePoint Now);
  void renewLease(WorkerLink &Worker, worker::SyncRequest &Request,
                  TimePoint Now);
  void recordJobEnds(TimePoint Now);
  void planStarts(TimePoint Now);
  TimePoint nextSyncTime(uint32_t InstanceIndex, TimePoint Now) const;
  worker::SyncRequest buildSyncRequest(uint32_t InstanceIndex, TimePoint Now);
  void onReport(uint32_t InstanceIndex, const worker::SyncReport &Report,
                TimePoint Now);
  void onEndedReport(uint32_t InstanceIndex, const worker::EndedReport &Report,
                     TimePoint Now);
  void onRunningReport(uint32_t InstanceIndex,
                       const worker::RunningReport &Report);
  void relieveOverload(uint32_t InstanceIndex,
                       const worker::SyncReport &Report);
  void recordMissingAttempts(uint32_t InstanceIndex,
                             const worker::SyncReport &Report, bool Rebooted,
                             TimePoint Now);
  void recordHealth(uint32_t InstanceIndex, EndKind Kind, Millis RunTime,
                    TimePoint Now);
  void refreshUsable(TimePoint Now);
  bool isSilent(const WorkerLink &Worker) const;
  bool mayDeclareLoss() const { return ListVersion >= JournalListVersion; }

  ShardOwnerOptions Options;
  std::shared_ptr<const config::ClusterConfig> Config;
  uint64_t ListVersion = 0;
  uint64_t JournalListVersion = 0; ///< The newest list the journal relied on.
  uint64_t Sequence = 0;
  uint64_t SyncSequence = 0;
  TimePoint OwnershipConfirmedAt{};
  TimePoint NextAdjustment{};
  std::vector<Record> UnwrittenRecords; ///< Applied, not yet written.
  std::optional<JournalGroup> GroupInFlight;
  std::vector<InboxItem> PendingInboxItems;
  std::set<std::string> SeenInboxKeys; ///< Keys handled but not yet deleted.
  std::vector<WorkerLink> Workers;     ///< Indexes match the instances'.
  policy::OutlierDetector WorkerHealth;
  std::vector<StartNotice> StartNotices;
};

} // namespace daisylanding::shard

#endif
