#include "node/CallerKeys.h"

namespace daisylanding::node {

KeyCheck checkKey(const cell::CellConfig &Config, const cell::Queue &Queue,
                  const http::Request &Request) {
  if (Config.Workspaces.empty())
    return {.Allowed = true};
  auto Index = Config.Keys.find(http::bearerToken(Request.Headers));
  if (Index)
    return {.Allowed = true, .Workspace = &Config.Workspaces[*Index]};
  return {.Allowed = Queue.IsPublic};
}

} // namespace daisylanding::node
