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

/// What happens to the tasks of a class when their zone is lost.
enum class ZoneLossPolicy : uint8_t {
  Hold, ///< They stay bound to the zone and keep running there.
  Move, ///< They start elsewhere once their leases have expired.
};

/// A class of work with the targets set by operators.
struct WorkClass {
  std::string Name;
  Millis WaitingTarget{1'000};
  double PackingTarget = 0.5; ///< Target share of capacity in use, 0 to 1.
  ZoneLossPolicy ZoneLoss = ZoneLossPolicy::Hold;
};

/// A service that callers send requests to.
struct ServiceSpec {
  std::string Name;
  std::string Class;       ///< Default for requests that name no class.
  Millis RunLimit{30'000}; ///< Maximum run time of a request on an endpoint.
  uint32_t SlotsPerEndpoint = 8;
};

struct Team {
  std::string Name;
  table::Resources Quota;
};

/// One version of the configuration set by operators. Each change increments
/// the version by one.
struct ClusterConfig {
  uint64_t Version = 0;
  std::vector<WorkClass> Classes;
  std::vector<ServiceSpec> Services;
  std::vector<Team> Teams;
  std::set<std::string> DrainedInstances; ///< Names of the instances.
  /// Ids of the latest changes, oldest first. They show whether a change whose
  /// answer was lost has been applied.
  std::vector<std::string> RecentChangeIds;

  const WorkClass *findClass(std::string_view Name) const;
  const ServiceSpec *findService(std::string_view Name) const;
  const Team *findTeam(std::string_view Name) const;
};

/// An error in the input of an operator or caller.
struct InputProblem {
  Errc Code = Errc::Malformed;
  std::string Field;
  std::string Allowed; ///< The accepted range or format.
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

/// A change requested by an operator. `Kind` selects the member in use;
/// removals, drains and undrains use `Name`.
struct ConfigChange {
  ChangeKind Kind = ChangeKind::SetClass;
  std::string Name;
  WorkClass Class;
  ServiceSpec Service;
  Team ChangedTeam;
};

/// Applies \p Change to \p Config and increments its version. On an error,
/// \p Config is unchanged and \p Problem describes it. Errors: NotFound,
/// Conflict (the class to remove is in use).
std::error_code applyChange(ClusterConfig &Config, const ConfigChange &Change,
                            InputProblem &Problem);

nlohmann::json configToJson(const ClusterConfig &Config);
Result<ClusterConfig> configFromText(std::string_view Text);

nlohmann::json changeToJson(const ConfigChange &Change);
Result<ConfigChange> changeFromJson(const nlohmann::json &Object,
                                    InputProblem &Problem);

} // namespace daisylanding::config

#endif
