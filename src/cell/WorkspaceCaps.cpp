#include "cell/WorkspaceCaps.h"

namespace daisylanding::cell {

void WorkspaceCaps::setConfig(const CellConfig &) {}

void WorkspaceCaps::reserve(std::string_view Name, const Resources &Size) {
  if (Name.empty())
    return;
  auto Found = UsedByWorkspace.find(Name);
  if (Found == UsedByWorkspace.end())
    Found = UsedByWorkspace.emplace(Name, Resources{}).first;
  Found->second += Size;
}

void WorkspaceCaps::release(std::string_view Name, const Resources &Size) {
  auto Found = UsedByWorkspace.find(Name);
  if (Found == UsedByWorkspace.end())
    return;
  Found->second -= Size;
  if (Found->second == Resources{})
    UsedByWorkspace.erase(Found);
}

Resources WorkspaceCaps::used(std::string_view Name) const {
  auto Found = UsedByWorkspace.find(Name);
  return Found == UsedByWorkspace.end() ? Resources{} : Found->second;
}

uint32_t WorkspaceCaps::placesFor(std::string_view, const Resources &,
                                  uint32_t MaxPlaces) const {
  return MaxPlaces;
}

} // namespace daisylanding::cell
