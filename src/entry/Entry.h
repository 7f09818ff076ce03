#ifndef DAISYLANDING_ENTRY_ENTRY_H
#define DAISYLANDING_ENTRY_ENTRY_H

#include "config/Settings.h"

namespace daisylanding::entry {

/// Runs the entry daemon until SIGTERM or SIGINT, then shuts down gracefully:
/// it leaves the health check, refuses new work, finishes what is in flight
/// and hands its shards over. Returns the process's exit code.
int serve(const config::Settings &Options);

} // namespace daisylanding::entry

#endif
