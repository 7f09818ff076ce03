#ifndef DAISYLANDING_CELL_KEYRING_H
#define DAISYLANDING_CELL_KEYRING_H

#include "common/Error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace daisylanding::cell {

/// The callers' keys of all workspaces. Keys are compared in constant time and
/// hashed with a seed of this process, so that neither times nor collisions
/// tell anything of them.
class KeyRing {
public:
  /// Errors: OutOfRange if \p Key is empty, or another workspace has it.
  std::error_code add(std::string_view Key, uint32_t Workspace);
  /// The index of the workspace that has the key.
  std::optional<uint32_t> find(std::string_view Key) const;
  size_t size() const { return Keys.size(); }
  /// Calls \p Visit with each key and the index of its workspace.
  void visit(const std::function<void(std::string_view Key, uint32_t Workspace)>
                 &Visit) const;

private:
  struct Entry {
    std::string Key;
    uint32_t Workspace = 0;
  };

  std::unordered_multimap<uint64_t, Entry> Keys; ///< By hash.
};

} // namespace daisylanding::cell

#endif
