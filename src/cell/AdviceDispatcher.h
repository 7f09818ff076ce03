#ifndef DAISYLANDING_CELL_ADVICEDISPATCHER_H
#define DAISYLANDING_CELL_ADVICEDISPATCHER_H

#include "cell/CellOwner.h"

#include <optional>
#include <string>
#include <vector>

/// Which call for advice goes to which line. The policy service handles one
/// call at a time for each instance that calls, and a long call holds up the
/// short ones behind it. So calls wait here, most urgent first, and go to the
/// line with the least work ahead; short calls have lines of their own, the
/// same ones for all owners, who don't see each other's calls. Pure; answers
/// many short urgent calls among few long ones.
namespace daisylanding::cell {

/// One entry's line. The address is that of its relay; empty for the owner's
/// own entry.
struct AdviceQueueInfo {
  std::string Entry;
  std::string Address;
};

class AdviceDispatcher {
public:
  struct Assignment {
    std::string Address;
    AdviceCallCommand Command;
  };

  /// Takes the lines that there are now.
  void setQueues(const std::vector<AdviceQueueInfo> &Present);
  void add(AdviceCallCommand Command) {
    WaitingCalls.push_back(std::move(Command));
  }
  /// The next call to make, if a line has room for it.
  std::optional<Assignment> assignNext(TimePoint Now);
  /// A call that went to \p Line is over. A line that failed rests for a
  /// while.
  void onCallEnded(std::string_view Address, double ExpectedMs, bool Failed,
                   TimePoint Now);
  /// Whether \p ExpectedMs is a short call's time.
  static bool isShortCall(double ExpectedMs);
  size_t waitingCount() const { return WaitingCalls.size(); }

private:
  struct EntryQueue {
    AdviceQueueInfo Info;
    bool ForShortCalls = false; ///< For short calls only.
    double BacklogMs = 0;
    uint32_t ConsecutiveFailures = 0;
    TimePoint BackoffUntil{};
  };

  EntryQueue *findFreeQueue(bool Short, TimePoint Now);

  std::vector<EntryQueue> Queues;
  std::vector<AdviceCallCommand> WaitingCalls;
};

} // namespace daisylanding::cell

#endif
