#include "entry/ServiceState.h"

#include <algorithm>

namespace daisylanding::entry {

namespace {

constexpr double MeanSmoothing = 0.05;

std::vector<Millis> targetsOf(const config::ClusterConfig &Config) {
  std::vector<Millis> Out;
  for (const config::WorkClass &Each : Config.Classes)
    Out.push_back(Each.WaitingTarget);
  return Out;
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
  std::vector<std::string> OldNames;
  std::swap(OldNames, ClassNames);
  for (const config::WorkClass &Each : Config.Classes)
    ClassNames.push_back(Each.Name);
  std::vector<Millis> NewTargets = targetsOf(Config);
  if (OldNames == ClassNames && NewTargets == Targets)
    return;
  Targets = std::move(NewTargets);
  std::vector<policy::QueuedRequest> Kept = Queue.drain();
  Queue = policy::RequestQueue(
      {.WaitingTargets = Targets, .MaxWaiting = MaxWaiting});
  for (policy::QueuedRequest &Each : Kept) {
    Each.Class = classOf(OldNames[Each.Class]);
    Queue.enqueueAdmitted(Each);
  }
}

uint32_t ServiceState::classOf(std::string_view Name) const {
  for (std::string_view Wanted : {Name, std::string_view(Spec.Class)}) {
    auto Found = std::find(ClassNames.begin(), ClassNames.end(), Wanted);
    if (Found != ClassNames.end())
      return static_cast<uint32_t>(Found - ClassNames.begin());
  }
  return 0;
}

size_t ServiceState::indexOf(const table::Instance &Each) {
  for (size_t I = 0; I < Slots.size(); ++I) {
    if (Slots[I].Name != Each.Name)
      continue;
    if (Slots[I].Address != Each.Address) {
      Slots[I].Address = Each.Address;
      Outliers.reset(I);
      Views[I].LatencyMs = 0;
      Views[I].FailureRate = 0;
    }
    return I;
  }
  Slots.push_back({.Name = Each.Name, .Address = Each.Address});
  Views.emplace_back();
  Outliers.resize(Slots.size());
  return Slots.size() - 1;
}

void ServiceState::applyList(const table::InstanceSnapshot &List,
                             const std::set<std::string> &Drained,
                             std::string_view Zone) {
  for (EndpointSlot &Each : Slots)
    Each.Listed = false;
  for (const table::Instance &Each : List.Instances) {
    if (Each.Kind != table::Role::Endpoint || Each.Service != Spec.Name ||
        Each.AvailabilityZone != Zone || Each.Leaving ||
        Drained.count(Each.Name))
      continue;
    Slots[indexOf(Each)].Listed = true;
  }
}

void ServiceState::applyCredits(const policy::CreditTable &Table,
                                const std::string &Holder) {
  for (size_t I = 0; I < Slots.size(); ++I) {
    uint32_t Held = 0;
    auto Found = Table.Endpoints.find(Slots[I].Name);
    if (Found != Table.Endpoints.end()) {
      auto Mine = Found->second.HeldSlots.find(Holder);
      Held = Mine == Found->second.HeldSlots.end() ? 0 : Mine->second;
    }
    Views[I].Credits = Held;
  }
}

void ServiceState::reduce(const std::map<std::string, uint32_t> &Given) {
  for (size_t I = 0; I < Slots.size(); ++I) {
    auto Found = Given.find(Slots[I].Name);
    if (Found == Given.end())
      continue;
    Views[I].Credits -= std::min(Views[I].Credits, Found->second);
  }
}

void ServiceState::refreshUsable(TimePoint Now) {
  for (size_t I = 0; I < Slots.size(); ++I)
    Views[I].Usable = Slots[I].Listed && Outliers.isAvailable(I, Now);
}

std::optional<size_t> ServiceState::pick(std::optional<size_t> Exclude,
                                         TimePoint Now, Random &Generator) {
  refreshUsable(Now);
  auto Best = policy::pickEndpoint(Views, Exclude, Generator);
  // With one endpoint left, the one that failed is better than none.
  if (!Best && Exclude)
    Best = policy::pickEndpoint(Views, std::nullopt, Generator);
  return Best;
}

void ServiceState::sent(size_t Endpoint, TimePoint Now) {
  ++Views[Endpoint].InFlight;
  Outliers.recordUse(Endpoint, Now);
}

void ServiceState::ended(size_t Endpoint, Micros Latency, bool Good,
                         TimePoint Now) {
  --Views[Endpoint].InFlight;
  policy::recordOutcome(Views[Endpoint], Latency, Good);
  if (Good)
    Outliers.recordSuccess(Endpoint);
  else
    Outliers.recordFailure(Endpoint, Now);
  constexpr double MicrosPerMilli = 1'000;
  double Milliseconds = static_cast<double>(Latency.count()) / MicrosPerMilli;
  if (MeanServiceMs == 0)
    MeanServiceMs = Milliseconds;
  MeanServiceMs += MeanSmoothing * (Milliseconds - MeanServiceMs);
}

void ServiceState::unresolved(size_t Endpoint, TimePoint Until, TimePoint Now) {
  Unresolved.emplace(Until, Endpoint);
  policy::recordOutcome(Views[Endpoint], Until - Now, false);
  Outliers.recordFailure(Endpoint, Now);
}

void ServiceState::releaseResolved(TimePoint Now) {
  while (!Unresolved.empty() && Unresolved.begin()->first <= Now) {
    --Views[Unresolved.begin()->second].InFlight;
    Unresolved.erase(Unresolved.begin());
  }
}

policy::HolderState ServiceState::demand(const std::string &Holder) const {
  policy::HolderState Out{.Name = Holder};
  for (size_t I = 0; I < Slots.size(); ++I) {
    if (uint32_t Free = Views[I].freeCredits())
      Out.IdleSlots[Slots[I].Name] = Free;
  }
  return Out;
}

std::map<std::string, uint32_t> ServiceState::slotsInList() const {
  std::map<std::string, uint32_t> Out;
  for (const EndpointSlot &Each : Slots) {
    if (Each.Listed)
      Out[Each.Name] = Spec.SlotsPerEndpoint;
  }
  return Out;
}

int64_t ServiceState::spareSlots(TimePoint Now) const {
  auto Sum = -static_cast<int64_t>(Queue.waiting());
  for (size_t I = 0; I < Slots.size(); ++I) {
    if (Slots[I].Listed && Outliers.isAvailable(I, Now))
      Sum += Views[I].freeCredits();
  }
  return Sum;
}

bool ServiceState::hasCredits() const {
  for (size_t I = 0; I < Slots.size(); ++I) {
    if (Slots[I].Listed && Views[I].Credits > 0)
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
  for (size_t I = 0; I < Slots.size(); ++I)
    Credits += Slots[I].Listed ? Views[I].Credits : 0;
  constexpr double MillisPerSecond = 1'000;
  return Credits * MillisPerSecond / MeanServiceMs;
}

} // namespace daisylanding::entry
