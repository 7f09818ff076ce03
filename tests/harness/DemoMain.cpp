#include "harness/Deployment.h"
#include "harness/LoadClient.h"
#include "http/Client.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

using namespace daisylanding;
using namespace daisylanding::harness;

namespace {

constexpr Millis PhaseDuration{5'000};
constexpr Millis JobTimeout{60'000};
constexpr Millis StopTimeout{40'000};

/// Statistics of the packing of all shards over the scenario.
struct PackingSamples {
  double Sum = 0;
  double Highest = 0;
  size_t Count = 0;
};

void samplePacking(Deployment &Target, PackingSamples &Samples) {
  for (auto &Entry : Target.Entries) {
    if (!Entry->Healthy)
      continue;
    for (const auto &[Name, Value] : Target.entryMetrics(*Entry)) {
      if (!Name.starts_with("daisylanding_shard_packing"))
        continue;
      Samples.Sum += Value;
      Samples.Highest = std::max(Samples.Highest, Value);
      ++Samples.Count;
    }
  }
}

/// Records observations and samples the packing for \p Duration, under load.
void observeFor(Deployment &Target, Millis Duration, PackingSamples &Samples) {
  constexpr Millis PollInterval{250};
  TimePoint Deadline = monotonicNow() + Duration;
  while (monotonicNow() < Deadline) {
    Target.recordObservations();
    samplePacking(Target, Samples);
    std::this_thread::sleep_for(PollInterval);
  }
}

void submitJobs(Deployment &Target) {
  for (const JobScenario &Job : Target.TestScenario.Jobs) {
    for (uint32_t Index = 0; Index < Job.Count; ++Index) {
      config::JobSpec Spec = Job.Spec;
      Spec.Id = fmt::format("{}-{}", Job.Spec.Id, Index);
      if (!Target.submitJob(Spec))
        fmt::print("  job {} was not accepted\n", Spec.Id);
    }
  }
}

/// Prints the highest value over all entries of each waiting-time quantile, and
/// the packing.
void printWaitingTimes(Deployment &Target, const PackingSamples &Packing) {
  std::map<std::string, double> HighestByMetric;
  for (auto &Entry : Target.Entries) {
    for (const auto &[Name, Value] : Target.entryMetrics(*Entry)) {
      if (Name.find("waiting_ms{") != std::string::npos &&
          Name.find("quantile") != std::string::npos)
        HighestByMetric[Name] = std::max(HighestByMetric[Name], Value);
    }
  }
  fmt::print("  waiting time, the worst entry's quantiles:\n");
  for (const auto &[Name, Value] : HighestByMetric)
    fmt::print("    {:<72} {:9.1f} ms\n",
               Name.substr(std::string("daisylanding_").size()), Value);
  auto SampleCount = static_cast<double>(std::max<size_t>(1, Packing.Count));
  fmt::print("  packing of a shard: mean {:.2f}, highest {:.2f}\n",
             Packing.Sum / SampleCount, Packing.Highest);
}

/// Prints processor time and resident memory of the entries, from /proc.
void printControlCost(Deployment &Target, double RunSeconds) {
  double CpuTicks = 0;
  long HighestResidentKb = 0;
  for (auto &Entry : Target.Entries) {
    if (!Entry->Child.running())
      continue;
    std::ifstream StatFile(fmt::format("/proc/{}/stat", Entry->Child.pid()));
    std::string StatLine((std::istreambuf_iterator<char>(StatFile)), {});
    std::istringstream Fields(StatLine.substr(StatLine.rfind(')') + 2));
    std::string SkippedField;
    for (int Index = 0; Index < 11; ++Index)
      Fields >> SkippedField;
    double UserTicks = 0;
    double SystemTicks = 0;
    Fields >> UserTicks >> SystemTicks;
    CpuTicks += UserTicks + SystemTicks;
    std::ifstream StatusFile(
        fmt::format("/proc/{}/status", Entry->Child.pid()));
    std::string Line;
    while (std::getline(StatusFile, Line)) {
      if (Line.starts_with("VmRSS:"))
        HighestResidentKb =
            std::max(HighestResidentKb, std::stol(Line.substr(6)));
    }
  }
  auto TicksPerSecond = static_cast<double>(sysconf(_SC_CLK_TCK));
  double CoresUsed = CpuTicks / TicksPerSecond / RunSeconds;
  fmt::print("  control cost: {:.2f} cores over all entries, at most {} MB "
             "each\n",
             CoresUsed, HighestResidentKb / 1'024);
}

size_t printFindings(const std::vector<ViolationFinding> &Findings) {
  std::map<std::string_view, size_t> CountsByName;
  for (const ViolationFinding &Finding : Findings) {
    if (++CountsByName[violationName(Finding.Kind)] <= 3)
      fmt::print("  BROKEN {}: {}\n", violationName(Finding.Kind),
                 Finding.Detail);
  }
  return Findings.size();
}

bool runScenario(const std::string &File, const std::string &ProgramDir,
                 const std::string &OutputDir) {
  Deployment Target(loadScenario(File), ProgramDir, OutputDir);
  fmt::print("{}: {} entries, {} endpoints, {} zones\n",
             Target.TestScenario.Name, Target.Entries.size(),
             Target.Endpoints.size(), Target.TestScenario.Zones.size());
  std::fflush(stdout);
  TimePoint StartTime = monotonicNow();
  if (!Target.start()) {
    fmt::print("  it did not come up; see {}\n", OutputDir);
    return false;
  }
  PackingSamples Packing;
  LoadClient Load(Target, 1);
  Load.start();
  submitJobs(Target);
  observeFor(Target, PhaseDuration, Packing);
  fmt::print("  killing {}\n", Target.Entries[0]->Name);
  Target.killEntry(0);
  observeFor(Target, PhaseDuration, Packing);
  fmt::print("  draining {}\n", Target.Endpoints[0]);
  Target.drainEndpoint(0);
  Target.restartEntry(0);
  observeFor(Target, PhaseDuration, Packing);
  fmt::print("  stopping {} gracefully\n", Target.Entries[1]->Name);
  Target.stopEntry(1);
  observeFor(Target, PhaseDuration, Packing);
  Load.stop();
  int StopExitCode = Target.Entries[1]->Child.wait(StopTimeout);
  bool AllJobsEnded = Target.waitForJobs(JobTimeout);
  printControlCost(Target, toSeconds(monotonicNow() - StartTime));
  printWaitingTimes(Target, Packing);
  DeploymentHistory History = Target.history();
  History.Tries = Load.Tries;
  std::map<std::string, size_t> CountsByOutcome;
  for (const TryRecord &Try : History.Tries)
    ++CountsByOutcome[Try.Outcome];
  fmt::print("  answers:");
  for (const auto &[Name, Count] : CountsByOutcome)
    fmt::print(" {} {}", Name, Count);
  fmt::print("\n  jobs: {} accepted\n", History.Jobs.size());
  auto Findings = findViolations(History);
  auto CountOfKind = [&](Violation Kind) {
    return std::count_if(
        Findings.begin(), Findings.end(),
        [&](const ViolationFinding &Finding) { return Finding.Kind == Kind; });
  };
  size_t LostCount = Load.UnansweredCount +
                     CountOfKind(Violation::JobNeverEnded) +
                     CountOfKind(Violation::DoneWithoutRun);
  size_t DuplicateCount = CountOfKind(Violation::NonRepeatableRanTwice) +
                          CountOfKind(Violation::OverlappingAttempts);
  fmt::print("  lost {}, doubled {}\n", LostCount, DuplicateCount);
  bool Passed = printFindings(Findings) == 0 && LostCount == 0 &&
                AllJobsEnded && StopExitCode == 0;
  if (!AllJobsEnded)
    fmt::print("  BROKEN: some jobs did not end\n");
  if (StopExitCode != 0)
    fmt::print("  BROKEN: the graceful stop ended with {}\n", StopExitCode);
  fmt::print("  promises {}\n\n", Passed ? "kept" : "BROKEN");
  return Passed;
}

} // namespace

int main(int ArgCount, char **ArgValues) {
  if (ArgCount < 4) {
    fmt::print(stderr, "usage: demo PROGRAMS FOLDER SCENARIO...\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  bool AllPassed = true;
  for (int Index = 3; Index < ArgCount; ++Index)
    AllPassed = runScenario(ArgValues[Index], ArgValues[1],
                            fmt::format("{}/{}", ArgValues[2], Index)) &&
                AllPassed;
  return AllPassed ? 0 : 1;
}
