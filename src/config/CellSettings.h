#ifndef DAISYLANDING_CONFIG_CELLSETTINGS_H
#define DAISYLANDING_CONFIG_CELLSETTINGS_H

#include "config/Settings.h"

namespace daisylanding::config {

/// The settings of one process of a cell: entry and scheduler in one.
struct CellSettings {
  std::string Name;
  std::string AvailabilityZone;
  Millis DrainLimit{6'000}; ///< From the stop signal to the end.
  std::string LogLevel = "info";

  ListenAddress CallerAddress;
  ListenAddress ReadinessAddress; ///< Asked by the balancer.
  ListenAddress RelayAddress;     ///< Calls from other entries.
  ListenAddress OperatorAddress;  ///< Status and metrics.
  size_t MaxConnections = 3'000;

  std::string StoreAddress;  ///< host:port.
  std::string AdviceAddress; ///< host:port; empty where there is no policy.

  Millis MaxDrainDelay{2'000};     ///< A leaving executor gets work no longer.
  Millis MaxCancelDelay{3'000};    ///< A cancelled job is started no longer.
  Millis MaxLease{10'000};         ///< The longest that an executor grants.
  Millis StatusRetention{120'000}; ///< How long ended jobs can be asked for.
};

Result<CellSettings> parseCellSettings(std::string_view Text,
                                       const std::string &File,
                                       std::vector<SettingsProblem> &Problems);
/// Reads and checks a TOML file. All problems are reported, not the first.
Result<CellSettings> loadCellSettings(const std::string &File,
                                      std::vector<SettingsProblem> &Problems);

/// Whether the file is for a process of a cell rather than for an entry.
bool isCellSettings(const std::string &File);

} // namespace daisylanding::config

#endif
