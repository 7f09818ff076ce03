#ifndef DAISYLANDING_NODE_CONFIGCONFIRMATION_H
#define DAISYLANDING_NODE_CONFIGCONFIRMATION_H

#include "common/Time.h"

#include <algorithm>
#include <mutex>

namespace daisylanding::node {

/// Until when the store has confirmed the configuration in force. Shared
/// between threads.
class ConfigConfirmation {
public:
  /// The store answered a read that was sent at \p SentAt.
  void record(TimePoint SentAt) {
    std::lock_guard<std::mutex> Lock(Mutex);
    ConfirmedAt = std::max(ConfirmedAt, SentAt);
  }
  TimePoint confirmedAt() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return ConfirmedAt;
  }

private:
  mutable std::mutex Mutex;
  TimePoint ConfirmedAt{};
};

/// Whether a configuration that was confirmed as of \p ConfirmedAt decides at
/// \p Now: any change that is older than \p Limit would be known. 0: it always
/// decides.
constexpr bool isConfigConfirmed(TimePoint ConfirmedAt, Millis Limit,
                                 TimePoint Now) {
  return Limit == Millis(0) || Now < ConfirmedAt + Limit;
}

} // namespace daisylanding::node

#endif
