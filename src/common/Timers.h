#ifndef DAISYLANDING_COMMON_TIMERS_H
#define DAISYLANDING_COMMON_TIMERS_H

#include "common/Time.h"

#include <functional>
#include <utility>
#include <vector>

namespace daisylanding {

/// Functions that one loop runs later. One thread.
class Timers {
public:
  void schedule(TimePoint Due, std::function<void()> Callback) {
    Pending.emplace_back(Due, std::move(Callback));
  }

  /// Runs what is due; functions may add others.
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
