#include "unit/CellSim.h"

#include <fmt/format.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr int CalmCount = 19;
constexpr uint32_t Weight = 1;
constexpr int ExecutorCount = 4;
constexpr Resources ExecutorSize{.MilliCores = 16'000, .MemoryMb = 64'000};
constexpr Resources TaskSize{.MilliCores = 1'000, .MemoryMb = 1'000};
constexpr uint32_t TasksPerJob = 4;
constexpr int64_t RunMs = 400;
/// Stretch 2 and 500 ms, as the simulation's queue has them.
constexpr int64_t AllowedMs = 2 * RunMs + 500;
constexpr int64_t SliceMs = 50;
constexpr const char *Presser = "presser";

std::string calmName(int Number) { return fmt::format("calm{}", Number); }

struct SentJob {
  std::string Id;
  TimePoint SentAt{};
  std::optional<TimePoint> DoneAt;

  bool isInTime() const {
    return DoneAt && *DoneAt <= SentAt + Millis(AllowedMs);
  }
};

/// What one workspace sends, at an even rate.
struct Sender {
  std::string Workspace;
  double JobsPerSecond = 0;
  double Due = 0;
  std::vector<SentJob> Jobs;
};

double shareInTime(std::span<const SentJob> Jobs) {
  auto Count = std::count_if(Jobs.begin(), Jobs.end(),
                             [](const SentJob &Job) { return Job.isInTime(); });
  return static_cast<double>(Count) / static_cast<double>(Jobs.size());
}

} // namespace

// clang-format off
/// A service that does 40 jobs a second, for twenty workspaces of one weight.
TEST_GROUP(AServiceOfTwentyWorkspaces) {
  Simulation Sim;
  std::vector<Sender> Senders;
  uint64_t NextId = 1;

  void setup() override {
    for (int I = 0; I < ExecutorCount; ++I)
      Sim.addExecutor(ExecutorSize, fmt::format("r{}", I / 2));
    Sim.takeOver();
    Sim.changeConfig([](CellConfig &Config) {
      Config.Workspaces.push_back({.Name = Presser, .Weight = Weight});
      for (int I = 0; I < CalmCount; ++I)
        Config.Workspaces.push_back({.Name = calmName(I), .Weight = Weight});
    });
    Sim.Owner->finishEndedRows();
    Sim.runFor(500);
  }
  JobSpec makeJob(const std::string &Workspace, uint32_t Tasks = TasksPerJob) {
    JobSpec Job = Simulation::makeJob(fmt::format("{:016x}", NextId++), Tasks, TaskSize, RunMs);
    Job.Workspace = Workspace;
    return Job;
  }
  void send(Sender &From) {
    constexpr double MillisPerSecond = 1'000;
    From.Due += From.JobsPerSecond * SliceMs / MillisPerSecond;
    for (; From.Due >= 1; From.Due -= 1) {
      JobSpec Job = makeJob(From.Workspace);
      From.Jobs.push_back({.Id = Job.Id, .SentAt = Sim.Now});
      Sim.submit(std::move(Job));
    }
  }
  void noteEnds(Sender &From) const {
    for (SentJob &Job : From.Jobs) {
      if (!Job.DoneAt && Sim.storedPhase(Job.Id) == JobPhase::Completed)
        Job.DoneAt = Sim.Now;
    }
  }
  void load(int64_t Ms) {
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += SliceMs) {
      for (Sender &From : Senders)
        send(From);
      Sim.runFor(SliceMs);
      for (Sender &From : Senders)
        noteEnds(From);
    }
  }
  std::optional<OfferOutcome> offer(const JobSpec &Job) {
    std::optional<OfferOutcome> Answer;
    Sim.registerJob(Job);
    Sim.Owner->offer({.Job = Job,
                      .SearchedVersion = 100,
                      .TimeLeft = Millis(5'000),
                      .Done = [&](OfferOutcome Outcome) { Answer = Outcome; }},
                     Sim.Now, Sim.Now);
    for (int I = 0; I < 100 && !Answer; ++I)
      Sim.runFor(10);
    return Answer;
  }
};

TEST_GROUP_BASE(WhileOneSendsFarMoreThanItsWeight, TEST_GROUP_CppUTestGroupAServiceOfTwentyWorkspaces) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAServiceOfTwentyWorkspaces::setup();
    Senders.push_back({.Workspace = Presser, .JobsPerSecond = 90});
    for (int I = 0; I < CalmCount; ++I)
      Senders.push_back({.Workspace = calmName(I), .JobsPerSecond = Weight, .Due = I / 19.0});
    // Not at the moment when its rate allows one more.
    load(5'100);
  }
};
// clang-format on

