#include "harness/Checker.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace daisylanding::harness {

namespace {

using Findings = std::vector<Finding>;

/// The number after `name=` in a history line.
uint32_t numberAfter(const std::string &Line, const std::string &Name) {
  size_t At = Line.find(Name + "=");
  return At == std::string::npos ? 0
                                 : static_cast<uint32_t>(std::stoul(
                                       Line.substr(At + Name.size() + 1)));
}

std::string wordAfter(const std::string &Line, const std::string &Name) {
  size_t At = Line.find(Name + "=");
  if (At == std::string::npos)
    return {};
  std::istringstream Rest(Line.substr(At + Name.size() + 1));
  std::string Word;
  Rest >> Word;
  return Word;
}

std::map<std::string, std::vector<const EndpointRun *>>
runsByKey(const Histories &Past) {
  std::map<std::string, std::vector<const EndpointRun *>> Out;
  for (const EndpointRun &Each : Past.Runs) {
    if (Each.Begins)
      Out[Each.Key].push_back(&Each);
  }
  return Out;
}

void checkRequests(const Histories &Past, Findings &Out) {
  auto Runs = runsByKey(Past);
  std::map<std::string, std::vector<const Told *>> Tries;
  for (const Told &Each : Past.Answers)
    Tries[Each.Key].push_back(&Each);
  for (const auto &[Key, All] : Tries) {
    size_t Ran = Runs.count(Key) ? Runs[Key].size() : 0;
    if (!All.front()->Repeatable && Ran > 1)
      Out.push_back({Violation::RanTwice, Key});
    bool AllNotRun = std::all_of(All.begin(), All.end(), [](const Told *Each) {
      return Each->Outcome == "not-run";
    });
    if (AllNotRun && Ran > 0)
      Out.push_back({Violation::NotRunRan, Key});
    for (const Told *Each : All) {
      if (Each->Outcome == "done" && Each->Body != "answer:" + Key)
        Out.push_back({Violation::WrongAnswer, Key});
      if (Each->Outcome == "done" && Ran == 0)
        Out.push_back({Violation::DoneButNeverRan, Key});
      if (Each->Outcome == "none" && Each->EntryWasStopping)
        Out.push_back({Violation::CutByPlannedStop, Key + " " + Each->Entry});
    }
  }
}

void checkSlots(const Histories &Past, Findings &Out) {
  std::vector<EndpointRun> Ordered = Past.Runs;
  std::stable_sort(
      Ordered.begin(), Ordered.end(),
      [](const auto &Left, const auto &Right) { return Left.At < Right.At; });
  std::map<std::string, int64_t> Running;
  for (const EndpointRun &Each : Ordered) {
    int64_t &Count = Running[Each.Endpoint];
    Count += Each.Begins ? 1 : -1;
    if (Count > static_cast<int64_t>(Past.SlotsPerEndpoint))
      Out.push_back({Violation::SlotsExceeded,
                     Each.Endpoint + " at " + std::to_string(Each.At)});
  }
}

void checkDrains(const Histories &Past, Findings &Out) {
  std::map<std::string, int64_t> FirstAsked;
  for (const Told &Each : Past.Answers) {
    auto [Known, Added] = FirstAsked.emplace(Each.Key, Each.AskedAt);
    if (!Added)
      Known->second = std::min(Known->second, Each.AskedAt);
  }
  for (const Leaving &Drain : Past.Drains) {
    for (const EndpointRun &Run : Past.Runs) {
      auto Asked = FirstAsked.find(Run.Key);
      bool New = Asked != FirstAsked.end() && Asked->second > Drain.AppliedAt;
      if (Run.Begins && Run.Endpoint == Drain.Endpoint && New)
        Out.push_back(
            {Violation::WorkOnLeavingEndpoint, Run.Endpoint + " " + Run.Key});
    }
  }
}

/// What runs where, as the workers' history goes on.
class TaskReplay {
public:
  TaskReplay(const Histories &Past, Findings &Out) : Past(Past), Out(Out) {}

  void step(const TaskRun &Each) {
    if (Each.What == TaskRun::Kind::Killed) {
      std::erase_if(Running, [&](const auto &One) {
        return One.second.Worker.starts_with(Each.Worker);
      });
      return;
    }
    if (Each.What == TaskRun::Kind::End) {
      auto Found = Running.find(Each.Task);
      if (Found != Running.end() && Found->second.Attempt == Each.Attempt)
        Running.erase(Found);
      return;
    }
    auto [Known, Added] = Running.emplace(Each.Task, Each);
    if (!Added) {
      Out.push_back(
          {Violation::TaskRanTwiceAtOnce,
           Each.Task + " on " + Known->second.Worker + " and " + Each.Worker});
      Known->second = Each;
    }
    checkCapacity(Each);
  }

private:
  void checkCapacity(const TaskRun &Started) {
    auto Capacity = Past.Capacities.find(Started.Worker);
    if (Capacity == Past.Capacities.end())
      return;
    table::Resources Sum;
    for (const auto &One : Running) {
      if (One.second.Worker == Started.Worker)
        Sum += One.second.Size;
    }
    if (!Sum.fitsIn(Capacity->second))
      Out.push_back({Violation::InstanceOverbooked,
                     Started.Worker + " by " + Started.Task});
  }

