#include "unit/CellSim.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr size_t ExecutorCount = 150;
constexpr Resources ExecutorSize{.MilliCores = 16'000, .MemoryMb = 64'000};
/// Six fit on an executor, 900 on all.
constexpr Resources TaskSize{.MilliCores = 2'600, .MemoryMb = 9'000};

/// Four fit on an executor of this size; what is left there is of no use.
constexpr Resources OddExecutorSize{.MilliCores = 20'000, .MemoryMb = 64'000};
constexpr Resources OddShortSize{.MilliCores = 4'200, .MemoryMb = 9'000};
constexpr Resources OddLongSize{.MilliCores = 4'500, .MemoryMb = 9'000};

struct WorkKind {
  Resources Size = TaskSize;
  uint32_t Tasks = 0; ///< Of a job.
  int64_t RunMs = 0;  ///< Of a task.
  int64_t JobsPerSecond = 0;

  /// Stretch 2 and 500 ms, as the simulation's queue has them.
  int64_t allowedMs() const { return 2 * RunMs + 500; }
};

/// Needs 250 places, and can wait for 0.9 s.
constexpr WorkKind ShortWork{.Tasks = 10, .RunMs = 400, .JobsPerSecond = 62};
/// Needs 675 places, and can wait for 5 s.
constexpr WorkKind LongWork{.Tasks = 30, .RunMs = 4'500, .JobsPerSecond = 5};
/// Needs 120 and 405 of 600 places.
constexpr WorkKind OddShortWork{
    .Size = OddShortSize, .Tasks = 10, .RunMs = 400, .JobsPerSecond = 30};
constexpr WorkKind OddLongWork{
    .Size = OddLongSize, .Tasks = 30, .RunMs = 4'500, .JobsPerSecond = 3};

/// More than five executors with an accelerator can do: some wait at any time.
constexpr WorkKind AcceleratedWork{
    .Size = {.MilliCores = 2'000, .MemoryMb = 4'000, .Accelerators = 1},
    .Tasks = 1,
    .RunMs = 400,
    .JobsPerSecond = 18};

struct SubmittedJob {
  std::string Id;
  TimePoint DueAt{};
  std::optional<TimePoint> DoneAt;

  bool isInTime() const { return DoneAt && *DoneAt <= DueAt; }
};

/// Jobs of one kind that arrive at an even rate.
class Stream {
public:
  Stream(Simulation &Sim, const WorkKind &Kind, uint64_t FirstId)
      : Sim(Sim), Kind(Kind), NextId(FirstId) {}

  void arrive(int64_t Ms, double Factor) {
    constexpr double MillisPerSecond = 1'000;
    Due += Factor * static_cast<double>(Kind.JobsPerSecond * Ms);
    for (; Due >= MillisPerSecond; Due -= MillisPerSecond)
      submit();
  }
  void noteEnds() {
    for (SubmittedJob &Job : Jobs) {
      if (!Job.DoneAt && Sim.storedPhase(Job.Id) == JobPhase::Completed)
        Job.DoneAt = Sim.Now;
    }
  }
  size_t submittedCount() const { return Jobs.size(); }
  /// Of the jobs from number \p First on.
  double shareInTime(size_t First) const {
    auto IsInTime = [](const SubmittedJob &Job) { return Job.isInTime(); };
    auto Begin = Jobs.begin() + static_cast<ptrdiff_t>(First);
    return static_cast<double>(std::count_if(Begin, Jobs.end(), IsInTime)) /
           static_cast<double>(Jobs.end() - Begin);
  }

private:
  void submit() {
    std::string Id = fmt::format("{:016x}", NextId++);
    Sim.submit(Simulation::makeJob(Id, Kind.Tasks, Kind.Size, Kind.RunMs));
    Jobs.push_back({.Id = Id, .DueAt = Sim.Now + Millis(Kind.allowedMs())});
  }

  Simulation &Sim;
  WorkKind Kind;
  uint64_t NextId;
  double Due = 0;
  std::vector<SubmittedJob> Jobs;
};

/// Short and long work on the executors of one service, with a policy that
/// allows each step on a share of the executors that a call names.
struct MixedWork {
  Simulation Sim;
  Stream Short;
  Stream Long;

  MixedWork(const WorkKind &ShortKind, const WorkKind &LongKind)
      : Short(Sim, ShortKind, 0x1'0000'0000), Long(Sim, LongKind, 0x1) {}

  void addExecutors(const Resources &Size) {
    Sim.requireAdvice({.Settings = {.BaseMs = 25,
                                    .PerExecutorMs = 0.35,
                                    .Validity = Millis(2'000)},
                       .AllowedShare = 0.6,
                       .Entries = 40});
    for (size_t I = 0; I < ExecutorCount; ++I)
      Sim.addExecutor(Size, fmt::format("r{}", I / 12));
  }
  void begin() {
    Sim.takeOver();
    Sim.runFor(500);
    load(6'000, 1, 1);
  }
  /// \p ShortFactor and \p LongFactor: of the usual rate.
  void load(int64_t Ms, double ShortFactor, double LongFactor) {
    constexpr int64_t SliceMs = 50;
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += SliceMs) {
      Short.arrive(SliceMs, ShortFactor);
      Long.arrive(SliceMs, LongFactor);
      Sim.runFor(SliceMs);
      Short.noteEnds();
      Long.noteEnds();
    }
  }
};

} // namespace

// clang-format off
/// A fleet that long work fills to three quarters and short work to a quarter.
TEST_GROUP(AFleetOfLongAndShortWork) {
  MixedWork Work{ShortWork, LongWork};

  void setup() override {
    Work.addExecutors(ExecutorSize);
    Work.Sim.CommitTimeMs = 20;
    Work.begin();
  }
  void teardown() override {
    for (const std::string &Violation : Work.Sim.violations())
      FAIL(Violation.c_str());
  }
};

/// The whole load needs 1,225 places of 900, the short work alone 550.
TEST_GROUP_BASE(WhenShortWorkComesInABurst, TEST_GROUP_CppUTestGroupAFleetOfLongAndShortWork) {
  size_t FirstShort = 0;
  size_t FirstLong = 0;

  void setup() override {
    TEST_GROUP_CppUTestGroupAFleetOfLongAndShortWork::setup();
    FirstShort = Work.Short.submittedCount();
    FirstLong = Work.Long.submittedCount();
    Work.load(4'000, 2.2, 1);
  }
};

/// Short work of another shape, which fits on few executors, waits as well.
TEST_GROUP(AFleetWithShortWorkOfTwoShapes) {
  MixedWork Work{ShortWork, LongWork};
  Stream Accelerated{Work.Sim, AcceleratedWork, 0x2'0000'0000};
  size_t FirstShort = 0;

  void setup() override {
    constexpr size_t AcceleratedCount = 5;
    Work.addExecutors(ExecutorSize);
    for (size_t I = 0; I < AcceleratedCount; ++I)
      Work.Sim.addExecutor({.MilliCores = 2'400, .MemoryMb = 8'000, .Accelerators = 1}, "rx");
    Work.Sim.CommitTimeMs = 20;
    Work.Sim.takeOver();
    Work.Sim.runFor(500);
    load(6'000, 1, 1);
    FirstShort = Work.Short.submittedCount();
  }
  void teardown() override {
    for (const std::string &Violation : Work.Sim.violations())
      FAIL(Violation.c_str());
  }
  void load(int64_t Ms, double ShortFactor, double LongFactor) {
    constexpr int64_t SliceMs = 50;
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += SliceMs) {
      Accelerated.arrive(SliceMs, 1);
      Work.load(SliceMs, ShortFactor, LongFactor);
    }
  }
};

/// Four tasks of either kind leave capacity on an executor that is too small for
/// a fifth.
TEST_GROUP(AFleetWithCapacityThatNoTaskFits) {
  MixedWork Work{OddShortWork, OddLongWork};

  void setup() override {
    Work.addExecutors(OddExecutorSize);
    Work.Sim.CommitTimeMs = 40;
    Work.Sim.OwnerTurnMs = 20;
    Work.begin();
  }
  void teardown() override {
    for (const std::string &Violation : Work.Sim.violations())
      FAIL(Violation.c_str());
  }
};

TEST_GROUP_BASE(WhenShortWorkHasComeInABurst, TEST_GROUP_CppUTestGroupAFleetWithCapacityThatNoTaskFits) {
  size_t FirstLater = 0;

  void setup() override {
    TEST_GROUP_CppUTestGroupAFleetWithCapacityThatNoTaskFits::setup();
    Work.load(4'000, 2.5, 1);
    FirstLater = Work.Short.submittedCount();
  }
};
// clang-format on

TEST(WhenShortWorkComesInABurst, TheShortWorkIsInTime) {
  Work.load(ShortWork.allowedMs(), 0, 1);
  CHECK(Work.Short.shareInTime(FirstShort) >= 0.95);
}

TEST(WhenShortWorkComesInABurst, TheLongWorkIsDoneInTimeAfterIt) {
  Work.load(5'000, 1, 0);
  Work.load(LongWork.allowedMs(), 0, 0);
  CHECK(Work.Long.shareInTime(FirstLong) >= 0.95);
}

/// Guards against room that is kept for urgent steps only until they find no
/// free executor, so that long work takes what becomes free before they look
/// again.
TEST(WhenShortWorkComesInABurst, TheShortWorkAfterItIsInTime) {
  size_t FirstLater = Work.Short.submittedCount();
  Work.load(8'000, 1, 1);
  Work.load(ShortWork.allowedMs(), 0, 0);
  CHECK(Work.Short.shareInTime(FirstLater) >= 0.93);
}

/// Guards against capacity that no urgent task fits in being taken for room
/// that is left for other work.
TEST(WhenShortWorkHasComeInABurst, LongWorkLeavesTheNextShortWorkItsPlaces) {
  Work.load(8'000, 1, 1);
  Work.load(OddShortWork.allowedMs(), 0, 0);
  CHECK(Work.Short.shareInTime(FirstLater) >= 0.95);
}

/// Guards against room that is counted in places for the most urgent step
/// alone: where these are few, no room is kept for the other urgent steps.
TEST(AFleetWithShortWorkOfTwoShapes, TheMoreCommonShapeIsInTimeInABurst) {
  load(4'000, 2.2, 1);
  load(8'000, 1, 1);
  load(ShortWork.allowedMs(), 0, 0);
  CHECK(Work.Short.shareInTime(FirstShort) >= 0.93);
}
