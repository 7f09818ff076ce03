#include "harness/Deployment.h"
#include "harness/LoadClient.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace daisylanding;
using namespace daisylanding::harness;

namespace {

constexpr Millis FaultTime{4'000};
constexpr Millis LongPause{6'000}; ///< Longer than the takeover time.
constexpr Millis ZoneLoss{32'000}; ///< Long enough for work to be moved.
constexpr Millis HealTime{2'000};
constexpr Millis JobLimit{120'000};
constexpr Millis ForceLimit{14'000};

/// One thing that goes wrong, and how it ends.
struct Fault {
  std::string Name;
  std::function<void()> Begin;
  std::function<void()> End;
  Millis Lasts = FaultTime;
  bool StopsEntries = false;
};

/// Draws faults from a seed and applies them to a deployment under load.
class Chaos {
public:
  /// \p Only, if not empty, limits the faults to those whose name has it.
  Chaos(Deployment &Target, uint64_t Seed, std::string Only)
      : Target(Target), Generator(Seed), Only(std::move(Only)) {}

  void round(uint32_t Number);
  void finish(Histories &Past) { Past.AcceptedVersions = AcceptedVersions; }
  /// Seconds until a change was in force everywhere, one a round.
  std::vector<double> ForceTimes;

private:
  std::vector<Fault> faults();
  std::vector<Fault> entryFaults();
  std::vector<Fault> placeFaults();
  void submitWork(uint32_t Number);
  void race(uint32_t Number);
  void cancelSome();
  void measureForce(uint32_t Number);
  void watch(Millis Span);

  Deployment &Target;
  Random Generator;
  std::string Only;
  std::vector<uint64_t> AcceptedVersions;
  bool Drained = false;
};

std::vector<Fault> Chaos::entryFaults() {
  size_t Entry = Generator.below(Target.Entries.size());
  auto Restart = [this, Entry] { Target.restartEntry(Entry); };
  std::string Name = Target.Entries[Entry]->Name;
  return {
      {"kill " + Name, [=, this] { Target.killEntry(Entry); }, Restart},
      {"stop " + Name, [=, this] { Target.stopEntry(Entry); },
       [=, this] {
         Target.Entries[Entry]->Child.wait(JobLimit);
         Target.restartEntry(Entry);
       }},
      {"freeze " + Name, [=, this] { Target.freezeEntry(Entry, true); },
       [=, this] { Target.freezeEntry(Entry, false); }, LongPause},
  };
}

std::vector<Fault> Chaos::placeFaults() {
  size_t Zone = Generator.below(Target.What.Zones.size());
  size_t Endpoint = Generator.below(Target.Endpoints.size());
  std::string ZoneName = Target.What.Zones[Zone];
  std::string EndpointName = Target.Endpoints[Endpoint];
  auto HealEndpoint = [=, this] { Target.setEndpointFaults(Endpoint, {}); };
  return {
      {"silent connections of " + EndpointName,
       [=, this] {
         Target.setEndpointFaults(Endpoint, {{"silent", true}});
       },
       HealEndpoint},
      {"slow " + EndpointName,
       [=, this] {
         Target.setEndpointFaults(Endpoint, {{"slow_factor", 10}});
       },
       HealEndpoint},
      {"failing " + EndpointName,
       [=, this] {
         Target.setEndpointFaults(Endpoint, {{"failing", true}});
       },
       HealEndpoint},
      {"failing worker in " + ZoneName,
       [=, this] {
         Target.setWorkerFaults(Zone, 0, {{"failing", true}});
       },
       [=, this] { Target.setWorkerFaults(Zone, 0, {}); }},
      {"freeze workers of " + ZoneName,
       [=, this] { Target.freezeWorkers(Zone, true); },
       [=, this] { Target.freezeWorkers(Zone, false); }},
      {"kill workers of " + ZoneName, [=, this] { Target.killWorkers(Zone); },
       [] {}},
      {"cut " + ZoneName + " from the platform",
       [=, this] {
         Target.setPlatformFaults({{"cut_zones", {ZoneName}}});
       },
       [this] { Target.setPlatformFaults({}); }},
  };
}

std::vector<Fault> Chaos::faults() {
  std::vector<Fault> Out = entryFaults();
  for (Fault &Each : Out)
    Each.StopsEntries = true;
  for (Fault &Each : placeFaults())
    Out.push_back(std::move(Each));
  auto Heal = [this] { Target.setPlatformFaults({}); };
  Out.push_back({"platform down",
                 [this] {
                   Target.setPlatformFaults({{"down", true}});
                 },
                 Heal});
  Out.push_back({"platform slow",
                 [this] {
                   Target.setPlatformFaults({{"delay_ms", 400}});
                 },
                 Heal});
  Out.push_back({"platform loses answers",
                 [this] {
                   Target.setPlatformFaults({{"lose_answer_rate", 0.3}});
                 },
                 Heal});
  size_t Zone = Generator.below(Target.What.Zones.size());
  const std::string &ZoneName = Target.What.Zones[Zone];
  Out.push_back({"loss of " + ZoneName, [=, this] { Target.loseZone(Zone); },
                 [=, this] { Target.restoreZone(Zone); }, ZoneLoss, true});
  Out.push_back({"long cut of " + ZoneName,
                 [=, this] {
                   Target.setPlatformFaults({{"cut_zones", {ZoneName}}});
                 },
                 Heal, ZoneLoss});
  Out.push_back({"replace every entry",
                 [this] {
                   for (size_t I = 0; I < Target.Entries.size(); ++I) {
                     Target.killEntry(I);
                     Target.restartEntry(I);
                     std::this_thread::sleep_for(Millis(500));
                   }
                 },
                 [] {}, FaultTime, true});
  Out.push_back({"cancellations", [this] { cancelSome(); }, [] {}});
  if (!Drained)
    Out.push_back({"drain " + Target.Endpoints[1],
                   [this] {
                     Drained = true;
                     Target.drainEndpoint(1);
                   },
                   [] {}});
  return Out;
}

void Chaos::watch(Millis Span) {
  constexpr Millis Step{200};
  TimePoint Until = monotonicNow() + Span;
  while (monotonicNow() < Until) {
    Target.observe();
    std::this_thread::sleep_for(Step);
  }
}

void Chaos::submitWork(uint32_t Number) {
  for (const JobScenario &Each : Target.What.Jobs) {
    config::JobSpec Spec = Each.Spec;
    Spec.Id = fmt::format("{}-r{}", Each.Spec.Id, Number);
    Target.submit(Spec);
  }
}

void Chaos::cancelSome() {
  for (const config::JobSpec &Each : Target.Accepted) {
    if (Generator.uniform() < 0.3)
      Target.operate("POST", "/v1/jobs/" + Each.Id + "/stop");
  }
}

/// Two operators change the same class from the same version at once.
void Chaos::race(uint32_t Number) {
  auto Newest = Target.operate("GET", "/v1/config?newest=yes");
  if (!Newest)
    return;
  uint64_t Expected = (*Newest)["version"];
  std::optional<nlohmann::json> Won[2];
  auto Change = [&](int Who) {
    nlohmann::json Body = {{"expect_version", Expected},
                           {"change",
                            {{"kind", "set-class"},
                             {"name", fmt::format("raced-{}", Who)},
                             {"waiting_ms", 1'000 + Number}}}};
    Won[Who] = Target.operate("POST", "/v1/config/changes", Body);
  };
  std::thread Second([&] { Change(1); });
  Change(0);
  Second.join();
  for (const auto &Each : Won) {
    if (Each)
      AcceptedVersions.push_back((*Each)["version"]);
  }
}

/// How long a change takes until every entry has it in force.
void Chaos::measureForce(uint32_t Number) {
  if (!Target.changeConfig({{"kind", "set-class"},
                            {"name", "probe"},
                            {"waiting_ms", 1'000 + Number}}))
    return;
  TimePoint Began = monotonicNow();
  auto Newest = Target.operate("GET", "/v1/config?newest=yes");
  while (Newest && monotonicNow() - Began < ForceLimit) {
    if (Target.lowestConfigVersion() >= (*Newest)["version"]) {
      ForceTimes.push_back(toSeconds(monotonicNow() - Began));
      return;
    }
    std::this_thread::sleep_for(Millis(20));
  }
  ForceTimes.push_back(toSeconds(ForceLimit));
}

void Chaos::round(uint32_t Number) {
  auto Drawn = faults();
  std::erase_if(Drawn, [&](const Fault &Each) {
    return Each.Name.find(Only) == std::string::npos;
  });
  size_t First = Generator.below(Drawn.size());
  size_t Second = Generator.below(Drawn.size());
  std::vector<Fault> Chosen = {Drawn[First]};
  // Two faults that stop the same processes can't be undone side by side.
  if (Second != First &&
      !(Drawn[First].StopsEntries && Drawn[Second].StopsEntries))
    Chosen.push_back(Drawn[Second]);
  Millis Lasts{0};
  std::string Names;
  for (const Fault &Each : Chosen) {
    Names += (Names.empty() ? "" : " + ") + Each.Name;
    Lasts = std::max(Lasts, Each.Lasts);
  }
  fmt::print("  round {}: {}\n", Number, Names);
  std::fflush(stdout);
  submitWork(Number);
  for (const Fault &Each : Chosen)
    Each.Begin();
  race(Number);
  watch(Lasts);
  for (const Fault &Each : Chosen)
    Each.End();
  watch(HealTime);
  measureForce(Number);
}

void printSummary(const Histories &Past, const Chaos &Faults) {
  std::map<std::string, size_t> Outcomes;
  for (const Told &Each : Past.Answers)
    ++Outcomes[Each.Outcome];
  fmt::print("  answers:");
  for (const auto &[Name, Count] : Outcomes)
    fmt::print(" {} {}", Name, Count);
  fmt::print("\n  jobs: {} accepted\n  changes in force after, seconds:",
             Past.Jobs.size());
  for (double Each : Faults.ForceTimes)
    fmt::print(" {:.2f}", Each);
  fmt::print("\n");
}

} // namespace

int main(int Count, char **Words) {
  if (Count < 6) {
    fmt::print(stderr,
               "usage: chaos PROGRAMS FOLDER SCENARIO SEED ROUNDS [FAULT]\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  uint64_t Seed = std::stoull(Words[4]);
  auto Rounds = static_cast<uint32_t>(std::stoul(Words[5]));
  Scenario What = loadScenario(Words[3]);
  // Runs with other seeds may go on beside this one.
  constexpr uint64_t PortsPerRun = 400;
  constexpr uint64_t RunsAtOnce = 20;
  What.BasePort += static_cast<uint16_t>(Seed % RunsAtOnce * PortsPerRun);
  Deployment Target(What, Words[1], fmt::format("{}/seed-{}", Words[2], Seed));
  fmt::print("chaos: seed {}, {} rounds\n", Seed, Rounds);
  std::fflush(stdout);
  if (!Target.start()) {
    fmt::print("  the deployment did not come up\n");
    return 1;
  }
  LoadClient Load(Target, Seed);
  Load.start();
  Chaos Faults(Target, Seed, Count > 6 ? Words[6] : "");
  for (uint32_t I = 1; I <= Rounds; ++I)
    Faults.round(I);
  Load.stop();
  bool JobsDone = Target.waitForJobs(JobLimit);
  Histories Past = Target.histories();
  Past.Answers = Load.Answers;
  Faults.finish(Past);
  printSummary(Past, Faults);
  auto Findings = check(Past);
  for (const Finding &Each : Findings)
    fmt::print("  BROKEN {}: {}\n", violationName(Each.What), Each.Detail);
  if (!JobsDone)
    fmt::print("  BROKEN: some jobs did not end\n");
  bool Kept = Findings.empty() && JobsDone;
  fmt::print("  seed {}: promises {}\n", Seed, Kept ? "kept" : "BROKEN");
  return Kept ? 0 : 1;
}
