#ifndef DAISYLANDING_POLICY_ENDPOINTPICKER_H
#define DAISYLANDING_POLICY_ENDPOINTPICKER_H

#include "common/Random.h"
#include "common/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace daisylanding::policy {

/// State of one endpoint as known to this entry.
struct EndpointView {
  uint32_t Credits = 0;   ///< Slots that this entry may use.
  uint32_t InFlight = 0;  ///< Slots in use, including unresolved requests.
  bool Usable = true;     ///< Not leaving, drained or ejected.
  double LatencyMs = 0;   ///< Moving average; 0 when unknown.
  double FailureRate = 0; ///< Moving average, 0 to 1.

  uint32_t freeCredits() const {
    return Credits > InFlight ? Credits - InFlight : 0;
  }
};

/// Returns the index of the endpoint with the lowest expected time to a
/// successful answer among those with a free credit, or nothing if there is
/// none. \p Exclude is the index of an endpoint that was already tried.
std::optional<size_t> pickEndpoint(std::span<const EndpointView> Endpoints,
                                   std::optional<size_t> Exclude,
                                   Random &Generator);

/// Updates the moving averages of \p View with one result.
void recordOutcome(EndpointView &View, Micros Latency, bool Succeeded);

} // namespace daisylanding::policy

#endif
