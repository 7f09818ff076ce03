#ifndef DAISYLANDING_NODE_SHUTDOWNPLAN_H
#define DAISYLANDING_NODE_SHUTDOWNPLAN_H

#include "common/Time.h"

#include <algorithm>

namespace daisylanding::node {

/// Limits of the waits of a graceful shutdown, which run one after the other:
/// for the release of owned services, for the load balancer, for the answers to
/// open requests. No I/O.
class ShutdownPlan {
public:
  /// How long the load balancer may send requests after readiness turns false.
  static constexpr Millis LoadBalancerGrace{2'200};
  static constexpr Millis ReleaseTimeout{1'500};
  /// Kept for ending the process, or a quarter of the limit if that is less.
  static constexpr Millis ExitMargin{900};

  /// \p Limit is the time from the stop signal at \p StartedAt to the exit.
  ShutdownPlan(TimePoint StartedAt, Millis Limit)
      : StartedAt(StartedAt), Limit(Limit) {}

  Millis releaseLimit(TimePoint Now) const {
    return std::min(ReleaseTimeout, answerLimit(Now));
  }

  Millis loadBalancerWait(TimePoint Now) const {
    Millis Wait = std::min(LoadBalancerGrace - elapsed(Now), answerLimit(Now));
    return std::max(Millis(0), Wait);
  }

  Millis answerLimit(TimePoint Now) const {
    Millis Margin = std::min(ExitMargin, Limit / 4);
    return std::max(Millis(0), Limit - Margin - elapsed(Now));
  }

private:
  Millis elapsed(TimePoint Now) const {
    return std::chrono::duration_cast<Millis>(Now - StartedAt);
  }

  TimePoint StartedAt;
  Millis Limit;
};

} // namespace daisylanding::node

#endif
