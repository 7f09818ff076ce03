#ifndef DAISYLANDING_CELL_JSONPROGRESS_H
#define DAISYLANDING_CELL_JSONPROGRESS_H

#include "cell/Progress.h"

/// Reads the JSON rows in which earlier versions stored the progress of jobs.
namespace daisylanding::cell {

/// Errors: Malformed.
Result<JobProgress> decodeJsonProgress(std::string_view Text);
Result<JobPhase> decodeJsonPhase(std::string_view Text);

} // namespace daisylanding::cell

#endif
