#include "node/ServiceStatus.h"

namespace daisylanding::node {

std::string_view figuresStateName(FiguresState State) {
  switch (State) {
  case FiguresState::Known:
    return "known";
  case FiguresState::Loading:
    return "loading";
  }
  return "unrecognized";
}

FiguresState ServiceStatus::figures() const {
  return State.Loading ? FiguresState::Loading : FiguresState::Known;
}

} // namespace daisylanding::node
