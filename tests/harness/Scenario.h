#ifndef DAISYLANDING_TESTS_HARNESS_SCENARIO_H
#define DAISYLANDING_TESTS_HARNESS_SCENARIO_H

#include "config/JobSpec.h"

#include <string>
#include <vector>

namespace daisylanding::harness {

struct ServiceScenario {
  config::ServiceSpec Spec;
  uint32_t EndpointCount = 1;
  uint32_t WorkMs = 20;
  double RequestsPerSecond = 10;
  double NonRepeatableShare = 0.5; ///< Share of requests, 0 to 1.
};

struct WorkerScenario {
  std::string Name;
  uint32_t Count = 1;
  table::Resources Capacity;
  uint32_t WorkersPerRack = 4;
};

struct JobScenario {
  config::JobSpec Spec; ///< Its id is the prefix of all job ids.
  uint32_t Count = 1;
};

/// A deployment and its load, as described by a TOML file in `demo/`.
struct Scenario {
  std::string Name;
  std::vector<std::string> Zones;
  uint32_t EntriesPerZone = 2;
  uint32_t EntryCount = 0; ///< Over all zones, assigned in rotation.
  uint32_t PlatformLatencyMs = 0;
  uint16_t BasePort = 20'000;
  uint32_t ShardsPerZone = 1;
  uint32_t WritesPerSecond = 50; ///< Limit of each entry.
  std::vector<config::WorkClass> Classes;
  std::vector<config::Team> Teams;
  std::vector<ServiceScenario> Services;
  std::vector<WorkerScenario> Workers;
  std::vector<JobScenario> Jobs;
};

/// Reads a scenario. Exits with status 1 and a message when \p File cannot be
/// read as TOML.
Scenario loadScenario(const std::string &File);

} // namespace daisylanding::harness

#endif
