#include "cell/AdviceDispatcher.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

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
  auto Rank = [](const AdviceCallCommand &Command) {
    return std::pair(Command.Reason != AdviceReason::Renewal, Command.DueAt);
  };
  AdviceCallCommand *MostUrgent = nullptr;
  for (AdviceCallCommand &Command : WaitingCalls) {
    if (isShortCall(Command.ExpectedMs) == IsShort &&
        (!MostUrgent || Rank(Command) < Rank(*MostUrgent)))
      MostUrgent = &Command;
  }
  return MostUrgent;
}

/// The free queue of this kind with the fewest open calls; of any kind if all
/// of this kind are backing off.
AdviceDispatcher::EntryQueue *AdviceDispatcher::findFreeQueue(bool IsShort,
                                                              TimePoint Now) {
  bool AnyKind =
      std::none_of(Queues.begin(), Queues.end(), [&](const EntryQueue &Queue) {
        return Queue.ForShortCalls == IsShort && Queue.BackoffUntil <= Now;
      });
  EntryQueue *Best = nullptr;
  for (EntryQueue &Queue : Queues) {
    bool IsCandidate =
        (AnyKind || Queue.ForShortCalls == IsShort) && isFree(Queue, Now);
    if (IsCandidate && (!Best || Queue.OpenCalls < Best->OpenCalls))
      Best = &Queue;
  }
  return Best;
}

std::optional<AdviceDispatcher::Assignment>
AdviceDispatcher::assignNext(TimePoint Now) {
  for (bool IsShort : {true, false}) {
    AdviceCallCommand *MostUrgent = findMostUrgent(IsShort);
    EntryQueue *FreeQueue = MostUrgent ? findFreeQueue(IsShort, Now) : nullptr;
    if (!FreeQueue)
      continue;
    Assignment Next{.Address = FreeQueue->Info.Address,
                    .Command = std::move(*MostUrgent)};
    ++FreeQueue->OpenCalls;
    FreeQueue->BusyUntil =
        std::max(FreeQueue->BusyUntil, Now) +
        Micros(static_cast<int64_t>(Next.Command.ExpectedMs * 1e3));
    AdviceReasonCounts &Counts =
        CallCounts.Reasons[static_cast<size_t>(Next.Command.Reason)];
    ++Counts.Sent;
    Counts.Waited += Now - Next.Command.RequestedAt;
    CallCounts.WorkMs += Next.Command.ExpectedMs;
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

void AdviceDispatcher::onCallEnded(std::string_view Address, bool Failed,
                                   TimePoint Now) {
  for (EntryQueue &Queue : Queues) {
    if (Queue.Info.Address != Address)
      continue;
    Queue.OpenCalls -= std::min(Queue.OpenCalls, 1U);
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
