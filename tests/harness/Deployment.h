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

/// An entry and its process.
struct EntryProcess {
  std::string Name;
  std::string Zone;
  uint16_t BasePort = 0; ///< Callers; operators +1, peers +2.
  Process Child;
  std::atomic<bool> Healthy{false};  ///< Result of the last health poll.
  std::atomic<bool> Stopping{false}; ///< SIGTERM was sent.
  std::atomic<bool> Frozen{false};

  std::string callerAddress() const { return addressAt(0); }
  std::string operatorAddress() const { return addressAt(1); }
  std::string peerAddress() const { return addressAt(2); }

private:
  std::string addressAt(uint16_t Offset) const;
};

/// Runs the platform, endpoints, workers and entries of one scenario as
/// processes, and injects faults into them.
class Deployment {
public:
  /// \p ProgramDir holds the built programs. \p OutputDir is emptied and takes
  /// settings, logs and the history.
  Deployment(Scenario NewScenario, std::string ProgramDir,
             std::string OutputDir);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Starts all processes and configures classes, services and teams. Returns
  /// false when the deployment is not ready in time.
  bool start();

  /// Waits until every entry is healthy, has the newest configuration in force
  /// and has spare slots.
  bool waitUntilReady();

  // Faults and planned changes.
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
  /// Kills the entries and workers of a zone; `restoreZone` starts them again.
  void killZone(size_t Zone);
  void restoreZone(size_t Zone);
  /// Marks an endpoint as leaving and records the drain for the checker.
  void drainEndpoint(size_t Index);

  // Requests and observations.
  void pollHealth();
  /// The next healthy entry in rotation, as a load balancer picks it; null when
  /// there is none.
  EntryProcess *nextEntry();
  /// Calls the operator API of the first entry that answers. Returns nothing on
  /// an error status or when none answers; \p Status receives the status code.
  std::optional<nlohmann::json> callOperatorApi(const std::string &Method,
                                                const std::string &Target,
                                                const nlohmann::json &Body = {},
                                                uint16_t *Status = nullptr);
  /// Retries until an entry accepts the job. Returns false on time-out.
  bool submitJob(const config::JobSpec &Spec);
  bool changeConfig(const nlohmann::json &Change);
  /// Records the configuration version in force on each entry, and when each
  /// drain was applied on all of them.
  void recordObservations();
  /// The lowest configuration version in force on any entry; 0 if one does not
  /// answer.
  uint64_t lowestConfigVersion();
  /// Waits until every accepted batch and gang job has ended. Returns false on
  /// time-out.
  bool waitForJobs(Millis Timeout);
  nlohmann::json platformStats();
  nlohmann::json jobStatus(const std::string &Id);
  std::map<std::string, double> entryMetrics(const EntryProcess &Entry);

  /// Everything recorded so far.
  DeploymentHistory history();

  std::vector<std::unique_ptr<EntryProcess>> Entries;
  std::vector<std::string> Endpoints; ///< Names of the endpoints.
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
  std::vector<WorkerHost> WorkerHosts; ///< One for each zone.
  nlohmann::json Instances;            ///< The published instance list.
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
