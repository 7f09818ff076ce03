#ifndef DAISYLANDING_CELL_SPEEDTRACKER_H
#define DAISYLANDING_CELL_SPEEDTRACKER_H

#include "cell/ExecutorPool.h"
#include "common/Time.h"

#include <map>
#include <string>
#include <vector>

/// How fast executors and how rough estimates are, learned from what ran.
/// Pure; answers executors that turn slow under load, and jobs whose declared
/// run times are far from the truth.
namespace daisylanding::cell {

class SpeedTracker {
public:
  /// A task of \p Queue took, or is predicted to take, \p Took in place of
  /// its \p Estimate.
  void recordRunTime(ExecutorIndex Index, const std::string &Queue,
                     Millis DeclaredTime, Millis RunTime, TimePoint Now);

  /// How many times as long as elsewhere tasks take there; 1 if not known.
  /// Without news it fades, so that the executor is tried again.
  double slowness(ExecutorIndex Index, TimePoint Now) const;
  /// The usual run time of a task of the queue with that estimate.
  Millis expectedRunTime(const std::string &Queue, Millis DeclaredTime) const;

private:
  struct RatioEstimate {
    double LogRatio = 0;
    uint32_t Samples = 0;
    TimePoint UpdatedAt{};
  };

  static void updateEstimate(RatioEstimate &Estimate, double LogRatio,
                             double Weight);

  std::vector<RatioEstimate> Executors;
  std::map<std::string, RatioEstimate, std::less<>> Queues;
};

} // namespace daisylanding::cell

#endif
