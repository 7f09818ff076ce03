#include "cell/KnownLives.h"
#include "cell/OwnerRow.h"
#include "unit/CellSim.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

/// Which incarnations of executors have answered, as owners store it.
using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources Wide{.MilliCores = 8'000, .MemoryMb = 4'000};
constexpr const char *JobId = "00000000000000a1";
constexpr size_t AllRows = LifeRowCount;

} // namespace

TEST_GROUP(TheLivesOfExecutors) {
  KnownLives Lives;

  std::vector<LifeRow> dueRows(std::vector<ExecutorLife> Answered) {
    return Lives.dueRows(Answered, AllRows);
  }
};

TEST(TheLivesOfExecutors, AreStoredOnceEach) {
  ExecutorLife Life{.Id = "i-1", .Born = 7};
  Lives.note(Life);
  CHECK_FALSE(Lives.isStored(Life));
  std::vector<LifeRow> Rows = dueRows({Life});
  LONGS_EQUAL(1, Rows.size());
  Lives.noteStored(Rows.front());
  CHECK_TRUE(Lives.isStored(Life));
  CHECK_FALSE(Lives.isStored({.Id = "i-1", .Born = 8}));
  Lives.note(Life);
  CHECK_FALSE(Lives.isDue());
}

/// Guards against a life that is forgotten, as it answered while the commit of
/// its row was under way.
TEST(TheLivesOfExecutors, AreDueAgainIfOneAnswersMeanwhile) {
  Lives.note({.Id = "i-1", .Born = 7});
  std::vector<LifeRow> Rows = dueRows({{.Id = "i-1", .Born = 7}});
  Lives.note({.Id = "i-1", .Born = 8});
  Lives.noteStored(Rows.front());
  CHECK_TRUE(Lives.isDue());
}

/// Guards against a row that is written again and again for an executor that
/// has ended meanwhile.
TEST(TheLivesOfExecutors, AreNotDueOnceTheyAreOver) {
  Lives.note({.Id = "i-1", .Born = 7});
  Lives.noteStored(dueRows({}).front());
  CHECK_FALSE(Lives.isDue());
}

TEST(TheLivesOfExecutors, AreReadAsTheyWereWritten) {
  LivesById Written{{"i-1", 1'768'573'953'704}, {"i-2", 1}};
  CHECK(*decodeLives(encodeLives(Written)) == Written);
  for (const char *Text : {"", "[]", "{\"i-1\":\"x\"}", "{\"i-1\":-1}", "7"})
    CHECK_FALSE(decodeLives(Text));
}

/// Rows of one version must be found by the next one, on any machine.
TEST(TheLivesOfExecutors, HaveRowsThatStayTheSame) {
  STRCMP_EQUAL("56", lifeRowKey("i-a02460a98c").c_str());
  STRCMP_EQUAL("19", lifeRowKey("i-42016e3f95").c_str());
}

// clang-format off
/// It has twelve executors, which have answered.
TEST_GROUP(AnOwnerOfIdleExecutors) {
  Simulation Sim;

  void setup() override {
    for (int I = 0; I < 12; ++I)
      Sim.addExecutor(Wide);
    Sim.takeOver("e1/1");
    Sim.runFor(1'000);
  }
  size_t lifeRowWrites() const {
    size_t Count = 0;
    for (const store::Transaction &Tx : Sim.AppliedCommits)
      Count += static_cast<size_t>(std::count_if(Tx.Writes.begin(), Tx.Writes.end(), [](const store::RowWrite &Write) { return Write.Table == LifeTable; }));
    return Count;
  }
  void submitLastingTask() {
    JobSpec Job = Simulation::makeJob(JobId, 1, Wide, 1'000);
    Job.Steps[0].LongRunning = true;
    Sim.submit(Job);
  }
};
// clang-format on

TEST(AnOwnerOfIdleExecutors, WritesNothingOfThemAfterwards) {
  size_t Before = lifeRowWrites();
  CHECK(Before > 0);
  Sim.runFor(5'000);
  LONGS_EQUAL(Before, lifeRowWrites());
  Sim.restartExecutor("i-3", 0, 100);
  Sim.runFor(1'000);
  LONGS_EQUAL(Before + 1, lifeRowWrites());
}

/// Guards against lasting tasks that wait after each takeover, as any executor
/// may have started again unheard.
TEST(AnOwnerOfIdleExecutors, HasASuccessorThatUsesThemAtOnce) {
  Sim.takeOver("e2/1");
  submitLastingTask();
  CHECK(Sim.runUntil([&] { return Sim.isOpen(taskName({.Job = JobId})); },
                     1'000));
}

/// Guards against the opposite: one that has started again unheard.
TEST(AnOwnerOfIdleExecutors, HasASuccessorThatHoldsBackOneItDidNotHear) {
  Sim.killOwner();
  for (int I = 0; I < 12; ++I)
    Sim.restartExecutor("i-" + std::to_string(I), 0, 0);
  Sim.runFor(500);
  Sim.takeOver("e2/1");
  submitLastingTask();
  Sim.runFor(2'000);
  CHECK_FALSE(Sim.isOpen(taskName({.Job = JobId})));
  CHECK(Sim.runUntil([&] { return Sim.isOpen(taskName({.Job = JobId})); },
                     1'000));
}
