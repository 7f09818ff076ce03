#ifndef DAISYLANDING_CELL_ENDEDJOB_H
#define DAISYLANDING_CELL_ENDEDJOB_H

#include "cell/Progress.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisylanding::cell {

/// What stays stored of a job that has ended and has no open runs.
struct EndedJob {
  JobPhase Phase = JobPhase::Completed;
  int64_t EndedMs = 0;   ///< On the store's clock.
  uint64_t WorkHash = 0; ///< Tells another job with the same id.
  std::string Queue;     ///< Empty if not known.

  bool operator==(const EndedJob &) const = default;
};

/// The stored form; without a queue it is that of earlier versions, which can't
/// read the other. `decodeEndedJob` errors: Malformed.
std::string encodeEndedJob(const EndedJob &Job);
Result<EndedJob> decodeEndedJob(std::string_view Text);

} // namespace daisylanding::cell

#endif
