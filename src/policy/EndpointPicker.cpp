#include "policy/EndpointPicker.h"

namespace daisylanding::policy {

namespace {

constexpr double SmoothingWeight = 0.1;

/// Assumed for an endpoint without any answer yet.
constexpr double InitialLatencyMs = 1;

/// Cost of a failure, in multiples of the latency.
constexpr double FailureCost = 10;

/// Random spread that breaks ties; small compared with real differences.
constexpr double TieBreakSpread = 0.05;

double expectedMs(const EndpointView &View) {
  double Latency = View.LatencyMs > 0 ? View.LatencyMs : InitialLatencyMs;
  double Load = static_cast<double>(View.InFlight + 1) /
                static_cast<double>(View.Credits);
  return Latency * (1 + Load) * (1 + FailureCost * View.FailureRate);
}

} // namespace

std::optional<size_t> pickEndpoint(std::span<const EndpointView> Endpoints,
                                   std::optional<size_t> Exclude,
                                   Random &Generator) {
  std::optional<size_t> Best;
  double BestCost = 0;
  for (size_t I = 0; I < Endpoints.size(); ++I) {
    const EndpointView &View = Endpoints[I];
    if (!View.Usable || View.freeCredits() == 0 || Exclude == I)
      continue;
    double Cost = expectedMs(View) * (1 + TieBreakSpread * Generator.uniform());
    if (Best && Cost >= BestCost)
      continue;
    Best = I;
    BestCost = Cost;
  }
  return Best;
}

void recordOutcome(EndpointView &View, Micros Latency, bool Succeeded) {
  constexpr double MicrosPerMilli = 1'000;
  double Milliseconds = static_cast<double>(Latency.count()) / MicrosPerMilli;
  double Failure = Succeeded ? 0 : 1;
  View.FailureRate += SmoothingWeight * (Failure - View.FailureRate);
  if (View.LatencyMs == 0)
    View.LatencyMs = Milliseconds;
  View.LatencyMs += SmoothingWeight * (Milliseconds - View.LatencyMs);
}

} // namespace daisylanding::policy
