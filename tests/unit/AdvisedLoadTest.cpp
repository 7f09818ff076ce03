#include "unit/CellSim.h"

#include <fmt/format.h>

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr size_t ExecutorCount = 150;
constexpr Resources ExecutorSize{.MilliCores = 16'000, .MemoryMb = 64'000};
/// Six fit on an executor.
constexpr Resources TaskSize{.MilliCores = 2'600, .MemoryMb = 9'000};
constexpr uint32_t TasksPerJob = 10;
constexpr int64_t RunMs = 1'000;
/// Stretch 2 and 500 ms, as the simulation's queue has them.
constexpr int64_t AllowedMs = 2 * RunMs + 500;
/// Uses 80 % of the 900 places, each for 1.1 s: a run's place is free again
/// once its end is stored.
constexpr int64_t UsualJobsPerSecond = 65;

struct SubmittedJob {
  std::string Id;
  TimePoint At{};
  std::optional<TimePoint> DoneAt;

  bool isInTime() const { return DoneAt && *DoneAt <= At + Millis(AllowedMs); }
};

} // namespace

// clang-format off
/// Many short jobs on more executors than one advice call may name, with a
/// policy that allows a share of them and tickets that soon expire.
TEST_GROUP(AFleetThatNeedsTickets) {
  Simulation Sim;
  std::vector<SubmittedJob> Jobs;

  void setup() override {
    Sim.requireAdvice({.Settings = {.BaseMs = 25, .PerExecutorMs = 0.35, .Validity = Millis(2'000)},
                       .AllowedShare = 0.7,
                       .Entries = 16});
    for (size_t I = 0; I < ExecutorCount; ++I)
      Sim.addExecutor(ExecutorSize, fmt::format("r{}", I / 12));
    Sim.takeOver();
    Sim.runFor(500);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }

  /// Submits jobs at an even rate for \p Ms and notes which ones end.
  void load(int64_t JobsPerSecond, int64_t Ms) {
    constexpr int64_t SliceMs = 100;
    int64_t Due = 0;
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += SliceMs) {
      for (Due += JobsPerSecond * SliceMs; Due >= 1'000; Due -= 1'000)
        submit();
      Sim.runFor(SliceMs);
      noteEnds();
    }
  }
  void submit() {
    std::string Id = fmt::format("{:016x}", Jobs.size() + 1);
    Sim.submit(Simulation::makeJob(Id, TasksPerJob, TaskSize, RunMs));
    Jobs.push_back({.Id = Id, .At = Sim.Now});
  }
  void noteEnds() {
    for (SubmittedJob &Job : Jobs) {
      if (!Job.DoneAt && Sim.storedPhase(Job.Id) == JobPhase::Completed)
        Job.DoneAt = Sim.Now;
    }
  }
  /// Of the jobs from number \p First on, the share that ended in time.
  double shareInTime(size_t First) const {
    size_t InTime = 0;
    for (size_t I = First; I < Jobs.size(); ++I)
      InTime += Jobs[I].isInTime() ? 1 : 0;
    return static_cast<double>(InTime) / static_cast<double>(Jobs.size() - First);
  }
};

TEST_GROUP_BASE(AfterABurstOfTwiceTheUsualLoad, TEST_GROUP_CppUTestGroupAFleetThatNeedsTickets) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAFleetThatNeedsTickets::setup();
    load(UsualJobsPerSecond, 3'000);
    load(2 * UsualJobsPerSecond, 4'000);
  }
};
// clang-format on

TEST(AFleetThatNeedsTickets, UnderTheUsualLoadNineInTenJobsAreInTime) {
  load(UsualJobsPerSecond, 5'000);
  size_t Submitted = Jobs.size();
  load(0, AllowedMs);
  LONGS_EQUAL(Submitted, Jobs.size());
  CHECK(shareInTime(0) >= 0.9);
}

/// Guards against a backlog that feeds itself: capacity reserved for tasks that
/// wait for new tickets while the queues are full of calls for other steps.
TEST(AfterABurstOfTwiceTheUsualLoad, TheBacklogIsGoneSoonAfterTheBurst) {
  // Four seconds of twice the load leave 2.4 s of work for the whole fleet.
  // With a fifth of the fleet to spare, that takes 12 s.
  load(UsualJobsPerSecond, 12'000);
  size_t First = Jobs.size();
  load(UsualJobsPerSecond, 3'000);
  load(0, AllowedMs);
  CHECK(shareInTime(First) >= 0.9);
}

TEST(AfterABurstOfTwiceTheUsualLoad,
     LittleCapacityIsHeldByTasksWithoutTickets) {
  load(UsualJobsPerSecond, 2'000);
  OwnerStatus Status = Sim.Owner->status(Sim.Now);
  CHECK(Status.PlacedCores <= Status.TotalCores / 20);
}
