#include "entry/ServiceState.h"

#include <algorithm>

namespace daisylanding::entry {

namespace {

constexpr double MeanSmoothingFactor = 0.05;

std::vector<Millis> waitingTargets(const config::ClusterConfig &Config) {
  std::vector<Millis> WaitingTargets;
  for (const config::WorkClass &Class : Config.Classes)
    WaitingTargets.push_back(Class.WaitingTarget);
  return WaitingTargets;
}

} // namespace

ServiceState::ServiceState(const config::ServiceSpec &Spec,
                           const config::ClusterConfig &Config,
                           size_t MaxWaiting)
    : MaxWaiting(MaxWaiting), Queue({}) {
  configure(Spec, Config);
}

void ServiceState::configure(const config::ServiceSpec &NewSpec,
                             const config::ClusterConfig &Config) {
  Spec = NewSpec;
  std::vector<std::string> OldClassNames;
  std::swap(OldClassNames, ClassNames);
  for (const config::WorkClass &Class : Config.Classes)
    ClassNames.push_back(Class.Name);
  std::vector<Millis> NewWaitingTargets = waitingTargets(Config);
  if (OldClassNames == ClassNames && NewWaitingTargets == WaitingTargets)
    return;
  WaitingTargets = std::move(NewWaitingTargets);
  std::vector<policy::QueuedRequest> Waiting = Queue.drain();
  Queue = policy::RequestQueue(
      {.WaitingTargets = WaitingTargets, .MaxWaiting = MaxWaiting});
  for (policy::QueuedRequest &Request : Waiting) {
    Request.Class = classIndex(OldClassNames[Request.Class]);
    Queue.enqueueAdmitted(Request);
  }
}

uint32_t ServiceState::classIndex(std::string_view Name) const {
  for (std::string_view Candidate : {Name, std::string_view(Spec.Class)}) {
    auto Found = std::find(ClassNames.begin(), ClassNames.end(), Candidate);
    if (Found != ClassNames.end())
      return static_cast<uint32_t>(Found - ClassNames.begin());
  }
  return 0;
}

size_t ServiceState::findOrAddEndpoint(const table::Instance &Instance) {
  for (size_t I = 0; I < Endpoints.size(); ++I) {
    if (Endpoints[I].Name != Instance.Name)
      continue;
    if (Endpoints[I].Address != Instance.Address) {
      Endpoints[I].Address = Instance.Address;
      Outliers.reset(I);
      EndpointViews[I].LatencyMs = 0;
      EndpointViews[I].FailureRate = 0;
    }
    return I;
  }
  Endpoints.push_back({.Name = Instance.Name, .Address = Instance.Address});
  EndpointViews.emplace_back();
  Outliers.resize(Endpoints.size());
  return Endpoints.size() - 1;
}

void ServiceState::applyInstanceList(const table::InstanceSnapshot &List,
                                     const std::set<std::string> &Drained,
                                     std::string_view Zone) {
  for (EndpointInfo &Endpoint : Endpoints)
    Endpoint.Listed = false;
  for (const table::Instance &Instance : List.Instances) {
    if (Instance.Kind != table::Role::Endpoint ||
        Instance.Service != Spec.Name || Instance.AvailabilityZone != Zone ||
        Instance.Leaving || Drained.count(Instance.Name))
      continue;
    Endpoints[findOrAddEndpoint(Instance)].Listed = true;
  }
}

void ServiceState::applyCredits(const policy::CreditTable &Table,
                                const std::string &Holder) {
  for (size_t I = 0; I < Endpoints.size(); ++I) {
    uint32_t Held = 0;
    auto Found = Table.Endpoints.find(Endpoints[I].Name);
    if (Found != Table.Endpoints.end()) {
      auto Holding = Found->second.HeldSlots.find(Holder);
      Held = Holding == Found->second.HeldSlots.end() ? 0 : Holding->second;
    }
    EndpointViews[I].Credits = Held;
  }
}

void ServiceState::withdrawCredits(
    const std::map<std::string, uint32_t> &Given) {
  for (size_t I = 0; I < Endpoints.size(); ++I) {
    auto Found = Given.find(Endpoints[I].Name);
    if (Found == Given.end())
      continue;
    EndpointViews[I].Credits -=
        std::min(EndpointViews[I].Credits, Found->second);
  }
}

void ServiceState::refreshUsable(TimePoint Now) {
  for (size_t I = 0; I < Endpoints.size(); ++I)
    EndpointViews[I].Usable =
        Endpoints[I].Listed && Outliers.isAvailable(I, Now);
}

std::optional<size_t> ServiceState::pickEndpoint(std::optional<size_t> Exclude,
                                                 TimePoint Now,
                                                 Random &Generator) {
  refreshUsable(Now);
  auto Best = policy::pickEndpoint(EndpointViews, Exclude, Generator);
  // If only the excluded endpoint is left, use it.
  if (!Best && Exclude)
    Best = policy::pickEndpoint(EndpointViews, std::nullopt, Generator);
  return Best;
}

void ServiceState::onSent(size_t EndpointIndex, TimePoint Now) {
  ++EndpointViews[EndpointIndex].InFlight;
  Outliers.recordUse(EndpointIndex, Now);
}

void ServiceState::onEnded(size_t EndpointIndex, Micros Latency, bool Succeeded,
                           TimePoint Now) {
  --EndpointViews[EndpointIndex].InFlight;
  policy::recordOutcome(EndpointViews[EndpointIndex], Latency, Succeeded);
  if (Succeeded)
    Outliers.recordSuccess(EndpointIndex);
  else
    Outliers.recordFailure(EndpointIndex, Now);
  constexpr double MicrosPerMilli = 1'000;
  double Milliseconds = static_cast<double>(Latency.count()) / MicrosPerMilli;
  if (MeanServiceMs == 0)
    MeanServiceMs = Milliseconds;
  MeanServiceMs += MeanSmoothingFactor * (Milliseconds - MeanServiceMs);
}

void ServiceState::onUnresolved(size_t EndpointIndex, TimePoint Until,
                                TimePoint Now) {
  UnresolvedUntil.emplace(Until, EndpointIndex);
  policy::recordOutcome(EndpointViews[EndpointIndex], Until - Now, false);
  Outliers.recordFailure(EndpointIndex, Now);
}

void ServiceState::releaseExpiredSlots(TimePoint Now) {
  while (!UnresolvedUntil.empty() && UnresolvedUntil.begin()->first <= Now) {
    --EndpointViews[UnresolvedUntil.begin()->second].InFlight;
    UnresolvedUntil.erase(UnresolvedUntil.begin());
  }
}

policy::HolderState
ServiceState::creditDemand(const std::string &Holder) const {
  policy::HolderState Demand{.Name = Holder};
  for (size_t I = 0; I < Endpoints.size(); ++I) {
    if (uint32_t Free = EndpointViews[I].freeCredits())
      Demand.IdleSlots[Endpoints[I].Name] = Free;
  }
  return Demand;
}

std::map<std::string, uint32_t> ServiceState::listedSlots() const {
  std::map<std::string, uint32_t> Slots;
  for (const EndpointInfo &Endpoint : Endpoints) {
    if (Endpoint.Listed)
      Slots[Endpoint.Name] = Spec.SlotsPerEndpoint;
  }
  return Slots;
}

int64_t ServiceState::netFreeSlots(TimePoint Now) const {
  auto FreeSlots = -static_cast<int64_t>(Queue.waiting());
  for (size_t I = 0; I < Endpoints.size(); ++I) {
    if (Endpoints[I].Listed && Outliers.isAvailable(I, Now))
      FreeSlots += EndpointViews[I].freeCredits();
  }
  return FreeSlots;
}

bool ServiceState::hasCredits() const {
  for (size_t I = 0; I < Endpoints.size(); ++I) {
    if (Endpoints[I].Listed && EndpointViews[I].Credits > 0)
      return true;
  }
  return false;
}

Micros ServiceState::meanServiceTime() const {
  constexpr double MicrosPerMilli = 1'000;
  return Micros(static_cast<int64_t>(MeanServiceMs * MicrosPerMilli));
}

double ServiceState::startsPerSecond() const {
  if (MeanServiceMs <= 0)
    return 0;
  uint32_t Credits = 0;
  for (size_t I = 0; I < Endpoints.size(); ++I)
    Credits += Endpoints[I].Listed ? EndpointViews[I].Credits : 0;
  constexpr double MillisPerSecond = 1'000;
  return Credits * MillisPerSecond / MeanServiceMs;
}

} // namespace daisylanding::entry
