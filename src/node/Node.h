#ifndef DAISYLANDING_NODE_NODE_H
#define DAISYLANDING_NODE_NODE_H

#include "config/CellSettings.h"
#include "node/Ports.h"

namespace daisylanding::node {

/// Runs one process of a cell until it is told to stop. Returns its exit code.
int serveCell(const config::CellSettings &Options, const Ports &Platform);

} // namespace daisylanding::node

#endif
