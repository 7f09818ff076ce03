#ifndef DAISYLANDING_CELL_WIDETASK_H
#define DAISYLANDING_CELL_WIDETASK_H

#include "cell/JobSpec.h"
#include "cell/Workspace.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace daisylanding::cell {

enum class CappedResource : uint8_t { Cores, Memory, Accelerators };

/// A task that can never start: it needs more than its workspace's cap.
struct WideTask {
  size_t Step = 0;
  CappedResource Resource = CappedResource::Cores;
  uint64_t Needed = 0; ///< Millicores, MB or accelerators; of all its gang.
  uint32_t Cap = 0;
  bool IsGang = false;
};

/// The first step of the job with such a task or gang, if any.
std::optional<WideTask> findWideTask(const JobSpec &Job,
                                     const Workspace &Owner);

} // namespace daisylanding::cell

#endif
