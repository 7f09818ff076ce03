#include "harness/Checker.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace daisylanding::harness {

namespace {

using FindingList = std::vector<ViolationFinding>;

/// The number after `Name=` in a history line; 0 when absent.
uint32_t numericField(const std::string &Line, const std::string &Name) {
  size_t Position = Line.find(Name + "=");
  return Position == std::string::npos
             ? 0
             : static_cast<uint32_t>(
                   std::stoul(Line.substr(Position + Name.size() + 1)));
}

std::string textField(const std::string &Line, const std::string &Name) {
  size_t Position = Line.find(Name + "=");
  if (Position == std::string::npos)
    return {};
  std::istringstream Remainder(Line.substr(Position + Name.size() + 1));
  std::string Value;
  Remainder >> Value;
  return Value;
}

std::map<std::string, std::vector<const EndpointEvent *>>
startsByKey(const DeploymentHistory &History) {
  std::map<std::string, std::vector<const EndpointEvent *>> StartsByKey;
  for (const EndpointEvent &Event : History.EndpointEvents) {
    if (Event.IsStart)
      StartsByKey[Event.Key].push_back(&Event);
  }
  return StartsByKey;
}

void checkRequests(const DeploymentHistory &History, FindingList &Findings) {
  auto Starts = startsByKey(History);
  std::map<std::string, std::vector<const TryRecord *>> TriesByKey;
  for (const TryRecord &Try : History.Tries)
    TriesByKey[Try.Key].push_back(&Try);
  for (const auto &[Key, KeyTries] : TriesByKey) {
    size_t RunCount = Starts.count(Key) ? Starts[Key].size() : 0;
    if (!KeyTries.front()->Repeatable && RunCount > 1)
      Findings.push_back({Violation::NonRepeatableRanTwice, Key});
    bool AllReportedNotRun =
        std::all_of(KeyTries.begin(), KeyTries.end(), [](const TryRecord *Try) {
          return Try->Outcome == "not-run";
        });
    if (AllReportedNotRun && RunCount > 0)
      Findings.push_back({Violation::RanDespiteNotRun, Key});
    for (const TryRecord *Try : KeyTries) {
      if (Try->Outcome == "done" && Try->Body != "answer:" + Key)
        Findings.push_back({Violation::WrongAnswer, Key});
      if (Try->Outcome == "done" && RunCount == 0)
        Findings.push_back({Violation::DoneWithoutRun, Key});
      if (Try->Outcome == "none" && Try->EntryWasStopping)
        Findings.push_back(
            {Violation::DroppedByGracefulStop, Key + " " + Try->Entry});
    }
  }
}

void checkSlots(const DeploymentHistory &History, FindingList &Findings) {
  std::vector<EndpointEvent> EventsByTime = History.EndpointEvents;
  std::stable_sort(EventsByTime.begin(), EventsByTime.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Time < Right.Time;
                   });
  std::map<std::string, int64_t> RunningByEndpoint;
  for (const EndpointEvent &Event : EventsByTime) {
    int64_t &RunningCount = RunningByEndpoint[Event.Endpoint];
    RunningCount += Event.IsStart ? 1 : -1;
    if (RunningCount > static_cast<int64_t>(History.SlotsPerEndpoint))
      Findings.push_back(
          {Violation::SlotsExceeded,
           Event.Endpoint + " at " + std::to_string(Event.Time)});
  }
}

void checkDrains(const DeploymentHistory &History, FindingList &Findings) {
  std::map<std::string, int64_t> FirstSentByKey;
  for (const TryRecord &Try : History.Tries) {
    auto [It, Inserted] = FirstSentByKey.emplace(Try.Key, Try.SentAt);
    if (!Inserted)
      It->second = std::min(It->second, Try.SentAt);
  }
  for (const DrainRecord &Drain : History.Drains) {
    for (const EndpointEvent &Event : History.EndpointEvents) {
      auto FirstSent = FirstSentByKey.find(Event.Key);
      bool SentAfterDrain = FirstSent != FirstSentByKey.end() &&
                            FirstSent->second > Drain.AppliedAt;
      if (Event.IsStart && Event.Endpoint == Drain.Endpoint && SentAfterDrain)
        Findings.push_back({Violation::RequestOnDrainingEndpoint,
                            Event.Endpoint + " " + Event.Key});
    }
  }
}

/// Replays attempt events in the order of their times and keeps track of the
/// attempts that run.
class AttemptReplay {
public:
  AttemptReplay(const DeploymentHistory &History, FindingList &Findings)
      : History(History), Findings(Findings) {}

  void apply(const AttemptEvent &Event) {
    if (Event.EventKind == AttemptEvent::Kind::Killed) {
      std::erase_if(RunningByTask, [&](const auto &Attempt) {
        return Attempt.second.Worker.starts_with(Event.Worker);
      });
      return;
    }
    if (Event.EventKind == AttemptEvent::Kind::End) {
      auto It = RunningByTask.find(Event.Task);
      if (It != RunningByTask.end() && It->second.Attempt == Event.Attempt)
        RunningByTask.erase(It);
      return;
    }
    auto [It, Inserted] = RunningByTask.emplace(Event.Task, Event);
    if (!Inserted) {
      Findings.push_back(
          {Violation::OverlappingAttempts,
           Event.Task + " on " + It->second.Worker + " and " + Event.Worker});
      It->second = Event;
    }
    checkCapacity(Event);
  }

private:
  void checkCapacity(const AttemptEvent &StartEvent) {
    auto CapacityIt = History.WorkerCapacities.find(StartEvent.Worker);
    if (CapacityIt == History.WorkerCapacities.end())
      return;
    table::Resources TotalSize;
    for (const auto &Attempt : RunningByTask) {
      if (Attempt.second.Worker == StartEvent.Worker)
        TotalSize += Attempt.second.Size;
    }
    if (!TotalSize.fitsIn(CapacityIt->second))
      Findings.push_back({Violation::InstanceOvercommitted,
                          StartEvent.Worker + " by " + StartEvent.Task});
  }

