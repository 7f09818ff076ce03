#ifndef DAISYLANDING_CELL_EXECUTORPOOL_H
#define DAISYLANDING_CELL_EXECUTORPOOL_H

#include "common/Time.h"
#include "executor/ExecutorPort.h"

#include <deque>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisylanding::cell {

using ExecutorIndex = uint32_t;
constexpr ExecutorIndex NoExecutor = std::numeric_limits<uint32_t>::max();

/// How an owner keeps in touch with executors.
struct ContactOptions {
  /// Of a renewal: long enough to outlive a change of owner, short enough
  /// that work of a lost executor is soon run elsewhere.
  Millis LeaseDuration{4'000};
  /// A lease reaches no further beyond what was last heard of the executor,
  /// so that tries to reach it don't put off the end. Longer than a busy hold
  /// takes.
  Millis RenewalWindow{900};
  /// An executor's clock may run this much slower than true time.
  double MaxClockDrift = 0.02;
  /// No starts go to an executor that was not heard of for so long beyond
  /// the wait of a hold.
  Millis SilenceTimeout{900};
  /// How long an owner renews leases without a confirmation of its ownership.
  Millis OwnershipTimeout{2'000};
  Millis BusyRenewalWait{700};
  Millis IdleRenewalWait{2'000};
  /// Between two holds of one executor, so that ends are heard in groups.
  Millis MinRenewalInterval{30};
};

/// When the leases have ended that an owner gave whose last renewal of its
/// ownership was at \p LastRenewal at the latest.
TimePoint inheritedLeaseEnd(const ContactOptions &Options,
                            TimePoint LastRenewal);

/// An end that the executor has listed; it may be forgotten there once the
/// job's record up to `RecordMark` is stored.
struct ListedEnd {
  uint64_t Number = 0;
  std::string JobId;
  uint64_t JobRevision = 0;
};

/// The room of a run that is over but not yet seen to be gone.
struct LingeringRun {
  executor::RunId Id;
  Resources Size;
};

/// One life of an executor, with what the owner knows of it.
struct ExecutorState {
  executor::ExecutorInfo Info;
  bool Listed = false;     ///< In the newest instance list.
  bool EverListed = false; ///< Was in some instance list.
  bool Ended = false;      ///< This life has ended for sure.
  bool TokenConfirmed =
      false; ///< Has answered under the present fencing token.
  bool RenewalPending = false; ///< A hold is under way.
  TimePoint RenewalSentAt{};
  TimePoint NextRenewalAt{};
  TimePoint LastAnswerAt{};
  /// When a call to it last got no answer.
  TimePoint LastUnansweredAt{};

  /// A lower bound: the clock read `ClockMs` at `ClockAt` or later.
  int64_t ClockMs = 0;
  TimePoint ClockReadAt{};
  bool ClockKnown = false;
  int64_t MaxLeaseEndSent = 0;     ///< The highest lease end in any order.
  int64_t InheritedLeaseBound = 0; ///< No lease of an earlier owner ends later.
  /// When inherited leases have ended for sure, if it is never heard of.
  TimePoint InheritedLeaseEnd{};

  Resources Reserved;            ///< By open and placed runs.
  uint32_t OpenRuns = 0;         ///< Runs that were recorded and are not over.
  uint64_t LastProcessedEnd = 0; ///< The highest end processed.
  uint64_t AcknowledgedEnd = 0;
  std::deque<ListedEnd> UnacknowledgedEnds;
  std::vector<LingeringRun> LingeringRuns;

  uint32_t ConsecutiveFailures = 0;
  uint32_t Ejections = 0;
  TimePoint AvoidUntil{};
};

/// The executors of one service: what they hold and have free, whether they
/// are in touch, and when their leases have ended for sure.
class ExecutorPool {
public:
  explicit ExecutorPool(ContactOptions Options) : Options(Options) {}

  /// Takes a new instance list. Returns those that are new.
  std::vector<ExecutorIndex>
  update(std::span<const executor::ExecutorInfo> List, TimePoint Now);
  /// The index of a life, added as unlisted if it is not known.
  ExecutorIndex findOrAdd(std::string_view Id);

  size_t size() const { return Executors.size(); }
  ExecutorState &operator[](ExecutorIndex Index) { return Executors[Index]; }
  const ExecutorState &operator[](ExecutorIndex Index) const {
    return Executors[Index];
  }

  /// Whether a task may be started there now.
  bool isUsable(ExecutorIndex Index, TimePoint Now) const;
  bool hasCapacityFor(ExecutorIndex Index, const Resources &Size) const;
  void reserve(ExecutorIndex Index, const Resources &Size);
  void release(ExecutorIndex Index, const Resources &Size);
  Resources freeCapacity(ExecutorIndex Index) const;

  /// A call got no answer: nothing is started there until it is heard again.
  /// If several of an availability zone fall silent at once, none of the zone
  /// is trusted that was not heard since.
  void recordUnanswered(ExecutorIndex Index, TimePoint Now);
  void recordAnswer(ExecutorIndex Index, const std::optional<int64_t> &ClockMs,
                    TimePoint Now);
  /// The end of a lease to ask for now; none before the clock is known.
  std::optional<int64_t> extendLease(ExecutorIndex Index, TimePoint Now);
  /// Whether every lease there has ended, whatever orders are under way.
  bool areLeasesExpired(ExecutorIndex Index, TimePoint Now) const;

  void recordSuccess(ExecutorIndex Index);
  void recordFailure(ExecutorIndex Index, TimePoint Now);

  const ContactOptions &options() const { return Options; }

private:
  size_t avoidedCount(TimePoint Now) const;
  TimePoint zoneSuspectSince(const std::string &Zone) const;

  ContactOptions Options;
  std::vector<ExecutorState> Executors;
  std::unordered_map<std::string, ExecutorIndex> IndexById;
  std::unordered_map<std::string, TimePoint> SuspectZones;
};

} // namespace daisylanding::cell

#endif
