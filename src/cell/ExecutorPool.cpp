#include "cell/ExecutorPool.h"

#include <algorithm>

namespace daisylanding::cell {

namespace {

/// Consecutive failures after which an executor is ejected for a while.
constexpr uint32_t EjectionThreshold = 4;
constexpr Millis BaseEjectionTime{1'500};
constexpr Millis MaxEjectionTime{12'000};
/// An answer that takes longer is given up.
constexpr Millis MaxAnswerDelay{1'500};
/// Readings are in whole ms.
constexpr int64_t ReadingErrorMs = 2;
static_assert(BaseEjectionTime + RestartReserve <= MaxRestartDelay,
              "a lasting task that suits one executor waits for it too long");
/// At most this share of the executors is ejected at once.
constexpr double MaxEjectedShare = 0.34;

} // namespace

std::optional<ExecutorIndex> ExecutorPool::find(std::string_view Id) const {
  auto Found = IndexById.find(std::string(Id));
  return Found == IndexById.end() ? std::nullopt : std::optional(Found->second);
}

ExecutorIndex ExecutorPool::findOrAdd(std::string_view Id) {
  auto Found = IndexById.find(std::string(Id));
  if (Found != IndexById.end())
    return Found->second;
  auto Index = static_cast<ExecutorIndex>(Executors.size());
  Executors.emplace_back();
  Executors.back().Info.Id = Id;
  Executors.back().FencingToken = Epoch;
  IndexById.emplace(Id, Index);
  return Index;
}

/// The next higher token, below the next owner's epoch.
uint64_t ExecutorPool::tokenAfter(uint64_t Token) {
  uint64_t Next = std::min(Token + 1, Epoch + EpochStride - 1);
  HighestToken = std::max(HighestToken, Next);
  return Next;
}

void ExecutorPool::raiseToken(ExecutorIndex Index, TimePoint Now) {
  ExecutorState &Executor = Executors[Index];
  Executor.FencingToken = tokenAfter(Executor.FencingToken);
  Executor.TokenRaisedAt = Now;
  Executor.TokenUsed = false;
}

bool ExecutorPool::mayCarryLowerToken(ExecutorIndex Index,
                                      TimePoint Now) const {
  const ExecutorState &Executor = Executors[Index];
  return !isNewest(Index) || (Executor.TokenRaisedAt != TimePoint{} &&
                              Now <= Executor.TokenRaisedAt + MaxAnswerDelay);
}

ExecutorIndex ExecutorPool::findOrAdd(std::string_view Id, int64_t Born) {
  ExecutorIndex Newest = findOrAdd(Id);
  int64_t KnownBorn = Executors[Newest].Info.Born;
  if (Born <= KnownBorn)
    return Newest;
  if (KnownBorn == 0 && !Executors[Newest].Ended) {
    Executors[Newest].Info.Born = Born;
    return Newest;
  }
  auto Index = static_cast<ExecutorIndex>(Executors.size());
  executor::ExecutorInfo Info = Executors[Newest].Info;
  Info.Born = Born;
  Info.Draining = false;
  bool IsListed = Executors[Newest].Listed || Executors[Newest].EntryOutdated;
  Executors[Newest].Listed = false;
  Executors[Newest].EntryOutdated = false;
  uint64_t Token = tokenAfter(Executors[Newest].FencingToken);
  EarlierOrders Orders = ordersSentTo(Executors[Newest]);
  Executors.emplace_back();
  Executors.back().Info = std::move(Info);
  Executors.back().FencingToken = Token;
  Executors.back().Earlier = Orders;
  Executors.back().EntryOutdated = IsListed;
  IndexById.insert_or_assign(Executors.back().Info.Id, Index);
  return Index;
}

std::vector<ExecutorIndex>
ExecutorPool::update(std::span<const executor::ExecutorInfo> List,
                     TimePoint Now) {
  std::vector<ExecutorIndex> Added;
  for (ExecutorState &Executor : Executors) {
    Executor.Listed = false;
    Executor.EntryOutdated = false;
  }
  for (const executor::ExecutorInfo &Info : List) {
    ExecutorIndex Index = findOrAdd(Info.Id, Info.Born);
    ExecutorState &Executor = Executors[Index];
    if (Info.Born != 0 && Info.Born < Executor.Info.Born) {
      Executor.EntryOutdated = !Executor.Listed;
      continue;
    }
    Executor.EntryOutdated = false;
    Executor.InOtherService = false;
    if (!Executor.EverListed) {
      Added.push_back(Index);
      Executor.NextRenewalAt = Now;
    }
    Executor.EverListed = true;
    int64_t Born = Executor.Info.Born;
    Executor.Info = Info;
    Executor.Info.Born = Born;
    Executor.Listed = true;
  }
  return Added;
}

/// Whether it takes starts, as far as is known.
bool ExecutorPool::isReachable(ExecutorIndex Index, TimePoint Now) const {
  const ExecutorState &Executor = Executors[Index];
  if (!Executor.Listed || Executor.Ended || !Executor.TokenConfirmed ||
      Executor.Info.Draining || Executor.OtherClockRead)
    return false;
  if (Executor.AvoidUntil > Now || hasUnknownRuns(Index, Now) ||
      Executor.LastUnansweredAt > Executor.LastAnswerAt)
    return false;
  if (!SuspectZones.empty() &&
      zoneSuspectSince(Executor.Info.AvailabilityZone) > Executor.LastAnswerAt)
    return false;
  return Now < Executor.LastAnswerAt + Options.IdleRenewalWait +
                   Options.SilenceTimeout;
}

bool ExecutorPool::hasCapacityFor(ExecutorIndex Index,
                                  const Resources &Size) const {
  return Size.fitsIn(freeCapacity(Index));
}

void ExecutorPool::reserve(ExecutorIndex Index, const Resources &Size) {
  Executors[Index].Reserved += Size;
}

void ExecutorPool::release(ExecutorIndex Index, const Resources &Size) {
  Executors[Index].Reserved -= Size;
}

Resources ExecutorPool::freeCapacity(ExecutorIndex Index) const {
  const ExecutorState &Executor = Executors[Index];
  const Resources &Capacity = Executor.Info.Capacity;
  auto Remaining = [](uint32_t Amount, uint32_t Used) {
    return Amount > Used ? Amount - Used : 0;
  };
  return {.MilliCores =
              Remaining(Capacity.MilliCores, Executor.Reserved.MilliCores),
          .MemoryMb = Remaining(Capacity.MemoryMb, Executor.Reserved.MemoryMb),
          .Accelerators =
              Remaining(Capacity.Accelerators, Executor.Reserved.Accelerators)};
}

TimePoint ExecutorPool::zoneSuspectSince(const std::string &Zone) const {
  auto Found = SuspectZones.find(Zone);
  return Found == SuspectZones.end() ? TimePoint{} : Found->second;
}

void ExecutorPool::recordUnanswered(ExecutorIndex Index, TimePoint Now) {
  constexpr Millis ZoneSilenceWindow{800};
  constexpr size_t MinSilentInZone = 3;
  Executors[Index].LastUnansweredAt = Now;
  Executors[Index].InDoubt = true;
  Executors[Index].DoubtedAt = Now;
  const std::string &Zone = Executors[Index].Info.AvailabilityZone;
  size_t SilentCount = 0;
  for (const ExecutorState &Executor : Executors) {
    if (Executor.Listed && Executor.Info.AvailabilityZone == Zone &&
        Executor.LastUnansweredAt > Executor.LastAnswerAt &&
        Executor.LastUnansweredAt + ZoneSilenceWindow > Now)
      ++SilentCount;
  }
  if (SilentCount >= MinSilentInZone)
    SuspectZones[Zone] = Now - ZoneSilenceWindow;
}

void ExecutorPool::recordLateStart(ExecutorIndex Index,
                                   const executor::RunId &Id, TimePoint Now) {
  std::vector<LateStart> &Starts = Executors[Index].LateStarts;
  std::erase_if(Starts, [&](const LateStart &Start) {
    return Start.Until < Now || Start.Id == Id;
  });
  Starts.push_back({.Id = Id, .Until = Now + MaxOrderDelay});
}

bool ExecutorPool::mayStartLate(ExecutorIndex Index, const executor::RunId &Id,
                                TimePoint Now) const {
  const std::vector<LateStart> &Starts = Executors[Index].LateStarts;
  return std::any_of(Starts.begin(), Starts.end(), [&](const LateStart &Start) {
    return Start.Id == Id && Now <= Start.Until;
  });
}

/// The orders with lease ends that were sent to this incarnation, or to those
/// before it.
EarlierOrders ExecutorPool::ordersSentTo(const ExecutorState &Executor) {
  EarlierOrders Orders = Executor.Earlier;
  if (Executor.LeaseSentAt == TimePoint{})
    return Orders;
  if (Orders.MayComeUntil < Executor.LeaseSentAt)
    Orders = {};
  Orders.MaxLeaseEndMs =
      std::max(Orders.MaxLeaseEndMs, Executor.MaxLeaseEndSent);
  Orders.MayComeUntil = std::max(
      Orders.MayComeUntil, Executor.LeaseSentAt + MaxSendTime + MaxOrderDelay);
  return Orders;
}

/// Whether the clock that gave the last reading can read \p ClockMs in the
/// answer to a call, allowing for drift and for the time that the calls took.
bool ExecutorPool::isPlausibleReading(const ExecutorState &Executor,
                                      int64_t ClockMs, TimePoint Now,
                                      TimePoint SentAt) const {
  if (!Executor.ClockKnown)
    return true;
  bool IsSentAtKnown = SentAt != TimePoint{};
  int64_t Least = IsSentAtKnown ? leastReading(Executor, SentAt)
                                : Executor.ClockMs - MaxAnswerDelay.count();
  return Least <= ClockMs && ClockMs <= mostReading(Executor, Now);
}

/// What the clock reads at least in an answer to a call that was sent at
/// \p SentAt. A call from before the last reading may have been overtaken.
int64_t ExecutorPool::leastReading(const ExecutorState &Executor,
                                   TimePoint SentAt) const {
  auto SinceMs = static_cast<double>(toMillis(SentAt - Executor.ClockReadAt));
  double Rate =
      SinceMs > 0 ? 1 - Options.MaxClockDrift : 1 + Options.MaxClockDrift;
  return Executor.ClockMs + static_cast<int64_t>(Rate * SinceMs) -
         ReadingErrorMs;
}

/// What the clock reads at most.
int64_t ExecutorPool::mostReading(const ExecutorState &Executor,
                                  TimePoint Now) const {
  if (Executor.ClockAskedAt == TimePoint{})
    return std::numeric_limits<int64_t>::max();
  auto SinceMs = static_cast<double>(toMillis(Now - Executor.ClockAskedAt));
  return Executor.ClockMs +
         static_cast<int64_t>((1 + Options.MaxClockDrift) * SinceMs) +
         ReadingErrorMs;
}

bool ExecutorPool::recordAnswer(ExecutorIndex Index,
                                const std::optional<int64_t> &ClockMs,
                                TimePoint Now, TimePoint SentAt) {
  ExecutorState &Executor = Executors[Index];
  if (ClockMs && !isPlausibleReading(Executor, *ClockMs, Now, SentAt)) {
    recordOtherClock(Index, *ClockMs, Now);
    return false;
  }
  Executor.LastAnswerAt = std::max(Executor.LastAnswerAt, Now);
  if (ClockMs)
    recordReading(Executor, *ClockMs, Now, SentAt);
  return true;
}

bool ExecutorPool::recordOwnAnswer(ExecutorIndex Index,
                                   const std::optional<int64_t> &ClockMs,
                                   TimePoint Now, TimePoint SentAt) {
  ExecutorState &Executor = Executors[Index];
  // A reading ahead of the expected one is accepted: leases by the readings
  // before are only shorter.
  bool IsAhead = ClockMs && Executor.ClockKnown && *ClockMs > Executor.ClockMs;
  if (!IsAhead)
    return recordAnswer(Index, ClockMs, Now, SentAt);
  Executor.LastAnswerAt = std::max(Executor.LastAnswerAt, Now);
  recordReading(Executor, *ClockMs, Now, SentAt);
  return true;
}

void ExecutorPool::recordReading(ExecutorState &Executor, int64_t ClockMs,
                                 TimePoint Now, TimePoint SentAt) {
  // Answers may arrive out of order; older readings are ignored.
  if (Executor.ClockKnown && ClockMs <= Executor.ClockMs)
    return;
  Executor.ClockMs = ClockMs;
  Executor.ClockReadAt = Now;
  Executor.ClockAskedAt = SentAt;
  Executor.ClockKnown = true;
  Executor.FirstExtendedAt.reset();
}

/// Another incarnation has answered an order that was meant for this one, and
/// may hold a lease by this one's clock. Nothing is started there until a
/// renewal tells which one it is.
void ExecutorPool::recordOtherClock(ExecutorIndex Index, int64_t ClockMs,
                                    TimePoint Now) {
  ExecutorState &Executor = Executors[Index];
  Executor.InDoubt = true;
  Executor.OtherClockRead = true;
  Executor.DoubtedAt = Now;
  Executor.RenewalFailed = true;
  Executor.NextRenewalAt = std::min(Executor.NextRenewalAt, Now);
  recordLongLease(Index, longLeaseEnd(ordersSentTo(Executor), ClockMs, Now));
}

void ExecutorPool::recordLongLease(ExecutorIndex Index, TimePoint LeaseEnd) {
  ExecutorState &Executor = Executors[Index];
  Executor.LongLeaseEnd = std::max(Executor.LongLeaseEnd, LeaseEnd);
  Executor.InheritedLeaseEnd =
      std::max(Executor.InheritedLeaseEnd, Executor.LongLeaseEnd);
}

void ExecutorPool::confirmToken(ExecutorIndex Index, TimePoint LongLeaseEnd,
                                TimePoint InheritedLeaseEnd) {
  ExecutorState &Executor = Executors[Index];
  Executor.TokenConfirmed = true;
  Executor.LongLeaseEnd = LongLeaseEnd;
  Executor.InheritedLeaseEnd = std::max(InheritedLeaseEnd, LongLeaseEnd);
}

TimePoint ExecutorPool::longLeaseEnd(const EarlierOrders &Orders,
                                     const std::optional<int64_t> &ClockMs,
                                     TimePoint Now) const {
  if (Orders.MayComeUntil == TimePoint{})
    return {};
  TimePoint LastEnd =
      Orders.MayComeUntil + maxLeaseTime(Options, MaxGrantedLease);
  if (!ClockMs)
    return LastEnd;
  // An order whose lease end the clock has passed grants none.
  if (Orders.MaxLeaseEndMs <= *ClockMs)
    return {};
  Millis Left =
      std::min(Millis(Orders.MaxLeaseEndMs - *ClockMs), MaxGrantedLease);
  return std::min(LastEnd, Now + maxLeaseTime(Options, Left));
}

std::optional<int64_t> ExecutorPool::extendLease(ExecutorIndex Index,
                                                 TimePoint Now) {
  ExecutorState &Executor = Executors[Index];
  if (!Executor.ClockKnown)
    return std::nullopt;
  Executor.LeaseSentAt = Now;
  if (!Executor.FirstExtendedAt)
    Executor.FirstExtendedAt = Now;
  // An owner that is late with that call doesn't make the lease shorter.
  TimePoint ExtendedUntil =
      std::min(Now, *Executor.FirstExtendedAt + Options.RenewalWindow);
  // The executor's clock reads at least this much more.
  auto ElapsedMs = static_cast<int64_t>(
      static_cast<double>(toMillis(ExtendedUntil - Executor.ClockReadAt)) *
      (1 - Options.MaxClockDrift));
  int64_t LeaseEndMs =
      Executor.ClockMs + ElapsedMs + Options.LeaseDuration.count();
  if (LeaseEndMs > Executor.MaxLeaseEndSent) {
    Executor.MaxLeaseEndSent = LeaseEndMs;
    Executor.LeaseExtendedAt = Now;
  }
  return Executor.MaxLeaseEndSent;
}

/// When the leases that this owner has granted there have expired.
TimePoint ExecutorPool::ownLeasesEnd(ExecutorIndex Index) const {
  const ExecutorState &Executor = Executors[Index];
  if (!Executor.ClockKnown)
    return {};
  return Executor.ClockReadAt +
         maxLeaseTime(Options,
                      Millis(Executor.MaxLeaseEndSent - Executor.ClockMs));
}

TimePoint ExecutorPool::leasesEnd(ExecutorIndex Index) const {
  return std::max(ownLeasesEnd(Index), Executors[Index].InheritedLeaseEnd);
}

bool ExecutorPool::isInheritedWaitLonger(ExecutorIndex Index) const {
  return Executors[Index].InheritedLeaseEnd > ownLeasesEnd(Index);
}

void ExecutorPool::recordSuccess(ExecutorIndex Index) {
  Executors[Index].ConsecutiveFailures = 0;
  Executors[Index].Ejections = 0;
}

size_t ExecutorPool::avoidedCount(TimePoint Now) const {
  return static_cast<size_t>(std::count_if(
      Executors.begin(), Executors.end(), [&](const ExecutorState &Executor) {
        return Executor.Listed &&
               std::max(Executor.AvoidUntil, Executor.EjectedUntil) > Now;
      }));
}

void ExecutorPool::recordFailure(ExecutorIndex Index, TimePoint Now) {
  ExecutorState &Executor = Executors[Index];
  if (++Executor.ConsecutiveFailures < EjectionThreshold)
    return;
  auto MaxEjected = static_cast<size_t>(MaxEjectedShare *
                                        static_cast<double>(Executors.size()));
  if (avoidedCount(Now) >= MaxEjected)
    return;
  int64_t EjectionMs = BaseEjectionTime.count()
                       << std::min(Executor.Ejections, 4U);
  Executor.EjectedUntil = Now + std::min(Millis(EjectionMs), MaxEjectionTime);
  // Runs that fail together don't prolong the wait of those that suit no other.
  if (Executor.LastResortFrom <= Now)
    Executor.LastResortFrom = Now + BaseEjectionTime;
  // The next failure ejects it again.
  Executor.ConsecutiveFailures = EjectionThreshold - 1;
  ++Executor.Ejections;
}

} // namespace daisylanding::cell
