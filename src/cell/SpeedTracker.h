#ifndef DAISYLANDING_CELL_SPEEDTRACKER_H
#define DAISYLANDING_CELL_SPEEDTRACKER_H

#include "cell/ExecutorPool.h"
#include "common/Time.h"

#include <map>
#include <string>
#include <vector>

/// Learns from run times how slow executors and how inaccurate declared run
/// times are. Handles executors that become slow under load and jobs whose
/// declared run times are far off. No I/O.
namespace daisylanding::cell {

class SpeedTracker {
public:
  /// Records that a task of \p Queue took, or is predicted to take, \p RunTime
  /// where \p DeclaredTime was declared.
  void recordRunTime(ExecutorIndex Index, const std::string &Queue,
                     Millis DeclaredTime, Millis RunTime, TimePoint Now);

  /// Run time of tasks on this executor relative to others; 1 if not known.
  /// Decays without new samples, so that the executor is tried again.
  double slowness(ExecutorIndex Index, TimePoint Now) const;
  /// Expected run time of a task of the queue with this declared run time.
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
