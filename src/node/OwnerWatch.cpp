#include "node/OwnerWatch.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace daisylanding::node {

namespace {

/// Whether both holders are the same entry. If the row names an earlier
/// incarnation, that one has ended; if it names this one, the answer to its
/// acquisition was lost.
bool isSameEntry(std::string_view RowHolder, std::string_view OwnHolder) {
  return RowHolder.substr(0, RowHolder.rfind('/')) ==
         OwnHolder.substr(0, OwnHolder.rfind('/'));
}

} // namespace

void OwnerWatch::recordRow(uint64_t NewVersion,
                           const std::optional<cell::OwnerRow> &NewRow,
                           Micros ReadDuration, TimePoint Now) {
  // A store that was slow until just now may still have earlier commits queued.
  RecentReadTime = std::max(ReadDuration, RecentReadTime * 3 / 4);
  if (!RowKnown || Version != NewVersion)
    VersionSeenAt = Now;
  RowKnown = true;
  Version = NewVersion;
  Row = NewRow;
}

bool OwnerWatch::shouldAcquire(const std::string &Holder, uint32_t Rank,
                               TimePoint Now) const {
  if (!RowKnown)
    return false;
  // What this incarnation has released is for others to acquire, unless none
  // does.
  bool IsOwnRelease = Row && Row->Released && Row->Holder == Holder;
  if (Row && isSameEntry(Row->Holder, Holder) && !IsOwnRelease)
    return true;
  bool IsUnowned = Version == 0 || !Row || (Row->Released && !IsOwnRelease);
  Micros Wait = Micros(0);
  if (!IsUnowned)
    Wait = Options.SilenceTimeout + Options.ReadTimeFactor * RecentReadTime;
  return Now >= VersionSeenAt + Wait + Rank * Options.RankStep;
}

cell::OwnerRow OwnerWatch::successorRow(std::string Holder) const {
  uint64_t LastToken = Row ? std::max(Row->Epoch, Row->HighestToken) : 0;
  cell::OwnerRow Successor{.Holder = std::move(Holder),
                           .Epoch = cell::nextEpoch(LastToken),
                           .LeasesEndMs = 0};
  if (Row) {
    Successor.LeasesEndMs = Row->LeasesEndMs;
    Successor.SilentLeaseEnds = Row->SilentLeaseEnds;
    Successor.LongLeaseEnds = Row->LongLeaseEnds;
    Successor.LargestEntry = Row->LargestEntry;
    // Until the new owner has counted its jobs.
    Successor.Pending = Row->Pending;
    Successor.Queues = Row->Queues;
  }
  return Successor;
}

} // namespace daisylanding::node
