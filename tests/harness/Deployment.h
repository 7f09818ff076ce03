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
  uint16_t Port = 0; ///< Callers; operators and peers follow.
  Process Child;
  std::atomic<bool> Healthy{false};  ///< As the balancer last saw it.
  std::atomic<bool> Stopping{false}; ///< SIGTERM was sent.
  std::atomic<bool> Frozen{false};

  std::string callers() const { return address(0); }
  std::string operators() const { return address(1); }
  std::string peers() const { return address(2); }

private:
  std::string address(uint16_t Offset) const;
};

/// Platform, endpoints, workers and entries of one scenario as processes, with
/// everything that can go wrong with them.
class Deployment {
public:
  /// \p Programs is the folder of the built programs, \p Folder takes
  /// settings, logs and histories.
  Deployment(Scenario What, std::string Programs, std::string Folder);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Starts everything and sets classes, services and teams. False when it
  /// did not come up.
  bool start();

  /// Waits until every entry is healthy, has the newest configuration and
  /// holds slots.
  bool waitReady();

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
  void killWorkers(size_t Zone);
  /// Everything in a zone dies, and comes back with `restoreZone`.
  void loseZone(size_t Zone);
  void restoreZone(size_t Zone);
  /// Lists an endpoint as leaving; the drain is kept for the checker.
  void drainEndpoint(size_t Index);

  // What is asked and seen.
  void pollHealth();
  /// The entry that the balancer gives the next request to; none is healthy:
  /// null.
  EntryProcess *nextEntry();
  std::optional<nlohmann::json> operate(const std::string &Method,
                                        const std::string &Target,
                                        const nlohmann::json &Body = {},
                                        uint16_t *Status = nullptr);
  /// Submits until some entry has accepted.
  bool submit(const config::JobSpec &Spec);
  bool changeConfig(const nlohmann::json &Change);
  /// Notes the versions in force, and when drains were applied everywhere.
  void observe();
  /// The lowest version in force over the running entries; 0 if one is silent.
  uint64_t lowestConfigVersion();
  /// Waits until no accepted batch or gang job is open; false at the limit.
  bool waitForJobs(Millis Longest);
  nlohmann::json platformStats();
  nlohmann::json jobRow(const std::string &Id);
  std::map<std::string, double> metricsOf(const EntryProcess &Entry);

  /// All histories so far.
  Histories histories();

  std::vector<std::unique_ptr<EntryProcess>> Entries;
  std::vector<std::string> Endpoints; ///< Names.
  std::vector<config::JobSpec> Accepted;
  Scenario What;

private:
  void layOut();
  void startStandIns();
  bool standInsRun();
  void endWorkers(size_t Zone);
  void startWorkers(size_t Zone);
  void startEntry(EntryProcess &Entry);
  std::string settingsFor(const EntryProcess &Entry) const;
  bool hasSlots(const EntryProcess &Entry, const nlohmann::json &Spare) const;
  bool configure();
  void callControl(const std::string &Address, const std::string &Path,
                   const nlohmann::json &Body);
  void publishList();
  std::string historyFile() const { return Folder + "/history.log"; }
  std::string logFile(const std::string &Name) const {
    return Folder + "/" + Name + ".log";
  }

  std::string Programs;
  std::string Folder;
  uint16_t PlatformPort = 0;
  Process Platform;
  std::map<std::string, std::pair<Process, uint16_t>> Executors;
  struct WorkerHost {
    Process Child;
    uint16_t Port = 0;
    uint32_t Count = 0;
  };
  std::vector<WorkerHost> Hosts; ///< One a zone.
  nlohmann::json List;           ///< The instances as listed.
  uint64_t ListVersion = 0;
  std::map<std::string, table::Resources> Capacities;
  std::mutex ObservedMutex;
  std::vector<VersionSeen> Versions;
  std::vector<Leaving> Drains;
  std::map<std::string, uint64_t> DrainVersions;
  size_t NextEntry = 0;
};

} // namespace daisylanding::harness

#endif
