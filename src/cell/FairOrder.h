#ifndef DAISYLANDING_CELL_FAIRORDER_H
#define DAISYLANDING_CELL_FAIRORDER_H

#include "common/Resources.h"
#include "common/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Order of work between workspaces: whose steps go after those of others while
/// the executors are full. A workspace's use is its dominant share of the
/// service, averaged over seconds; those that wait for places are entitled, by
/// their weights, to what the others leave. No I/O.
namespace daisylanding::cell {

/// Added to the slack of a step that goes after those of others: more than the
/// slack of any of them, and less than that of steps without remaining value.
constexpr double YieldSlackMs = 1e8;

/// Capacity of all executors of a service, or work, by dimension.
struct CapacitySum {
  uint64_t MilliCores = 0;
  uint64_t MemoryMb = 0;
  uint64_t Accelerators = 0;

  CapacitySum &operator+=(const Resources &Size) {
    MilliCores += Size.MilliCores;
    MemoryMb += Size.MemoryMb;
    Accelerators += Size.Accelerators;
    return *this;
  }
};

/// The largest part of \p All that \p Used is, over the dimensions.
double dominantShare(const CapacitySum &Used, const CapacitySum &All);

class FairOrder {
public:
  /// Uses are averaged over this time.
  static constexpr Millis AveragingTime{8'000};
  /// A service that was full counts as full for this long: at times some of
  /// what has ended isn't placed anew yet.
  static constexpr Millis FullMemory{2'000};
  /// Workspaces that are known at a time; further ones are not beyond theirs.
  static constexpr size_t MaxWorkspaces = 2'000;

  /// A workspace that waits for places.
  struct Waiting {
    uint32_t Weight = 1;
  };
  using WaitingByName = std::map<std::string_view, Waiting>;

  struct Share {
    double Used = 0; ///< Of the service, averaged.
    double Fair = 0; ///< What it was entitled to when it last waited.
    bool IsBeyond = false;
    bool IsWaiting = false;
  };
  /// A workspace that went beyond its share, or came back.
  struct Change {
    std::string Name;
    Share Now;
  };

  /// Averages the uses as of \p Now. Takes time by the workspaces that wait or
  /// use something, not by those that are configured.
  std::vector<Change>
  update(const WaitingByName &Waiting,
         const std::function<Resources(std::string_view)> &UsedBy,
         const CapacitySum &All, bool IsFull, TimePoint Now);

  bool isBeyondShare(std::string_view Name) const;
  double usedShare(std::string_view Name) const;
  const std::map<std::string, Share, std::less<>> &shares() const {
    return Shares;
  }

private:
  void addUses(const WaitingByName &Waiting,
               const std::function<Resources(std::string_view)> &UsedBy,
               const CapacitySum &All, TimePoint Now);
  double shareLeftByOthers() const;

  std::map<std::string, Share, std::less<>> Shares;
  TimePoint UpdatedAt{};
  TimePoint FullUntil{};
};

} // namespace daisylanding::cell

#endif
