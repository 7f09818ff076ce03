#ifndef DAISYLANDING_POLICY_ENDPOINTPICKER_H
#define DAISYLANDING_POLICY_ENDPOINTPICKER_H

#include "common/Random.h"
#include "common/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace daisylanding::policy {

/// What this entry knows of one endpoint when it chooses.
struct EndpointView {
  uint32_t Credits = 0;   ///< Slots this entry may use at once.
  uint32_t InFlight = 0;  ///< Slots in use, unresolved ones included.
  bool Usable = true;     ///< Not leaving, drained or ejected.
  double LatencyMs = 0;   ///< Moving mean; 0 when nothing is known.
  double FailureRate = 0; ///< Moving mean, 0 to 1.

  uint32_t freeCredits() const {
    return Credits > InFlight ? Credits - InFlight : 0;
  }
};

/// Chooses the endpoint with the lowest expected time to a good answer among
/// those with a free credit; \p Exclude (an index) was tried already. None
/// when no endpoint can take the request.
std::optional<size_t> pickEndpoint(std::span<const EndpointView> Endpoints,
                                   std::optional<size_t> Exclude,
                                   Random &Generator);

/// Folds one observation into \p View.
void recordOutcome(EndpointView &View, Micros Latency, bool Succeeded);

} // namespace daisylanding::policy

#endif
