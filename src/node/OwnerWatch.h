#ifndef DAISYLANDING_NODE_OWNERWATCH_H
#define DAISYLANDING_NODE_OWNERWATCH_H

#include "cell/OwnerRow.h"
#include "common/Time.h"

#include <optional>
#include <string>

/// When a service without a living owner is taken. Pure; answers owners that
/// die, pause or are cut off, with many entries watching.
namespace daisylanding::node {

struct OwnerWatchOptions {
  /// An owner whose row has not changed for so long is taken to be dead. It
  /// rewrites the row several times in that time.
  Millis SilenceTimeout{1'300};
  /// A slow store slows the owner's commits, too: silence counts for longer by
  /// this multiple of what a read takes.
  int64_t ReadTimeFactor = 5;
  /// Waits of entries differ by their preference, so that one tries first.
  Millis RankStep{120};
};

/// What one entry knows of the owner of one service.
class OwnerWatch {
public:
  explicit OwnerWatch(OwnerWatchOptions Options) : Options(Options) {}

  /// The row as read; version 0 if there is none.
  void recordRow(uint64_t Version, const std::optional<cell::OwnerRow> &Row,
                 Micros ReadDuration, TimePoint Now);
  /// A read failed: silence is not counted across it, as the owner may have
  /// been kept from writing, too.
  void recordReadFailure() { RowKnown = false; }

  /// Whether to take the service now. \p Preference is 0 for the entry that
  /// should try first, and grows. \p Holder is how this process names itself
  /// as owner.
  bool shouldAcquire(const std::string &Holder, uint32_t Rank,
                     TimePoint Now) const;

  /// For how long the owner has not renewed at least; 0 if it has given the
  /// service up, since it may have done so just now.
  Millis minSilence(TimePoint Now) const;

  uint64_t version() const { return Version; }
  /// The row that a taker writes.
  cell::OwnerRow successorRow(std::string Holder) const;

private:
  OwnerWatchOptions Options;
  bool RowKnown = false;
  uint64_t Version = 0;
  std::optional<cell::OwnerRow> Row;
  Micros RecentReadTime{0};  ///< Of late.
  TimePoint VersionSeenAt{}; ///< When the present version was first seen.
};

} // namespace daisylanding::node

#endif
