#ifndef DAISYLANDING_CELL_ROOMFORECAST_H
#define DAISYLANDING_CELL_ROOMFORECAST_H

#include "common/Resources.h"
#include "common/Time.h"

#include <optional>
#include <vector>

/// The capacity of one executor that is expected to be free, from now on. Times
/// are counted from now. No I/O.
namespace daisylanding::cell {

/// For a task of this demand, for as long as it runs.
struct RoomRequest {
  Resources Demand;
  Millis RunTime{0};
  Millis LatestStart{0};
};

class RoomForecast {
public:
  explicit RoomForecast(const Resources &FreeNow)
      : Spans{{.Begin = Millis(0), .Free = FreeNow}} {}

  /// A run is expected to end.
  void addRelease(Millis At, const Resources &Released);
  /// When the task can start, if that is early enough.
  std::optional<Millis> earliestStart(const RoomRequest &Request) const;
  /// Another task is expected to run there.
  void take(Millis Start, Millis RunTime, const Resources &Demand);

private:
  /// Lasts until the next one begins.
  struct Span {
    Millis Begin{0};
    Resources Free;
  };

  /// The span that begins at \p At; an earlier one is split there.
  size_t spanAt(Millis At);
  bool fitsFrom(size_t First, const RoomRequest &Request) const;

  std::vector<Span> Spans;
};

} // namespace daisylanding::cell

#endif
