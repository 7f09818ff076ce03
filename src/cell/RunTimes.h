#ifndef DAISYLANDING_CELL_RUNTIMES_H
#define DAISYLANDING_CELL_RUNTIMES_H

#include "cell/RatioHistogram.h"
#include "cell/SpeedTracker.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>

/// Learns how long tasks run, as opposed to what was declared: a distribution
/// for each queue and image, a speed for each executor. No I/O.
namespace daisylanding::cell {

/// What tasks have in common whose declared times are off alike.
struct RunTimeClass {
  std::string_view Queue;
  std::string_view Image;
};

/// A run that is over, or whose time can be predicted.
struct RunSample {
  ExecutorIndex Executor = NoExecutor;
  RunTimeClass Work;
  Millis Declared{0};
  Millis Taken{0}; ///< As if at a near place.
};

class RunTimes {
public:
  /// Classes that are known at a time; then the least used one is dropped.
  static constexpr size_t MaxClasses = 256;

  void record(const RunSample &Sample, TimePoint Now);
  const SpeedTracker &speeds() const { return Speeds; }
  size_t classCount() const { return Classes.size(); }

  /// Half of the tasks take less, on an executor of the usual speed. A few that
  /// take many times as long don't change it.
  Millis typical(const RunTimeClass &Work, Millis Declared) const;
  /// \p Share of the tasks take less.
  Millis quantile(const RunTimeClass &Work, Millis Declared,
                  double Share) const;
  /// \p Share of the tasks that have run for \p Elapsed end within this time.
  /// \p Slowness: of the executor, or of the place.
  Millis remaining(const RunTimeClass &Work, Millis Declared, Millis Elapsed,
                   double Slowness, double Share) const;

private:
  struct ClassTimes {
    RatioHistogram Ratios;
    TimePoint UsedAt{};
  };
  using ClassKey = std::pair<std::string, std::string>;

  ClassTimes &findOrAdd(const RunTimeClass &Work);
  /// Null if too few of its tasks have ended.
  const RatioHistogram *ratiosOf(const RunTimeClass &Work) const;

  SpeedTracker Speeds;
  std::map<ClassKey, ClassTimes> Classes;
};

} // namespace daisylanding::cell

#endif
