#include "cell/SpeedTracker.h"

#include <algorithm>
#include <cmath>

namespace daisylanding::cell {

namespace {

/// Weight of a new sample after the first few, in the moving averages.
constexpr double ExecutorWeight = 0.3;
constexpr double QueueWeight = 0.03;
/// Samples below which an executor's slowness is not known.
constexpr uint32_t MinSamples = 2;
/// Bounds the effect of one sample.
constexpr double MaxLogRatio = 3;
/// Half-life of an executor's slowness.
constexpr double HalfLifeSeconds = 6;

double decayFactor(TimePoint UpdatedAt, TimePoint Now) {
  return std::exp2(-toSeconds(Now - UpdatedAt) / HalfLifeSeconds);
}

} // namespace

void SpeedTracker::updateEstimate(RatioEstimate &Estimate, double LogRatio,
                                  double Weight) {
  ++Estimate.Samples;
  double SampleWeight = std::max(Weight, 1.0 / Estimate.Samples);
  Estimate.LogRatio += SampleWeight * (LogRatio - Estimate.LogRatio);
}

void SpeedTracker::recordRunTime(ExecutorIndex Index, const std::string &Queue,
                                 Millis DeclaredTime, Millis RunTime,
                                 TimePoint Now) {
  if (DeclaredTime.count() <= 0 || RunTime.count() <= 0)
    return;
  double LogRatio = std::log(static_cast<double>(RunTime.count()) /
                             static_cast<double>(DeclaredTime.count()));
  LogRatio = std::clamp(LogRatio, -MaxLogRatio, MaxLogRatio);
  RatioEstimate &QueueEstimate = Queues[Queue];
  double QueueLogRatio = QueueEstimate.LogRatio;
  bool HasQueueSamples = QueueEstimate.Samples > 0;
  updateEstimate(QueueEstimate, LogRatio, QueueWeight);
  if (Executors.size() <= Index)
    Executors.resize(Index + 1);
  RatioEstimate &ExecutorEstimate = Executors[Index];
  ExecutorEstimate.LogRatio *= decayFactor(ExecutorEstimate.UpdatedAt, Now);
  ExecutorEstimate.UpdatedAt = Now;
  updateEstimate(ExecutorEstimate,
                 HasQueueSamples ? LogRatio - QueueLogRatio : 0,
                 ExecutorWeight);
}

double SpeedTracker::slowness(ExecutorIndex Index, TimePoint Now) const {
  if (Index >= Executors.size() || Executors[Index].Samples < MinSamples)
    return 1;
  const RatioEstimate &Estimate = Executors[Index];
  return std::exp(Estimate.LogRatio * decayFactor(Estimate.UpdatedAt, Now));
}

Millis SpeedTracker::expectedRunTime(const std::string &Queue,
                                     Millis DeclaredTime) const {
  auto Found = Queues.find(Queue);
  double Ratio = Found == Queues.end() ? 1 : std::exp(Found->second.LogRatio);
  return Millis(
      static_cast<int64_t>(Ratio * static_cast<double>(DeclaredTime.count())));
}

} // namespace daisylanding::cell
