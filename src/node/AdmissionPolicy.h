#ifndef DAISYLANDING_NODE_ADMISSIONPOLICY_H
#define DAISYLANDING_NODE_ADMISSIONPOLICY_H

#include "cell/BacklogStatement.h"
#include "common/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// When the caller of a refused job should try again: once the backlog that its
/// workspace waits for is done, spread over time, and later the more of that
/// workspace's jobs were refused of late. No I/O; used by one thread.
namespace daisylanding::node {

/// A job that its owner has refused.
struct RefusedJob {
  std::string_view Id;
  std::string_view Queue;
  std::string_view Workspace;
};

struct RetryAdvice {
  Millis After{0};
  Millis Backlog{0};         ///< As stated; 0 if nothing is.
  std::optional<Millis> Age; ///< Of the statement that was used.
};

class AdmissionPolicy {
public:
  /// An older statement tells nothing of the present backlog.
  static constexpr Millis MaxStatementAge{5'000};
  /// If no young statement tells of the queue and workspace.
  static constexpr Millis UnstatedBacklog{2'000};
  static constexpr Millis MinRetryAfter{1'000};
  static constexpr Millis MaxRetryAfter{30'000};
  /// Workspaces whose refusals are counted at a time.
  static constexpr size_t MaxWorkspaces = 2'000;

  /// \p StoreClockMs is the store's clock at \p Now. Counts the refusal.
  RetryAdvice onRefused(const RefusedJob &Job,
                        const cell::BacklogStatement &Statement,
                        int64_t StoreClockMs, TimePoint Now);

private:
  struct Refusals {
    double Count = 0; ///< Those of earlier times count for less.
    TimePoint At{};
  };

  double countRefusal(std::string_view Workspace, TimePoint Now);

  std::map<std::string, Refusals, std::less<>> ByWorkspace;
};

} // namespace daisylanding::node

#endif
