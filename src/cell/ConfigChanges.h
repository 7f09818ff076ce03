#ifndef DAISYLANDING_CELL_CONFIGCHANGES_H
#define DAISYLANDING_CELL_CONFIGCHANGES_H

#include "cell/ConfigCheck.h"

#include <optional>

/// What a new version of the configuration changes, by its meaning.
namespace daisylanding::cell {

struct ConfigChange {
  std::string Subject; ///< For example `queue a`.
  std::string What;    ///< For example `moved to service`.
  std::string From;    ///< Empty if `What` tells all.
  std::string To;
};

/// How two versions are compared.
struct ChangeOptions {
  bool KnowsKeys = true; ///< Both have their keys.
};

std::vector<ConfigChange> findChanges(const CellConfig &Running,
                                      const CellConfig &Proposed,
                                      const ChangeOptions &Options);

/// An error if entries that have \p Running would not put \p Proposed in force:
/// versions only rise.
std::optional<ConfigFinding>
checkVersion(const CellConfig &Running, const CellConfig &Proposed,
             const std::vector<ConfigChange> &Changes);

} // namespace daisylanding::cell

#endif
