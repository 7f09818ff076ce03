#include "cell/SpeedTracker.h"

#include <algorithm>
#include <cmath>

namespace daisylanding::cell {

namespace {

/// Of a new sample, once enough are there.
constexpr double ExecutorWeight = 0.3;
constexpr double QueueWeight = 0.03;
/// An executor is not judged by fewer.
constexpr uint32_t MinSamples = 2;
/// One sample can't tell more than this.
constexpr double MaxLogRatio = 3;
/// In which half of what was learned of an executor fades.
constexpr double HalfLifeSeconds = 6;

double fading(TimePoint Last, TimePoint Now) {
  return std::exp2(-toSeconds(Now - Last) / HalfLifeSeconds);
}

} // namespace

void SpeedTracker::learn(Rate &Each, double LogRatio, double Weight) {
  ++Each.Samples;
  double Share = std::max(Weight, 1.0 / Each.Samples);
  Each.LogRatio += Share * (LogRatio - Each.LogRatio);
}

void SpeedTracker::saw(ExecutorIndex On, const std::string &Queue,
                       Millis Estimate, Millis Took, TimePoint Now) {
  if (Estimate.count() <= 0 || Took.count() <= 0)
    return;
  double Ratio = std::log(static_cast<double>(Took.count()) /
                          static_cast<double>(Estimate.count()));
  Ratio = std::clamp(Ratio, -MaxLogRatio, MaxLogRatio);
  Rate &OfQueue = Queues[Queue];
  double Usual = OfQueue.LogRatio;
  bool Known = OfQueue.Samples > 0;
  learn(OfQueue, Ratio, QueueWeight);
  if (Executors.size() <= On)
    Executors.resize(On + 1);
  Rate &OfExecutor = Executors[On];
  OfExecutor.LogRatio *= fading(OfExecutor.Last, Now);
  OfExecutor.Last = Now;
  learn(OfExecutor, Known ? Ratio - Usual : 0, ExecutorWeight);
}

double SpeedTracker::slowness(ExecutorIndex Index, TimePoint Now) const {
  if (Index >= Executors.size() || Executors[Index].Samples < MinSamples)
    return 1;
  const Rate &Each = Executors[Index];
  return std::exp(Each.LogRatio * fading(Each.Last, Now));
}

Millis SpeedTracker::expected(const std::string &Queue, Millis Estimate) const {
  auto Found = Queues.find(Queue);
  double Ratio = Found == Queues.end() ? 1 : std::exp(Found->second.LogRatio);
  return Millis(
      static_cast<int64_t>(Ratio * static_cast<double>(Estimate.count())));
}

} // namespace daisylanding::cell
