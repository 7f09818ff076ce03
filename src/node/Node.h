#ifndef DAISYLANDING_NODE_NODE_H
#define DAISYLANDING_NODE_NODE_H

#include "config/CellSettings.h"
#include "node/Ports.h"

namespace daisylanding::node {

/// Runs an entry of a cell until SIGTERM or SIGINT, then exits the process:
/// with status 0, or 1 if it could not start.
int serveCell(const config::CellSettings &Options, const Ports &Platform);

} // namespace daisylanding::node

#endif
