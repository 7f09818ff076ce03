#ifndef DAISYLANDING_TESTS_HARNESS_DEPLOYMENT_H
#define DAISYLANDING_TESTS_HARNESS_DEPLOYMENT_H

#include "harness/Checker.h"
#include "harness/Process.h"
#include "harness/Scenario.h"
#include "http/Client.h"

#include <atomic>
#include <map>
#include <mutex>

#include <nlohmann/json.hpp>

namespace daisylanding::harness {

/// One entry as the harness started it.
struct EntryProcess {
  std::string Name;
  std::string Zone;
  uint16_t BasePort = 0; ///< Callers; operators and peers follow.
  Process Child;
  std::atomic<bool> Healthy{false};  ///< As the balancer last saw it.
  std::atomic<bool> Stopping{false}; ///< SIGTERM was sent.
  std::atomic<bool> Frozen{false};

  std::string callerAddress() const { return addressAt(0); }
  std::string operatorAddress() const { return addressAt(1); }
  std::string peerAddress() const { return addressAt(2); }

private:
  std::string addressAt(uint16_t Offset) const;
};

/// Platform, endpoints, workers and entries of one scenario as processes, with
/// everything that can go wrong with them.
class Deployment {
public:
  /// \p Programs is the folder of the built programs, \p Folder takes
  /// settings, logs and histories.
  Deployment(Scenario NewScenario, std::string ProgramDir,
             std::string OutputDir);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Starts everything and sets classes, services and teams. False when it
  /// did not come up.
  bool start();

  /// Waits until every entry is healthy, has the newest configuration and
  /// holds slots.
  bool waitUntilReady();

  // What goes wrong.
  void killEntry(size_t Index);
  void restartEntry(size_t Index);
  void freezeEntry(size_t Index, bool Frozen);
  void stopEntry(size_t Index);
  void setPlatformFaults(const nlohmann::json &Faults);
  void setEndpointFaults(size_t Index, const nlohmann::json &Faults);
  void setWorkerFaults(size_t Zone, uint32_t Worker,
                       const nlohmann::json &Faults);
  void freezeWorkers(size_t Zone, bool Frozen);
  void killAndRestartWorkers(size_t Zone);
  /// Everything in a zone dies, and comes back with `restoreZone`.
  void killZone(size_t Zone);
  void restoreZone(size_t Zone);
  /// Lists an endpoint as leaving; the drain is kept for the checker.
  void drainEndpoint(size_t Index);

  // What is asked and seen.
  void pollHealth();
  /// The entry that the balancer gives the next request to; none is healthy:
  /// null.
  EntryProcess *nextEntry();
  std::optional<nlohmann::json> callOperatorApi(const std::string &Method,
                                                const std::string &Target,
                                                const nlohmann::json &Body = {},
                                                uint16_t *Status = nullptr);
  /// Submits until some entry has accepted.
  bool submitJob(const config::JobSpec &Spec);
  bool changeConfig(const nlohmann::json &Change);
  /// Notes the versions in force, and when drains were applied everywhere.
  void recordObservations();
  /// The lowest version in force over the running entries; 0 if one is silent.
  uint64_t lowestConfigVersion();
  /// Waits until no accepted batch or gang job is open; false at the limit.
  bool waitForJobs(Millis Timeout);
  nlohmann::json platformStats();
  nlohmann::json jobStatus(const std::string &Id);
  std::map<std::string, double> entryMetrics(const EntryProcess &Entry);

  /// All histories so far.
  DeploymentHistory history();

  std::vector<std::unique_ptr<EntryProcess>> Entries;
  std::vector<std::string> Endpoints; ///< Names.
  std::vector<config::JobSpec> AcceptedJobs;
  Scenario TestScenario;

private:
  void buildInstanceList();
  void startStandIns();
  bool standInsRunning();
  void killWorkerHost(size_t Zone);
  void startWorkerHost(size_t Zone);
  void startEntry(EntryProcess &Entry);
  std::string entrySettings(const EntryProcess &Entry) const;
  bool hasSlots(const EntryProcess &Entry,
                const nlohmann::json &SpareSlots) const;
  bool applyScenarioConfig();
  void postControl(const std::string &Address, const std::string &Path,
                   const nlohmann::json &Body);
  void publishInstances();
  std::string historyPath() const { return OutputDir + "/history.log"; }
  std::string logPath(const std::string &Name) const {
    return OutputDir + "/" + Name + ".log";
  }

  std::string ProgramDir;
  std::string OutputDir;
  uint16_t PlatformPort = 0;
  Process Platform;
  std::map<std::string, std::pair<Process, uint16_t>> EndpointProcesses;
  struct WorkerHost {
    Process Child;
    uint16_t Port = 0;
    uint32_t Count = 0;
  };
  std::vector<WorkerHost> WorkerHosts; ///< One a zone.
  nlohmann::json Instances;            ///< The instances as listed.
  uint64_t InstanceListVersion = 0;
  std::map<std::string, table::Resources> WorkerCapacities;
  std::mutex ObservationMutex;
  std::vector<ConfigObservation> ConfigObservations;
  std::vector<DrainRecord> Drains;
  std::map<std::string, uint64_t> DrainListVersions;
  size_t NextEntryIndex = 0;
};

} // namespace daisylanding::harness

#endif
