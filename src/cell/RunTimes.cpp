#include "cell/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace daisylanding::cell {

namespace {

/// Ended tasks below which the mean of the queue is better known.
constexpr double MinSampleWeight = 8;

Millis scale(Millis Time, double Factor) {
  return Millis(
      static_cast<int64_t>(static_cast<double>(Time.count()) * Factor));
}

double toDouble(Millis Time) { return static_cast<double>(Time.count()); }

} // namespace

RunTimes::ClassTimes &RunTimes::findOrAdd(const RunTimeClass &Work) {
  ClassKey Key(Work.Queue, Work.Image);
  auto Found = Classes.find(Key);
  if (Found != Classes.end())
    return Found->second;
  if (Classes.size() >= MaxClasses) {
    auto LeastUsed =
        std::min_element(Classes.begin(), Classes.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.UsedAt < Right.second.UsedAt;
                         });
    Classes.erase(LeastUsed);
  }
  return Classes[std::move(Key)];
}

void RunTimes::record(const RunSample &Sample, TimePoint Now) {
  if (Sample.Declared.count() <= 0 || Sample.Taken.count() <= 0)
    return;
  double Slowness = Speeds.slowness(Sample.Executor, Now);
  Speeds.recordRunTime(Sample.Executor, std::string(Sample.Work.Queue),
                       Sample.Declared, Sample.Taken, Now);
  ClassTimes &Times = findOrAdd(Sample.Work);
  Times.UsedAt = Now;
  Times.Ratios.add(toDouble(Sample.Taken) /
                   (toDouble(Sample.Declared) * Slowness));
}

const RatioHistogram *RunTimes::ratiosOf(const RunTimeClass &Work) const {
  auto Found =
      Classes.find(ClassKey(std::string(Work.Queue), std::string(Work.Image)));
  if (Found == Classes.end() ||
      Found->second.Ratios.sampleWeight() < MinSampleWeight)
    return nullptr;
  return &Found->second.Ratios;
}

Millis RunTimes::typical(const RunTimeClass &Work, Millis Declared) const {
  constexpr double Half = 0.5;
  return quantile(Work, Declared, Half);
}

Millis RunTimes::quantile(const RunTimeClass &Work, Millis Declared,
                          double Share) const {
  if (const RatioHistogram *Ratios = ratiosOf(Work))
    return scale(Declared, Ratios->quantile(Share));
  return Speeds.expectedRunTime(std::string(Work.Queue), Declared);
}

Millis RunTimes::remaining(const RunTimeClass &Work, Millis Declared,
                           Millis Elapsed, double Slowness,
                           double Share) const {
  Millis Whole = scale(quantile(Work, Declared, Share), Slowness);
  const RatioHistogram *Ratios = ratiosOf(Work);
  if (Ratios && Declared.count() > 0) {
    double Ratio = toDouble(Elapsed) / (toDouble(Declared) * Slowness);
    double Total = Ratios->quantileAbove(Ratio, Share);
    if (Total > 0)
      Whole = scale(Declared, Total * Slowness);
  }
  // One that has outlasted all others goes on for as long as it is overdue.
  return std::chrono::abs(Whole - Elapsed);
}

} // namespace daisylanding::cell
