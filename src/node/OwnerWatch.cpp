#include "node/OwnerWatch.h"

#include <utility>

namespace daisylanding::node {

void OwnerWatch::sawRow(uint64_t NewVersion,
                        const std::optional<cell::OwnerRow> &NewRow,
                        TimePoint Now) {
  if (!Known || Version != NewVersion)
    Since = Now;
  Known = true;
  Version = NewVersion;
  Row = NewRow;
}

bool OwnerWatch::shouldTake(uint32_t Preference, TimePoint Now) const {
  if (!Known)
    return false;
  bool Free = Version == 0 || !Row || Row->Released;
  Millis Wait = Free ? Millis(0) : Options.Silence;
  return Now >= Since + Wait + Preference * Options.PreferenceStep;
}

cell::OwnerRow OwnerWatch::successor(std::string Holder) const {
  return {.Holder = std::move(Holder), .Epoch = Row ? Row->Epoch + 1 : 1};
}

} // namespace daisylanding::node
