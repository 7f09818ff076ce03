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

constexpr Millis QuarterOfLoad{5'000};
constexpr Millis JobLimit{60'000};
constexpr Millis StopLimit{40'000};

/// The packing of each shard over the run.
struct PackingSamples {
  double Sum = 0;
  double Highest = 0;
  size_t Count = 0;
};

void samplePacking(Deployment &Target, PackingSamples &Out) {
  for (auto &Each : Target.Entries) {
    if (!Each->Healthy)
      continue;
    for (const auto &[Name, Value] : Target.metricsOf(*Each)) {
      if (!Name.starts_with("daisylanding_shard_packing"))
        continue;
      Out.Sum += Value;
      Out.Highest = std::max(Out.Highest, Value);
      ++Out.Count;
    }
  }
}

/// Lets the load go on, and watches versions, drains and packing meanwhile.
void watch(Deployment &Target, Millis Span, PackingSamples &Packing) {
  constexpr Millis Step{250};
  TimePoint Until = monotonicNow() + Span;
  while (monotonicNow() < Until) {
    Target.observe();
    samplePacking(Target, Packing);
    std::this_thread::sleep_for(Step);
  }
}

void submitJobs(Deployment &Target) {
  for (const JobScenario &Each : Target.What.Jobs) {
    for (uint32_t I = 0; I < Each.Count; ++I) {
      config::JobSpec Spec = Each.Spec;
      Spec.Id = fmt::format("{}-{}", Each.Spec.Id, I);
      if (!Target.submit(Spec))
        fmt::print("  job {} was not accepted\n", Spec.Id);
    }
  }
}

/// The largest value over all entries of each waiting-time series.
void printWaiting(Deployment &Target, const PackingSamples &Packing) {
  std::map<std::string, double> Worst;
  for (auto &Each : Target.Entries) {
    for (const auto &[Name, Value] : Target.metricsOf(*Each)) {
      if (Name.find("waiting_ms{") != std::string::npos &&
          Name.find("quantile") != std::string::npos)
        Worst[Name] = std::max(Worst[Name], Value);
    }
  }
  fmt::print("  waiting time, the worst entry's quantiles:\n");
  for (const auto &[Name, Value] : Worst)
    fmt::print("    {:<72} {:9.1f} ms\n",
               Name.substr(std::string("daisylanding_").size()), Value);
  auto Samples = static_cast<double>(std::max<size_t>(1, Packing.Count));
  fmt::print("  packing of a shard: mean {:.2f}, highest {:.2f}\n",
             Packing.Sum / Samples, Packing.Highest);
}

/// Processor time and memory of an entry process, from /proc.
void printControlCost(Deployment &Target, double Seconds) {
  double Ticks = 0;
  long Kilobytes = 0;
  for (auto &Each : Target.Entries) {
    if (!Each->Child.running())
      continue;
    std::ifstream Stat(fmt::format("/proc/{}/stat", Each->Child.pid()));
    std::string Text((std::istreambuf_iterator<char>(Stat)), {});
    std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
    std::string Skipped;
    for (int I = 0; I < 11; ++I)
      Fields >> Skipped;
    double User = 0;
    double System = 0;
    Fields >> User >> System;
    Ticks += User + System;
    std::ifstream Status(fmt::format("/proc/{}/status", Each->Child.pid()));
    std::string Line;
    while (std::getline(Status, Line)) {
      if (Line.starts_with("VmRSS:"))
        Kilobytes = std::max(Kilobytes, std::stol(Line.substr(6)));
    }
  }
  auto PerSecond = static_cast<double>(sysconf(_SC_CLK_TCK));
  double Share = Ticks / PerSecond / Seconds;
  fmt::print("  control cost: {:.2f} cores over all entries, at most {} MB "
             "each\n",
             Share, Kilobytes / 1'024);
}

size_t printFindings(const std::vector<Finding> &Findings) {
  std::map<std::string_view, size_t> Counts;
  for (const Finding &Each : Findings) {
    if (++Counts[violationName(Each.What)] <= 3)
      fmt::print("  BROKEN {}: {}\n", violationName(Each.What), Each.Detail);
  }
  return Findings.size();
}

bool runScenario(const std::string &File, const std::string &Programs,
                 const std::string &Folder) {
  Deployment Target(loadScenario(File), Programs, Folder);
  fmt::print("{}: {} entries, {} endpoints, {} zones\n", Target.What.Name,
             Target.Entries.size(), Target.Endpoints.size(),
             Target.What.Zones.size());
  std::fflush(stdout);
  TimePoint Began = monotonicNow();
  if (!Target.start()) {
    fmt::print("  it did not come up; see {}\n", Folder);
    return false;
  }
  PackingSamples Packing;
  LoadClient Load(Target, 1);
  Load.start();
  submitJobs(Target);
  watch(Target, QuarterOfLoad, Packing);
  fmt::print("  killing {}\n", Target.Entries[0]->Name);
  Target.killEntry(0);
  watch(Target, QuarterOfLoad, Packing);
  fmt::print("  draining {}\n", Target.Endpoints[0]);
  Target.drainEndpoint(0);
  Target.restartEntry(0);
  watch(Target, QuarterOfLoad, Packing);
  fmt::print("  stopping {} gracefully\n", Target.Entries[1]->Name);
  Target.stopEntry(1);
  watch(Target, QuarterOfLoad, Packing);
  Load.stop();
  int StopCode = Target.Entries[1]->Child.wait(StopLimit);
  bool JobsDone = Target.waitForJobs(JobLimit);
  printControlCost(Target, toSeconds(monotonicNow() - Began));
  printWaiting(Target, Packing);
  Histories Past = Target.histories();
  Past.Answers = Load.Answers;
  std::map<std::string, size_t> Outcomes;
  for (const Told &Each : Past.Answers)
    ++Outcomes[Each.Outcome];
  fmt::print("  answers:");
  for (const auto &[Name, Count] : Outcomes)
    fmt::print(" {} {}", Name, Count);
  fmt::print("\n  jobs: {} accepted\n", Past.Jobs.size());
  auto Findings = check(Past);
  auto CountOf = [&](Violation What) {
    return std::count_if(
        Findings.begin(), Findings.end(),
        [&](const Finding &Each) { return Each.What == What; });
  };
  size_t Lost = Load.Unanswered + CountOf(Violation::JobLost) +
                CountOf(Violation::DoneButNeverRan);
  size_t Doubled =
      CountOf(Violation::RanTwice) + CountOf(Violation::TaskRanTwiceAtOnce);
  fmt::print("  lost {}, doubled {}\n", Lost, Doubled);
  bool Clean =
      printFindings(Findings) == 0 && Lost == 0 && JobsDone && StopCode == 0;
  if (!JobsDone)
    fmt::print("  BROKEN: some jobs did not end\n");
  if (StopCode != 0)
    fmt::print("  BROKEN: the graceful stop ended with {}\n", StopCode);
  fmt::print("  promises {}\n\n", Clean ? "kept" : "BROKEN");
  return Clean;
}

} // namespace

int main(int Count, char **Words) {
  if (Count < 4) {
    fmt::print(stderr, "usage: demo PROGRAMS FOLDER SCENARIO...\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  bool Kept = true;
  for (int I = 3; I < Count; ++I)
    Kept = runScenario(Words[I], Words[1], fmt::format("{}/{}", Words[2], I)) &&
           Kept;
  return Kept ? 0 : 1;
}
