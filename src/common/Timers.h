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
  void at(TimePoint When, std::function<void()> Run) {
    Pending.emplace_back(When, std::move(Run));
  }

  /// Runs what is due; functions may add others.
  void run(TimePoint Now) {
    std::vector<std::function<void()>> Due;
    for (auto &Each : Pending) {
      if (Each.first <= Now)
        Due.push_back(std::move(Each.second));
    }
    std::erase_if(Pending, [&](const auto &Each) { return Each.first <= Now; });
    for (const auto &Each : Due)
      Each();
  }

private:
  std::vector<std::pair<TimePoint, std::function<void()>>> Pending;
};

} // namespace daisylanding

#endif
