#include "cell/CellConfig.h"

namespace daisylanding::cell {

const Queue *CellConfig::match(std::string_view Host,
                               std::string_view Path) const {
  const Queue *Best = nullptr;
  for (const Queue &Each : Queues) {
    if (Each.Host != Host || !Path.starts_with(Each.PathPrefix))
      continue;
    if (!Best || Each.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Each;
  }
  return Best;
}

const Queue *CellConfig::queue(std::string_view Name) const {
  for (const Queue &Each : Queues) {
    if (Each.Name == Name)
      return &Each;
  }
  return nullptr;
}

} // namespace daisylanding::cell
