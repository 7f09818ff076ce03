#include "cell/ExecutorPool.h"

#include <algorithm>

namespace daisylanding::cell {

namespace {

/// Failures in a row after which an executor is set aside.
constexpr uint32_t FailuresToEject = 4;
constexpr Millis BaseEjection{1'500};
constexpr Millis MaxEjection{12'000};
/// Never more of the executors than this share is set aside.
constexpr double MaxEjectedShare = 0.34;

} // namespace

TimePoint inheritedLeaseEnd(const ContactOptions &Options,
                            TimePoint LastRenewal) {
  /// An order is on its way for so long at most; its lease is an absolute
  /// time, but was reckoned when it was sent.
  constexpr Millis Transit{300};
  auto Lease = static_cast<int64_t>(static_cast<double>(Options.Lease.count()) /
                                    (1 - Options.ClockDrift));
  return LastRenewal + Options.OwnershipHorizon + Millis(Lease) + Transit;
}

ExecutorIndex ExecutorPool::intern(std::string_view Id) {
  auto Found = ById.find(std::string(Id));
  if (Found != ById.end())
    return Found->second;
  auto Index = static_cast<ExecutorIndex>(Members.size());
  Members.emplace_back();
  Members.back().Info.Id = Id;
  ById.emplace(Id, Index);
  return Index;
}

std::vector<ExecutorIndex>
ExecutorPool::update(std::span<const executor::ExecutorInfo> List,
                     TimePoint Now) {
  std::vector<ExecutorIndex> Added;
  for (Executor &Each : Members)
    Each.Listed = false;
  for (const executor::ExecutorInfo &Info : List) {
    ExecutorIndex Index = intern(Info.Id);
    Executor &Each = Members[Index];
    if (!Each.Seen) {
      Added.push_back(Index);
      Each.NextHold = Now;
    }
    Each.Seen = true;
    Each.Info = Info;
    Each.Listed = true;
  }
  return Added;
}

bool ExecutorPool::usable(ExecutorIndex Index, TimePoint Now) const {
  const Executor &Each = Members[Index];
  if (!Each.Listed || Each.Over || !Each.Greeted || Each.Info.Draining)
    return false;
  if (Each.AvoidUntil > Now || Each.Unanswered > Each.Heard)
    return false;
  if (zoneSuspectSince(Each.Info.AvailabilityZone) > Each.Heard)
    return false;
  return Now < Each.Heard + Options.IdleHoldWait + Options.Silence;
}

bool ExecutorPool::fits(ExecutorIndex Index, const Resources &Size) const {
  return Size.fitsIn(free(Index));
}

void ExecutorPool::take(ExecutorIndex Index, const Resources &Size) {
  Members[Index].Used += Size;
}

void ExecutorPool::give(ExecutorIndex Index, const Resources &Size) {
  Members[Index].Used -= Size;
}

Resources ExecutorPool::free(ExecutorIndex Index) const {
  const Executor &Each = Members[Index];
  const Resources &All = Each.Info.Capacity;
  auto Left = [](uint32_t Total, uint32_t Used) {
    return Total > Used ? Total - Used : 0;
  };
  return {.MilliCores = Left(All.MilliCores, Each.Used.MilliCores),
          .MemoryMb = Left(All.MemoryMb, Each.Used.MemoryMb),
          .Accelerators = Left(All.Accelerators, Each.Used.Accelerators)};
}

TimePoint ExecutorPool::zoneSuspectSince(const std::string &Zone) const {
  auto Found = SuspectZones.find(Zone);
  return Found == SuspectZones.end() ? TimePoint{} : Found->second;
}

void ExecutorPool::unanswered(ExecutorIndex Index, TimePoint Now) {
  constexpr Millis Together{800};
  constexpr size_t ManyInZone = 3;
  Members[Index].Unanswered = Now;
  const std::string &Zone = Members[Index].Info.AvailabilityZone;
  size_t Silent = 0;
  for (const Executor &Each : Members) {
    if (Each.Listed && Each.Info.AvailabilityZone == Zone &&
        Each.Unanswered > Each.Heard && Each.Unanswered + Together > Now)
      ++Silent;
  }
  if (Silent >= ManyInZone)
    SuspectZones[Zone] = Now - Together;
}

void ExecutorPool::heard(ExecutorIndex Index,
                         const std::optional<int64_t> &ClockMs, TimePoint Now) {
  Executor &Each = Members[Index];
  Each.Heard = std::max(Each.Heard, Now);
  if (!ClockMs)
    return;
  // Answers may overtake each other; an older reading tells nothing new.
  if (Each.ClockKnown && *ClockMs <= Each.ClockMs)
    return;
  Each.ClockMs = *ClockMs;
  Each.ClockAt = Now;
  Each.ClockKnown = true;
}

std::optional<int64_t> ExecutorPool::leaseEnd(ExecutorIndex Index,
                                              TimePoint Now) {
  Executor &Each = Members[Index];
  if (!Each.ClockKnown)
    return std::nullopt;
  int64_t Elapsed =
      std::min(toMillis(Now - Each.ClockAt), Options.RenewWindow.count());
  int64_t End = Each.ClockMs + Elapsed + Options.Lease.count();
  Each.LeaseSent = std::max(Each.LeaseSent, End);
  return Each.LeaseSent;
}

bool ExecutorPool::lapsed(ExecutorIndex Index, TimePoint Now) const {
  const Executor &Each = Members[Index];
  if (Each.Over)
    return true;
  if (!Each.ClockKnown)
    return Now > Each.InheritedEnd;
  double Elapsed = static_cast<double>(toMillis(Now - Each.ClockAt));
  auto Slowest = static_cast<int64_t>(Elapsed * (1 - Options.ClockDrift));
  int64_t LastEnd = std::max(Each.LeaseSent, Each.LeaseBound);
  return Each.ClockMs + Slowest > LastEnd && Now > Each.InheritedEnd;
}

void ExecutorPool::succeeded(ExecutorIndex Index) {
  Members[Index].FailuresInRow = 0;
  Members[Index].Ejections = 0;
}

size_t ExecutorPool::avoided(TimePoint Now) const {
  return static_cast<size_t>(
      std::count_if(Members.begin(), Members.end(), [&](const Executor &Each) {
        return Each.Listed && Each.AvoidUntil > Now;
      }));
}

void ExecutorPool::failed(ExecutorIndex Index, TimePoint Now) {
  Executor &Each = Members[Index];
  if (++Each.FailuresInRow < FailuresToEject)
    return;
  auto Limit = static_cast<size_t>(MaxEjectedShare *
                                   static_cast<double>(Members.size()));
  if (avoided(Now) >= Limit)
    return;
  int64_t Span = BaseEjection.count() << std::min(Each.Ejections, 4U);
  Each.AvoidUntil = Now + std::min(Millis(Span), MaxEjection);
  Each.FailuresInRow = FailuresToEject - 1; // One failure of a probe is enough.
  ++Each.Ejections;
}

} // namespace daisylanding::cell
