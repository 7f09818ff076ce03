#include "cell/WorkspaceCaps.h"

#include "store/RowStore.h"

#include <algorithm>
#include <numeric>

namespace daisylanding::cell {

namespace {

/// Demand is stated in steps of this, and lowered no sooner than after the
/// interval, so that the row is seldom written.
constexpr int64_t WantedStep = WholeCap / 16;
constexpr int64_t BeyondStep = WholeCap / 64;
constexpr Millis RestateInterval{500};
/// Of a service's initial right: what it keeps while it wants nothing.
constexpr int64_t ReserveDivisor = 4;
/// Of the row's bytes, so that there is room for demand beside the grants.
constexpr size_t MaxGrantBytes = store::MaxRowBytes / 2;
constexpr size_t MaxStatementBytes = store::MaxRowBytes * 3 / 4;
/// Three numbers of at most 16 digits and their field's name.
constexpr size_t PartsBytes = 70;

PerResource<uint32_t> amountsOf(const Resources &Size) {
  return {Size.MilliCores, Size.MemoryMb, Size.Accelerators};
}

int64_t roundUp(int64_t Parts, int64_t Step) {
  return (Parts + Step - 1) / Step * Step;
}

/// Whether \p New is higher in some resource.
bool exceeds(const CapParts &New, const CapParts &Stated) {
  for (size_t I = 0; I < New.size(); ++I) {
    if (New[I] > Stated[I])
      return true;
  }
  return false;
}

bool hasDemand(const CapStatement &Statement) {
  return exceeds(Statement.Wanted, {}) || exceeds(Statement.Needed, {});
}

size_t grantBytes(std::string_view Workspace, std::string_view To) {
  return Workspace.size() + To.size() + PartsBytes;
}

} // namespace

const WorkspaceCaps::WorkspaceState *
WorkspaceCaps::find(std::string_view Name) const {
  auto Found = States.find(Name);
  return Found == States.end() ? nullptr : &Found->second;
}

WorkspaceCaps::WorkspaceState &WorkspaceCaps::stateOf(std::string_view Name) {
  auto Found = States.find(Name);
  if (Found != States.end())
    return Found->second;
  WorkspaceState &Added = States[std::string(Name)];
  refreshRights(Name, Added);
  return Added;
}

std::optional<size_t> WorkspaceCaps::indexOf(std::string_view Name) const {
  auto Found = std::lower_bound(Services.begin(), Services.end(), Name);
  if (Found == Services.end() || *Found != Name)
    return std::nullopt;
  return static_cast<size_t>(Found - Services.begin());
}

/// Returns whether the services are others than before.
bool WorkspaceCaps::setServices(const CellConfig &Config) {
  std::vector<std::string> New = Config.Services;
  // An owner may be left with jobs of a service that is no longer configured.
  New.push_back(Service);
  std::sort(New.begin(), New.end());
  New.erase(std::unique(New.begin(), New.end()), New.end());
  bool IsChanged = New != Services;
  Services = std::move(New);
  Self = *indexOf(Service);
  return IsChanged;
}

void WorkspaceCaps::setConfig(const CellConfig &Config) {
  // Versions between may have had higher caps.
  bool IsUnknownBefore = Config.Version != ConfigVersion + 1;
  ConfigVersion = Config.Version;
  IsStated = false;
  bool AreOtherServices = setServices(Config);
  for (const Workspace &Configured : Config.Workspaces) {
    WorkspaceState &State = stateOf(Configured.Name);
    if (IsUnknownBefore) {
      State.LoweredAt = ConfigVersion;
      State.IsBeforeKnown = false;
    } else if (State.IsConfigured &&
               (AreOtherServices || isLowered(State, Configured.Cap))) {
      noteLowered(State, Configured.Cap);
    }
    State.Cap = amountsOf(Configured.Cap);
    State.HasCap = Configured.Cap != Resources{};
    State.IsConfigured = true;
  }
  bool AnyCap =
      std::any_of(States.begin(), States.end(),
                  [](const auto &Entry) { return Entry.second.HasCap; });
  Shared = AnyCap && Services.size() > 1;
  for (auto &[Name, State] : States)
    refreshRights(Name, State);
  ++Revision;
}

bool WorkspaceCaps::isLowered(const WorkspaceState &State,
                              const Resources &Cap) const {
  PerResource<uint32_t> New = amountsOf(Cap);
  for (size_t I = 0; I < New.size(); ++I) {
    bool HadLimit = State.Cap[I] > 0;
    if (New[I] > 0 && (!HadLimit || New[I] < State.Cap[I]))
      return true;
  }
  return false;
}

/// Others may have more running than their rights by the new caps, or by those
/// of other services, allow.
void WorkspaceCaps::noteLowered(WorkspaceState &State,
                                const Resources &Cap) const {
  PerResource<uint32_t> New = amountsOf(Cap);
  bool IsSettled = isLoweringKnown(State);
  for (size_t I = 0; I < New.size(); ++I) {
    uint32_t Before = State.Cap[I];
    bool IsUnlimited = Before == 0 || (!IsSettled && State.CapBefore[I] == 0);
    uint32_t Highest = std::max(Before, IsSettled ? 0 : State.CapBefore[I]);
    State.CapBefore[I] = IsUnlimited ? 0 : std::max(Highest, New[I]);
  }
  State.IsBeforeKnown = IsSettled || State.IsBeforeKnown;
  State.LoweredAt = ConfigVersion;
}

/// Whether all other owners have stated what they use by the lowered cap. One
/// without a row has started nothing yet.
bool WorkspaceCaps::isLoweringKnown(const WorkspaceState &State) const {
  return std::all_of(Others.begin(), Others.end(), [&](const auto &Entry) {
    return !indexOf(Entry.first) ||
           Entry.second.Row.ConfigVersion >= State.LoweredAt;
  });
}

void WorkspaceCaps::addGrants(WorkspaceState &State, size_t From,
                              const CapStatement &Statement) const {
  for (const auto &[To, Parts] : Statement.Granted) {
    auto Receiver = indexOf(To);
    // Those to services that are no longer configured count for neither.
    if (!Receiver)
      continue;
    for (size_t I = 0; I < CappedResources; ++I) {
      State.Rights[I][From] -= Parts[I];
      State.Rights[I][*Receiver] += Parts[I];
    }
  }
}

/// Counts the rights and the demand of all services anew.
void WorkspaceCaps::refreshRights(std::string_view Name,
                                  WorkspaceState &State) const {
  for (std::vector<int64_t> &Rights : State.Rights) {
    Rights.resize(Services.size());
    for (size_t I = 0; I < Services.size(); ++I)
      Rights[I] = initialRight(I, Services.size());
  }
  State.BeyondElsewhere = {};
  State.IsWantedElsewhere = false;
  addGrants(State, Self, State.Own);
  for (const auto &[From, Other] : Others) {
    auto Index = indexOf(From);
    auto Found = Other.Row.Workspaces.find(Name);
    if (!Index || Found == Other.Row.Workspaces.end())
      continue;
    const CapStatement &Statement = Found->second;
    addGrants(State, *Index, Statement);
    State.IsWantedElsewhere |= hasDemand(Statement);
    for (size_t I = 0; I < CappedResources; ++I)
      State.BeyondElsewhere[I] += Statement.Beyond[I];
  }
  for (size_t I = 0; I < CappedResources; ++I) {
    State.Rights[I] = scaledRights(State.Rights[I]);
    State.OwnRight[I] = Services.empty() ? WholeCap : State.Rights[I][Self];
  }
}

void WorkspaceCaps::reserve(std::string_view Name, const Resources &Size) {
  if (!Name.empty())
    stateOf(Name).Used += Size;
}

void WorkspaceCaps::release(std::string_view Name, const Resources &Size) {
  auto Found = States.find(Name);
  if (Found == States.end())
    return;
  WorkspaceState &State = Found->second;
  State.Used -= Size;
  if (State.Used == Resources{} && !State.IsConfigured &&
      State.Own.Granted.empty())
    States.erase(Found);
}

Resources WorkspaceCaps::used(std::string_view Name) const {
  const WorkspaceState *State = find(Name);
  return State ? State->Used : Resources{};
}

Resources WorkspaceCaps::capOf(std::string_view Name) const {
  const WorkspaceState *State = find(Name);
  if (!State)
    return {};
  return {.MilliCores = State->Cap[0],
          .MemoryMb = State->Cap[1],
          .Accelerators = State->Cap[2]};
}

/// In a resource that has a limit.
uint64_t WorkspaceCaps::allowanceIn(const WorkspaceState &State, size_t Index,
                                    CapUse Use) const {
  if (!isReady())
    return 0;
  uint32_t Cap = State.Cap[Index];
  int64_t Right = State.OwnRight[Index];
  int64_t Beyond = State.BeyondElsewhere[Index];
  int64_t Owed = Use == CapUse::NotOwed ? State.Owed[Index] : 0;
  uint64_t Allowed = allowanceOf(Right - Owed, Cap);
  uint64_t Elsewhere = allowanceOf(Beyond, Cap) + (Beyond > 0 ? 1 : 0);
  if (!isLoweringKnown(State)) {
    uint32_t Before = State.IsBeforeKnown ? State.CapBefore[Index] : 0;
    if (Before == 0)
      return 0;
    // Others may still use their rights by the cap before.
    Allowed = std::min<uint64_t>(Allowed, Cap);
    uint64_t MostElsewhere = allowanceOf(WholeCap - Right + Beyond, Before) + 1;
    Allowed = std::min(Allowed, Cap - std::min<uint64_t>(Cap, MostElsewhere));
  }
  return Allowed - std::min(Allowed, Elsewhere);
}

Resources WorkspaceCaps::allowance(std::string_view Name) const {
  const WorkspaceState *State = find(Name);
  if (!State)
    return {};
  auto In = [&](size_t Index) {
    return State->Cap[Index] == 0 ? uint32_t{0}
                                  : static_cast<uint32_t>(allowanceIn(
                                        *State, Index, CapUse::NotOwed));
  };
  return {.MilliCores = In(0), .MemoryMb = In(1), .Accelerators = In(2)};
}

uint32_t WorkspaceCaps::placesFor(std::string_view Name, const Resources &Size,
                                  uint32_t MaxPlaces, CapUse Use) const {
  const WorkspaceState *State = find(Name);
  if (!State || !State->HasCap)
    return MaxPlaces;
  PerResource<uint32_t> Sizes = amountsOf(Size);
  PerResource<uint32_t> Used = amountsOf(State->Used);
  uint64_t Places = MaxPlaces;
  for (size_t I = 0; I < CappedResources; ++I) {
    if (State->Cap[I] == 0 || Sizes[I] == 0)
      continue;
    uint64_t Allowed = allowanceIn(*State, I, Use);
    uint64_t Left = Allowed - std::min<uint64_t>(Allowed, Used[I]);
    Places = std::min(Places, Left / Sizes[I]);
  }
  return static_cast<uint32_t>(Places);
}

void WorkspaceCaps::restore(const std::optional<CapRow> &Own) {
  Restored = true;
  HasRow = HasRow || Own.has_value();
  GrantBytes = 0;
  if (Own) {
    for (const auto &[Name, Statement] : Own->Workspaces) {
      stateOf(Name).Own.Granted = Statement.Granted;
      for (const auto &Grant : Statement.Granted)
        GrantBytes += grantBytes(Name, Grant.first);
    }
  }
  for (auto &[Name, State] : States)
    refreshRights(Name, State);
}

void WorkspaceCaps::addRow(const std::string &From, const CapRow &Row,
                           uint64_t Version) {
  if (From == Service)
    return;
  OtherRow &Known = Others[From];
  if (Version <= Known.Version)
    return;
  Known = {.Row = Row, .Version = Version};
  for (auto &[Name, State] : States)
    refreshRights(Name, State);
}

void WorkspaceCaps::beginTurn() {
  for (auto &[Name, State] : States) {
    State.Waiting = {};
    State.Needed = {};
    State.Width = {};
    State.IsHeld = false;
  }
}

void WorkspaceCaps::noteWanted(std::string_view Name, const Resources &Size,
                               uint32_t Count) {
  auto Found = States.find(Name);
  if (Found == States.end() || !Found->second.HasCap || Count == 0)
    return;
  WorkspaceState &State = Found->second;
  bool IsFirstHeld = !State.IsHeld && placesFor(Name, Size, 1) == 0;
  State.IsHeld = State.IsHeld || IsFirstHeld;
  PerResource<uint32_t> Sizes = amountsOf(Size);
  PerResource<uint32_t> Used = amountsOf(State.Used);
  for (size_t I = 0; I < CappedResources; ++I) {
    State.Waiting[I] += static_cast<uint64_t>(Sizes[I]) * Count;
    State.Width[I] = std::max<uint64_t>(State.Width[I], Sizes[I]);
    State.KeepsReserve[I] = State.KeepsReserve[I] || Sizes[I] > 0;
    if (IsFirstHeld && Sizes[I] > 0)
      State.Needed[I] = static_cast<uint64_t>(Used[I]) + Sizes[I];
  }
}

std::vector<CapClaim> WorkspaceCaps::claimsOf(std::string_view Name,
                                              const WorkspaceState &State,
                                              size_t Index) const {
  std::vector<CapClaim> Claims(Services.size());
  for (size_t I = 0; I < Services.size(); ++I)
    Claims[I].Wanted = Claims[I].Right = State.Rights[Index][I];
  for (const auto &[From, Other] : Others) {
    auto Service = indexOf(From);
    auto Found = Other.Row.Workspaces.find(Name);
    if (!Service || Found == Other.Row.Workspaces.end())
      continue;
    const CapStatement &Statement = Found->second;
    if (Statement.Wanted[Index] > 0)
      Claims[*Service].Wanted = Statement.Wanted[Index];
    Claims[*Service].Needed = Statement.Needed[Index];
    Claims[*Service].Width = Statement.Width[Index];
  }
  uint32_t Cap = State.Cap[Index];
  uint64_t Used = amountsOf(State.Used)[Index];
  Claims[Self].Wanted = partsFor(Used + State.Waiting[Index], Cap);
  Claims[Self].Needed = partsFor(State.Needed[Index], Cap);
  Claims[Self].Width = partsFor(State.Width[Index], Cap);
  return Claims;
}

/// Whether the row, which keeps all grants for good, has room for one more.
bool WorkspaceCaps::hasRoomForGrant(const WorkspaceState &State,
                                    std::string_view Name,
                                    const std::string &To) const {
  return State.Own.Granted.count(To) > 0 ||
         GrantBytes + grantBytes(Name, To) <= MaxGrantBytes;
}

/// Grants rights to the workspace, and notes which ones are owed.
void WorkspaceCaps::decide(const std::string &Name, WorkspaceState &State,
                           std::vector<CapGrant> &Decided) {
  State.Owed = {};
  if (!State.IsWantedElsewhere)
    return;
  std::vector<CapParts> Grants(Services.size());
  PerResource<uint32_t> Used = amountsOf(State.Used);
  for (size_t I = 0; I < CappedResources; ++I) {
    if (State.Cap[I] == 0)
      continue;
    CapGiver Giver{.Index = Self, .Used = partsFor(Used[I], State.Cap[I])};
    if (State.KeepsReserve[I])
      Giver.Reserve = initialRight(Self, Services.size()) / ReserveDivisor;
    CapDecision Decision = decideGrants(claimsOf(Name, State, I), Giver);
    State.Owed[I] = Decision.Owed;
    for (size_t To = 0; To < Services.size(); ++To)
      Grants[To][I] = Decision.Grants[To];
  }
  for (size_t To = 0; To < Services.size(); ++To) {
    if (!exceeds(Grants[To], {}) || !hasRoomForGrant(State, Name, Services[To]))
      continue;
    auto [Sum, IsNew] = State.Own.Granted.try_emplace(Services[To]);
    GrantBytes += IsNew ? grantBytes(Name, Services[To]) : 0;
    for (size_t I = 0; I < CappedResources; ++I)
      Sum->second[I] += Grants[To][I];
    ++Revision;
    refreshRights(Name, State);
    Decided.push_back({.Workspace = Name,
                       .Service = Services[To],
                       .Parts = Grants[To],
                       .RightLeft = State.OwnRight});
  }
}

/// States demand and use beyond the right; more at once, less after a while.
void WorkspaceCaps::restate(WorkspaceState &State, TimePoint Now) {
  CapStatement New;
  PerResource<uint32_t> Used = amountsOf(State.Used);
  for (size_t I = 0; I < CappedResources; ++I) {
    uint32_t Cap = State.Cap[I];
    int64_t Right = State.OwnRight[I];
    int64_t Beyond = partsFor(Used[I], Cap) - Right;
    if (Beyond > 0)
      New.Beyond[I] = roundUp(Beyond, BeyondStep);
    int64_t Wanted = partsFor(Used[I] + State.Waiting[I], Cap);
    if (Wanted <= Right || State.Waiting[I] == 0)
      continue;
    New.Wanted[I] = std::min(roundUp(Wanted, WantedStep), WholeCap);
    New.Width[I] = std::min(partsFor(State.Width[I], Cap), WholeCap);
    int64_t Needed = partsFor(State.Needed[I], Cap);
    if (Needed > Right)
      New.Needed[I] = std::min(Needed, WholeCap);
  }
  CapStatement &Stated = State.Own;
  New.Granted = Stated.Granted;
  bool IsMore = exceeds(New.Wanted, Stated.Wanted) ||
                exceeds(New.Needed, Stated.Needed) ||
                exceeds(New.Width, Stated.Width) ||
                exceeds(New.Beyond, Stated.Beyond);
  if (New == Stated || (!IsMore && Now < State.StatedAt + RestateInterval))
    return;
  Stated = std::move(New);
  State.StatedAt = Now;
  ++Revision;
}

std::vector<CapGrant> WorkspaceCaps::endTurn(TimePoint Now) {
  std::vector<CapGrant> Decided;
  if (!Shared || !Restored)
    return Decided;
  IsStated = true;
  for (auto &[Name, State] : States) {
    if (!State.HasCap)
      continue;
    decide(Name, State, Decided);
    restate(State, Now);
  }
  return Decided;
}

/// All grants; use beyond rights and demand, as far as there is room. Without
/// room for all use beyond rights it is as if the caps of the configuration
/// weren't known yet, so others start nothing that it leaves no room for.
CapRow WorkspaceCaps::row() {
  CapRow Row{.Service = Service, .ConfigVersion = ConfigVersion};
  size_t Bytes = GrantBytes;
  for (const auto &[Name, State] : States) {
    if (!State.Own.Granted.empty())
      Row.Workspaces[Name].Granted = State.Own.Granted;
  }
  auto HasRoom = [&](const std::string &Name, size_t Fields) {
    size_t Added = Name.size() + Fields * PartsBytes;
    bool Fits = Bytes + Added <= MaxStatementBytes;
    Bytes += Fits ? Added : 0;
    return Fits;
  };
  for (const auto &[Name, State] : States) {
    if (!exceeds(State.Own.Beyond, {}))
      continue;
    if (HasRoom(Name, 1))
      Row.Workspaces[Name].Beyond = State.Own.Beyond;
    else
      Row.ConfigVersion = StatedVersion;
  }
  StatedVersion = Row.ConfigVersion;
  constexpr size_t DemandFields = 3;
  LeftOut = 0;
  for (const auto &[Name, State] : States) {
    if (!hasDemand(State.Own))
      continue;
    if (!HasRoom(Name, DemandFields)) {
      ++LeftOut;
      continue;
    }
    CapStatement &Stated = Row.Workspaces[Name];
    Stated.Wanted = State.Own.Wanted;
    Stated.Needed = State.Own.Needed;
    Stated.Width = State.Own.Width;
  }
  return Row;
}

} // namespace daisylanding::cell
