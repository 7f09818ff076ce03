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
constexpr int64_t MaxAmount = 1'000'000'000;

template <typename Item>
const Item *findByName(const std::vector<Item> &Items, std::string_view Name) {
  auto Found = std::find_if(Items.begin(), Items.end(), [&](const Item &Each) {
    return Each.Name == Name;
  });
  return Found == Items.end() ? nullptr : &*Found;
}

template <typename Item> void upsert(std::vector<Item> &Items, Item Value) {
  for (Item &Each : Items) {
    if (Each.Name == Value.Name) {
      Each = std::move(Value);
      return;
    }
  }
  Items.push_back(std::move(Value));
}

template <typename Item>
bool eraseByName(std::vector<Item> &Items, std::string_view Name) {
  return std::erase_if(Items,
                       [&](const Item &Each) { return Each.Name == Name; }) > 0;
}

json classToJson(const WorkClass &Each) {
  return {
      {"name", Each.Name},
      {"waiting_ms", Each.WaitingTarget.count()},
      {"packing", Each.PackingTarget},
      {"on_zone_loss", Each.ZoneLoss == OnZoneLoss::Move ? "move" : "hold"}};
}

json serviceToJson(const ServiceSpec &Each) {
  return {{"name", Each.Name},
          {"class", Each.Class},
          {"run_limit_ms", Each.RunLimit.count()},
          {"slots_per_endpoint", Each.SlotsPerEndpoint}};
}

json teamToJson(const Team &Each) {
  json Out = table::resourcesToJson(Each.Quota);
  Out["name"] = Each.Name;
  return Out;
}

WorkClass readClass(FieldReader &Fields) {
  WorkClass Each;
  Each.Name = Fields.name("name");
  Each.WaitingTarget =
      Millis(Fields.integer("waiting_ms", 1'000, 1, MaxWaitingTargetMs));
  Each.PackingTarget = Fields.fraction("packing", 0.5);
  bool Move = Fields.choice("on_zone_loss", {"hold", "move"}) == 1;
  Each.ZoneLoss = Move ? OnZoneLoss::Move : OnZoneLoss::Hold;
  Fields.finish();
  return Each;
}

ServiceSpec readService(FieldReader &Fields) {
  ServiceSpec Each;
  Each.Name = Fields.name("name");
  Each.Class = Fields.name("class");
  Each.RunLimit =
      Millis(Fields.integer("run_limit_ms", 30'000, 1, MaxRunLimitMs));
  Each.SlotsPerEndpoint = static_cast<uint32_t>(
      Fields.integer("slots_per_endpoint", 8, 1, MaxSlotsPerEndpoint));
  Fields.finish();
  return Each;
}

Team readTeam(FieldReader &Fields) {
  Team Each;
  Each.Name = Fields.name("name");
  Each.Quota = readResources(Fields, MaxAmount);
  Fields.finish();
  return Each;
}

constexpr std::array<std::string_view, 8> ChangeNames = {
    "set-class", "remove-class", "set-service",    "remove-service",
    "set-team",  "remove-team",  "drain-instance", "undrain-instance"};

/// Whether the names that \p Change refers to exist.
bool referencesHold(const ClusterConfig &Config, const ConfigChange &Change,
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
      [&](const ServiceSpec &Each) { return Each.Class == Change.Name; });
  if (Used)
    Problem = {Errc::Conflict, "name", "a class that no service uses"};
  return !Used;
}

bool perform(ClusterConfig &Config, const ConfigChange &Change) {
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
    upsert(Config.Teams, Change.Owner);
    return true;
  case ChangeKind::RemoveTeam:
    return eraseByName(Config.Teams, Change.Name);
  case ChangeKind::DrainInstance:
    Config.Drained.insert(Change.Name);
    return true;
  case ChangeKind::UndrainInstance:
    return Config.Drained.erase(Change.Name) > 0;
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
  if (!referencesHold(Config, Change, Problem))
    return Problem.Code;
  if (!perform(Config, Change)) {
    Problem = {Errc::NotFound, "name", "an existing name"};
    return Problem.Code;
  }
  ++Config.Version;
  return {};
}

json configToJson(const ClusterConfig &Config) {
  json Out = {
      {"version", Config.Version}, {"classes", json::array()},
      {"services", json::array()}, {"teams", json::array()},
      {"drained", Config.Drained}, {"recent_changes", Config.RecentChanges}};
  for (const WorkClass &Each : Config.Classes)
    Out["classes"].push_back(classToJson(Each));
  for (const ServiceSpec &Each : Config.Services)
    Out["services"].push_back(serviceToJson(Each));
  for (const Team &Each : Config.Teams)
    Out["teams"].push_back(teamToJson(Each));
  return Out;
}

Result<ClusterConfig> configFromText(std::string_view Text) {
  json Source = json::parse(Text, nullptr, false);
  if (!Source.is_object())
    return Errc::Malformed;
  InputProblem Problem;
  ClusterConfig Config;
  try {
    Config.Version = Source.at("version");
    Config.Drained = Source.at("drained").get<std::set<std::string>>();
    Config.RecentChanges =
        Source.at("recent_changes").get<std::vector<std::string>>();
    for (const json &Each : Source.at("classes")) {
      FieldReader Fields(Each, Problem);
      Config.Classes.push_back(readClass(Fields));
    }
    for (const json &Each : Source.at("services")) {
      FieldReader Fields(Each, Problem);
      Config.Services.push_back(readService(Fields));
    }
    for (const json &Each : Source.at("teams")) {
      FieldReader Fields(Each, Problem);
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
  json Out;
  switch (Change.Kind) {
  case ChangeKind::SetClass:
    Out = classToJson(Change.Class);
    break;
  case ChangeKind::SetService:
    Out = serviceToJson(Change.Service);
    break;
  case ChangeKind::SetTeam:
    Out = teamToJson(Change.Owner);
    break;
  default:
    Out = {{"name", Change.Name}};
  }
  Out["kind"] = ChangeNames.at(static_cast<size_t>(Change.Kind));
  return Out;
}

Result<ConfigChange> changeFromJson(const json &Source, InputProblem &Problem) {
  Problem = {};
  FieldReader Fields(Source, Problem);
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
    Change.Owner = readTeam(Fields);
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
