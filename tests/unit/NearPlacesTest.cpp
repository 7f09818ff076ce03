#include "unit/CellSim.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

/// Four tasks fit on an executor.
constexpr Resources ExecutorSize{.MilliCores = 16'000, .MemoryMb = 64'000};
constexpr Resources TaskSize{.MilliCores = 4'000, .MemoryMb = 8'000};
constexpr size_t RackCount = 5;
constexpr size_t ExecutorsPerRack = 4;

struct SubmittedJob {
  std::string Id;
  TimePoint SubmittedAt{};
  std::optional<TimePoint> DoneAt;
};

struct JobTimes {
  double MeanMs = 0;
  double WorstMs = 0;
};

/// A service whose tasks take three times as long away from their data.
struct Racks {
  Simulation Sim;
  std::vector<SubmittedJob> Jobs;

  explicit Racks(bool KnowsSpreadFactor) {
    Sim.SpreadFactor = 3;
    Sim.KnowsSpreadFactor = KnowsSpreadFactor;
    for (size_t I = 0; I < RackCount * ExecutorsPerRack; ++I)
      Sim.addExecutor(ExecutorSize, rackName(I / ExecutorsPerRack));
    Sim.takeOver();
    Sim.runFor(700);
  }
  static std::string rackName(size_t Rack) { return fmt::format("r{}", Rack); }

  std::string submitJob(const std::function<void(JobSpec &)> &Change) {
    constexpr int64_t RunMs = 1'000;
    std::string Id = fmt::format("{:016x}", Jobs.size() + 1);
    JobSpec Job = Simulation::makeJob(Id, 1, TaskSize, RunMs);
    Change(Job);
    Sim.submit(Job);
    Jobs.push_back({.Id = Id, .SubmittedAt = Sim.Now});
    return Id;
  }
  std::string submit(uint32_t Tasks, int64_t RunMs, const std::string &Rack) {
    return submitJob([&](JobSpec &Job) {
      Job.Steps[0].Count = Tasks;
      Job.Steps[0].Estimate = Millis(RunMs);
      Job.Steps[0].Affinity = Rack;
    });
  }
  void runFor(int64_t Ms) {
    constexpr int64_t SliceMs = 10;
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += SliceMs) {
      Sim.runFor(SliceMs);
      for (SubmittedJob &Job : Jobs) {
        if (!Job.DoneAt && Sim.storedPhase(Job.Id) == JobPhase::Completed)
          Job.DoneAt = Sim.Now;
      }
    }
  }
  /// A job each \p IntervalMs; six of ten want the first rack, the others one
  /// each.
  void submitUneven(size_t Count, int64_t IntervalMs) {
    for (size_t I = 0; I < Count; ++I) {
      size_t Rack = I % 10 < 6 ? 0 : 1 + I % (RackCount - 1);
      submit(2, 1'000, rackName(Rack));
      runFor(IntervalMs);
    }
    runFor(20'000);
  }
  JobTimes times() const {
    JobTimes Times;
    for (const SubmittedJob &Job : Jobs) {
      CHECK(Job.DoneAt.has_value());
      auto Ms = static_cast<double>(toMillis(*Job.DoneAt - Job.SubmittedAt));
      Times.MeanMs += Ms / static_cast<double>(Jobs.size());
      Times.WorstMs = std::max(Times.WorstMs, Ms);
    }
    return Times;
  }
  size_t startsOn(const std::string &JobId, const std::string &Rack) {
    return static_cast<size_t>(
        std::count_if(Sim.Started.begin(), Sim.Started.end(),
                      [&](const executor::StartOrder &Order) {
                        return Order.Id.Task.starts_with(JobId) &&
                               Sim.executor(Order.Target.Id).Info.Rack == Rack;
                      }));
  }
  void fill(const std::string &Rack, int64_t RunMs) {
    submit(4 * ExecutorsPerRack, RunMs, Rack);
    runFor(150);
  }
};

} // namespace

