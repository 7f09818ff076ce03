#ifndef DAISYLANDING_CELL_EXECUTORPOOL_H
#define DAISYLANDING_CELL_EXECUTORPOOL_H

#include "cell/CrashPolicy.h"
#include "cell/OwnerRow.h"
#include "common/Time.h"
#include "executor/ExecutorPort.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisylanding::cell {

using ExecutorIndex = uint32_t;
constexpr ExecutorIndex NoExecutor = std::numeric_limits<uint32_t>::max();

/// Timing of leases and renewals. Longer leases let runs outlast longer outages
/// of the store or of a zone's links, but `maxLossDetection` grows with them.
struct LeaseOptions {
  Millis LeaseDuration{4'000}; ///< Length of a renewed lease.
  /// After the first call since the executor's last clock reading, leases are
  /// extended for this long, so that failed renewals don't extend them. Longer
  /// than `BusyRenewalWait`.
  Millis RenewalWindow{900};
  /// Share by which an executor's clock may run slower than true time.
  double MaxClockDrift = 0.02;
  /// No starts are sent to an executor whose last answer is older than
  /// `IdleRenewalWait` plus this.
  Millis SilenceTimeout{900};
  /// How long an owner grants leases after it has sent the last commit that was
  /// confirmed.
  Millis OwnershipTimeout{2'000};
  /// The same at most, while commits take longer than half of it.
  Millis MaxOwnershipTimeout{6'000};
  /// Until an owner's row tells successors of an executor that is silent: a
  /// renewal that waits in vain, and the time to the next commit.
  Millis MaxNoticeTime{1'400};
  Millis BusyRenewalWait{700};
  Millis IdleRenewalWait{2'000};
  /// Between an answer and the next renewal, so that run ends are reported in
  /// groups.
  Millis MinRenewalInterval{30};
};

/// The end of a lease is on the clock of one incarnation. Another one under the
/// same id, whose clock reads less, shortens it to this.
constexpr Millis MaxGrantedLease{10'000};
/// An order without an answer may be carried out this much later.
constexpr Millis MaxOrderDelay{12'000};
/// From the decision to send an order until it is on its way, at most: the call
/// has ended then. An owner that is suspended meanwhile may be later.
constexpr Millis MaxSendTime{2'500};

/// A run that the owner doesn't have is stopped, which takes less, with calls
/// that are repeated. What is listed for longer can't be stopped.
constexpr Millis MaxUnknownRunTime{3'000};

/// Longest time that a lease takes to expire, on an executor's slow clock.
constexpr Millis maxLeaseTime(const LeaseOptions &Options, Millis Lease) {
  return Millis(static_cast<int64_t>(static_cast<double>(Lease.count()) /
                                     (1 - Options.MaxClockDrift)) +
                1);
}

/// Time until all leases have expired, on any executor, of an owner that grants
/// some for another \p GrantTime.
constexpr Millis leaseHorizon(const LeaseOptions &Options, Millis GrantTime) {
  /// For differences between the clocks of entries and the store's.
  constexpr Millis ClockMargin{300};
  return GrantTime + maxLeaseTime(Options, Options.LeaseDuration) + ClockMargin;
}

/// Time from the loss of an executor until its runs are known to be over, at
/// most: for the owner that renewed its leases, and for the successor of an
/// owner that was lost before its row told of the silent executor.
constexpr Millis maxLossDetection(const LeaseOptions &Options) {
  Millis ByLastAnswer =
      maxLeaseTime(Options, Options.LeaseDuration + Options.RenewalWindow);
  Millis ByOwnerRow =
      Options.MaxNoticeTime + leaseHorizon(Options, Options.OwnershipTimeout);
  return std::max(ByLastAnswer, ByOwnerRow);
}

/// A lasting task of a lost executor must run elsewhere after this long, if
/// there is free capacity.
constexpr Millis MaxRestartDelay{9'000};
/// Of which this is for placing the task, its commit and its start.
constexpr Millis RestartReserve{1'200};
static_assert(maxLossDetection(LeaseOptions{}) + RestartReserve <=
                  MaxRestartDelay,
              "lasting tasks of lost executors are restarted too late");

/// A run end reported by the executor. It is acknowledged once the job's
/// revision `JobRevision` is stored; the executor may then forget it.
struct ListedEnd {
  uint64_t Number = 0;
  std::string JobId;
  uint64_t JobRevision = 0;
  /// The run was done, and a later one of its task may have begun. Not
  /// acknowledged before that one is over.
  bool IsUndecided = false;
  /// If it ended nothing here: the run, for the log of its acknowledgement.
  std::optional<executor::RunId> IgnoredRun;
};

/// Reserved capacity of a run that is over but still listed by its executor.
struct LingeringRun {
  executor::RunId Id;
  Resources Size;
  std::string Workspace;  ///< Of its job.
  Resources WorkspaceUse; ///< As counted for the workspace.
};

/// A start that got no answer, so that a copy of it may be carried out late.
struct LateStart {
  executor::RunId Id;
  TimePoint Until{}; ///< Not after this.
};

/// Orders with lease ends that were sent to earlier incarnations of an
/// executor. The next one may carry them out until it has answered to its
/// token.
struct EarlierOrders {
  /// Highest lease end, on the clock of one of those incarnations.
  int64_t MaxLeaseEndMs = 0;
  /// None is carried out later; there are none if it isn't set.
  TimePoint MayComeUntil{};
};

/// One incarnation of an executor and the owner's state for it.
struct ExecutorState {
  executor::ExecutorInfo Info;
  bool Listed = false;     ///< In the newest instance list.
  bool EverListed = false; ///< Was in some instance list.
  bool Ended = false;      ///< This incarnation has ended for certain.
  /// In all that is sent to this incarnation; higher than that of the one
  /// before.
  uint64_t FencingToken = 0;
  /// Has answered to that token, and refuses what was sent with lower ones.
  bool TokenConfirmed = false;
  bool RenewalPending = false; ///< A renewal is in flight.
  bool RenewalFailed = false;  ///< The last one got no answer.
  /// One has failed, or was refused, since the last that was carried out.
  bool RenewalMissed = false;
  TimePoint RenewalMissedAt{}; ///< The newest of these.
  /// A call got no answer, or one by another clock: another incarnation may
  /// answer under the same id. Until a renewal that was sent later is answered,
  /// nothing is sent that is only meant for this one.
  bool InDoubt = false;
  TimePoint DoubtedAt{}; ///< The last sign of it.
  /// Another one has answered an order. It gets no tasks while in doubt.
  bool OtherClockRead = false;
  /// The newest instance list describes an earlier incarnation.
  bool EntryOutdated = false;
  /// The last instance list that named it did so in another service.
  bool InOtherService = false;
  /// More than bare renewals has been sent with `FencingToken`.
  bool TokenUsed = false;
  TimePoint TokenRaisedAt{};
  TimePoint RenewalSentAt{};
  TimePoint RenewalAnsweredAt{}; ///< The one before.
  TimePoint NextRenewalAt{};
  TimePoint LastAnswerAt{};
  TimePoint LastUnansweredAt{};

  /// The executor's clock read at least `ClockMs` at `ClockReadAt`, and at most
  /// that at `ClockAskedAt`, when the call was sent (not set if unknown).
  int64_t ClockMs = 0;
  TimePoint ClockReadAt{};
  TimePoint ClockAskedAt{};
  bool ClockKnown = false;
  int64_t MaxLeaseEndSent = 0; ///< Latest lease end in any order, on its clock.
  TimePoint LeaseExtendedAt{}; ///< When that was sent first.
  TimePoint LeaseSentAt{};     ///< The last order with a lease end.
  /// Lease ends by the clocks of earlier incarnations.
  EarlierOrders Earlier;
  /// The first lease end since the last clock reading was sent then.
  std::optional<TimePoint> FirstExtendedAt;
  /// Time by which all leases of earlier owners have expired, and those that
  /// were meant for an earlier incarnation.
  TimePoint InheritedLeaseEnd{};
  /// The latter alone.
  TimePoint LongLeaseEnd{};

  Resources Reserved;            ///< By open and placed runs.
  uint32_t OpenRuns = 0;         ///< Runs that were recorded and are not over.
  uint64_t LastProcessedEnd = 0; ///< Number of the newest run end processed.
  uint64_t AcknowledgedEnd = 0;
  uint64_t AcknowledgementSent = 0; ///< The highest in any renewal.
  std::deque<ListedEnd> UnacknowledgedEnds;
  std::vector<LingeringRun> LingeringRuns;
  /// Since when its answers list runs that the owner doesn't have. They are
  /// stopped, and use capacity until they have ended.
  std::optional<TimePoint> UnknownRunsSince;
  std::vector<LostRun> LapsedRuns; ///< Since its last answer.
  std::vector<LateStart> LateStarts;
  /// Tasks that lost an executor before, from their placement here until they
  /// have run for a while.
  uint32_t Suspects = 0;

  uint32_t ConsecutiveFailures = 0;
  uint32_t Ejections = 0;
  TimePoint AvoidUntil{}; ///< After a refusal.
  TimePoint EjectedUntil{};
  /// From then on it may be used again where no other executor suits.
  TimePoint LastResortFrom{};
};

/// The executors of one service: their capacity, reachability and leases.
class ExecutorPool {
public:
  /// Fencing tokens begin with \p Epoch.
  explicit ExecutorPool(LeaseOptions Options, uint64_t Epoch = 0)
      : Options(Options), Epoch(Epoch), HighestToken(Epoch) {}

  /// Applies a new instance list. Returns the incarnations listed for the first
  /// time. Entries of earlier incarnations than the newest are ignored.
  std::vector<ExecutorIndex>
  update(std::span<const executor::ExecutorInfo> List, TimePoint Now);
  /// The newest incarnation under the id, if that is known.
  std::optional<ExecutorIndex> find(std::string_view Id) const;
  /// The newest incarnation under the id; added as unlisted if unknown.
  ExecutorIndex findOrAdd(std::string_view Id);
  /// The same after another incarnation, started at \p Born, was heard of. A
  /// later one than the newest is added, with a higher fencing token; if the
  /// newest has not been stated, it is taken to be this one.
  ExecutorIndex findOrAdd(std::string_view Id, int64_t Born);
  /// The newest incarnation under the same id.
  ExecutorIndex newestOf(ExecutorIndex Index) const {
    return IndexById.at(Executors[Index].Info.Id);
  }

  bool isNewest(ExecutorIndex Index) const { return newestOf(Index) == Index; }
  uint64_t highestToken() const { return HighestToken; }

  size_t size() const { return Executors.size(); }
  size_t listedCount() const {
    return static_cast<size_t>(
        std::count_if(Executors.begin(), Executors.end(),
                      [](const ExecutorState &E) { return E.Listed; }));
  }
  ExecutorState &operator[](ExecutorIndex Index) { return Executors[Index]; }
  const ExecutorState &operator[](ExecutorIndex Index) const {
    return Executors[Index];
  }

  /// Whether a task may be started there now.
  bool isUsable(ExecutorIndex Index, TimePoint Now) const {
    return Executors[Index].EjectedUntil <= Now && isReachable(Index, Now);
  }
  /// The same for a task for which no other executor suits: ejection must not
  /// keep it waiting for long.
  bool isLastResort(ExecutorIndex Index, TimePoint Now) const {
    return Executors[Index].LastResortFrom <= Now && isReachable(Index, Now);
  }
  /// Whether runs that the owner doesn't have use capacity there.
  bool hasUnknownRuns(ExecutorIndex Index, TimePoint Now) const {
    const auto &Since = Executors[Index].UnknownRunsSince;
    return Since && Now < *Since + MaxUnknownRunTime;
  }
  /// Whether an incarnation is of another service, and never was of this one as
  /// far as is known. It gets no calls: they might outbid the fencing tokens of
  /// that service's owner.
  bool isOfOtherService(ExecutorIndex Index) const {
    const ExecutorState &Executor = Executors[Index];
    return Executor.InOtherService && !Executor.EverListed &&
           !Executor.TokenConfirmed;
  }
  bool hasCapacityFor(ExecutorIndex Index, const Resources &Size) const;
  void reserve(ExecutorIndex Index, const Resources &Size);
  void release(ExecutorIndex Index, const Resources &Size);
  Resources freeCapacity(ExecutorIndex Index) const;
  /// Whether more is reserved there than it has, since its capacity has shrunk.
  bool isOvercommitted(ExecutorIndex Index) const {
    const ExecutorState &Executor = Executors[Index];
    return Executor.EverListed &&
           !Executor.Reserved.fitsIn(Executor.Info.Capacity);
  }

  /// A call got no answer: nothing is started there until it answers again. If
  /// several executors of an availability zone fall silent within a short time,
  /// those of the zone that have not answered within that time are avoided
  /// until they do.
  void recordUnanswered(ExecutorIndex Index, TimePoint Now);
  /// A start got no answer.
  void recordLateStart(ExecutorIndex Index, const executor::RunId &Id,
                       TimePoint Now);
  /// Whether a copy of a start may still be carried out.
  bool mayStartLate(ExecutorIndex Index, const executor::RunId &Id,
                    TimePoint Now) const;
  /// An order that was sent at \p SentAt, if that is known, is answered with
  /// this reading of the clock. Returns whether it goes on from the readings
  /// before; if not, another incarnation has answered.
  bool recordAnswer(ExecutorIndex Index, const std::optional<int64_t> &ClockMs,
                    TimePoint Now, TimePoint SentAt = {});
  /// The same for an answer that states that it is of this incarnation.
  bool recordOwnAnswer(ExecutorIndex Index,
                       const std::optional<int64_t> &ClockMs, TimePoint Now,
                       TimePoint SentAt);
  /// Leases that were not granted to this incarnation, but to one before it or
  /// by its clock, may last there until \p LeaseEnd.
  void recordLongLease(ExecutorIndex Index, TimePoint LeaseEnd);
  /// The executor has answered to its token, and carries out no more of what
  /// was sent with lower ones. \p LongLeaseEnd is for leases by the clock of an
  /// earlier incarnation, \p InheritedLeaseEnd for those of earlier owners.
  void confirmToken(ExecutorIndex Index, TimePoint LongLeaseEnd,
                    TimePoint InheritedLeaseEnd);
  /// When all leases have expired that an incarnation has from orders to
  /// earlier ones. Its clock reads \p ClockMs at \p Now, if that is known. It
  /// may have begun at any reading, which tells nothing of its age.
  TimePoint longLeaseEnd(const EarlierOrders &Orders,
                         const std::optional<int64_t> &ClockMs,
                         TimePoint Now) const;
  /// Raises the fencing token of an executor that may have restarted, so that
  /// its next call fences what was sent before.
  void raiseToken(ExecutorIndex Index, TimePoint Now);
  /// Whether an order that is refused now may have carried a lower token.
  bool mayCarryLowerToken(ExecutorIndex Index, TimePoint Now) const;
  /// The lease end to request now, in ms on the executor's clock; none before
  /// that clock is known.
  std::optional<int64_t> extendLease(ExecutorIndex Index, TimePoint Now);
  /// When every lease that was granted there so far has expired, including
  /// those of orders still in flight.
  TimePoint leasesEnd(ExecutorIndex Index) const;
  /// Whether a loss now would be known in time to restart lasting tasks. Not
  /// while a lease by the clock of an earlier incarnation may last.
  bool isLossKnownInTime(ExecutorIndex Index, TimePoint Now) const {
    return Executors[Index].LongLeaseEnd <= Now + maxLossDetection(Options);
  }
  /// Whether leases of earlier owners may outlast this owner's.
  bool isInheritedWaitLonger(ExecutorIndex Index) const;
  bool areLeasesExpired(ExecutorIndex Index, TimePoint Now) const {
    return Executors[Index].Ended || Now > leasesEnd(Index);
  }

  void recordSuccess(ExecutorIndex Index);
  void recordFailure(ExecutorIndex Index, TimePoint Now);

  const LeaseOptions &options() const { return Options; }

private:
  uint64_t tokenAfter(uint64_t Token);
  static EarlierOrders ordersSentTo(const ExecutorState &Executor);
  bool isPlausibleReading(const ExecutorState &Executor, int64_t ClockMs,
                          TimePoint Now, TimePoint SentAt) const;
  int64_t leastReading(const ExecutorState &Executor, TimePoint SentAt) const;
  int64_t mostReading(const ExecutorState &Executor, TimePoint Now) const;
  static void recordReading(ExecutorState &Executor, int64_t ClockMs,
                            TimePoint Now, TimePoint SentAt);
  void recordOtherClock(ExecutorIndex Index, int64_t ClockMs, TimePoint Now);
  bool isReachable(ExecutorIndex Index, TimePoint Now) const;
  TimePoint ownLeasesEnd(ExecutorIndex Index) const;
  size_t avoidedCount(TimePoint Now) const;
  TimePoint zoneSuspectSince(const std::string &Zone) const;

  LeaseOptions Options;
  uint64_t Epoch = 0;
  uint64_t HighestToken = 0;
  std::vector<ExecutorState> Executors;
  std::unordered_map<std::string, ExecutorIndex> IndexById;
  std::unordered_map<std::string, TimePoint> SuspectZones;
};

} // namespace daisylanding::cell

#endif
