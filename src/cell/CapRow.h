#ifndef DAISYLANDING_CELL_CAPROW_H
#define DAISYLANDING_CELL_CAPROW_H

#include "common/Error.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace daisylanding::cell {

/// One row for each service, in its partition; written by its owner's commits.
constexpr const char *CapTable = "workspace_caps";
constexpr const char *CapKey = "caps";

/// Those that a cap limits, in the order of the fields of `Resources`.
constexpr size_t CappedResources = 3;
template <typename T> using PerResource = std::array<T, CappedResources>;
using CapParts = PerResource<int64_t>;

/// What a service states about one workspace, in parts of its cap.
struct CapStatement {
  /// All that it has ever granted, by service. Only grows.
  std::map<std::string, CapParts> Granted;
  CapParts Wanted{}; ///< 0 if that is within its right.
  CapParts Needed{}; ///< With one more task or gang; 0 as above.
  CapParts Width{};  ///< Of the widest task or gang that waits; 0 as above.
  CapParts Beyond{}; ///< What it uses beyond its right.

  bool operator==(const CapStatement &) const = default;
};

struct CapRow {
  std::string Service;
  uint64_t ConfigVersion = 0; ///< The owner starts tasks by these caps.
  std::map<std::string, CapStatement, std::less<>> Workspaces;

  bool operator==(const CapRow &) const = default;
};

std::string encodeCapRow(const CapRow &Row);
/// Errors: Malformed.
Result<CapRow> decodeCapRow(std::string_view Text);

} // namespace daisylanding::cell

#endif
