#ifndef DAISYLANDING_CELL_WORKSPACE_H
#define DAISYLANDING_CELL_WORKSPACE_H

#include "common/Resources.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace daisylanding::cell {

/// Longest name of a workspace, in bytes. Names stand in rows and logs.
constexpr size_t MaxWorkspaceNameBytes = 200;

/// A customer of the cell: its callers share keys, a cap and a share of a full
/// cell.
struct Workspace {
  std::string Name;
  uint32_t Priority = 0; ///< 0 is the most urgent.
  /// Its share of a full cell relative to those of others, and the jobs per
  /// second that it may send.
  uint32_t Weight = 1;
  /// What its tasks may use on all executors of all services; 0 in a field: no
  /// limit.
  Resources Cap;
};

} // namespace daisylanding::cell

#endif
