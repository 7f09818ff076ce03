#ifndef DAISYLANDING_CELL_WORKSPACECAPS_H
#define DAISYLANDING_CELL_WORKSPACECAPS_H

#include "cell/CellConfig.h"
#include "common/Resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace daisylanding::cell {

/// What the tasks of each workspace use on the executors of one service, and
/// how much more they may use. No I/O; used by the owner's thread.
class WorkspaceCaps {
public:
  void setConfig(const CellConfig &Config);

  /// Counts capacity from a task's placement until its run is over. \p Name is
  /// empty for jobs without a workspace, which have no cap.
  void reserve(std::string_view Name, const Resources &Size);
  void release(std::string_view Name, const Resources &Size);
  Resources used(std::string_view Name) const;

  /// How many more tasks of \p Size the workspace may start now, at most
  /// \p MaxPlaces.
  uint32_t placesFor(std::string_view Name, const Resources &Size,
                     uint32_t MaxPlaces) const;

private:
  std::map<std::string, Resources, std::less<>> UsedByWorkspace;
};

} // namespace daisylanding::cell

#endif