  const Histories &Past;
  Findings &Out;
  std::map<std::string, TaskRun> Running; ///< By task.
};

void checkTasks(const Histories &Past, Findings &Out) {
  std::vector<TaskRun> Ordered = Past.Tasks;
  std::stable_sort(
      Ordered.begin(), Ordered.end(),
      [](const auto &Left, const auto &Right) { return Left.At < Right.At; });
  TaskReplay Replay(Past, Out);
  for (const TaskRun &Each : Ordered)
    Replay.step(Each);
}

void checkVersions(const Histories &Past, Findings &Out) {
  std::map<std::string, uint64_t> Last;
  for (const VersionSeen &Each : Past.Versions) {
    uint64_t &Highest = Last[Each.Process];
    if (Each.Version < Highest)
      Out.push_back({Violation::ConfigReverted, Each.Process});
    Highest = std::max(Highest, Each.Version);
  }
}

void checkRaces(const Histories &Past, Findings &Out) {
  std::set<uint64_t> Made;
  for (uint64_t Each : Past.AcceptedVersions) {
    if (!Made.insert(Each).second)
      Out.push_back({Violation::RaceHadTwoWinners, std::to_string(Each)});
  }
}

void checkJobs(const Histories &Past, Findings &Out) {
  std::map<std::string, std::set<std::string>> Succeeded;
  for (const TaskRun &Each : Past.Tasks) {
    if (Each.Result == "succeeded")
      Succeeded[Each.Task.substr(0, Each.Task.rfind('/'))].insert(Each.Task);
  }
  for (const JobFate &Each : Past.Jobs) {
    if (Each.Batch && Each.State != "succeeded" && Each.State != "failed" &&
        Each.State != "stopped")
      Out.push_back({Violation::JobLost, Each.Id + " " + Each.State});
    if (Each.State == "succeeded" && Succeeded[Each.Id].size() < Each.Tasks)
      Out.push_back({Violation::JobEndedWithoutItsTasks, Each.Id});
  }
}

} // namespace

std::string_view violationName(Violation What) {
  switch (What) {
  case Violation::RanTwice:
    return "ran-twice";
  case Violation::NotRunRan:
    return "not-run-ran";
  case Violation::WrongAnswer:
    return "wrong-answer";
  case Violation::DoneButNeverRan:
    return "done-but-never-ran";
  case Violation::SlotsExceeded:
    return "slots-exceeded";
  case Violation::TaskRanTwiceAtOnce:
    return "task-ran-twice-at-once";
  case Violation::InstanceOverbooked:
    return "instance-overbooked";
  case Violation::WorkOnLeavingEndpoint:
    return "work-on-leaving-endpoint";
  case Violation::CutByPlannedStop:
    return "cut-by-planned-stop";
  case Violation::ConfigReverted:
    return "config-reverted";
  case Violation::RaceHadTwoWinners:
    return "race-had-two-winners";
  case Violation::JobLost:
    return "job-lost";
  case Violation::JobEndedWithoutItsTasks:
    return "job-ended-without-its-tasks";
  }
  return "unrecognized";
}

void readHistory(const std::string &File, Histories &Out) {
  std::ifstream Stream(File);
  std::string Line;
  while (std::getline(Stream, Line)) {
    std::istringstream Words(Line);
    int64_t At = 0;
    std::string What;
    std::string Who;
    std::string Subject;
    Words >> At >> What >> Who >> Subject;
    if (What == "killed") {
      Out.Tasks.push_back(
          {.At = At, .What = TaskRun::Kind::Killed, .Worker = Who});
    } else if (Line.find("attempt=") != std::string::npos) {
      bool Starts = What == "start";
      Out.Tasks.push_back(
          {.At = At,
           .What = Starts ? TaskRun::Kind::Start : TaskRun::Kind::End,
           .Worker = Who,
           .Task = Subject,
           .Attempt = numberAfter(Line, "attempt"),
           .Result = wordAfter(Line, "result"),
           .Size = {.MilliCores = numberAfter(Line, "cores"),
                    .MemoryMb = numberAfter(Line, "memory"),
                    .Accelerators = numberAfter(Line, "accelerators")}});
    } else {
      Out.Runs.push_back({At, What == "run", Who, Subject});
    }
  }
}

std::vector<Finding> check(const Histories &Past) {
  Findings Out;
  checkRequests(Past, Out);
  checkSlots(Past, Out);
  checkDrains(Past, Out);
  checkTasks(Past, Out);
  checkVersions(Past, Out);
  checkRaces(Past, Out);
  checkJobs(Past, Out);
  return Out;
}

} // namespace daisylanding::harness
