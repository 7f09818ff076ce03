#include "node/ServicePlaces.h"

#include "node/QueuePlaces.h"

#include <algorithm>

namespace daisylanding::node {

bool ServicePlaces::mayHold(const cell::Queue &JobQueue,
                            const cell::CellConfig &Config) {
  auto History = Context.Config.history();
  QueueView View{
      .Queue = JobQueue, .ConfigVersion = Config.Version, .History = History};
  return std::any_of(Config.Services.begin(), Config.Services.end(),
                     [&](const std::string &Service) {
                       return Service != OwnService &&
                              checkOtherService(
                                  View, Service,
                                  *Context.Statements.of(Service)) !=
                                  PlaceCheck::None;
                     });
}

} // namespace daisylanding::node
