#ifndef DAISYLANDING_CELL_URGENTROOM_H
#define DAISYLANDING_CELL_URGENTROOM_H

#include <cstdint>
#include <deque>
#include <utility>

/// Keeps free capacity for steps that soon lose value and wait for advice: they
/// can't use what becomes free on executors that they have not been advised on,
/// and long work that could wait would take all of it. No I/O.
namespace daisylanding::cell {

/// Steps with more slack can wait for a place, or a commit, themselves.
constexpr double UrgentSlackMs = 1'500;

class RoomForUrgentSteps {
public:
  /// Begins a planning turn with this much free capacity.
  void begin(uint64_t FreeMilliCores) {
    Free = FreeMilliCores;
    Needed = 0;
    Steps.clear();
  }
  /// Capacity that a step needs and has not got. Steps are added, and asked
  /// about, in the order of their slack.
  void addNeed(double SlackMs, uint64_t MilliCores) {
    if (SlackMs < UrgentSlackMs)
      Steps.emplace_back(SlackMs, MilliCores);
  }
  /// Tasks were placed.
  void take(uint64_t MilliCores) {
    Free -= MilliCores < Free ? MilliCores : Free;
  }
  /// What a step with this slack may use.
  uint64_t roomFor(double SlackMs) {
    while (!Steps.empty() && Steps.front().first + PatienceMs <= SlackMs) {
      Needed += Steps.front().second;
      Steps.pop_front();
    }
    return Free > Needed ? Free - Needed : 0;
  }
  bool isKept() const { return Needed > 0; }

private:
  /// How much longer than another a step must be able to wait to give way.
  static constexpr double PatienceMs = 1'000;

  uint64_t Free = 0;
  uint64_t Needed = 0; ///< By the steps that were taken off `Steps`.
  std::deque<std::pair<double, uint64_t>> Steps;
};

} // namespace daisylanding::cell

#endif
