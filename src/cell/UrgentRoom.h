#ifndef DAISYLANDING_CELL_URGENTROOM_H
#define DAISYLANDING_CELL_URGENTROOM_H

#include "common/Resources.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

/// Keeps free places for steps that soon lose value and wait for advice: they
/// can't use what becomes free on executors that they have not been advised on,
/// and long work that could wait would take all of it. No I/O.
namespace daisylanding::cell {

/// Steps with more slack can wait for a place, or a commit, themselves.
constexpr double UrgentSlackMs = 1'500;

class RoomForUrgentSteps {
public:
  /// Begins a planning turn. \p Demand is that of a task of the most urgent
  /// step, if any step is urgent. Capacity on executors that have less is of no
  /// use to it, so that what is kept is counted in places for such tasks.
  void begin(const std::optional<Resources> &Demand) {
    TaskDemand = Demand;
    Free = 0;
    All = 0;
    Needed = 0;
    Steps.clear();
  }
  /// Adds an executor with so many places for such tasks.
  void addExecutor(uint64_t FreePlaces, uint64_t AllPlaces) {
    Free += FreePlaces;
    All += AllPlaces;
  }
  /// Of a task of the most urgent step.
  const std::optional<Resources> &demand() const { return TaskDemand; }
  /// A step needs so many places for tasks of \p Size and has not got them.
  /// Steps are added, and asked about, in the order of their slack.
  void addNeed(double SlackMs, double Places, const Resources &Size) {
    if (SlackMs >= UrgentSlackMs || !TaskDemand)
      return;
    double Cores = std::max(1U, TaskDemand->MilliCores);
    Steps.emplace_back(SlackMs, static_cast<uint64_t>(std::ceil(
                                    Places * Size.MilliCores / Cores)));
  }
  /// A task was placed.
  void take(uint64_t Places) { Free -= Places < Free ? Places : Free; }
  /// Whether a step with this slack may take a place that counts as free.
  bool mayUse(double SlackMs) {
    while (!Steps.empty() && Steps.front().first + PatienceMs <= SlackMs) {
      Needed += Steps.front().second;
      Steps.pop_front();
    }
    uint64_t MostKept = std::max<uint64_t>(1, All / MinPlacesPerKept);
    return Needed == 0 || Free > std::min(Needed, MostKept);
  }

private:
  /// How much longer than another a step must be able to wait to give way.
  static constexpr double PatienceMs = 1'000;
  /// What is kept stands idle until the calls are answered, however many they
  /// are.
  static constexpr uint64_t MinPlacesPerKept = 10;

  std::optional<Resources> TaskDemand;
  uint64_t Free = 0;   ///< Places.
  uint64_t All = 0;    ///< Places, free or not.
  uint64_t Needed = 0; ///< By the steps that were taken off `Steps`.
  std::deque<std::pair<double, uint64_t>> Steps;
};

} // namespace daisylanding::cell

#endif
