#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

/// Tasks that have a place on an executor when it announces that it leaves.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources ExecutorSize{.MilliCores = 4'000, .MemoryMb = 4'000};
constexpr const char *FirstJobId = "00000000000000a1";
constexpr const char *NextJobId = "00000000000000b1";
const std::string NextTask = taskName({.Job = NextJobId});
const std::string Leaving = "i-0";
/// Longer than a ticket is valid.
constexpr int64_t FirstRunMs = 4'000;

} // namespace

// clang-format off
/// A task that fills the executor, and one that waits for the place.
TEST_GROUP(AnExecutorWithOnePlace) {
  Simulation Sim;

  virtual void prepare() {}
  void setup() override {
    prepare();
    Sim.addExecutor(ExecutorSize);
    Sim.takeOver();
    Sim.submit(Simulation::makeJob(FirstJobId, 1, ExecutorSize, FirstRunMs));
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == 1; }, 3'000));
    Sim.submit(Simulation::makeJob(NextJobId, 1, ExecutorSize, 1'000));
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  bool isPlaced() const { return Sim.Owner->status(Sim.Now).PlacedTasks > 0; }
  void checkNeverStarts() {
    Sim.setDraining(Leaving, true);
    Sim.runFor(5'000);
    LONGS_EQUAL(0, Sim.runsOf(NextTask));
    Sim.addExecutor(ExecutorSize);
    CHECK(Sim.runUntil([&] { return Sim.runsOf(NextTask) == 1; }, 4'000));
  }
};

TEST_GROUP_BASE(WhereThePlacedTaskWaitsForATicket, TEST_GROUP_CppUTestGroupAnExecutorWithOnePlace) {
  void prepare() override {
    Sim.requireAdvice({.Settings = {.BaseMs = 1'000, .Validity = Millis(1'500)}});
  }
};
// clang-format on

/// Guards against a start on a draining executor, where the task was placed
/// before the announcement.
TEST(WhereThePlacedTaskWaitsForATicket, ItDoesNotStartWhereTheExecutorLeaves) {
  CHECK(Sim.runUntil([&] { return isPlaced(); }, FirstRunMs + 1'000));
  checkNeverStarts();
}

/// Guards against an order that is sent again after the announcement.
TEST(AnExecutorWithOnePlace, GetsNoStartThatWasRecordedBeforeTheAnnouncement) {
  Sim.RefusalFor = [&](const executor::StartOrder &Order) {
    bool IsRefused =
        Order.Id.Task == NextTask && !Sim.executor(Leaving).Info.Draining;
    return IsRefused ? std::optional(executor::OrderOutcome::LeaseTooLate)
                     : std::nullopt;
  };
  Sim.runFor(FirstRunMs + 500);
  checkNeverStarts();
}
