#ifndef DAISYLANDING_SHARD_SHARDOWNER_H
#define DAISYLANDING_SHARD_SHARDOWNER_H

#include "policy/OutlierDetector.h"
#include "shard/Scheduler.h"

#include <optional>

namespace daisylanding::shard {

struct ShardOwnerOptions {
  std::string Id;
  std::string Incarnation; ///< Of the owning entry.
  uint64_t Epoch = 0;
  Millis SyncInterval{1'000};
  Millis Lease{6'000};
  Millis LeaseMargin{2'000};
  size_t MaxStartsPerGroup = 512;
  uint64_t Seed = 1;
  TimePoint AcquiredAt{}; ///< Time of acquisition or later.
};

/// A command in the shard's inbox, put there by the entry that received an
/// operator's call: accept or stop a job.
struct InboxItem {
  std::string Key;
  uint64_t Version = 0;
  std::optional<JobAccepted> AcceptedJob;
  std::string StoppedJob; ///< Id of the job to stop, unless AcceptedJob is set.
};

/// Returns the record that applies the command.
Record toRecord(const InboxItem &Item);

/// A job that moves to a shard of another zone.
struct JobMove {
  JobAccepted Job;
  std::string TargetShard;
};

/// A group of records to be written together, under the next sequence number.
struct JournalGroup {
  uint64_t Sequence = 0;
  JournalRow Row;
  std::vector<InboxItem> ConsumedItems; ///< Deleted in the same transaction.
  /// Job rows updated in the same transaction.
  std::vector<JobEnded> EndedJobs;
  /// Put into the inboxes of other shards in the same transaction.
  std::vector<JobMove> MovedJobs;
};

/// A sync to be sent to one worker.
struct WorkerCall {
  uint32_t Instance = 0;
  std::string Address;
  worker::SyncRequest Request;
};

/// Job status for operators.
struct JobStatus {
  config::JobSpec Spec;
  uint32_t Pending = 0;
  uint32_t Running = 0;
  uint32_t Succeeded = 0;
  uint32_t Failures = 0;
  bool Stopping = false;
};

/// A written start, for the timeline and the waiting-time metric.
struct StartNotice {
  AttemptId Id;
  std::string Instance;
  std::string Class;
  Micros Waited{0};
};

/// State machine of one shard's owner, without I/O. The surrounding loops pass
/// in table rows, worker reports and the current time, and carry out the writes
/// and syncs that it returns. A worker is told of a decision only after the
/// record of it is known to be written.
class ShardOwner {
public:
  explicit ShardOwner(ShardOwnerOptions Options);

  /// Restores the state from the snapshot and the journal rows after it.
  /// Returns an error if the snapshot is unreadable.
  std::error_code load(std::string_view Snapshot,
                       std::span<const JournalRow> Rows, uint64_t LastSequence,
                       TimePoint Now);

  /// Applies the shard's part of the instance list and the current
  /// configuration. An older list is ignored.
  void applyView(std::span<const table::Instance> Listed, uint64_t ListVersion,
                 std::shared_ptr<const config::ClusterConfig> Config,
                 TimePoint Now);
  /// Records that the ownership was confirmed at \p ConfirmedAt; leases are
  /// renewed relative to this time.
  void confirmOwnership(TimePoint ConfirmedAt) {
    OwnershipConfirmedAt = ConfirmedAt;
  }
  void onInbox(std::span<const InboxItem> Items);

  /// Returns the next group to write, or nothing if one is in flight or there
  /// is nothing to write.
  std::optional<JournalGroup> nextGroup(TimePoint Now);
  /// Called when the group returned by nextGroup() is written.
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
  /// Whether all applied records are written.
  bool isFullyWritten() const {
    return !GroupInFlight && UnwrittenRecords.empty();
  }
  const std::string &id() const { return Options.Id; }
  size_t ejectedWorkers() const { return WorkerHealth.ejectedCount(); }

  ShardState State;
  Scheduler TaskScheduler{State};

private:
  /// Owner-side state of one worker.
  struct WorkerLink {
    bool SyncInFlight = false;
    /// A sync is needed before NextSyncAt.
    bool SyncRequested = true;
    TimePoint NextSyncAt{};
    uint32_t FailedSyncs = 0;
    uint32_t ThrottlePercent = 100;
    std::string Boot; ///< Empty before the first report.
    /// Worker clock minus owner clock, assuming that the report was made at the
    /// latest possible moment. A lease converted with it may end early but
    /// never late.
    int64_t ClockOffsetMs = 0;
    /// End of the longest lease sent so far, on the owner's clock.
    TimePoint LeaseUntil{};
    /// Ended attempts whose end is written.
    std::vector<AttemptId> EndsToAcknowledge;
    /// Reported as running but not recorded; to be stopped.
    std::vector<AttemptId> UnrecordedAttempts;
    /// Expected in the report of the sync in flight.
    std::vector<AttemptId> ExpectedAttempts;
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
  uint64_t JournalListVersion = 0; ///< Newest list version used by the journal.
  uint64_t Sequence = 0;
  uint64_t SyncSequence = 0;
  TimePoint OwnershipConfirmedAt{};
  TimePoint NextAdjustment{};
  std::vector<Record> UnwrittenRecords; ///< Applied, not yet written.
  std::optional<JournalGroup> GroupInFlight;
  std::vector<InboxItem> PendingInboxItems;
  /// Keys of received items that are not yet deleted.
  std::set<std::string> SeenInboxKeys;
  std::vector<WorkerLink> Workers; ///< Indexes match the instances.
  policy::OutlierDetector WorkerHealth;
  std::vector<StartNotice> StartNotices;
};

} // namespace daisylanding::shard

#endif
