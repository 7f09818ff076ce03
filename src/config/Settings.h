#ifndef DAISYLANDING_CONFIG_SETTINGS_H
#define DAISYLANDING_CONFIG_SETTINGS_H

#include "common/Error.h"
#include "common/Time.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisylanding::config {

/// The address that a server listens on.
struct ListenAddress {
  std::string Host = "127.0.0.1";
  uint16_t Port = 0;

  std::string text() const;
};

/// The settings of an entry process, read once at startup.
struct Settings {
  std::string Deployment; ///< Peers of another deployment are rejected.
  std::string Name;       ///< This entry's instance name.
  std::string AvailabilityZone;

  ListenAddress CallerAddress;
  size_t MaxBodyBytes = 1 << 20;
  size_t MaxHeaderBytes = 8'192;
  size_t MaxConnections = 4'096;
  size_t MaxWaitingRequests = 2'048; ///< Queued requests over all classes.

  ListenAddress OperatorAddress;

  ListenAddress PeerAddress;
  std::vector<std::string> PeerSeeds; ///< host:port of other entries.

  std::string PlatformUrl;
  Millis PlatformTimeout{2'000};
  double WritesPerSecond = 50; ///< Limit on this entry's table writes.
  Millis ListPollInterval{500};
  Millis ConfigPollInterval{500};
  Millis HeartbeatInterval{1'000};
  /// The shards of an entry silent for this long are taken over.
  Millis TakeoverTimeout{4'000};

  /// A zone silent for this long is lost; its movable work is moved.
  Millis ZoneLossTimeout{10'000};

  uint32_t ShardsPerZone = 1;

  Millis WorkerSyncInterval{1'000};  ///< Between syncs of an idle worker.
  Millis WorkerLeaseDuration{6'000}; ///< Of tasks that move on zone loss.
  Millis LeaseMargin{2'000};         ///< Allowance for clock drift and pauses.

  Millis DrainLimit{30'000}; ///< Maximum duration of a graceful shutdown.
  std::string LogLevel = "info";
};

/// An error in a settings file, and its location.
struct SettingsProblem {
  Errc Code = Errc::Malformed;
  std::string File;
  uint32_t Line = 0;
  std::string Key;
  std::string Allowed; ///< The accepted range or format.

  /// One line: `file:line: key: error; allowed: range`.
  std::string text() const;
};

/// Reads and validates a TOML file. All problems are reported, not only the
/// first; its error is returned.
Result<Settings> loadSettings(const std::string &File,
                              std::vector<SettingsProblem> &Problems);
Result<Settings> parseSettings(std::string_view Text, const std::string &File,
                               std::vector<SettingsProblem> &Problems);

} // namespace daisylanding::config

#endif
