#include "node/CallerKeys.h"

#include "cell/JobSpec.h"

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

bool needsKey(const cell::CellConfig &Config, const cell::Queue &Queue) {
  return !Config.Workspaces.empty() && !Queue.IsPublic;
}

bool mayCancel(const CallerIdentity &Caller, std::string_view StoredText) {
  if (Caller.Config.Workspaces.empty())
    return true;
  auto Job = cell::decodeJob(StoredText);
  if (!Job || Job->Workspace.empty() || Job->Workspace == Caller.Workspace)
    return true;
  // Who needs no key to hand in a job there needs none to cancel it.
  return Caller.Workspace.empty() && Caller.Queue.IsPublic &&
         Job->Queue == Caller.Queue.Name;
}

} // namespace daisylanding::node
