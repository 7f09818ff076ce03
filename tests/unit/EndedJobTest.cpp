#include "cell/EndedJob.h"
#include "cell/EntryCapacity.h"
#include "node/EndedLoader.h"
#include "node/EntryCapacities.h"
#include "node/ServiceLoader.h"
#include "unit/CellSim.h"

#include <fmt/format.h>

#include <map>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

constexpr Resources Small{.MilliCores = 500, .MemoryMb = 64};
constexpr Resources Large{.MilliCores = 64'000, .MemoryMb = 64'000};
constexpr int EndedJobs = 300;
constexpr int LiveJobs = 5;
/// A row of a job and one of its progress; those of executors' lives come
/// beside them, here one.
constexpr size_t RowsToLoad = 2 * LiveJobs + 1;
constexpr const char *EndedId = "0000000000000000";

JobSpec endedJob(int Number) {
  return cellsim::Simulation::makeJob(fmt::format("{:016x}", Number), 1, Small,
                                      50);
}

JobSpec liveJob(int Number) {
  return cellsim::Simulation::makeJob(fmt::format("f{:015x}", Number), 1, Small,
                                      600'000);
}

/// Answers reads from the rows of a simulation.
class SimulatedReads final : public store::RowStore {
public:
  explicit SimulatedReads(const cellsim::Simulation &Sim) : Sim(Sim) {}
  void commit(const store::Transaction &, store::TransactionDone) override {}
  void readChanges(const store::ChangeQuery &, store::ChangesDone) override {}
  void read(const store::RangeRead &Range, store::ReadDone Done) override {
    store::RowPage Page;
    size_t Limit = Range.Limit > 0 ? Range.Limit : StorePageRows;
    for (const store::Row &Row : Sim.rowsOf(Range.Table)) {
      if (Row.Key < Range.From)
        continue;
      if (Page.Rows.size() == Limit) {
        Page.HasMore = true;
        break;
      }
      Page.Rows.push_back(Row);
    }
    Done(Page);
  }

private:
  static constexpr size_t StorePageRows = 200;

  const cellsim::Simulation &Sim;
};

} // namespace

