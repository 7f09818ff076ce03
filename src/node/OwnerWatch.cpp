#include "node/OwnerWatch.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace daisylanding::node {

namespace {

/// Whether both are the same entry. An earlier incarnation is surely dead; of
/// this one, the answer to its take was lost.
bool isSameEntry(std::string_view Row, std::string_view Mine) {
  return Row.substr(0, Row.rfind('/')) == Mine.substr(0, Mine.rfind('/'));
}

} // namespace

void OwnerWatch::sawRow(uint64_t NewVersion,
                        const std::optional<cell::OwnerRow> &NewRow,
                        Micros Took, TimePoint Now) {
  // A store that was slow just now still has commits of then to carry out.
  ReadTook = std::max(Took, ReadTook * 3 / 4);
  if (!Known || Version != NewVersion)
    Since = Now;
  Known = true;
  Version = NewVersion;
  Row = NewRow;
}

bool OwnerWatch::shouldTake(const std::string &Holder, uint32_t Preference,
                            TimePoint Now) const {
  if (!Known)
    return false;
  if (Row && isSameEntry(Row->Holder, Holder))
    return true;
  bool Free = Version == 0 || !Row || Row->Released;
  Micros Wait = Micros(0);
  if (!Free)
    Wait = Options.Silence + Options.SilencePerRead * ReadTook;
  return Now >= Since + Wait + Preference * Options.PreferenceStep;
}

Millis OwnerWatch::silentFor(TimePoint Now) const {
  if (!Row || Row->Released)
    return Millis(0);
  return std::chrono::duration_cast<Millis>(Now - Since);
}

cell::OwnerRow OwnerWatch::successor(std::string Holder) const {
  cell::OwnerRow Out{.Holder = std::move(Holder), .Epoch = 1};
  if (Row) {
    Out.Epoch = Row->Epoch + 1;
    Out.InheritedLeaseEnds = Row->InheritedLeaseEnds;
    Out.PendingJobs = Row->PendingJobs; // Until the new owner has counted.
  }
  return Out;
}

} // namespace daisylanding::node
