#include "cell/AdviceDispatcher.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace daisylanding::cell {

namespace {

/// A queue with a smaller backlog gets another call: enough to cover the round
/// trip to another entry.
constexpr double MaxBacklogMs = 30;
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

/// The free queue of this kind with the smallest backlog; of any kind if all of
/// this kind are backing off.
AdviceDispatcher::EntryQueue *AdviceDispatcher::findFreeQueue(bool IsShort,
                                                              TimePoint Now) {
  bool AnyKind =
      std::none_of(Queues.begin(), Queues.end(), [&](const EntryQueue &Queue) {
        return Queue.ForShortCalls == IsShort && Queue.BackoffUntil <= Now;
      });
  EntryQueue *Best = nullptr;
  for (EntryQueue &Queue : Queues) {
    bool IsFree = (AnyKind || Queue.ForShortCalls == IsShort) &&
                  Queue.BackoffUntil <= Now && Queue.BacklogMs < MaxBacklogMs;
    if (IsFree && (!Best || Queue.BacklogMs < Best->BacklogMs))
      Best = &Queue;
  }
  return Best;
}

std::optional<AdviceDispatcher::Assignment>
AdviceDispatcher::assignNext(TimePoint Now) {
  for (bool IsShort : {true, false}) {
    AdviceCallCommand *MostUrgent = nullptr;
    for (AdviceCallCommand &Command : WaitingCalls) {
      if (isShortCall(Command.ExpectedMs) == IsShort &&
          (!MostUrgent || Command.DueAt < MostUrgent->DueAt))
        MostUrgent = &Command;
    }
    EntryQueue *FreeQueue = MostUrgent ? findFreeQueue(IsShort, Now) : nullptr;
    if (!FreeQueue)
      continue;
    Assignment Next{.Address = FreeQueue->Info.Address,
                    .Command = std::move(*MostUrgent)};
    FreeQueue->BacklogMs += Next.Command.ExpectedMs;
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
        return Queue.BacklogMs > 0;
      }));
}

void AdviceDispatcher::onCallEnded(std::string_view Address, double ExpectedMs,
                                   bool Failed, TimePoint Now) {
  for (EntryQueue &Queue : Queues) {
    if (Queue.Info.Address != Address)
      continue;
    Queue.BacklogMs = std::max(0.0, Queue.BacklogMs - ExpectedMs);
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