  const DeploymentHistory &History;
  FindingList &Findings;
  std::map<std::string, AttemptEvent> RunningByTask;
};

void checkAttempts(const DeploymentHistory &History, FindingList &Findings) {
  std::vector<AttemptEvent> EventsByTime = History.AttemptEvents;
  std::stable_sort(EventsByTime.begin(), EventsByTime.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Time < Right.Time;
                   });
  AttemptReplay Replay(History, Findings);
  for (const AttemptEvent &Event : EventsByTime)
    Replay.apply(Event);
}

void checkConfigOrder(const DeploymentHistory &History, FindingList &Findings) {
  std::map<std::string, uint64_t> HighestByProcess;
  for (const ConfigObservation &Observation : History.ConfigObservations) {
    uint64_t &HighestVersion = HighestByProcess[Observation.Process];
    if (Observation.Version < HighestVersion)
      Findings.push_back({Violation::ConfigReverted, Observation.Process});
    HighestVersion = std::max(HighestVersion, Observation.Version);
  }
}

void checkAcceptedVersions(const DeploymentHistory &History,
                           FindingList &Findings) {
  std::set<uint64_t> SeenVersions;
  for (uint64_t Version : History.AcceptedVersions) {
    if (!SeenVersions.insert(Version).second)
      Findings.push_back(
          {Violation::VersionAcceptedTwice, std::to_string(Version)});
  }
}

void checkJobs(const DeploymentHistory &History, FindingList &Findings) {
  std::map<std::string, std::set<std::string>> SucceededTasksByJob;
  for (const AttemptEvent &Event : History.AttemptEvents) {
    if (Event.Result == "succeeded")
      SucceededTasksByJob[Event.Task.substr(0, Event.Task.rfind('/'))].insert(
          Event.Task);
  }
  for (const JobRecord &Job : History.Jobs) {
    if (Job.MustEnd && Job.State != "succeeded" && Job.State != "failed" &&
        Job.State != "stopped")
      Findings.push_back({Violation::JobNeverEnded, Job.Id + " " + Job.State});
    if (Job.State == "succeeded" &&
        SucceededTasksByJob[Job.Id].size() < Job.TaskCount)
      Findings.push_back({Violation::JobSucceededWithoutTasks, Job.Id});
  }
}

} // namespace

std::string_view violationName(Violation Kind) {
  switch (Kind) {
  case Violation::NonRepeatableRanTwice:
    return "ran-twice";
  case Violation::RanDespiteNotRun:
    return "not-run-ran";
  case Violation::WrongAnswer:
    return "wrong-answer";
  case Violation::DoneWithoutRun:
    return "done-but-never-ran";
  case Violation::SlotsExceeded:
    return "slots-exceeded";
  case Violation::OverlappingAttempts:
    return "task-ran-twice-at-once";
  case Violation::InstanceOvercommitted:
    return "instance-overbooked";
  case Violation::RequestOnDrainingEndpoint:
    return "work-on-leaving-endpoint";
  case Violation::DroppedByGracefulStop:
    return "cut-by-planned-stop";
  case Violation::ConfigReverted:
    return "config-reverted";
  case Violation::VersionAcceptedTwice:
    return "race-had-two-winners";
  case Violation::JobNeverEnded:
    return "job-lost";
  case Violation::JobSucceededWithoutTasks:
    return "job-ended-without-its-tasks";
  }
  return "unrecognized";
}

void readHistory(const std::string &File, DeploymentHistory &History) {
  std::ifstream Stream(File);
  std::string Line;
  while (std::getline(Stream, Line)) {
    std::istringstream Fields(Line);
    int64_t Time = 0;
    std::string EventName;
    std::string Source;
    std::string Subject;
    Fields >> Time >> EventName >> Source >> Subject;
    if (EventName == "killed") {
      History.AttemptEvents.push_back({.Time = Time,
                                       .EventKind = AttemptEvent::Kind::Killed,
                                       .Worker = Source});
    } else if (Line.find("attempt=") != std::string::npos) {
      bool IsStart = EventName == "start";
      History.AttemptEvents.push_back(
          {.Time = Time,
           .EventKind =
               IsStart ? AttemptEvent::Kind::Start : AttemptEvent::Kind::End,
           .Worker = Source,
           .Task = Subject,
           .Attempt = numericField(Line, "attempt"),
           .Result = textField(Line, "result"),
           .Size = {.MilliCores = numericField(Line, "cores"),
                    .MemoryMb = numericField(Line, "memory"),
                    .Accelerators = numericField(Line, "accelerators")}});
    } else {
      History.EndpointEvents.push_back(
          {Time, EventName == "run", Source, Subject});
    }
  }
}

std::vector<ViolationFinding> findViolations(const DeploymentHistory &History) {
  FindingList Findings;
  checkRequests(History, Findings);
  checkSlots(History, Findings);
  checkDrains(History, Findings);
  checkAttempts(History, Findings);
  checkConfigOrder(History, Findings);
  checkAcceptedVersions(History, Findings);
  checkJobs(History, Findings);
  return Findings;
}

} // namespace daisylanding::harness
