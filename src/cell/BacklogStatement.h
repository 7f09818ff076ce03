#ifndef DAISYLANDING_CELL_BACKLOGSTATEMENT_H
#define DAISYLANDING_CELL_BACKLOGSTATEMENT_H

#include "common/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::cell {

/// How long a new job of the queue and the workspace would wait.
struct QueueBacklog {
  std::string Queue;
  std::string Workspace;
  uint32_t WaitSeconds = 0;

  bool operator==(const QueueBacklog &) const = default;
};

/// What an owner tells, in its row, of the queues and workspaces that wait; of
/// nothing in a calm service.
struct BacklogStatement {
  static constexpr size_t MaxEntries = 32;

  int64_t AtMs = 0; ///< On the store's clock.
  std::vector<QueueBacklog> Entries;

  /// None if nothing is told of them.
  const QueueBacklog *find(std::string_view Queue,
                           std::string_view Workspace) const {
    for (const QueueBacklog &Entry : Entries) {
      if (Entry.Queue == Queue && Entry.Workspace == Workspace)
        return &Entry;
    }
    return nullptr;
  }
  bool operator==(const BacklogStatement &) const = default;
};

} // namespace daisylanding::cell

#endif
