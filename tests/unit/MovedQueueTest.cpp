#include "cell/EndedJob.h"
#include "node/QueuePlaces.h"
#include "unit/CellSim.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

constexpr Resources Small{.MilliCores = 500, .MemoryMb = 64};
constexpr Resources Large{.MilliCores = 64'000, .MemoryMb = 64'000};
constexpr const char *EndedId = "00000000000000e0";
constexpr const char *LiveId = "00000000000000f0";
constexpr const char *NewId = "00000000000000f1";
constexpr int64_t StatusKeptTwiceMs = 250'000;

JobSpec jobOf(const char *Id, int64_t RunMs) {
  return cellsim::Simulation::makeJob(Id, 1, Small, RunMs);
}

void sendTo(CellConfig &Config, const char *Service) {
  Config.Services = {"s", "t"};
  Config.Queues.front().Service = Service;
}

} // namespace

// clang-format off
TEST_GROUP(AServiceThatHasRunAJob) {
  cellsim::Simulation Sim;
  std::optional<OfferOutcome> Outcome;

  void setup() override {
    Sim.addExecutor(Large);
    Sim.takeOver();
    Sim.Owner->finishEndedRows();
    Sim.submit(jobOf(EndedId, 50));
    Sim.runFor(10'000);
    CHECK(Sim.storedPhase(EndedId) == JobPhase::Completed);
  }
  void teardown() override {
    for (const std::string &Violation : Sim.violations())
      FAIL(Violation.c_str());
  }
  void offer(const JobSpec &Job, uint64_t SearchedVersion = 0) {
    Sim.registerJob(Job);
    Sim.Owner->offer({.Job = Job,
                      .SearchedVersion = SearchedVersion,
                      .TimeLeft = Millis(5'000),
                      .Done = [this](OfferOutcome Result) { Outcome = Result; }},
                     Sim.Now, Sim.Now);
  }
  QueueStatement stated() { return Sim.ownerRow().Queues; }
  void sendQueueTo(const char *Service) {
    Sim.changeConfig([&](CellConfig &Config) { sendTo(Config, Service); });
  }
};

TEST_GROUP_BASE(WhenItsQueueIsSentElsewhere, TEST_GROUP_CppUTestGroupAServiceThatHasRunAJob) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAServiceThatHasRunAJob::setup();
    sendQueueTo("t");
    Sim.runFor(500);
  }
};

TEST_GROUP_BASE(WhenItsQueueHasComeBack, TEST_GROUP_CppUTestGroupWhenItsQueueIsSentElsewhere) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWhenItsQueueIsSentElsewhere::setup();
    Sim.OtherServices.Holds = true;
    sendQueueTo("s");
    Sim.runFor(500);
  }
};

TEST_GROUP_BASE(AfterATakeoverOfItsOldService, TEST_GROUP_CppUTestGroupWhenItsQueueIsSentElsewhere) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWhenItsQueueIsSentElsewhere::setup();
    Sim.takeOver();
    Sim.runFor(1'000);
  }
};
// clang-format on

TEST(AServiceThatHasRunAJob, StatesItsConfigurationAndNoMovedQueue) {
  CHECK_EQUAL(uint64_t{1}, stated().ConfigVersion);
  CHECK(stated().MovedQueues.empty());
  CHECK_FALSE(stated().MayHoldAny);
  STRCMP_EQUAL("1",
               Sim.storedValue(StatedConfigTable, StatedConfigKey).c_str());
}

/// Guards against a second run of a job whose queue was sent to another
/// service, which a copy of its request reaches.
TEST(WhenItsQueueIsSentElsewhere, TheQueueIsListed) {
  CHECK_EQUAL(uint64_t{2}, stated().ConfigVersion);
  CHECK(stated().mayHold("q"));
  CHECK_FALSE(stated().mayHold("other"));
}

