#ifndef DAISYLANDING_CELL_PLACEWAIT_H
#define DAISYLANDING_CELL_PLACEWAIT_H

#include "cell/RoomForecast.h"
#include "common/Resources.h"
#include "common/Time.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// Decides how long tasks wait for a place where they run faster, and which of
/// them get such places when many want the same. Times are counted from now.
/// No I/O.
namespace daisylanding::cell {

/// An executor on which tasks of a step run at full speed, or nearly.
struct NearPlace {
  size_t Room = 0; ///< Among the forecasts.
  double Slowness = 1;
  Millis StartDelay{0}; ///< Of a call that is needed before the start.
  uint32_t MaxTasks = std::numeric_limits<uint32_t>::max();
};

/// What a wait for a place can gain and may cost.
struct WaitTerms {
  Millis NearRunTime{0}; ///< At a near place of the usual speed.
  Millis FarRunTime{0};  ///< At the best place that is free now.
  /// Its job is in time if the tasks start at a near place within this time.
  Millis Slack{0};
  /// Of a wait that has begun: what is left of it.
  std::optional<Millis> WaitLeft;
  /// The share of the near places that work which comes meanwhile would take;
  /// it loses there what those gain that wait.
  double Contention = 0;
};

/// The longest useful wait. A job that is in time only at near places waits
/// until it no longer is, one that is late anyway as long as it may pay.
Millis longestWait(const WaitTerms &Terms);

/// The tasks of a step that ask for near places.
struct PlaceBid {
  Resources Demand; ///< Of one task.
  uint32_t Tasks = 0;
  WaitTerms Terms;
  /// Whether a task could start elsewhere now.
  bool HasFarPlace = false;
  std::vector<NearPlace> Places;
};

/// Where tasks of a step go. Those that neither start at a near place nor wait
/// take the far places.
struct PlaceShare {
  uint32_t NearTasks = 0; ///< Start at near places now.
  uint32_t WaitingTasks = 0;
  Millis WaitLimit{0};  ///< The wait ends then, if not before.
  Millis FarFinish{0};  ///< Expected, of a task that starts now.
  Millis NearFinish{0}; ///< The same of the last one that waits.
};

/// Decides for all steps that want near places; \p Bids are in the order of
/// planning. Places go first to the steps that can be in time only there, then
/// by how much time a task saves. \p HitShare of the waits are expected to end
/// at a near place; the others end at a far one. The tasks are entered in the
/// forecasts \p Rooms.
std::vector<PlaceShare> sharePlaces(std::span<const PlaceBid> Bids,
                                    std::span<RoomForecast> Rooms,
                                    double HitShare);

/// Whether a gang waits for places on one rack, which are expected to be free
/// \p FreeIn from now.
bool paysToWait(const WaitTerms &Terms, Millis FreeIn, double HitShare);

/// How much of the capacity of racks is asked for by the work that comes.
class RackDemand {
public:
  /// \p Work: the share of an executor that it uses, times its run time in ms.
  void add(const std::string &Rack, double Work, TimePoint Now);
  /// Of \p Executors on the rack; more than 1 if they can't hold all.
  double load(const std::string &Rack, size_t Executors, TimePoint Now) const;

private:
  struct RecentWork {
    double Work = 0; ///< Older work counts less.
    TimePoint UpdatedAt{};

    double at(TimePoint Now) const;
  };

  std::map<std::string, RecentWork> Racks;
};

/// The share of recent waits that have ended at a near place.
class WaitOutcomes {
public:
  void record(bool IsNear);
  double hitShare() const { return HitShare; }

private:
  double HitShare = 0.9;
};

} // namespace daisylanding::cell

#endif
