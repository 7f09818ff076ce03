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

/// Whether callers of the queue need a key.
bool needsKey(const cell::CellConfig &Config, const cell::Queue &Queue);

/// A caller who has been let into a queue.
struct CallerIdentity {
  const cell::CellConfig &Config;
  const cell::Queue &Queue;
  std::string_view Workspace; ///< Of its key; empty if it has none.
};

/// Whether the caller may cancel the job stored as \p StoredText: one of its
/// workspace, one that is counted for none, or one of its own public queue.
bool mayCancel(const CallerIdentity &Caller, std::string_view StoredText);

} // namespace daisylanding::node

#endif
