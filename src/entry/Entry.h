#ifndef DAISYLANDING_ENTRY_ENTRY_H
#define DAISYLANDING_ENTRY_ENTRY_H

#include "config/Settings.h"

namespace daisylanding::entry {

/// Runs the entry daemon until SIGTERM or SIGINT, then shuts down gracefully:
/// the health check reports not ready, new work is refused, work in flight is
/// finished and shards are released. Returns the exit code of the process.
int serve(const config::Settings &Options);

} // namespace daisylanding::entry

#endif