// clang-format off
TEST_GROUP(AStepWhoseRackIsFull) {
  Racks Fleet{true};

  void setup() override { Fleet.fill("r0", 1'200); }
  void teardown() override {
    for (const std::string &Violation : Fleet.Sim.violations())
      FAIL(Violation.c_str());
  }
};

/// Each rack has room for sixteen tasks, of which four are in use.
TEST_GROUP(AGangThatIsSlowerAcrossRacks) {
  Racks Fleet{true};

  void setup() override {
    for (size_t I = 0; I < RackCount; ++I)
      Fleet.submit(4, 900, Racks::rackName(I));
    Fleet.runFor(100);
  }
  std::string submitGang(uint32_t Members) {
    return Fleet.submitJob([&](JobSpec &Job) {
      Job.Steps[0].Count = Members;
      Job.Steps[0].Gang = true;
      Job.Steps[0].Colocate = true;
    });
  }
  bool isStarted(const std::string &Id) { return Fleet.Sim.runsOf(Id + ".0.0.0") > 0; }
};

TEST_GROUP(UnevenDemand) {
  std::function<int64_t(const std::string &, int64_t)> RunTimeFor = [](const std::string &, int64_t Estimate) { return Estimate; };

  JobTimes timesOf(bool KnowsSpreadFactor, size_t Count, int64_t IntervalMs) {
    Racks Fleet(KnowsSpreadFactor);
    Fleet.Sim.RunTimeFor = RunTimeFor;
    Fleet.submitUneven(Count, IntervalMs);
    return Fleet.times();
  }
};
// clang-format on

TEST(AStepWhoseRackIsFull, WaitsForAPlaceThatIsFreeSoon) {
  std::string Id = Fleet.submit(2, 1'000, "r0");
  Fleet.runFor(4'000);
  LONGS_EQUAL(2, Fleet.startsOn(Id, "r0"));
}

TEST(AStepWhoseRackIsFull, DoesNotWaitIfItsTasksAreShort) {
  std::string Id = Fleet.submit(2, 200, "r0");
  Fleet.runFor(600);
  LONGS_EQUAL(2, Fleet.Sim.runsOf(Id + ".0.0.0") +
                     Fleet.Sim.runsOf(Id + ".0.0.1"));
}

TEST(AStepWhoseRackIsFull, DoesNotKeepOthersWaiting) {
  Fleet.submit(2, 1'000, "r0");
  std::string Id = Fleet.submit(2, 1'000, "r1");
  Fleet.runFor(200);
  LONGS_EQUAL(2, Fleet.startsOn(Id, "r1"));
}

TEST(AStepWhoseRackIsFull, TakesAFarPlaceOnceTheExecutorsDrain) {
  std::string Id = Fleet.submit(2, 1'000, "r0");
  Fleet.runFor(100);
  LONGS_EQUAL(0, Fleet.Sim.runsOf(Id + ".0.0.0"));
  for (size_t I = 0; I < ExecutorsPerRack; ++I)
    Fleet.Sim.setDraining(fmt::format("i-{}", I), true);
  Fleet.runFor(300);
  LONGS_EQUAL(1, Fleet.Sim.runsOf(Id + ".0.0.0"));
}

/// The tasks there run on for longer than any has before.
TEST(AStepWhoseRackIsFull, TakesAFarPlaceIfTheWaitNoLongerPays) {
  Fleet.runFor(2'000);
  Fleet.Sim.RunTimeFor = [](const std::string &, int64_t Estimate) {
    return 7 * Estimate;
  };
  Fleet.fill("r0", 1'200);
  std::string Id = Fleet.submit(1, 1'000, "r0");
  Fleet.runFor(2'500);
  LONGS_EQUAL(1, Fleet.Sim.runsOf(Id + ".0.0.0"));
  LONGS_EQUAL(0, Fleet.startsOn(Id, "r0"));
}

TEST(AGangThatIsSlowerAcrossRacks, StartsAtOnceOnARackThatHoldsIt) {
  std::string Id = submitGang(12);
  Fleet.runFor(200);
  CHECK_TRUE(isStarted(Id));
}

TEST(AGangThatIsSlowerAcrossRacks, WaitsForARackThatHoldsItSoon) {
  std::string Id = submitGang(16);
  Fleet.runFor(200);
  CHECK_FALSE(isStarted(Id));
  Fleet.runFor(1'200);
  CHECK_TRUE(isStarted(Id));
  size_t RacksUsed = 0;
  for (size_t I = 0; I < RackCount; ++I)
    RacksUsed += Fleet.startsOn(Id, Racks::rackName(I)) > 0 ? 1 : 0;
  LONGS_EQUAL(1, RacksUsed);
}

/// Guards against a gang that waits for a rack that can never hold it.
TEST(AGangThatIsSlowerAcrossRacks, StartsAtOnceIfItIsWiderThanAnyRack) {
  std::string First = submitGang(20);
  std::string Second = submitGang(20);
  Fleet.runFor(200);
  CHECK_TRUE(isStarted(First));
  CHECK_TRUE(isStarted(Second));
}

/// A burst of 40 jobs, after which the rack has time.
TEST(UnevenDemand, JobsOfABurstEndSoonerIfTheyWait) {
  JobTimes Without = timesOf(false, 40, 20);
  JobTimes With = timesOf(true, 40, 20);
  CHECK(With.MeanMs < Without.MeanMs);
}

/// 60 of 100 jobs want one rack, as much as it can do.
TEST(UnevenDemand, JobsForAHotRackEndSooner) {
  JobTimes Without = timesOf(false, 100, 75);
  JobTimes With = timesOf(true, 100, 75);
  CHECK(With.MeanMs < Without.MeanMs);
}

/// Guards against a queue that only makes all jobs wait.
TEST(UnevenDemand, JobsEndAsSoonWhereTheRackIsFullAllTheTime) {
  JobTimes Without = timesOf(false, 800, 50);
  JobTimes With = timesOf(true, 800, 50);
  CHECK(With.MeanMs <= Without.MeanMs);
}

TEST(UnevenDemand, JobsEndSoonerWhereDeclaredTimesAreOffByAFactor) {
  RunTimeFor = [](const std::string &, int64_t Estimate) {
    return 3 * Estimate;
  };
  JobTimes Without = timesOf(false, 100, 225);
  JobTimes With = timesOf(true, 100, 225);
  CHECK(With.MeanMs < Without.MeanMs);
}

/// Three of a hundred tasks take seven times as long.
TEST(UnevenDemand, JobsEndSoonerWhereAFewTasksTakeFarLonger) {
  RunTimeFor = [](const std::string &Task, int64_t Estimate) {
    return std::hash<std::string>()(Task) % 100 < 3 ? 7 * Estimate : Estimate;
  };
  JobTimes Without = timesOf(false, 100, 90);
  JobTimes With = timesOf(true, 100, 90);
  CHECK(With.MeanMs < Without.MeanMs);
}
