#include "cell/KnownIncarnations.h"
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
constexpr size_t AllRows = IncarnationRowCount;

} // namespace

TEST_GROUP(TheIncarnationsOfExecutors) {
  KnownIncarnations Known;

  std::vector<IncarnationRow> dueRows(std::vector<Incarnation> Answered) {
    return Known.dueRows(Answered, AllRows);
  }
};

TEST(TheIncarnationsOfExecutors, AreStoredOnceEach) {
  Incarnation Life{.Id = "i-1", .Born = 7};
  Known.note(Life);
  CHECK_FALSE(Known.isStored(Life));
  std::vector<IncarnationRow> Rows = dueRows({Life});
  LONGS_EQUAL(1, Rows.size());
  Known.noteStored(Rows.front());
  CHECK_TRUE(Known.isStored(Life));
  CHECK_FALSE(Known.isStored({.Id = "i-1", .Born = 8}));
  Known.note(Life);
  CHECK_FALSE(Known.isDue());
}

/// Guards against a life that is forgotten, as it answered while the commit of
/// its row was under way.
TEST(TheIncarnationsOfExecutors, AreDueAgainIfOneAnswersMeanwhile) {
  Known.note({.Id = "i-1", .Born = 7});
  std::vector<IncarnationRow> Rows = dueRows({{.Id = "i-1", .Born = 7}});
  Known.note({.Id = "i-1", .Born = 8});
  Known.noteStored(Rows.front());
  CHECK_TRUE(Known.isDue());
}

/// Guards against a row that is written again and again for an executor that
/// has ended meanwhile.
TEST(TheIncarnationsOfExecutors, AreNotDueOnceTheyAreOver) {
  Known.note({.Id = "i-1", .Born = 7});
  Known.noteStored(dueRows({}).front());
  CHECK_FALSE(Known.isDue());
}

TEST(TheIncarnationsOfExecutors, AreReadAsTheyWereWritten) {
  BornById Written{{"i-1", 1'768'573'953'704}, {"i-2", 1}};
  CHECK(*decodeIncarnations(encodeIncarnations(Written)) == Written);
  for (const char *Text : {"", "[]", "{\"i-1\":\"x\"}", "{\"i-1\":-1}", "7"})
    CHECK_FALSE(decodeIncarnations(Text));
}

/// Rows of one version must be found by the next one, on any machine.
TEST(TheIncarnationsOfExecutors, HaveRowsThatStayTheSame) {
  STRCMP_EQUAL("56", incarnationRowKey("i-a02460a98c").c_str());
  STRCMP_EQUAL("19", incarnationRowKey("i-42016e3f95").c_str());
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
  size_t incarnationRowWrites() const {
    size_t Count = 0;
    for (const store::Transaction &Tx : Sim.AppliedCommits)
      Count += static_cast<size_t>(std::count_if(Tx.Writes.begin(), Tx.Writes.end(), [](const store::RowWrite &Write) { return Write.Table == IncarnationTable; }));
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
  size_t Before = incarnationRowWrites();
  CHECK(Before > 0);
  Sim.runFor(5'000);
  LONGS_EQUAL(Before, incarnationRowWrites());
  Sim.restartExecutor("i-3", 0, 100);
  Sim.runFor(1'000);
  LONGS_EQUAL(Before + 1, incarnationRowWrites());
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
