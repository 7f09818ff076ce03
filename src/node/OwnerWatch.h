#ifndef DAISYLANDING_NODE_OWNERWATCH_H
#define DAISYLANDING_NODE_OWNERWATCH_H

#include "cell/OwnerRow.h"
#include "common/Time.h"

#include <optional>
#include <string>

/// Detects failed owners: decides when an entry acquires a service whose owner
/// has died, paused or been cut off while many entries watch it. No I/O.
namespace daisylanding::node {

struct OwnerWatchOptions {
  /// An owner whose row has not changed for this long is considered dead. A
  /// live one rewrites it several times in this period.
  Millis SilenceTimeout{1'300};
  /// A slow store also delays the owner's commits, so the timeout grows by this
  /// multiple of the recent read time.
  int64_t ReadTimeFactor = 5;
  /// Added per rank, so that the entries don't all try at once.
  Millis RankStep{120};
};

/// How early an entry tries to acquire a service; lower ranks try earlier.
struct AcquisitionRank {
  /// Entries that own equally many services differ by jitter below this.
  static constexpr uint32_t JitterSteps = 3;

  uint32_t OwnedServices = 0; ///< Including those that it is acquiring.
  uint32_t Jitter = 0;        ///< Below `JitterSteps`.
  bool IsMuchSmaller = false; ///< Than the largest entry.

  uint32_t value() const {
    // Behind a larger entry that owns a service already.
    constexpr uint32_t SmallEntryRanks = 2 * JitterSteps;
    return JitterSteps * OwnedServices + Jitter +
           (IsMuchSmaller ? SmallEntryRanks : 0);
  }
};

/// One entry's view of the owner of one service.
class OwnerWatch {
public:
  explicit OwnerWatch(OwnerWatchOptions Options) : Options(Options) {}

  /// Records the row as read; version 0 if there is none.
  void recordRow(uint64_t Version, const std::optional<cell::OwnerRow> &Row,
                 Micros ReadDuration, TimePoint Now);
  /// Restarts the timeout: an outage that failed this read may also have kept
  /// the owner from writing.
  void recordReadFailure() { RowKnown = false; }

  /// Whether to acquire the service now. \p Holder is the name under which this
  /// process would own it. Entries of a lower \p Rank try earlier; 0 is the
  /// lowest.
  bool shouldAcquire(const std::string &Holder, uint32_t Rank,
                     TimePoint Now) const;

  uint64_t version() const { return Version; }
  /// The largest entry that the last owner knew; all 0 without a row.
  cell::EntryCapacity largestEntry() const {
    return Row ? Row->LargestEntry : cell::EntryCapacity();
  }
  /// The row that acquires the service for \p Holder. It states when the leases
  /// of earlier owners have expired, if the last row told; a service without a
  /// row has had none.
  cell::OwnerRow successorRow(std::string Holder) const;

private:
  OwnerWatchOptions Options;
  bool RowKnown = false;
  uint64_t Version = 0;
  std::optional<cell::OwnerRow> Row;
  Micros RecentReadTime{0};  ///< Decaying maximum.
  TimePoint VersionSeenAt{}; ///< When the current version was first read.
};

} // namespace daisylanding::node

#endif
