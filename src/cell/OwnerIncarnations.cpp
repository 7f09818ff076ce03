#include "cell/CellOwner.h"
#include "cell/CommitEntries.h"

#include "common/Log.h"

#include <algorithm>
#include <limits>
#include <utility>

/// Executors that end, or start again under their id. Orders name the id alone,
/// so that what was sent to one incarnation may be carried out by the next,
/// until that one has been called with its own fencing token.
namespace daisylanding::cell {

/// The newest incarnation under the id after one that started at \p Born was
/// heard of. If that is a later one, the one before it is over. \p Answer is
/// what it was heard from, if that was a renewal.
ExecutorIndex CellOwner::noteIncarnation(const std::string &Id, int64_t Born,
                                         std::string_view HeardFrom,
                                         const executor::RenewalAnswer *Answer,
                                         TimePoint Now) {
  ExecutorIndex Earlier = Pool.findOrAdd(Id);
  ExecutorIndex Newest = Pool.findOrAdd(Id, Born);
  if (Newest == Earlier)
    return Newest;
  ++Counts.Restarts;
  const ExecutorState &Before = Pool[Earlier];
  logInfo("executor-restarted",
          "executor={} born={} born_before={} heard_from={} open_runs={} "
          "clock_ms_before={} lease_end_ms_before={} lease_sent_ms_ago={}",
          Before.Info.Id, Born, Before.Info.Born, HeardFrom, Before.OpenRuns,
          Before.ClockMs, Before.MaxLeaseEndSent,
          millisSince(Before.LeaseSentAt, Now));
  onRestart(Earlier, Newest, Answer, Now);
  return Newest;
}

/// An order that was sent at \p SentAt, if that is known, got an answer.
void CellOwner::recordOrderAnswer(ExecutorIndex Index,
                                  const executor::OrderAnswer &Answer,
                                  TimePoint Now, TimePoint SentAt) {
  if (Pool.recordAnswer(Index, Answer.ClockMs, Now, SentAt))
    return;
  RowOutdated = true; // Its long lease is for successors, too.
  const ExecutorState &Executor = Pool[Index];
  logInfo("executor-clock-jumped",
          "executor={} born={} outcome={} clock_ms={} clock_ms_before={} "
          "clock_read_ms_ago={} lease_end_ms={} long_lease_ms={}",
          Executor.Info.Id, Executor.Info.Born,
          executor::outcomeName(Answer.Outcome), Answer.ClockMs.value_or(-1),
          Executor.ClockMs, millisSince(Executor.ClockReadAt, Now),
          Executor.MaxLeaseEndSent,
          std::max<int64_t>(0, toMillis(Executor.LongLeaseEnd - Now)));
}

/// What the instance list says of an id holds for it in any service. A later
/// incarnation in another one ends that before it; an entry of the same, or of
/// a service that isn't one, ends nothing. None of them gets starts.
void CellOwner::noteOtherService(const executor::ExecutorInfo &Entry,
                                 TimePoint Now) {
  auto Known = Pool.find(Entry.Id);
  if (!Known)
    return;
  const std::vector<std::string> &Services = Config->Services;
  bool IsService = std::find(Services.begin(), Services.end(), Entry.Service) !=
                   Services.end();
  ExecutorIndex Newest = *Known;
  if (IsService)
    Newest = noteIncarnation(Entry.Id, Entry.Born, "list", nullptr, Now);
  ExecutorState &Executor = Pool[Newest];
  bool IsOutdated = Entry.Born != 0 && Entry.Born < Executor.Info.Born;
  if (IsOutdated || std::exchange(Executor.InOtherService, true))
    return;
  logInfo("executor-in-other-service",
          "executor={} born={} service={} known={} open_runs={}", Entry.Id,
          Entry.Born, Entry.Service, IsService, Executor.OpenRuns);
}

/// Whether a renewal answer is from the incarnation that the renewal was meant
/// for, and that is the newest. What a later one does under the earlier token
/// is not settled; it is asked again under its own.
bool CellOwner::isFromSameLife(ExecutorIndex Index,
                               const executor::RenewalAnswer &Answer,
                               TimePoint Now) {
  if (!Pool.isNewest(Index))
    return false;
  ExecutorState &Executor = Pool[Index];
  if (Answer.Born == 0 || Answer.Born >= Executor.Info.Born)
    return noteIncarnation(std::string(Executor.Info.Id), Answer.Born,
                           "renewal", &Answer, Now) == Index;
  if (!Executor.RenewalFailed)
    logWarn("executor-born-fell", "executor={} born={} newest={}",
            Executor.Info.Id, Answer.Born, Executor.Info.Born);
  Executor.RenewalFailed = true;
  Executor.RenewalMissed = true;
  Executor.RenewalMissedAt = Now;
  Pool.recordUnanswered(Index, Now);
  return false;
}

/// Orders of earlier owners to incarnations before this one, with lease ends
/// that this owner doesn't know. They may come for a while after the takeover,
/// unless this incarnation has answered to one of these owners.
EarlierOrders CellOwner::ordersOfEarlierOwners(ExecutorIndex Index) const {
  const executor::ExecutorInfo &Info = Pool[Index].Info;
  bool IsFirstOwner = Options.AcquiredRow.LeasesEndMs == 0;
  if (IsFirstOwner || Incarnations.isStored({Info.Id, Info.Born}))
    return {};
  TimePoint LastSentAt =
      Options.CreatedAt + Options.Leases.MaxOwnershipTimeout + MaxSendTime;
  return {.MaxLeaseEndMs = std::numeric_limits<int64_t>::max(),
          .MayComeUntil = LastSentAt + MaxOrderDelay};
}

/// When all leases by the clock of an earlier incarnation have expired on an
/// executor whose clock reads \p ClockMs, if that is known.
TimePoint CellOwner::longLeaseEndOn(ExecutorIndex Index,
                                    const std::optional<int64_t> &ClockMs,
                                    TimePoint Now) const {
  const OwnerRow &Acquired = Options.AcquiredRow;
  auto Listed = Acquired.LongLeaseEnds.find(Pool[Index].Info.Id);
  TimePoint ListedEnd = Listed == Acquired.LongLeaseEnds.end()
                            ? TimePoint{}
                            : timeOfStoreClock(Listed->second);
  return std::max(
      {ListedEnd, Pool.longLeaseEnd(Pool[Index].Earlier, ClockMs, Now),
       Pool.longLeaseEnd(ordersOfEarlierOwners(Index), ClockMs, Now)});
}

/// An executor has not answered to its token yet, and may hold a lease by the
/// clock of an earlier incarnation.
void CellOwner::expectLongLease(ExecutorIndex Index, TimePoint Now) {
  Pool.recordLongLease(Index, longLeaseEndOn(Index, std::nullopt, Now));
}

/// Stores which incarnations have answered, as far as the commit has room.
void CellOwner::addIncarnationRows(CommitInFlight &Commit) {
  /// So that many restarts at once don't hold up the jobs.
  constexpr size_t MaxRows = 16;
  store::Transaction &Tx = Commit.Transaction;
  size_t Used = Tx.entryCount() + OwnerRowEntries;
  if (Loading || !Incarnations.isDue() || Used >= store::MaxTransactionEntries)
    return;
  std::vector<Incarnation> Answered;
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    const ExecutorState &Executor = Pool[I];
    Incarnation Life{Executor.Info.Id, Executor.Info.Born};
    if (!Executor.Ended &&
        (Executor.TokenConfirmed || Incarnations.isStored(Life)))
      Answered.push_back(Life);
  }
  Commit.IncarnationRows = Incarnations.dueRows(
      Answered, std::min(MaxRows, store::MaxTransactionEntries - Used));
  for (const IncarnationRow &Written : Commit.IncarnationRows)
    Tx.Writes.push_back({.Table = IncarnationTable,
                         .Key = Written.Key,
                         .Value = encodeIncarnations(Written.Entries)});
}

