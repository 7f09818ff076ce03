#ifndef DAISYLANDING_CONFIG_SETTINGS_H
#define DAISYLANDING_CONFIG_SETTINGS_H

#include "common/Error.h"
#include "common/Time.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::config {

/// Where a listener binds.
struct ListenAddress {
  std::string Host = "127.0.0.1";
  uint16_t Port = 0;

  std::string text() const;
};

/// The settings of one entry process, read once at its start.
struct Settings {
  std::string Deployment; ///< Peers of another deployment are rejected.
  std::string Name;       ///< This entry's instance name.
  std::string AvailabilityZone;

  ListenAddress CallerAddress;
  size_t MaxBodyBytes = 1 << 20;
  size_t MaxHeaderBytes = 8'192;
  size_t MaxConnections = 4'096;
  size_t MaxWaitingRequests = 2'048; ///< Requests queued over all classes.

  ListenAddress OperatorAddress;

  ListenAddress PeerAddress;
  std::vector<std::string> PeerSeeds; ///< host:port of other entries.

  std::string PlatformUrl;
  Millis PlatformTimeout{2'000};
  double WritesPerSecond = 50; ///< This entry's share of table writes.
  Millis ListPollInterval{500};
  Millis ConfigPollInterval{500};
  Millis HeartbeatInterval{1'000};
  Millis TakeoverTimeout{4'000}; ///< Silence after which shards are taken.

  /// Silence of a whole zone after which its movable work is moved.
  Millis ZoneLossTimeout{10'000};

  uint32_t ShardsPerZone = 1;

  Millis WorkerSyncInterval{1'000};  ///< Between two syncs of an idle worker.
  Millis WorkerLeaseDuration{6'000}; ///< For tasks of classes that move.
  Millis LeaseMargin{2'000};         ///< Clock drift and pause allowance.

  Millis DrainLimit{30'000}; ///< Longest graceful shutdown.
  std::string LogLevel = "info";
};

/// What is wrong with a settings file, and where.
struct SettingsProblem {
  Errc Code = Errc::Malformed;
  std::string File;
  uint32_t Line = 0;
  std::string Key;
  std::string Allowed;

  /// One line: file:line: key: failure, allowed range.
  std::string text() const;
};

/// Reads and checks a TOML file. All problems are reported, not the first.
Result<Settings> loadSettings(const std::string &File,
                              std::vector<SettingsProblem> &Problems);
Result<Settings> parseSettings(std::string_view Text, const std::string &File,
                               std::vector<SettingsProblem> &Problems);

} // namespace daisylanding::config

#endif
