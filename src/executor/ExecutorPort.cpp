#include "executor/ExecutorPort.h"

#include <array>

namespace daisylanding::executor {

std::string_view outcomeName(OrderOutcome Outcome) {
  constexpr std::array<std::string_view, 11> Names = {
      "done",     "fenced",   "run-too-low", "lease-too-late",
      "no-room",  "ticket",   "rejected",    "unhealthy",
      "replaced", "not-sent", "unknown"};
  return Names[static_cast<size_t>(Outcome)];
}

std::string_view endName(EndKind Kind) {
  constexpr std::array<std::string_view, 6> Names = {
      "done", "failed", "stopped", "lapsed", "broken", "alone"};
  return Names[static_cast<size_t>(Kind)];
}

} // namespace daisylanding::executor