TEST(WhileOneSendsFarMoreThanItsWeight, TheJobsOfAllOthersAreInTime) {
  load(2'000);
  for (size_t I = 1; I < Senders.size(); ++I) {
    std::span<const SentJob> Jobs = Senders[I].Jobs;
    CHECK_TRUE(shareInTime(Jobs.first(Jobs.size() - 2)) >= 0.95);
  }
}

TEST(WhileOneSendsFarMoreThanItsWeight, ItGetsWhatTheyLeave) {
  TimePoint Begin = Sim.Now;
  load(3'000);
  auto Done = std::count_if(
      Senders[0].Jobs.begin(), Senders[0].Jobs.end(),
      [&](const SentJob &Job) { return Job.DoneAt && *Job.DoneAt >= Begin; });
  CHECK_TRUE(Done >= 45);
}

TEST(WhileOneSendsFarMoreThanItsWeight, ItsNextJobIsRefused) {
  auto Outcome = offer(makeJob(Presser));
  CHECK_TRUE(Outcome == OfferOutcome::Refused);
}

TEST(WhileOneSendsFarMoreThanItsWeight, ARefusedJobIsNeverDone) {
  JobSpec Job = makeJob(Presser);
  CHECK_TRUE(offer(Job) == OfferOutcome::Refused);
  Senders.clear();
  Sim.runFor(5'000);
  CHECK_FALSE(Sim.isStored(Job.Id));
}

TEST(WhileOneSendsFarMoreThanItsWeight, ACopyOfAnAcceptedJobIsNotRefused) {
  JobSpec Job = makeJob(Presser);
  Sim.submit(Job);
  CHECK_TRUE(offer(Job) == OfferOutcome::StoredBefore);
}

TEST(WhileOneSendsFarMoreThanItsWeight, AJobOfAnotherIsNotRefused) {
  CHECK_TRUE(offer(makeJob(calmName(3))) == OfferOutcome::Stored);
}

TEST(WhileOneSendsFarMoreThanItsWeight, AJobThatHasTimeIsNotRefused) {
  JobSpec Job = makeJob(Presser);
  Job.Steps.front().Estimate = Millis(120'000);
  CHECK_TRUE(offer(Job) == OfferOutcome::Stored);
}

TEST(WhileOneSendsFarMoreThanItsWeight, LastingAndTimedJobsAreNotRefused) {
  JobSpec Lasting = makeJob(Presser);
  Lasting.Steps.front().LongRunning = true;
  CHECK_TRUE(offer(Lasting) == OfferOutcome::Stored);
  JobSpec Timed = makeJob(Presser);
  Timed.RepeatCount = 1;
  Timed.FirstRunMs = 1'000'000'000;
  CHECK_TRUE(offer(Timed) == OfferOutcome::Stored);
}

TEST(WhileOneSendsFarMoreThanItsWeight, AnOwnerWithAnOldViewRefusesNothing) {
  Sim.FeedsSilent = true;
  Sim.runFor(3'000);
  CHECK_FALSE(offer(makeJob(Presser)) == OfferOutcome::Refused);
}

TEST(WhileOneSendsFarMoreThanItsWeight, ItsBacklogIsStatedAndNoOther) {
  Sim.runFor(500);
  BacklogStatement Stated = Sim.ownerRow().Backlog;
  CHECK_TRUE(Stated.find("q", Presser));
  LONGS_EQUAL(1, Stated.Entries.size());
}

TEST(WhileOneSendsFarMoreThanItsWeight, ASuccessorRefusesItToo) {
  Sim.killOwner();
  Sim.runFor(100);
  Sim.takeOver();
  Sim.Owner->finishEndedRows();
  Sim.runFor(8'000);
  load(4'000);
  CHECK_TRUE(offer(makeJob(Presser)) == OfferOutcome::Refused);
  CHECK_TRUE(offer(makeJob(calmName(3))) == OfferOutcome::Stored);
}

TEST(WhileOneSendsFarMoreThanItsWeight, OperatorsSeeWhoPresses) {
  OwnerStatus Status = Sim.Owner->status(Sim.Now);
  STRCMP_EQUAL(Presser, Status.Workspaces.front().Name.c_str());
  CHECK_TRUE(Status.Workspaces.front().WaitingSteps > 20);
  CHECK_TRUE(Status.Workspaces[0].UsedShare >
             4 * Status.Workspaces[1].UsedShare);
}

TEST(AServiceOfTwentyWorkspaces, IsForOneAloneIfNobodyElseSends) {
  Senders.push_back({.Workspace = Presser, .JobsPerSecond = 28});
  load(5'000);
  std::span<const SentJob> Jobs = Senders[0].Jobs;
  CHECK_TRUE(shareInTime(Jobs.first(Jobs.size() - 56)) >= 0.95);
}

TEST(AServiceOfTwentyWorkspaces, RefusesNothingWhileExecutorsAreFree) {
  for (int I = 0; I < 20; ++I)
    CHECK_TRUE(offer(makeJob(Presser, 1)) == OfferOutcome::Stored);
}

TEST(AServiceOfTwentyWorkspaces, LastingTasksOfThePresserComeBackAtOnce) {
  JobSpec Lasting = makeJob(Presser, 1);
  Lasting.Steps.front().LongRunning = true;
  Sim.submit(Lasting);
  Sim.runFor(1'000);
  std::string Task = taskName({.Job = Lasting.Id});
  CHECK_TRUE(Sim.isOpen(Task));
  Senders.push_back({.Workspace = Presser, .JobsPerSecond = 60});
  Senders.push_back({.Workspace = calmName(1), .JobsPerSecond = 24});
  load(4'000);
  std::string Place = Sim.Started.front().Target.Id;
  Sim.crashExecutor(Place, 60'000);
  load(12'000);
  CHECK_TRUE(Sim.runsOf(Task) >= 2);
}

TEST(AServiceOfTwentyWorkspaces, AGangBeyondTheShareRunsInWhatIsLeft) {
  Senders.push_back({.Workspace = calmName(1), .JobsPerSecond = 5});
  Senders.push_back({.Workspace = Presser, .JobsPerSecond = 30});
  load(3'000);
  JobSpec Gang = makeJob(Presser, 8);
  Gang.Steps.front().Gang = true;
  Sim.submit(Gang);
  load(6'000);
  Senders.clear();
  Sim.runFor(6'000);
  CHECK_TRUE(Sim.storedPhase(Gang.Id) == JobPhase::Completed);
}
