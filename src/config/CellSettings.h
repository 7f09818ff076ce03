#ifndef DAISYLANDING_CONFIG_CELLSETTINGS_H
#define DAISYLANDING_CONFIG_CELLSETTINGS_H

#include "config/Settings.h"
#include "http/RequestBudget.h"

namespace daisylanding::config {

/// The settings of a process that is both an entry and a scheduler of a cell.
struct CellSettings {
  std::string Name;
  std::string AvailabilityZone;
  Millis DrainLimit{6'000}; ///< From the stop signal to the exit.
  std::string LogLevel = "info";

  ListenAddress CallerAddress;
  ListenAddress ReadinessAddress; ///< Polled by the load balancer.
  ListenAddress RelayAddress;     ///< Calls from other entries.
  ListenAddress OperatorAddress;  ///< Status and metrics.
  /// What callers may make the process hold.
  http::BudgetLimits CallerBudget;

  std::string StoreAddress;  ///< host:port.
  std::string AdviceAddress; ///< host:port; empty without a policy service.

  /// What the instance grants this process; 0 if not known. Larger entries
  /// acquire services first.
  double ProcessorShare = 0;
  double LinkMbitPerSecond = 0;
  size_t MemoryMb = 0;
  /// File descriptors that this process may have open.
  size_t MaxDescriptors = 4'096;

  /// Time after which a draining executor is sent no more starts.
  Millis MaxDrainDelay{2'000};
  /// Time after which no more tasks of a cancelled job are started.
  Millis MaxCancelDelay{3'000};
  /// Time after which a change of the configuration has to be in force.
  Millis MaxConfigDelay{2'000};
  /// Least limit: an entry's configuration gets nearly as old between two
  /// confirmations (docs/TIME-BOUNDS.md).
  static constexpr Millis MinConfigDelay{1'600};
  Millis MaxLease{10'000}; ///< The longest lease that an executor grants.
  /// How long the status of ended jobs is available.
  Millis StatusRetention{120'000};
  /// How long callers' keys are trusted after the store has last confirmed the
  /// configuration; 0: for as long as no other is known.
  Millis KeyConfirmation{0};
  /// How many times as long tasks take away from the rack of their data, or
  /// from the others of their gang; 1 if it is not known.
  double SpreadFactor = 1;
};

Result<CellSettings> parseCellSettings(std::string_view Text,
                                       const std::string &File,
                                       std::vector<SettingsProblem> &Problems);
/// Reads and validates a TOML file. All problems are reported, not only the
/// first; its error is returned.
Result<CellSettings> loadCellSettings(const std::string &File,
                                      std::vector<SettingsProblem> &Problems);

/// Whether the file holds CellSettings rather than Settings.
bool isCellSettings(const std::string &File);

} // namespace daisylanding::config

#endif
