#ifndef DAISYLANDING_CELL_CRASHPOLICY_H
#define DAISYLANDING_CELL_CRASHPOLICY_H

#include "common/Time.h"
#include "executor/ExecutorPort.h"

#include <algorithm>
#include <cstdint>

/// Which of the runs on a crashed executor may be the cause, and after how many
/// crashes a task is given up. No I/O.
namespace daisylanding::cell {

/// A run that was lost with its executor.
struct LostRun {
  executor::RunId Id;
  /// How long the executor is known to have gone on with the run; 0 if it
  /// never confirmed it.
  Micros KnownRunTime{0};
  bool IsConfirmed = false; ///< The executor has reported it.
  bool HasLapsed = false;   ///< Its lease expired before the crash was known.

  /// Whether its start may have crashed the executor.
  bool isYoung() const {
    constexpr Millis YoungRunTime{300};
    return KnownRunTime < YoungRunTime;
  }
  /// Whether it has shown that it doesn't crash its executor.
  bool isProven() const {
    constexpr Millis ProvenRunTime{5'000};
    return KnownRunTime >= ProvenRunTime;
  }
};

/// When the start of a run was sent, and what its executor has answered since.
struct UnconfirmedStart {
  TimePoint SentAt{}; ///< The last try.
  TimePoint LastAnswerAt{};
  bool IsRefused = false; ///< The executor will carry out no copy of it.

  /// Whether the start may have crashed the executor. One that does is carried
  /// out soon after it was sent, and answered by nothing after that.
  bool mayHaveCrashed() const {
    constexpr Millis MaxArrivalTime{500};
    return !IsRefused && LastAnswerAt < SentAt + MaxArrivalTime;
  }
};

/// How long a task that lost its executor waits for one where no other such
/// task has just been started: together they would be lost again, and nothing
/// would tell the cause. Lasting tasks, whose restart has a time bound, don't
/// wait.
constexpr Millis MaxSeparationWait{1'000};

/// What a crash tells about one of the runs lost in it.
struct CrashEvidence {
  /// It had begun just before. A run that its executor never confirmed may not
  /// have begun at all, and isn't young in this sense.
  bool IsYoung = false;
  /// Of the tasks lost with it, those with a young run that lost executors
  /// before; a gang counts as one.
  uint32_t YoungSuspects = 0;
  /// Of the earlier crashes of its task, those under runs that their executors
  /// never confirmed.
  uint32_t Unconfirmed = 0;
  /// The run had lapsed, and its task may have been started again, before the
  /// crash was known.
  bool IsLate = false;
};

/// A task isn't started again after so many of its runs were lost in crashes,
/// whatever caused them.
constexpr uint32_t MaxCrashesOfAnyCause = 5;

/// Number of executors that may crash under a task before it is given up. The
/// runs beside the cause of a crash are lost with it, so that a task is given
/// up the sooner the more points to it.
constexpr uint32_t maxCrashes(const CrashEvidence &Evidence) {
  constexpr uint32_t MaxYoungCrashes = 3;
  uint32_t OfAnyCause =
      Evidence.IsLate ? MaxCrashesOfAnyCause - 1 : MaxCrashesOfAnyCause;
  if (Evidence.IsYoung && Evidence.YoungSuspects <= 1)
    return std::min(MaxYoungCrashes + Evidence.Unconfirmed, OfAnyCause);
  return OfAnyCause;
}

} // namespace daisylanding::cell

#endif