/// The executor has answered to its token for the first time.
void CellOwner::greet(ExecutorIndex Index,
                      const executor::RenewalAnswer &Answer, TimePoint Now) {
  const ExecutorState &Executor = Pool[Index];
  TimePoint LongLeaseEnd = longLeaseEndOn(Index, Answer.ClockMs, Now);
  if (LongLeaseEnd > Now)
    ++Counts.LongLeases;
  // An idle executor may keep a lease for runs that are started there.
  Pool.confirmToken(Index, LongLeaseEnd, inheritedLeaseEndOn(Executor.Info.Id));
  Incarnations.note({Executor.Info.Id, Executor.Info.Born});
  logInfo("executor-greeted",
          "executor={} born={} token={} running={} ended={} clock_ms={} "
          "long_lease_ms={}",
          Executor.Info.Id, Executor.Info.Born, Executor.FencingToken,
          Answer.Running.size(), Answer.Ended.size(),
          Answer.ClockMs.value_or(-1),
          std::max<int64_t>(0, toMillis(LongLeaseEnd - Now)));
}

/// States in the row which leases by the clocks of earlier incarnations outlast
/// all others.
void CellOwner::listLongLeases(OwnerRow &NewRow, TimePoint Now,
                               const StoreClock &Clock) {
  int64_t LeasesEndMs = NewRow.LeasesEndMs.value_or(0);
  NewRow.LongLeaseEnds = Options.AcquiredRow.LongLeaseEnds;
  for (ExecutorIndex I = 0; I < Pool.size(); ++I) {
    const ExecutorState &Executor = Pool[I];
    if (Executor.Ended || Executor.LongLeaseEnd <= Now)
      continue;
    int64_t EndMs = Clock.MaxMs + toMillis(Executor.LongLeaseEnd - Now) + 1;
    NewRow.LongLeaseEnds.insert_or_assign(Executor.Info.Id, EndMs);
  }
  std::erase_if(NewRow.LongLeaseEnds,
                [&](const auto &Entry) { return Entry.second <= LeasesEndMs; });
}

