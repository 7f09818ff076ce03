#include "cell/AdviceDispatcher.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace daisylanding::cell {

namespace {

/// A queue of short calls gets the next one this long before it is expected to
/// be idle: enough to cover the round trip to another entry.
constexpr Millis MaxBacklog{30};
/// Answers may come late, so that no more calls pile up at a queue.
constexpr uint32_t MaxOpenShortCalls = 2;
/// The longest call that an urgent start may wait behind.
constexpr double ShortCallMs = 100;
/// Share of the queues that take short calls only: there are many, but each
/// ends soon.
constexpr double ShortQueueShare = 0.375;
/// An answer is overdue after this multiple of the expected time, which allows
/// for a call of another owner ahead of it, and this margin.
constexpr double OverdueFactor = 2;
constexpr Millis OverdueMargin{200};
constexpr Millis BaseBackoff{500};
constexpr uint32_t MaxBackoffDoublings = 3;

} // namespace

bool AdviceDispatcher::isShortCall(double ExpectedMs) {
  return ExpectedMs <= ShortCallMs;
}

void AdviceDispatcher::setQueues(
    const std::vector<AdviceQueueInfo> &CurrentQueues) {
  std::erase_if(Queues, [&](const EntryQueue &Queue) {
    return std::none_of(CurrentQueues.begin(), CurrentQueues.end(),
                        [&](const AdviceQueueInfo &Info) {
                          return Info.Entry == Queue.Info.Entry &&
                                 Info.Address == Queue.Info.Address;
                        });
  });
  for (const AdviceQueueInfo &Info : CurrentQueues) {
    bool IsKnown =
        std::any_of(Queues.begin(), Queues.end(), [&](const EntryQueue &Queue) {
          return Queue.Info.Entry == Info.Entry;
        });
    if (!IsKnown)
      Queues.push_back({.Info = Info});
  }
  // By hash, so that the queues of one zone don't all get the same kind.
  std::sort(Queues.begin(), Queues.end(),
            [](const EntryQueue &Left, const EntryQueue &Right) {
              auto HashOf = [](const EntryQueue &Queue) {
                return XXH3_64bits(Queue.Info.Entry.data(),
                                   Queue.Info.Entry.size());
              };
              return HashOf(Left) < HashOf(Right);
            });
  auto ShortQueueCount = static_cast<size_t>(
      std::ceil(ShortQueueShare * static_cast<double>(Queues.size())));
  for (size_t I = 0; I < Queues.size(); ++I)
    Queues[I].ForShortCalls = I < ShortQueueCount;
}

bool AdviceDispatcher::isFree(const EntryQueue &Queue, TimePoint Now) {
  if (Queue.BackoffUntil > Now)
    return false;
  if (Queue.OpenCalls == 0)
    return true;
  return Queue.ForShortCalls && Queue.OpenCalls < MaxOpenShortCalls &&
         Queue.BusyUntil < Now + MaxBacklog;
}

void AdviceDispatcher::refreshCalls(
    const std::function<std::optional<TimePoint>(uint64_t)> &DueAt) {
  std::erase_if(WaitingCalls, [&](AdviceCallCommand &Command) {
    auto NewDueAt = DueAt(Command.Id);
    if (NewDueAt)
      Command.DueAt = *NewDueAt;
    return !NewDueAt;
  });
}

AdviceCallCommand *AdviceDispatcher::findMostUrgent(bool IsShort) {
  auto Rank = [this](const AdviceCallCommand &Command) {
    bool IsCopy = OpenCalls.count(Command.Id) > 0;
    return std::tuple(IsCopy, Command.Reason != AdviceReason::Renewal,
                      Command.DueAt);
  };
  AdviceCallCommand *MostUrgent = nullptr;
  for (AdviceCallCommand &Command : WaitingCalls) {
    if (isShortCall(Command.ExpectedMs) == IsShort &&
        (!MostUrgent || Rank(Command) < Rank(*MostUrgent)))
      MostUrgent = &Command;
  }
  return MostUrgent;
}

bool AdviceDispatcher::hasCall(const EntryQueue &Queue, uint64_t Id) const {
  auto Found = OpenCalls.find(Id);
  if (Found == OpenCalls.end())
    return false;
  const std::vector<std::string> &Addresses = Found->second.Addresses;
  return std::find(Addresses.begin(), Addresses.end(), Queue.Info.Address) !=
         Addresses.end();
}

