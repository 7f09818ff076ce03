#ifndef DAISYLANDING_CELL_ADVICELINES_H
#define DAISYLANDING_CELL_ADVICELINES_H

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
struct LineInfo {
  std::string Entry;
  std::string Address;
};

class AdviceLines {
public:
  struct Assignment {
    std::string Line;
    AdviceCommand Command;
  };

  /// Takes the lines that there are now.
  void setLines(const std::vector<LineInfo> &Present);
  void add(AdviceCommand Command) { Queue.push_back(std::move(Command)); }
  /// The next call to make, if a line has room for it.
  std::optional<Assignment> next(TimePoint Now);
  /// A call that went to \p Line is over. A line that failed rests for a
  /// while.
  void done(std::string_view Line, double ExpectedMs, bool Failed,
            TimePoint Now);
  /// Whether \p ExpectedMs is a short call's time.
  static bool isShort(double ExpectedMs);
  size_t waiting() const { return Queue.size(); }

private:
  struct Line {
    LineInfo Info;
    bool Short = false; ///< For short calls only.
    double AheadMs = 0;
    uint32_t FailuresInRow = 0;
    TimePoint RestUntil{};
  };

  Line *freeLine(bool Short, TimePoint Now);

  std::vector<Line> Lines;
  std::vector<AdviceCommand> Queue;
};

} // namespace daisylanding::cell

#endif
