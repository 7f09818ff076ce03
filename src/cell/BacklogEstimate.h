#ifndef DAISYLANDING_CELL_BACKLOGESTIMATE_H
#define DAISYLANDING_CELL_BACKLOGESTIMATE_H

#include "cell/BacklogStatement.h"
#include "cell/FairOrder.h"
#include "common/Time.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// What a new job has to wait for: the work that goes before it, over what the
/// usable executors do. Work that could run elsewhere as well is left out, so
/// that the estimate is rather too short. No I/O.
namespace daisylanding::cell {

/// Work that competes for the same executors.
struct WorkClass {
  std::string Constraint; ///< A label that the executor must have.
  bool NeedsAccelerators = false;

  // NOLINTNEXTLINE(readability-identifier-naming): a name of the library's.
  auto operator<=>(const WorkClass &) const = default;
};

/// Processor and accelerator time.
struct WorkAmount {
  double CoreSeconds = 0;
  double AcceleratorSeconds = 0;

  WorkAmount &operator+=(const WorkAmount &Other) {
    CoreSeconds += Other.CoreSeconds;
    AcceleratorSeconds += Other.AcceleratorSeconds;
    return *this;
  }
};

WorkAmount workOf(const Resources &Demand, uint64_t Tasks, Millis RunTime);

/// How long \p Capacity takes for the work, by what binds; no time if there is
/// no capacity, since nothing is known then.
Millis timeFor(const WorkAmount &Work, const CapacitySum &Capacity);

class BacklogEstimate {
public:
  /// The work of one step, or of one that a new job adds.
  struct Item {
    WorkClass Class;
    std::string_view Queue;
    std::string_view Workspace;
    double RankMs = 0; ///< Slack, as ordered between workspaces.
    WorkAmount Work;
  };
  using CapacityByClass = std::map<WorkClass, CapacitySum>;

  /// Begins again. \p Items are in the order in which they are done.
  void set(std::span<const Item> Items);
  /// Adds a job that was accepted since.
  void add(const Item &Added);
  /// Work of the class that goes before a step of this rank.
  WorkAmount before(const WorkClass &Class, double RankMs) const;
  /// Queues and workspaces with a wait that is worth telling, the longest
  /// first.
  BacklogStatement statement(const CapacityByClass &Capacities) const;

private:
  struct Mark {
    double RankMs = 0;
    WorkAmount UpTo; ///< Of the class, with this step.
  };
  struct Last {
    WorkClass Class;
    WorkAmount UpTo; ///< With the last step of its queue and workspace.
  };
  using QueueKey = std::pair<std::string, std::string>;

  std::map<WorkClass, std::vector<Mark>> Marks;
  std::map<WorkClass, std::vector<Mark>> Arrivals; ///< Each on its own.
  std::map<QueueKey, Last> Lasts;
};

} // namespace daisylanding::cell

#endif
