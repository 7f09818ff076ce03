#ifndef DAISYLANDING_COMMON_TIMERS_H
#define DAISYLANDING_COMMON_TIMERS_H

#include "common/Time.h"

#include <functional>
#include <utility>
#include <vector>

namespace daisylanding {

/// One-shot timers of a single-threaded loop.
class Timers {
public:
  void schedule(TimePoint Due, std::function<void()> Callback) {
    Pending.emplace_back(Due, std::move(Callback));
  }

  /// Runs the callbacks that are due; they may schedule others.
  void runDue(TimePoint Now) {
    std::vector<std::function<void()>> DueCallbacks;
    for (auto &Timer : Pending) {
      if (Timer.first <= Now)
        DueCallbacks.push_back(std::move(Timer.second));
    }
    std::erase_if(Pending,
                  [&](const auto &Timer) { return Timer.first <= Now; });
    for (const auto &Callback : DueCallbacks)
      Callback();
  }

private:
  std::vector<std::pair<TimePoint, std::function<void()>>> Pending;
};

} // namespace daisylanding

#endif