// clang-format off
TEST_GROUP(AServiceThatHasRunManyJobs) {
  cellsim::Simulation Sim;
  std::map<std::string, OfferOutcome> Outcomes;

  void setup() override { runJobs(); }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void runJobs() {
    Sim.addExecutor(Large);
    Sim.takeOver();
    for (int I = 0; I < LiveJobs; ++I)
      Sim.submit(liveJob(I));
    for (int I = 0; I < EndedJobs; ++I)
      Sim.submit(endedJob(I));
    CHECK(Sim.runUntil([&] { return Sim.Owner->liveJobCount() == LiveJobs; }, 60'000));
    // All end at once; most are moved by the commits of the seconds after.
    Sim.runFor(15'000);
  }
  void offer(const JobSpec &Job) {
    Outcomes.clear();
    Sim.Owner->offer({.Job = Job,
                      .TimeLeft = Millis(5'000),
                      .Done = [this, Id = Job.Id](OfferOutcome Outcome) { Outcomes[Id] = Outcome; }},
                     Sim.Now, Sim.Now);
    Sim.runFor(1'000);
  }
  node::LoadCounts load() {
    SimulatedReads Store(Sim);
    Timers TimerQueue;
    node::ServiceLoader Loader("s", Store, TimerQueue, [](int64_t) {});
    Loader.start(Sim.ownerRowVersion(), Sim.Now);
    CHECK(Loader.done());
    return Loader.counts();
  }
};

TEST_GROUP_BASE(AfterATakeover, TEST_GROUP_CppUTestGroupAServiceThatHasRunManyJobs) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAServiceThatHasRunManyJobs::setup();
    Sim.takeOver();
    Sim.runFor(500);
  }
};

/// As before an upgrade, or while it goes on.
TEST_GROUP_BASE(WhileAnEntryDoesNotKnowEndedJobs, TEST_GROUP_CppUTestGroupAServiceThatHasRunManyJobs) {
  void setup() override {
    Sim.MovesEndedJobs = false;
    runJobs();
  }
  size_t unmovedJobs() { return Sim.rowsOf(JobTable).size() - LiveJobs; }
};
// clang-format on

/// Guards against a service that is without an owner for longer, the more jobs
/// it has ever run.
TEST(AServiceThatHasRunManyJobs, ALoadReadsTheLiveOnesOnly) {
  node::LoadCounts Counts = load();
  CHECK_EQUAL(RowsToLoad, Counts.Rows);
  CHECK_EQUAL(size_t{3}, Counts.Pages);
}

/// Guards against a load that takes long and passes for up to date at its end:
/// a cancellation may have come after its first page.
TEST(AServiceThatHasRunManyJobs, ALoadTellsItsJobsAsOfItsBegin) {
  SimulatedReads Store(Sim);
  Timers TimerQueue;
  node::ServiceLoader Loader("s", Store, TimerQueue, [](int64_t) {});
  Loader.start(Sim.ownerRowVersion(), Sim.Now);
  CHECK(Loader.done());
  CHECK(Loader.take().JobsReadAt == Sim.Now);
}

TEST(AServiceThatHasRunManyJobs, EachEndedOneKeepsASmallRow) {
  constexpr size_t MaxBytes = 60;
  CHECK_EQUAL(size_t{EndedJobs}, Sim.rowsOf(EndedTable).size());
  for (const store::Row &Row : Sim.rowsOf(EndedTable)) {
    CHECK(Row.Value.size() <= MaxBytes);
    CHECK(decodeEndedJob(Row.Value)->Phase == JobPhase::Completed);
    CHECK(decodeEndedJob(Row.Value)->EndedMs > 0);
  }
}

TEST(AfterATakeover, AnEndedJobsStateIsKnown) {
  CHECK(Sim.storedPhase(EndedId) == JobPhase::Completed);
  CHECK_EQUAL(size_t{LiveJobs}, Sim.Owner->liveJobCount());
}

TEST(AfterATakeover, ALateCopyOfARequestDoesNotRunItsJobAgain) {
  size_t RunsBefore = Sim.runsOf(std::string(EndedId) + ".0.0.0");
  offer(endedJob(0));
  CHECK(Outcomes.at(EndedId) == OfferOutcome::StoredBefore);
  CHECK_EQUAL(RunsBefore, Sim.runsOf(std::string(EndedId) + ".0.0.0"));
  CHECK_EQUAL(size_t{LiveJobs}, Sim.Owner->liveJobCount());
}

TEST(AfterATakeover, OtherWorkUnderTheIdOfAnEndedJobIsRefused) {
  JobSpec OtherJob = endedJob(0);
  OtherJob.Payload = "other work";
  offer(OtherJob);
  CHECK(Outcomes.at(EndedId) == OfferOutcome::OtherWork);
  CHECK(Sim.storedPhase(EndedId) == JobPhase::Completed);
}

/// Guards against an offer that finds the job in neither place, since its row
/// was read while the offer waited for a commit.
TEST(AfterATakeover, ALateCopyThatIsOfferedWhileRowsAreReadDoesNotRun) {
  std::optional<OfferOutcome> Outcome;
  Sim.Owner->offer({.Job = endedJob(0),
                    .TimeLeft = Millis(5'000),
                    .Done = [&](OfferOutcome Result) { Outcome = Result; }},
                   Sim.Now, Sim.Now);
  Sim.Owner->addEndedRow(EndedId,
                         {.Phase = JobPhase::Completed,
                          .EndedMs = 1,
                          .WorkHash = workHash(endedJob(0))},
                         Sim.Now);
  Sim.runFor(3'000);
  CHECK(Outcome == OfferOutcome::StoredBefore);
  CHECK_EQUAL(size_t{1}, Sim.runsOf(std::string(EndedId) + ".0.0.0"));
  CHECK_EQUAL(size_t{LiveJobs}, Sim.Owner->liveJobCount());
}

TEST(AfterATakeover, ANewJobBesideALateCopyIsStored) {
  JobSpec NewJob = endedJob(EndedJobs);
  Sim.registerJob(NewJob);
  std::optional<OfferOutcome> NewOutcome;
  Sim.Owner->offer(
      {.Job = NewJob,
       .TimeLeft = Millis(5'000),
       .Done = [&](OfferOutcome Outcome) { NewOutcome = Outcome; }},
      Sim.Now, Sim.Now);
  offer(endedJob(0));
  CHECK(NewOutcome == OfferOutcome::Stored);
}

// clang-format off
TEST_GROUP_BASE(OnceTheEndedJobsAreRead, TEST_GROUP_CppUTestGroupAfterATakeover) {
  size_t JobsRead = 0;
  bool Done = false;

  void setup() override {
    TEST_GROUP_CppUTestGroupAfterATakeover::setup();
    SimulatedReads Store(Sim);
    Timers TimerQueue;
    node::EndedLoader Loader(
        "s", Store, TimerQueue,
        [this](const std::string &Id, const EndedJob &Ended) {
          ++JobsRead;
          Sim.Owner->addEndedRow(Id, Ended, Sim.Now);
        },
        [this] { Done = true; });
    Loader.start();
    while (!Done)
      TimerQueue.runDue(monotonicNow() + Millis(1'000));
  }
};
// clang-format on

TEST(OnceTheEndedJobsAreRead, EachIsKnown) {
  CHECK_EQUAL(size_t{EndedJobs}, JobsRead);
}

TEST(OnceTheEndedJobsAreRead, ALateCopyOfARequestDoesNotRunItsJobAgain) {
  offer(endedJob(0));
  CHECK(Outcomes.at(EndedId) == OfferOutcome::StoredBefore);
  CHECK_EQUAL(size_t{1}, Sim.runsOf(std::string(EndedId) + ".0.0.0"));
}

TEST(OnceTheEndedJobsAreRead, OtherWorkUnderTheIdOfAnEndedJobIsRefused) {
  JobSpec OtherJob = endedJob(0);
  OtherJob.Payload = "other work";
  offer(OtherJob);
  CHECK(Outcomes.at(EndedId) == OfferOutcome::OtherWork);
}

/// An entry of an earlier version doesn't know that the job has ended.
TEST(OnceTheEndedJobsAreRead, AnEndedJobThatIsStoredAgainDoesNotRun) {
  Sim.submit(endedJob(0));
  Sim.runFor(5'000);
  CHECK_EQUAL(RowsToLoad, load().Rows);
  CHECK_EQUAL(size_t{1}, Sim.runsOf(std::string(EndedId) + ".0.0.0"));
}

/// What the owner remembers is not enough: rows are read while jobs are
/// offered.
TEST(OnceTheEndedJobsAreRead, AnOfferStillRequiresThatItsJobHasNotEnded) {
  JobSpec NewJob = endedJob(EndedJobs);
  Sim.registerJob(NewJob);
  offer(NewJob);
  CHECK(Outcomes.at(NewJob.Id) == OfferOutcome::Stored);
  bool IsRequired = false;
  for (const store::Transaction &Tx : Sim.AppliedCommits) {
    for (const store::Precondition &Condition : Tx.Preconditions)
      IsRequired = IsRequired || (Condition.Table == EndedTable &&
                                  Condition.Key == NewJob.Id);
  }
  CHECK(IsRequired);
}

TEST(OnceTheEndedJobsAreRead, TheirRowsAreRemovedAfterTheirRetention) {
  Sim.runFor(250'000);
  CHECK_EQUAL(size_t{0}, Sim.rowsOf(EndedTable).size());
  CHECK_EQUAL(RowsToLoad, load().Rows);
}

TEST(AServiceThatHasRunManyJobs, ItsOwnerRemovesTheRowsAfterTheirRetention) {
  Sim.runFor(250'000);
  CHECK_EQUAL(size_t{0}, Sim.rowsOf(EndedTable).size());
  CHECK_EQUAL(size_t{LiveJobs}, Sim.rowsOf(JobTable).size());
}

TEST(WhileAnEntryDoesNotKnowEndedJobs, RowsStayWhereThatEntryLooks) {
  CHECK_EQUAL(size_t{EndedJobs}, unmovedJobs());
  CHECK_EQUAL(size_t{0}, Sim.rowsOf(EndedTable).size());
  CHECK(Sim.storedPhase(EndedId) == JobPhase::Completed);
}

TEST(WhileAnEntryDoesNotKnowEndedJobs, TheyAreMovedOnceAllDo) {
  Sim.Owner->setMovesEndedJobs(true);
  Sim.runFor(60'000);
  CHECK_EQUAL(size_t{0}, unmovedJobs());
  CHECK_EQUAL(size_t{EndedJobs}, Sim.rowsOf(EndedTable).size());
}

TEST(WhileAnEntryDoesNotKnowEndedJobs, ASuccessorMovesThemAFewWithEachCommit) {
  constexpr size_t MaxEntries = 45;
  Sim.MovesEndedJobs = true;
  Sim.takeOver();
  Sim.AppliedCommits.clear();
  Sim.runFor(60'000);
  CHECK_EQUAL(size_t{0}, unmovedJobs());
  for (const store::Transaction &Tx : Sim.AppliedCommits)
    CHECK(Tx.entryCount() <= MaxEntries);
  CHECK_EQUAL(RowsToLoad, load().Rows);
  offer(endedJob(0));
  CHECK(Outcomes.at(EndedId) == OfferOutcome::StoredBefore);
}

TEST_GROUP(EndedJobs){};

TEST(EndedJobs, TheirRowRoundTrips) {
  EndedJob Job{.Phase = JobPhase::Failed,
               .EndedMs = 81'234,
               .WorkHash = 0xf000'0000'0000'000fU};
  CHECK(*decodeEndedJob(encodeEndedJob(Job)) == Job);
  Job.Queue = "a;b";
  CHECK(*decodeEndedJob(encodeEndedJob(Job)) == Job);
  for (const char *Text :
       {"", "1;", "1;completed", "1;running;1;f", "1;completed;x;f",
        "1;completed;1;", "1;failed;1;f;q", "2;failed;1;f", "2;failed;1;f;",
        "3;failed;1;f;q"})
    CHECK_FALSE(bool(decodeEndedJob(Text)));
}

TEST(EndedJobs, AreMovedOnlyIfAllEntriesKnowThem) {
  store::RowPage Page;
  CHECK_FALSE(node::allKnowEndedJobs(Page));
  Page.Rows.push_back({.Key = "e0", .Value = encodeEntryCapacity({})});
  CHECK(node::allKnowEndedJobs(Page));
  Page.Rows.push_back(
      {.Key = "e1", .Value = R"({"millicores":500,"link_kbit":0})"});
  CHECK_FALSE(node::allKnowEndedJobs(Page));
  Page.Rows.back().Value = "?";
  CHECK_FALSE(node::allKnowEndedJobs(Page));
}

/// Entries of earlier versions can't read rows that tell the queue.
TEST(EndedJobs, TellTheirQueueOnlyIfAllEntriesReadIt) {
  store::RowPage Page;
  Page.Rows.push_back({.Key = "e0", .Value = encodeEntryCapacity({})});
  CHECK(node::allKnowQueueOfEnded(Page));
  Page.Rows.push_back(
      {.Key = "e1",
       .Value = R"({"millicores":500,"link_kbit":0,"knows_ended":true})"});
  CHECK(node::allKnowEndedJobs(Page));
  CHECK_FALSE(node::allKnowQueueOfEnded(Page));
}