/// The free queue of the call's kind with the fewest open calls, those whose
/// last call failed or is overdue last; of any kind if all of this kind are
/// backing off.
AdviceDispatcher::EntryQueue *
AdviceDispatcher::findFreeQueue(const AdviceCallCommand &Command,
                                TimePoint Now) {
  bool IsShort = isShortCall(Command.ExpectedMs);
  bool AnyKind =
      std::none_of(Queues.begin(), Queues.end(), [&](const EntryQueue &Queue) {
        return Queue.ForShortCalls == IsShort && Queue.BackoffUntil <= Now;
      });
  auto Rank = [](const EntryQueue &Queue) {
    bool IsSuspect = Queue.ConsecutiveFailures > 0 || Queue.HasOverdueCall;
    return std::pair(IsSuspect, Queue.OpenCalls);
  };
  EntryQueue *Best = nullptr;
  for (EntryQueue &Queue : Queues) {
    bool IsCandidate = (AnyKind || Queue.ForShortCalls == IsShort) &&
                       isFree(Queue, Now) && !hasCall(Queue, Command.Id);
    if (IsCandidate && (!Best || Rank(Queue) < Rank(*Best)))
      Best = &Queue;
  }
  return Best;
}

void AdviceDispatcher::recordSent(const AdviceCallCommand &Command,
                                  EntryQueue &Queue, TimePoint Now) {
  Micros Expected(static_cast<int64_t>(Command.ExpectedMs * 1e3));
  ++Queue.OpenCalls;
  Queue.BusyUntil = std::max(Queue.BusyUntil, Now) + Expected;
  AdviceReasonCounts &Counts =
      CallCounts.Reasons[static_cast<size_t>(Command.Reason)];
  ++Counts.Sent;
  Counts.Waited += Now - Command.RequestedAt;
  CallCounts.WorkMs += Command.ExpectedMs;
  auto [Open, IsNew] = OpenCalls.try_emplace(Command.Id);
  Open->second.Addresses.push_back(Queue.Info.Address);
  if (!IsNew)
    return;
  Open->second.Command = Command;
  Micros Allowed(
      static_cast<int64_t>(OverdueFactor * Command.ExpectedMs * 1e3));
  Open->second.OverdueAt = Now + Allowed + OverdueMargin;
}

void AdviceDispatcher::addCopies(TimePoint Now) {
  for (auto &Entry : OpenCalls) {
    OpenCall &Open = Entry.second;
    if (Open.HasCopy || Now < Open.OverdueAt)
      continue;
    Open.HasCopy = true;
    for (EntryQueue &Queue : Queues)
      Queue.HasOverdueCall |= hasCall(Queue, Entry.first);
    WaitingCalls.push_back(Open.Command);
    WaitingCalls.back().RequestedAt = Now;
  }
}

std::optional<AdviceDispatcher::Assignment>
AdviceDispatcher::assignNext(TimePoint Now) {
  for (bool IsShort : {true, false}) {
    AdviceCallCommand *MostUrgent = findMostUrgent(IsShort);
    EntryQueue *FreeQueue =
        MostUrgent ? findFreeQueue(*MostUrgent, Now) : nullptr;
    if (!FreeQueue)
      continue;
    Assignment Next{.Address = FreeQueue->Info.Address,
                    .Command = std::move(*MostUrgent)};
    recordSent(Next.Command, *FreeQueue, Now);
    WaitingCalls.erase(WaitingCalls.begin() +
                       (MostUrgent - WaitingCalls.data()));
    return Next;
  }
  return std::nullopt;
}

size_t AdviceDispatcher::busyCount() const {
  return static_cast<size_t>(
      std::count_if(Queues.begin(), Queues.end(), [](const EntryQueue &Queue) {
        return Queue.OpenCalls > 0;
      }));
}

bool AdviceDispatcher::onCallEnded(std::string_view Address, uint64_t Id,
                                   bool Failed, TimePoint Now) {
  recordQueueOutcome(Address, Failed, Now);
  auto Found = OpenCalls.find(Id);
  if (Found == OpenCalls.end())
    return false;
  std::erase(Found->second.Addresses, Address);
  bool MayBeAnswered = !Found->second.Addresses.empty();
  if (Failed && MayBeAnswered)
    return false;
  OpenCalls.erase(Found);
  // A copy that has not been sent.
  std::erase_if(WaitingCalls, [&](const AdviceCallCommand &Command) {
    return Command.Id == Id;
  });
  return true;
}

void AdviceDispatcher::recordQueueOutcome(std::string_view Address, bool Failed,
                                          TimePoint Now) {
  for (EntryQueue &Queue : Queues) {
    if (Queue.Info.Address != Address)
      continue;
    Queue.OpenCalls -= std::min(Queue.OpenCalls, 1U);
    Queue.HasOverdueCall = false;
    if (Queue.OpenCalls == 0)
      Queue.BusyUntil = Now;
    if (!Failed) {
      Queue.ConsecutiveFailures = 0;
      return;
    }
    uint32_t Doublings =
        std::min(Queue.ConsecutiveFailures++, MaxBackoffDoublings);
    Queue.BackoffUntil = Now + Millis(BaseBackoff.count() << Doublings);
  }
}

} // namespace daisylanding::cell