/// Whether the start of an open run may have reached the incarnation after the
/// run's, or still may.
bool CellOwner::mayReachNext(const TaskKey &Key, TimePoint Now) const {
  const LiveTask &Task = Key.task();
  if (Task.Phase == TaskPhase::Recording)
    return false;
  if (Task.Inherited || Task.OrderPending ||
      Pool.mayStartLate(Task.Executor, {Key.name(), Task.Run}, Now))
    return true;
  // Either incarnation may have answered the start.
  return Task.Confirmed && !Task.ListedRunning;
}

/// Makes an open run one of a later incarnation that may have been sent its
/// start. The run is over if that one doesn't list it in the first answer under
/// its own token: from then on it refuses the start.
void CellOwner::moveRun(const TaskKey &Key, ExecutorIndex Later,
                        TimePoint Now) {
  LiveTask &Task = Key.task();
  ExecutorIndex Earlier = Task.Executor;
  clearSuspect(Key);
  std::erase(OpenRunsByExecutor[Earlier], Key);
  removeLoad(Key);
  --Pool[Earlier].OpenRuns;
  releaseCapacity(Key);
  if (Task.OrderPending)
    Pool.recordLateStart(Earlier, {Key.name(), Task.Run}, Now);
  Task.Executor = Later;
  Task.OrderPending = false;
  Task.StartUnanswered = false;
  Task.Inherited = true;
  Task.PacePercent = UnknownPace;
  Task.Confirmed = false;
  Task.ListedRunning = false;
  Task.StopConfirmed = false;
  Task.NextOrderAt = Now;
  reserveCapacity(Key);
  OpenRunsByExecutor[Later].push_back(Key);
  HasUnsettledRuns[Later] = true;
  addLoad(Key);
  ++Pool[Later].OpenRuns;
  markChanged(*Key.Job);
}

void CellOwner::onRestart(ExecutorIndex Earlier, ExecutorIndex Later,
                          const executor::RenewalAnswer *Answer,
                          TimePoint Now) {
  resizeExecutorTables();
  Pool[Later].NextRenewalAt = Now;
  std::vector<TaskKey> Runs = OpenRunsByExecutor[Earlier];
  std::vector<LostRun> MayBeLost = lostRunsOn(Earlier);
  for (const TaskKey &Key : Runs) {
    LiveTask &Task = Key.task();
    // Such a run goes on, however it came there: it must not be started again.
    bool IsListed =
        mayHaveBegun(Task) && Answer && Answer->lists({Key.name(), Task.Run});
    if (!IsListed && !mayReachNext(Key, Now))
      continue;
    moveRun(Key, Later, Now);
    auto Lost = std::find_if(
        MayBeLost.begin(), MayBeLost.end(), [&](const LostRun &Run) {
          return Run.Id == executor::RunId{Key.name(), Task.Run};
        });
    if (Lost != MayBeLost.end() && !Pool[Earlier].Info.Draining)
      Task.LostBefore = *Lost;
  }
  // Copies may outlast this incarnation, too.
  Pool[Later].LateStarts = Pool[Earlier].LateStarts;
  expectLongLease(Later, Now);
  // Moved runs may still go on, or have never begun before the restart.
  endIncarnation(Earlier, lostRunsOn(Earlier), Now);
}

void CellOwner::onIncarnationEnded(ExecutorIndex Index, TimePoint Now) {
  if (Pool[Index].Ended)
    return;
  logInfo("executor-over", "executor={} open_runs={}", Pool[Index].Info.Id,
          Pool[Index].OpenRuns);
  endIncarnation(Index, lostRunsOn(Index), Now);
}

/// Ends all that is known of an incarnation. \p CrashedRuns are those that it
/// may have begun.
void CellOwner::endIncarnation(ExecutorIndex Index,
                               std::vector<LostRun> CrashedRuns,
                               TimePoint Now) {
  ExecutorState &Executor = Pool[Index];
  Executor.Ended = true;
  for (const LingeringRun &Run : Executor.LingeringRuns)
    releaseLingeringRun(Index, Run);
  Executor.LingeringRuns.clear();
  Executor.UnacknowledgedEnds.clear();
  std::move(Executor.LapsedRuns.begin(), Executor.LapsedRuns.end(),
            std::back_inserter(CrashedRuns));
  Executor.LapsedRuns.clear();
  std::vector<TaskKey> LostRuns = OpenRunsByExecutor[Index];
  for (const TaskKey &Key : LostRuns) {
    if (isOpen(Key.task().Phase) && Key.task().Executor == Index)
      endRun(Key, executor::EndKind::Expired, Now);
  }
  countCrash(Index, CrashedRuns, Now);
}

} // namespace daisylanding::cell
