#ifndef DAISYLANDING_NODE_CALLERKEYS_H
#define DAISYLANDING_NODE_CALLERKEYS_H

#include "cell/CellConfig.h"
#include "http/Message.h"

#include <string_view>

namespace daisylanding::node {

/// Whether a caller may use a queue, and for which workspace.
struct KeyCheck {
  bool Allowed = false;
  /// None on a queue without keys, if the caller sends no known one.
  const cell::Workspace *Workspace = nullptr;
};

/// Checks the bearer token of a request (RFC 6750). On public queues, and where
/// no workspaces are configured, none is needed.
KeyCheck checkKey(const cell::CellConfig &Config, const cell::Queue &Queue,
                  const http::Request &Request);

} // namespace daisylanding::node

#endif
