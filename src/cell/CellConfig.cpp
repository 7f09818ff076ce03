#include "cell/CellConfig.h"

namespace daisylanding::cell {

Queue termsOf(const Queue &Configured) {
  Queue Terms = Configured;
  Terms.Host.clear();
  Terms.PathPrefix.clear();
  return Terms;
}

const Queue *CellConfig::findQueueByPath(std::string_view Host,
                                         std::string_view Path) const {
  const Queue *Best = nullptr;
  for (const Queue &Candidate : Queues) {
    if (Candidate.Host != Host || !Path.starts_with(Candidate.PathPrefix))
      continue;
    if (!Best || Candidate.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Candidate;
  }
  return Best;
}

const Queue *CellConfig::findQueue(std::string_view Name) const {
  for (const Queue &Candidate : Queues) {
    if (Candidate.Name == Name)
      return &Candidate;
  }
  return nullptr;
}

const Workspace *CellConfig::findWorkspace(std::string_view Name) const {
  for (const Workspace &Candidate : Workspaces) {
    if (Candidate.Name == Name)
      return &Candidate;
  }
  return nullptr;
}

} // namespace daisylanding::cell
