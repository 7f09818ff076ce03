#ifndef DAISYLANDING_CONFIG_CLUSTERCONFIG_H
#define DAISYLANDING_CONFIG_CLUSTERCONFIG_H

#include "common/Error.h"
#include "common/Time.h"
#include "table/InstanceList.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::config {

/// What becomes of a class's tasks when their zone is lost.
enum class ZoneLossPolicy : uint8_t {
  Hold, ///< They stay bound to the zone and keep running there.
  Move, ///< Their leases lapse there; then they start elsewhere.
};

/// A class of work with the operator's targets.
struct WorkClass {
  std::string Name;
  Millis WaitingTarget{1'000};
  double PackingTarget = 0.5; ///< Wanted share of used capacity, 0 to 1.
  ZoneLossPolicy ZoneLoss = ZoneLossPolicy::Hold;
};

/// A service that callers send requests to.
struct ServiceSpec {
  std::string Name;
  std::string Class;       ///< Used when the caller names none.
  Millis RunLimit{30'000}; ///< No request runs longer on an endpoint.
  uint32_t SlotsPerEndpoint = 8;
};

struct Team {
  std::string Name;
  table::Resources Quota;
};

/// One version of what operators have set. Versions grow by one.
struct ClusterConfig {
  uint64_t Version = 0;
  std::vector<WorkClass> Classes;
  std::vector<ServiceSpec> Services;
  std::vector<Team> Teams;
  std::set<std::string> DrainedInstances; ///< Names of instances being drained.
  /// Ids of the newest changes, oldest first, by which a change whose answer
  /// was lost is recognized.
  std::vector<std::string> RecentChangeIds;

  const WorkClass *findClass(std::string_view Name) const;
  const ServiceSpec *findService(std::string_view Name) const;
  const Team *findTeam(std::string_view Name) const;
};

/// What was wrong with an operator's or caller's input.
struct InputProblem {
  Errc Code = Errc::Malformed;
  std::string Field;
  std::string Allowed; ///< The range or form that is accepted.
};

enum class ChangeKind : uint8_t {
  SetClass,
  RemoveClass,
  SetService,
  RemoveService,
  SetTeam,
  RemoveTeam,
  DrainInstance,
  UndrainInstance,
};

/// One operator's change. Only the member that `Kind` names is used;
/// removals and drains use `Name`.
struct ConfigChange {
  ChangeKind Kind = ChangeKind::SetClass;
  std::string Name;
  WorkClass Class;
  ServiceSpec Service;
  Team ChangedTeam;
};

/// Applies \p Change to \p Config and raises its version. On a problem
/// \p Config is left as it was.
std::error_code applyChange(ClusterConfig &Config, const ConfigChange &Change,
                            InputProblem &Problem);

nlohmann::json configToJson(const ClusterConfig &Config);
Result<ClusterConfig> configFromText(std::string_view Text);

nlohmann::json changeToJson(const ConfigChange &Change);
Result<ConfigChange> changeFromJson(const nlohmann::json &Object,
                                    InputProblem &Problem);

} // namespace daisylanding::config

#endif