/// Guards against a read of the old partition that finds nothing, since what
/// an entry writes by the older configuration is carried out after it.
TEST(WhenItsQueueIsSentElsewhere, TheFenceIsWrittenWithTheStatement) {
  size_t Written = 0;
  for (const store::Transaction &Tx : Sim.AppliedCommits) {
    for (const store::RowWrite &Write : Tx.Writes) {
      if (Write.Table != StatedConfigTable || Write.Value != "2")
        continue;
      ++Written;
      auto Row = decodeOwnerRow(Tx.Writes.back().Value);
      CHECK_EQUAL(uint64_t{2}, Row->Queues.ConfigVersion);
      CHECK(Row->Queues.mayHold("q"));
    }
  }
  CHECK_EQUAL(size_t{1}, Written);
}

/// Guards against an offer by an entry with the older configuration, while the
/// other service stores a copy.
TEST(WhenItsQueueIsSentElsewhere, ANewJobOfItIsRefused) {
  offer(jobOf(NewId, 50));
  CHECK(Outcome == OfferOutcome::NotOwner);
  Sim.runFor(1'000);
  CHECK_FALSE(Sim.isStored(NewId));
}

TEST(AServiceThatHasRunAJob, AnOfferThatWaitsWhileItsQueueMovesIsNotStored) {
  offer(jobOf(NewId, 50));
  sendQueueTo("t");
  Sim.runFor(1'000);
  CHECK(Outcome == OfferOutcome::NotOwner);
  CHECK_FALSE(Sim.isStored(NewId));
}

TEST(WhenItsQueueIsSentElsewhere, ACopyOfAnAnsweredRequestIsStillKnown) {
  offer(jobOf(EndedId, 50));
  CHECK(Outcome == OfferOutcome::StoredBefore);
}

TEST(AServiceThatHasRunAJob, AJobGoesOnWhenItsQueueIsSentElsewhere) {
  Sim.submit(jobOf(LiveId, 3'000));
  Sim.runFor(500);
  sendQueueTo("t");
  Sim.runFor(10'000);
  CHECK(Sim.storedPhase(LiveId) == JobPhase::Completed);
  CHECK(stated().mayHold("q"));
}

TEST(WhenItsQueueIsSentElsewhere, ItIsNoLongerListedOnceItsJobsAreForgotten) {
  Sim.runFor(2 * StatusKeptTwiceMs);
  CHECK(stated().MovedQueues.empty());
  CHECK_FALSE(stated().MayHoldAny);
}

TEST(WhenItsQueueIsSentElsewhere, ItIsServedAgainOnceItComesBack) {
  sendQueueTo("s");
  Sim.runFor(500);
  CHECK(stated().MovedQueues.empty());
  offer(jobOf(NewId, 50));
  Sim.runFor(1'000);
  CHECK(Outcome == OfferOutcome::Stored);
}

/// Guards against an offer by an entry that has heard of neither change, while
/// the other service holds a copy of the job.
TEST(WhenItsQueueHasComeBack, AnOfferFromBeforeItWentIsRefused) {
  offer(jobOf(NewId, 50), 1);
  CHECK(Outcome == OfferOutcome::NotOwner);
  Sim.runFor(1'000);
  CHECK_FALSE(Sim.isStored(NewId));
}

TEST(WhenItsQueueHasComeBack, AnOfferOfAnEntryThatHasLookedElsewhereIsTaken) {
  offer(jobOf(NewId, 50), 3);
  Sim.runFor(1'000);
  CHECK(Outcome == OfferOutcome::Stored);
}

TEST(WhenItsQueueHasComeBack, AnOlderOfferIsTakenIfNoOtherServiceHoldsJobs) {
  Sim.OtherServices.Holds = false;
  offer(jobOf(NewId, 50), 1);
  Sim.runFor(1'000);
  CHECK(Outcome == OfferOutcome::Stored);
}

/// Guards against an offer that was taken before its queue went and is stored
/// once it has come back.
TEST(AServiceThatHasRunAJob, AnOfferThatWaitsWhileItsQueueGoesAndComesBack) {
  offer(jobOf(NewId, 50), 1);
  sendQueueTo("t");
  sendQueueTo("s");
  Sim.OtherServices.Holds = true;
  Sim.runFor(1'000);
  CHECK(Outcome == OfferOutcome::NotOwner);
  CHECK_FALSE(Sim.isStored(NewId));
}

/// Guards against an offer by an entry that has not heard of the removal of its
/// queue, which another service may serve by now.
TEST(AServiceThatHasRunAJob, TakesNoJobOfAQueueThatWasRemoved) {
  Sim.setQueueConfigured(false);
  Sim.runFor(500);
  offer(jobOf(NewId, 50), 1);
  CHECK(Outcome == OfferOutcome::NotOwner);
  Sim.runFor(1'000);
  CHECK_FALSE(Sim.isStored(NewId));
}

/// Guards against a list that is lost with its owner.
TEST(AfterATakeoverOfItsOldService, TheQueueIsStillListed) {
  CHECK_EQUAL(uint64_t{2}, stated().ConfigVersion);
  CHECK(stated().mayHold("q"));
  CHECK_FALSE(stated().MayHoldAny);
}

TEST(AfterATakeoverOfItsOldService, TheEndedRowsTellTheQueue) {
  auto Ended = decodeEndedJob(Sim.storedValue(EndedTable, EndedId));
  STRCMP_EQUAL("q", Ended->Queue.c_str());
  Sim.Owner->addEndedRow(EndedId, *Ended, Sim.Now);
  Sim.Owner->finishEndedRows();
  Sim.runFor(1'000);
  CHECK(stated().mayHold("q"));
}

/// Rows of ended jobs that an earlier version stored don't tell their queue.
TEST(AfterATakeoverOfItsOldService, AnEndedRowWithoutAQueueCountsForEachMoved) {
  auto Ended = decodeEndedJob(Sim.storedValue(EndedTable, EndedId));
  Ended->Queue.clear();
  Sim.Owner->addEndedRow(EndedId, *Ended, Sim.Now);
  Sim.Owner->finishEndedRows();
  Sim.runFor(1'000);
  CHECK(stated().MayHoldAny);
}

/// The queue may have been sent elsewhere while the service had no owner.
TEST(AServiceThatHasRunAJob, ASuccessorByANewerConfigurationListsAnyQueue) {
  Sim.killOwner();
  sendQueueTo("t");
  Sim.takeOver();
  Sim.runFor(500);
  CHECK_EQUAL(uint64_t{2}, stated().ConfigVersion);
  CHECK(stated().MayHoldAny);
  Sim.Owner->addEndedRow(EndedId, {.Phase = JobPhase::Completed, .Queue = "q"},
                         Sim.Now);
  Sim.Owner->finishEndedRows();
  Sim.runFor(5'000);
  CHECK_FALSE(stated().MayHoldAny);
  CHECK(stated().mayHold("q"));
}

/// Guards against an owner that stores jobs of a queue which the configuration
/// that its predecessor stated sends elsewhere.
TEST(AfterATakeoverOfItsOldService, AnOwnerByAnOlderConfigurationTakesNoJobs) {
  Sim.killOwner();
  Sim.changeConfig([](CellConfig &Config) {
    Config.Version = 1;
    sendTo(Config, "s");
  });
  Sim.takeOver();
  Sim.runFor(1'000);
  offer(jobOf(NewId, 50));
  CHECK(Outcome == OfferOutcome::NotOwner);
  CHECK_EQUAL(uint64_t{2}, stated().ConfigVersion);
  CHECK(stated().mayHold("q"));
}

// clang-format off
TEST_GROUP(AnEntryWithTheNewerConfiguration) {
  std::vector<std::shared_ptr<const CellConfig>> Configs;
  const Queue *Served = nullptr;

  void setup() override {
    Configs = {configOf(5, "s"), configOf(7, "t")};
    Served = &Configs.back()->Queues.front();
  }
  static std::shared_ptr<const CellConfig> configOf(uint64_t Version, const char *Service) {
    auto Config = std::make_shared<CellConfig>();
    Config->Version = Version;
    Config->Queues = {{.Name = "q", .Service = Service}, {.Name = "steady", .Service = "t"}};
    Config->Services = {"s", "t", "u"};
    return Config;
  }
  node::QueueView view() const { return {.Queue = *Served, .ConfigVersion = 7, .History = Configs}; }
  node::PlaceCheck checkOther(const char *Service, const QueueStatement &Stated) const {
    return node::checkOtherService(view(), Service, Stated);
  }
};
// clang-format on

/// Guards against a job that is stored in the new service while the old one may
/// still store a copy of it.
TEST(AnEntryWithTheNewerConfiguration, AwaitsTheStatementOfTheOldService) {
  CHECK(checkOther("s", {.ConfigVersion = 5}) ==
        node::PlaceCheck::AwaitStatement);
  CHECK(checkOther("s", {.ConfigVersion = 4}) ==
        node::PlaceCheck::AwaitStatement);
}

TEST(AnEntryWithTheNewerConfiguration, SearchesTheOldServiceIfItListsTheQueue) {
  CHECK(checkOther("s", {.ConfigVersion = 7, .MovedQueues = {"q"}}) ==
        node::PlaceCheck::Search);
  CHECK(checkOther("s", {.ConfigVersion = 7, .MayHoldAny = true}) ==
        node::PlaceCheck::Search);
}

/// Guards against calls of the store for each request.
TEST(AnEntryWithTheNewerConfiguration, AsksNobodyElse) {
  CHECK(checkOther("s", {.ConfigVersion = 7, .MovedQueues = {"r"}}) ==
        node::PlaceCheck::None);
  CHECK(checkOther("u", {.ConfigVersion = 7}) == node::PlaceCheck::None);
  Served = &Configs.back()->Queues.back();
  CHECK(checkOther("s", {.ConfigVersion = 5}) == node::PlaceCheck::None);
}

TEST(AnEntryWithTheNewerConfiguration, SearchesAServiceThatStatesNothing) {
  CHECK(checkOther("u", {}) == node::PlaceCheck::Search);
  CHECK(checkOther("u", {.ConfigVersion = 8}) == node::PlaceCheck::Search);
}

TEST(AnEntryWithTheNewerConfiguration, AwaitsThatTheNewServiceKnowsOfIt) {
  CHECK(node::checkOwnService(view(), {.ConfigVersion = 5}) ==
        node::PlaceCheck::AwaitStatement);
  CHECK(node::checkOwnService(view(), {.ConfigVersion = 7}) ==
        node::PlaceCheck::None);
  CHECK_FALSE(node::mayStore(view(), 5));
  CHECK_TRUE(node::mayStore(view(), 7));
  CHECK_FALSE(node::mayStore(view(), 8));
}

/// Guards against an entry that was cut off while the queue was sent elsewhere
/// and back, and takes the versions that it knows for all there were.
TEST(AnEntryWithTheNewerConfiguration, AwaitsAllStatementsIfItMissedVersions) {
  SharedConfig Shared;
  Shared.replaceIfNewer(configOf(5, "t"), true);
  Shared.replaceIfNewer(configOf(7, "t"), false);
  auto History = Shared.history();
  node::QueueView View{
      .Queue = *Served, .ConfigVersion = 7, .History = History};
  CHECK(node::checkOtherService(View, "s", {.ConfigVersion = 5}) ==
        node::PlaceCheck::AwaitStatement);
  CHECK(node::checkOtherService(View, "s", {.ConfigVersion = 7}) ==
        node::PlaceCheck::None);
  CHECK_FALSE(node::mayStore(View, 5));
}

TEST(AnEntryWithTheNewerConfiguration, StoresJobsOfAQueueThatHasNotMoved) {
  Served = &Configs.back()->Queues.back();
  CHECK_TRUE(node::mayStore(view(), 5));
  CHECK_FALSE(node::mayStore(view(), 4));
  CHECK(node::checkOwnService(view(), {.ConfigVersion = 5}) ==
        node::PlaceCheck::None);
}
