#ifndef DAISYLANDING_CELL_ADVICEDISPATCHER_H
#define DAISYLANDING_CELL_ADVICEDISPATCHER_H

#include "cell/CellOwner.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Assigns advice calls to the entries' advice queues. The policy service
/// handles one call at a time for each calling entry, so a long call delays the
/// short ones behind it. Calls wait here, most urgent first, and go to the
/// queue with the fewest open calls. Some queues take short calls only; all
/// owners agree on these, as they don't see each other's calls. Handles many
/// short urgent calls among few long ones. No I/O.
namespace daisylanding::cell {

/// An entry's advice queue. The address is that of the entry's relay; empty for
/// the owner's own entry.
struct AdviceQueueInfo {
  std::string Entry;
  std::string Address;
};

/// Calls of one reason that were assigned to queues.
struct AdviceReasonCounts {
  size_t Sent = 0;  ///< Copies included.
  Micros Waited{0}; ///< In total, before they were assigned.

  double meanWaitMs() const {
    return Sent == 0 ? 0 : toSeconds(Waited) * 1e3 / static_cast<double>(Sent);
  }
};

struct AdviceCallCounts {
  std::array<AdviceReasonCounts, 3> Reasons; ///< Indexed by AdviceReason.
  double WorkMs = 0; ///< Expected service time of the assigned calls.

  const AdviceReasonCounts &of(AdviceReason Reason) const {
    return Reasons[static_cast<size_t>(Reason)];
  }
};

class AdviceDispatcher {
public:
  struct Assignment {
    std::string Address;
    AdviceCallCommand Command;
  };

  /// Replaces the set of queues; queues that remain keep their state.
  void setQueues(const std::vector<AdviceQueueInfo> &CurrentQueues);
  void add(AdviceCallCommand Command) {
    WaitingCalls.push_back(std::move(Command));
  }
  /// Updates the waiting calls' due times and drops those without one. A late
  /// step ranks behind those that can still be in time, however long it waited.
  void
  refreshCalls(const std::function<std::optional<TimePoint>(uint64_t)> &DueAt);
  /// Takes the most urgent call for which a queue is free, if any. Renewals go
  /// first, as capacity is reserved for their tasks.
  std::optional<Assignment> assignNext(TimePoint Now);
  /// Adds a copy of each call whose answer is overdue, for another queue.
  /// Copies are sent only while a queue is free and nothing else waits.
  void addCopies(TimePoint Now);
  /// A call that was assigned to \p Address has ended. A queue whose call
  /// failed gets no calls for a while. Returns whether this is the outcome of
  /// the call: not if a copy was answered before or may still be answered.
  bool onCallEnded(std::string_view Address, uint64_t Id, bool Failed,
                   TimePoint Now);
  /// Whether a call of \p ExpectedMs counts as short.
  static bool isShortCall(double ExpectedMs);
  size_t waitingCount() const { return WaitingCalls.size(); }
  size_t queueCount() const { return Queues.size(); }
  size_t busyCount() const;
  /// The calls that were assigned since the last time this was called.
  AdviceCallCounts takeCallCounts() { return std::exchange(CallCounts, {}); }

private:
  struct EntryQueue {
    AdviceQueueInfo Info;
    bool ForShortCalls = false;
    uint32_t OpenCalls = 0;
    TimePoint BusyUntil{}; ///< Expected.
    bool HasOverdueCall = false;
    uint32_t ConsecutiveFailures = 0;
    TimePoint BackoffUntil{};
  };

  /// A call that was sent and has no outcome.
  struct OpenCall {
    AdviceCallCommand Command;
    std::vector<std::string> Addresses; ///< Of the queues that have it.
    TimePoint OverdueAt{};
    bool HasCopy = false;
  };

  static bool isFree(const EntryQueue &Queue, TimePoint Now);
  bool hasCall(const EntryQueue &Queue, uint64_t Id) const;
  EntryQueue *findFreeQueue(const AdviceCallCommand &Command, TimePoint Now);
  AdviceCallCommand *findMostUrgent(bool IsShort);
  void recordSent(const AdviceCallCommand &Command, EntryQueue &Queue,
                  TimePoint Now);
  void recordQueueOutcome(std::string_view Address, bool Failed, TimePoint Now);

  std::vector<EntryQueue> Queues;
  std::vector<AdviceCallCommand> WaitingCalls;
  std::map<uint64_t, OpenCall> OpenCalls; ///< By the command's id.
  AdviceCallCounts CallCounts;
};

} // namespace daisylanding::cell

#endif
