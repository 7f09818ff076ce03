#include "harness/Deployment.h"
#include "harness/LoadClient.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace daisylanding;
using namespace daisylanding::harness;

namespace {

constexpr Millis FaultDuration{4'000};
/// Longer than the time after which another entry takes over.
constexpr Millis FreezeDuration{6'000};
/// Long enough for work of the zone to be moved to other zones.
constexpr Millis ZoneLossDuration{32'000};
constexpr Millis RecoveryDuration{2'000};
constexpr Millis JobTimeout{120'000};
constexpr Millis PropagationTimeout{14'000};

/// A fault, how to inject it and how to clear it.
struct Fault {
  std::string Name;
  std::function<void()> Inject;
  std::function<void()> Clear;
  Millis Duration = FaultDuration;
  bool StopsEntries = false;
};

/// Injects faults, drawn from a seed, into a deployment under load.
class FaultInjector {
public:
  /// Only faults whose name contains \p NameFilter are drawn.
  FaultInjector(Deployment &Target, uint64_t Seed, std::string NameFilter)
      : Target(Target), Generator(Seed), NameFilter(std::move(NameFilter)) {}

  void runRound(uint32_t Round);
  void exportAcceptedVersions(DeploymentHistory &History) {
    History.AcceptedVersions = AcceptedVersions;
  }
  /// Seconds until a configuration change was in force on every entry, one
  /// value a round; the time-out if it was not.
  std::vector<double> PropagationSeconds;

private:
  std::vector<Fault> drawFaults();
  std::vector<Fault> drawEntryFaults();
  std::vector<Fault> drawZoneAndEndpointFaults();
  void submitJobs(uint32_t Round);
  void raceConfigChanges(uint32_t Round);
  void cancelRandomJobs();
  void measurePropagation(uint32_t Round);
  void observeFor(Millis Duration);

  Deployment &Target;
  Random Generator;
  std::string NameFilter;
  std::vector<uint64_t> AcceptedVersions;
  bool EndpointDrained = false;
};

std::vector<Fault> FaultInjector::drawEntryFaults() {
  size_t Entry = Generator.below(Target.Entries.size());
  auto RestartEntry = [this, Entry] { Target.restartEntry(Entry); };
  std::string Name = Target.Entries[Entry]->Name;
  return {
      {"kill " + Name, [=, this] { Target.killEntry(Entry); }, RestartEntry},
      {"stop " + Name, [=, this] { Target.stopEntry(Entry); },
       [=, this] {
         Target.Entries[Entry]->Child.wait(JobTimeout);
         Target.restartEntry(Entry);
       }},
      {"freeze " + Name, [=, this] { Target.freezeEntry(Entry, true); },
       [=, this] { Target.freezeEntry(Entry, false); }, FreezeDuration},
  };
}

std::vector<Fault> FaultInjector::drawZoneAndEndpointFaults() {
  size_t Zone = Generator.below(Target.TestScenario.Zones.size());
  size_t Endpoint = Generator.below(Target.Endpoints.size());
  std::string ZoneName = Target.TestScenario.Zones[Zone];
  std::string EndpointName = Target.Endpoints[Endpoint];
  auto ClearEndpointFaults = [=, this] {
    Target.setEndpointFaults(Endpoint, {});
  };
  return {
      {"silent connections of " + EndpointName,
       [=, this] {
         Target.setEndpointFaults(Endpoint, {{"silent", true}});
       },
       ClearEndpointFaults},
      {"slow " + EndpointName,
       [=, this] {
         Target.setEndpointFaults(Endpoint, {{"slow_factor", 10}});
       },
       ClearEndpointFaults},
      {"failing " + EndpointName,
       [=, this] {
         Target.setEndpointFaults(Endpoint, {{"failing", true}});
       },
       ClearEndpointFaults},
      {"failing worker in " + ZoneName,
       [=, this] {
         Target.setWorkerFaults(Zone, 0, {{"failing", true}});
       },
       [=, this] { Target.setWorkerFaults(Zone, 0, {}); }},
      {"freeze workers of " + ZoneName,
       [=, this] { Target.freezeWorkers(Zone, true); },
       [=, this] { Target.freezeWorkers(Zone, false); }},
      {"kill workers of " + ZoneName,
       [=, this] { Target.killAndRestartWorkers(Zone); }, [] {}},
      {"cut " + ZoneName + " from the platform",
       [=, this] {
         Target.setPlatformFaults({{"cut_zones", {ZoneName}}});
       },
       [this] { Target.setPlatformFaults({}); }},
  };
}

std::vector<Fault> FaultInjector::drawFaults() {
  std::vector<Fault> Candidates = drawEntryFaults();
  for (Fault &EntryFault : Candidates)
    EntryFault.StopsEntries = true;
  for (Fault &PlacedFault : drawZoneAndEndpointFaults())
    Candidates.push_back(std::move(PlacedFault));
  auto ClearPlatformFaults = [this] { Target.setPlatformFaults({}); };
  Candidates.push_back({"platform down",
                        [this] {
                          Target.setPlatformFaults({{"down", true}});
                        },
                        ClearPlatformFaults});
  Candidates.push_back({"platform slow",
                        [this] {
                          Target.setPlatformFaults({{"delay_ms", 400}});
                        },
                        ClearPlatformFaults});
  Candidates.push_back({"platform loses answers",
                        [this] {
                          Target.setPlatformFaults({{"lose_answer_rate", 0.3}});
                        },
                        ClearPlatformFaults});
  size_t Zone = Generator.below(Target.TestScenario.Zones.size());
  const std::string &ZoneName = Target.TestScenario.Zones[Zone];
  Candidates.push_back(
      {"loss of " + ZoneName, [=, this] { Target.killZone(Zone); },
       [=, this] { Target.restoreZone(Zone); }, ZoneLossDuration, true});
  Candidates.push_back({"long cut of " + ZoneName,
                        [=, this] {
                          Target.setPlatformFaults({{"cut_zones", {ZoneName}}});
                        },
                        ClearPlatformFaults, ZoneLossDuration});
  Candidates.push_back({"replace every entry",
                        [this] {
                          for (size_t Index = 0; Index < Target.Entries.size();
                               ++Index) {
                            Target.killEntry(Index);
                            Target.restartEntry(Index);
                            std::this_thread::sleep_for(Millis(500));
                          }
                        },
                        [] {}, FaultDuration, true});
  Candidates.push_back(
      {"cancellations", [this] { cancelRandomJobs(); }, [] {}});
  if (!EndpointDrained)
    Candidates.push_back({"drain " + Target.Endpoints[1],
                          [this] {
                            EndpointDrained = true;
                            Target.drainEndpoint(1);
                          },
                          [] {}});
  return Candidates;
}

void FaultInjector::observeFor(Millis Duration) {
  constexpr Millis PollInterval{200};
  TimePoint Deadline = monotonicNow() + Duration;
  while (monotonicNow() < Deadline) {
    Target.recordObservations();
    std::this_thread::sleep_for(PollInterval);
  }
}

void FaultInjector::submitJobs(uint32_t Round) {
  for (const JobScenario &Job : Target.TestScenario.Jobs) {
    config::JobSpec Spec = Job.Spec;
    Spec.Id = fmt::format("{}-r{}", Job.Spec.Id, Round);
    Target.submitJob(Spec);
  }
}

void FaultInjector::cancelRandomJobs() {
  for (const config::JobSpec &Job : Target.AcceptedJobs) {
    if (Generator.uniform() < 0.3)
      Target.callOperatorApi("POST", "/v1/jobs/" + Job.Id + "/stop");
  }
}

/// Submits two configuration changes based on the same version concurrently.
/// At most one of them may be accepted.
void FaultInjector::raceConfigChanges(uint32_t Round) {
  auto NewestConfig = Target.callOperatorApi("GET", "/v1/config?newest=yes");
  if (!NewestConfig)
    return;
  uint64_t ExpectedVersion = (*NewestConfig)["version"];
  std::optional<nlohmann::json> Responses[2];
  auto SubmitChange = [&](int Operator) {
    nlohmann::json Body = {{"expect_version", ExpectedVersion},
                           {"change",
                            {{"kind", "set-class"},
                             {"name", fmt::format("raced-{}", Operator)},
                             {"waiting_ms", 1'000 + Round}}}};
    Responses[Operator] =
        Target.callOperatorApi("POST", "/v1/config/changes", Body);
  };
  std::thread SecondOperator([&] { SubmitChange(1); });
  SubmitChange(0);
  SecondOperator.join();
  for (const auto &Response : Responses) {
    if (Response)
      AcceptedVersions.push_back((*Response)["version"]);
  }
}

/// Measures how long a configuration change takes until it is in force on every
/// entry.
void FaultInjector::measurePropagation(uint32_t Round) {
  if (!Target.changeConfig({{"kind", "set-class"},
                            {"name", "probe"},
                            {"waiting_ms", 1'000 + Round}}))
    return;
  TimePoint StartTime = monotonicNow();
  auto NewestConfig = Target.callOperatorApi("GET", "/v1/config?newest=yes");
  while (NewestConfig && monotonicNow() - StartTime < PropagationTimeout) {
    if (Target.lowestConfigVersion() >= (*NewestConfig)["version"]) {
      PropagationSeconds.push_back(toSeconds(monotonicNow() - StartTime));
      return;
    }
    std::this_thread::sleep_for(Millis(20));
  }
  PropagationSeconds.push_back(toSeconds(PropagationTimeout));
}

void FaultInjector::runRound(uint32_t Round) {
  auto Candidates = drawFaults();
  std::erase_if(Candidates, [&](const Fault &Candidate) {
    return Candidate.Name.find(NameFilter) == std::string::npos;
  });
  size_t FirstIndex = Generator.below(Candidates.size());
  size_t SecondIndex = Generator.below(Candidates.size());
  std::vector<Fault> ActiveFaults = {Candidates[FirstIndex]};
  // Of two faults that stop entries, clearing one would interfere with the
  // other.
  if (SecondIndex != FirstIndex && !(Candidates[FirstIndex].StopsEntries &&
                                     Candidates[SecondIndex].StopsEntries))
    ActiveFaults.push_back(Candidates[SecondIndex]);
  Millis LongestDuration{0};
  std::string Names;
  for (const Fault &ActiveFault : ActiveFaults) {
    Names += (Names.empty() ? "" : " + ") + ActiveFault.Name;
    LongestDuration = std::max(LongestDuration, ActiveFault.Duration);
  }
  fmt::print("  round {}: {}\n", Round, Names);
  std::fflush(stdout);
  submitJobs(Round);
  for (const Fault &ActiveFault : ActiveFaults)
    ActiveFault.Inject();
  raceConfigChanges(Round);
  observeFor(LongestDuration);
  for (const Fault &ActiveFault : ActiveFaults)
    ActiveFault.Clear();
  observeFor(RecoveryDuration);
  measurePropagation(Round);
}

void printSummary(const DeploymentHistory &History,
                  const FaultInjector &Injector) {
  std::map<std::string, size_t> CountsByOutcome;
  for (const TryRecord &Try : History.Tries)
    ++CountsByOutcome[Try.Outcome];
  fmt::print("  answers:");
  for (const auto &[Name, Count] : CountsByOutcome)
    fmt::print(" {} {}", Name, Count);
  fmt::print("\n  jobs: {} accepted\n  changes in force after, seconds:",
             History.Jobs.size());
  for (double Seconds : Injector.PropagationSeconds)
    fmt::print(" {:.2f}", Seconds);
  fmt::print("\n");
}

} // namespace

int main(int ArgCount, char **ArgValues) {
  if (ArgCount < 6) {
    fmt::print(stderr,
               "usage: chaos PROGRAMS FOLDER SCENARIO SEED ROUNDS [FAULT]\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  uint64_t Seed = std::stoull(ArgValues[4]);
  auto Rounds = static_cast<uint32_t>(std::stoul(ArgValues[5]));
  Scenario TestScenario = loadScenario(ArgValues[3]);
  // Runs with other seeds may go on at the same time.
  constexpr uint64_t PortsPerRun = 400;
  constexpr uint64_t ConcurrentRuns = 20;
  TestScenario.BasePort +=
      static_cast<uint16_t>(Seed % ConcurrentRuns * PortsPerRun);
  Deployment Target(TestScenario, ArgValues[1],
                    fmt::format("{}/seed-{}", ArgValues[2], Seed));
  fmt::print("chaos: seed {}, {} rounds\n", Seed, Rounds);
  std::fflush(stdout);
  if (!Target.start()) {
    fmt::print("  the deployment did not come up\n");
    return 1;
  }
  LoadClient Load(Target, Seed);
  Load.start();
  FaultInjector Injector(Target, Seed, ArgCount > 6 ? ArgValues[6] : "");
  for (uint32_t Round = 1; Round <= Rounds; ++Round)
    Injector.runRound(Round);
  Load.stop();
  bool AllJobsEnded = Target.waitForJobs(JobTimeout);
  DeploymentHistory History = Target.history();
  History.Tries = Load.Tries;
  Injector.exportAcceptedVersions(History);
  printSummary(History, Injector);
  auto Findings = findViolations(History);
  for (const ViolationFinding &Finding : Findings)
    fmt::print("  BROKEN {}: {}\n", violationName(Finding.Kind),
               Finding.Detail);
  if (!AllJobsEnded)
    fmt::print("  BROKEN: some jobs did not end\n");
  bool Passed = Findings.empty() && AllJobsEnded;
  fmt::print("  seed {}: promises {}\n", Seed, Passed ? "kept" : "BROKEN");
  return Passed ? 0 : 1;
}
