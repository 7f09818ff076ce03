#ifndef DAISYLANDING_CELL_FAILEDRUNS_H
#define DAISYLANDING_CELL_FAILEDRUNS_H

#include <algorithm>
#include <cstdint>
#include <vector>

namespace daisylanding::cell {

/// The failed runs of a task, or of a gang, that its owner has heard of. Each
/// counts once as an attempt, also if an earlier owner has counted it and the
/// executor lists its end again.
class FailedRuns {
public:
  /// Sets the number of runs that earlier owners have counted.
  void restore(uint32_t StoredCount) { Stored = StoredCount; }

  /// Adds a run. \p MayBeStored is whether an earlier owner may have counted
  /// it. Which runs were counted is not stored: those that may be among them
  /// count once more of them are known than were. Returns whether the run
  /// counts.
  bool add(uint32_t Run, bool MayBeStored) {
    if (std::find(Heard.begin(), Heard.end(), Run) != Heard.end())
      return false;
    Heard.push_back(Run);
    return !MayBeStored || ++HeardOfStored > Stored;
  }

private:
  std::vector<uint32_t> Heard;
  uint32_t HeardOfStored = 0; ///< Of `Heard`, those that may be stored.
  uint32_t Stored = 0;
};

} // namespace daisylanding::cell

#endif
