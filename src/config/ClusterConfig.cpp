#include "config/ClusterConfig.h"

#include "config/Fields.h"
#include "table/Wire.h"

#include <algorithm>
#include <array>

namespace daisylanding::config {

using nlohmann::json;

namespace {

constexpr int64_t MaxWaitingTargetMs = 86'400'000;
constexpr int64_t MaxRunLimitMs = 3'600'000;
constexpr int64_t MaxSlotsPerEndpoint = 1'024;
constexpr int64_t MaxQuotaAmount = 1'000'000'000;

template <typename Item>
const Item *findByName(const std::vector<Item> &Items, std::string_view Name) {
  auto It =
      std::find_if(Items.begin(), Items.end(), [&](const Item &Candidate) {
        return Candidate.Name == Name;
      });
  return It == Items.end() ? nullptr : &*It;
}

template <typename Item> void upsert(std::vector<Item> &Items, Item Value) {
  for (Item &Existing : Items) {
    if (Existing.Name == Value.Name) {
      Existing = std::move(Value);
      return;
    }
  }
  Items.push_back(std::move(Value));
}

template <typename Item>
bool eraseByName(std::vector<Item> &Items, std::string_view Name) {
  return std::erase_if(Items, [&](const Item &Candidate) {
           return Candidate.Name == Name;
         }) > 0;
}

json classToJson(const WorkClass &Class) {
  return {{"name", Class.Name},
          {"waiting_ms", Class.WaitingTarget.count()},
          {"packing", Class.PackingTarget},
          {"on_zone_loss",
           Class.ZoneLoss == ZoneLossPolicy::Move ? "move" : "hold"}};
}

json serviceToJson(const ServiceSpec &Service) {
  return {{"name", Service.Name},
          {"class", Service.Class},
          {"run_limit_ms", Service.RunLimit.count()},
          {"slots_per_endpoint", Service.SlotsPerEndpoint}};
}

json teamToJson(const Team &Spec) {
  json Object = table::resourcesToJson(Spec.Quota);
  Object["name"] = Spec.Name;
  return Object;
}

WorkClass readClass(FieldReader &Fields) {
  WorkClass Class;
  Class.Name = Fields.name("name");
  Class.WaitingTarget =
      Millis(Fields.integer("waiting_ms", 1'000, 1, MaxWaitingTargetMs));
  Class.PackingTarget = Fields.fraction("packing", 0.5);
  bool Move = Fields.choice("on_zone_loss", {"hold", "move"}) == 1;
  Class.ZoneLoss = Move ? ZoneLossPolicy::Move : ZoneLossPolicy::Hold;
  Fields.finish();
  return Class;
}

ServiceSpec readService(FieldReader &Fields) {
  ServiceSpec Service;
  Service.Name = Fields.name("name");
  Service.Class = Fields.name("class");
  Service.RunLimit =
      Millis(Fields.integer("run_limit_ms", 30'000, 1, MaxRunLimitMs));
  Service.SlotsPerEndpoint = static_cast<uint32_t>(
      Fields.integer("slots_per_endpoint", 8, 1, MaxSlotsPerEndpoint));
  Fields.finish();
  return Service;
}

Team readTeam(FieldReader &Fields) {
  Team Parsed;
  Parsed.Name = Fields.name("name");
  Parsed.Quota = readResources(Fields, MaxQuotaAmount);
  Fields.finish();
  return Parsed;
}

constexpr std::array<std::string_view, 8> ChangeNames = {
    "set-class", "remove-class", "set-service",    "remove-service",
    "set-team",  "remove-team",  "drain-instance", "undrain-instance"};

/// Whether \p Change leaves no service with a class that does not exist.
bool referencesExist(const ClusterConfig &Config, const ConfigChange &Change,
                     InputProblem &Problem) {
  if (Change.Kind == ChangeKind::SetService &&
      !Config.findClass(Change.Service.Class)) {
    Problem = {Errc::NotFound, "class", "the name of a class"};
    return false;
  }
  if (Change.Kind != ChangeKind::RemoveClass)
    return true;
  bool Used = std::any_of(
      Config.Services.begin(), Config.Services.end(),
      [&](const ServiceSpec &Service) { return Service.Class == Change.Name; });
  if (Used)
    Problem = {Errc::Conflict, "name", "a class that no service uses"};
  return !Used;
}

bool performChange(ClusterConfig &Config, const ConfigChange &Change) {
  switch (Change.Kind) {
  case ChangeKind::SetClass:
    upsert(Config.Classes, Change.Class);
    return true;
  case ChangeKind::RemoveClass:
    return eraseByName(Config.Classes, Change.Name);
  case ChangeKind::SetService:
    upsert(Config.Services, Change.Service);
    return true;
  case ChangeKind::RemoveService:
    return eraseByName(Config.Services, Change.Name);
  case ChangeKind::SetTeam:
    upsert(Config.Teams, Change.ChangedTeam);
    return true;
  case ChangeKind::RemoveTeam:
    return eraseByName(Config.Teams, Change.Name);
  case ChangeKind::DrainInstance:
    Config.DrainedInstances.insert(Change.Name);
    return true;
  case ChangeKind::UndrainInstance:
    return Config.DrainedInstances.erase(Change.Name) > 0;
  }
  return false;
}

} // namespace

const WorkClass *ClusterConfig::findClass(std::string_view Name) const {
  return findByName(Classes, Name);
}

const ServiceSpec *ClusterConfig::findService(std::string_view Name) const {
  return findByName(Services, Name);
}

const Team *ClusterConfig::findTeam(std::string_view Name) const {
  return findByName(Teams, Name);
}

std::error_code applyChange(ClusterConfig &Config, const ConfigChange &Change,
                            InputProblem &Problem) {
  if (!referencesExist(Config, Change, Problem))
    return Problem.Code;
  if (!performChange(Config, Change)) {
    Problem = {Errc::NotFound, "name", "an existing name"};
    return Problem.Code;
  }
  ++Config.Version;
  return {};
}

json configToJson(const ClusterConfig &Config) {
  json Object = {{"version", Config.Version},
                 {"classes", json::array()},
                 {"services", json::array()},
                 {"teams", json::array()},
                 {"drained", Config.DrainedInstances},
                 {"recent_changes", Config.RecentChangeIds}};
  for (const WorkClass &Class : Config.Classes)
    Object["classes"].push_back(classToJson(Class));
  for (const ServiceSpec &Service : Config.Services)
    Object["services"].push_back(serviceToJson(Service));
  for (const Team &Item : Config.Teams)
    Object["teams"].push_back(teamToJson(Item));
  return Object;
}

Result<ClusterConfig> configFromText(std::string_view Text) {
  json Root = json::parse(Text, nullptr, false);
  if (!Root.is_object())
    return Errc::Malformed;
  InputProblem Problem;
  ClusterConfig Config;
  try {
    Config.Version = Root.at("version");
    Config.DrainedInstances = Root.at("drained").get<std::set<std::string>>();
    Config.RecentChangeIds =
        Root.at("recent_changes").get<std::vector<std::string>>();
    for (const json &ClassObject : Root.at("classes")) {
      FieldReader Fields(ClassObject, Problem);
      Config.Classes.push_back(readClass(Fields));
    }
    for (const json &ServiceObject : Root.at("services")) {
      FieldReader Fields(ServiceObject, Problem);
      Config.Services.push_back(readService(Fields));
    }
    for (const json &TeamObject : Root.at("teams")) {
      FieldReader Fields(TeamObject, Problem);
      Config.Teams.push_back(readTeam(Fields));
    }
  } catch (const json::exception &) {
    return Errc::Malformed;
  }
  if (!Problem.Field.empty())
    return Problem.Code;
  return Config;
}

json changeToJson(const ConfigChange &Change) {
  json Object;
  switch (Change.Kind) {
  case ChangeKind::SetClass:
    Object = classToJson(Change.Class);
    break;
  case ChangeKind::SetService:
    Object = serviceToJson(Change.Service);
    break;
  case ChangeKind::SetTeam:
    Object = teamToJson(Change.ChangedTeam);
    break;
  default:
    Object = {{"name", Change.Name}};
  }
  Object["kind"] = ChangeNames.at(static_cast<size_t>(Change.Kind));
  return Object;
}

Result<ConfigChange> changeFromJson(const json &Object, InputProblem &Problem) {
  Problem = {};
  FieldReader Fields(Object, Problem);
  ConfigChange Change;
  Change.Kind = static_cast<ChangeKind>(
      Fields.choice("kind", {ChangeNames.begin(), ChangeNames.end()}, true));
  if (!Problem.Field.empty())
    return Problem.Code;
  switch (Change.Kind) {
  case ChangeKind::SetClass:
    Change.Class = readClass(Fields);
    break;
  case ChangeKind::SetService:
    Change.Service = readService(Fields);
    break;
  case ChangeKind::SetTeam:
    Change.ChangedTeam = readTeam(Fields);
    break;
  default:
    Change.Name = Fields.name("name");
    Fields.finish();
  }
  if (!Problem.Field.empty())
    return Problem.Code;
  return Change;
}

} // namespace daisylanding::config
