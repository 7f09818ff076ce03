#include "node/ServiceStatus.h"

#include <algorithm>

namespace daisylanding::node {

std::string_view figuresStateName(FiguresState State) {
  switch (State) {
  case FiguresState::Known:
    return "known";
  case FiguresState::Loading:
    return "loading";
  case FiguresState::Outdated:
    return "outdated";
  }
  return "unrecognized";
}

/// The owner's thread may publish a status after \p Now was read.
Millis ServiceStatus::age(TimePoint Now) const {
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(Now - TakenAt));
}

FiguresState ServiceStatus::figures(TimePoint Now) const {
  if (age(Now) > MaxStatusAge)
    return FiguresState::Outdated;
  return State.Loading ? FiguresState::Loading : FiguresState::Known;
}

} // namespace daisylanding::node
