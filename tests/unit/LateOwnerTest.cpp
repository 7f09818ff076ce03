#include "common/Random.h"
#include "unit/CellSim.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

/// An owner that can't keep up may lose value, but it goes on to record starts
/// and ends, to renew leases and to keep its service.

namespace {

constexpr Resources ExecutorSize{.MilliCores = 8'000, .MemoryMb = 8'000};
constexpr Resources Small{.MilliCores = 1'000, .MemoryMb = 100};

/// An owner whose loop comes round every \p TurnMs: it hears of ends, and
/// renews leases, late or too late, while messages get lost as well. Services
/// run beside batch jobs.
void runLateOwner(uint64_t Seed, int64_t TurnMs) {
  constexpr int Jobs = 30;
  constexpr int64_t RecoveryMs = 15'000;
  constexpr Millis LastingTime{600'000};
  Simulation Sim(Seed);
  Random Rng(Seed * 31 + 7);
  std::vector<JobSpec> Submitted;
  for (int I = 0; I < 10; ++I)
    Sim.addExecutor(ExecutorSize);
  Sim.takeOver();
  Sim.runFor(200);
  Sim.Faults = {.OrderAnswerLost = 0.05, .CommitAnswerLost = 0.05};
  Sim.OwnerTurnMs = TurnMs;
  for (int I = 1; I <= Jobs; ++I) {
    JobSpec Job =
        Simulation::makeJob(fmt::format("{:016x}", I), 1 + Rng.below(6), Small,
                            200 + static_cast<int64_t>(Rng.below(3'000)));
    Job.Steps.front().LongRunning = Rng.below(5) == 0;
    if (Job.Steps.front().LongRunning)
      Job.Steps.front().Estimate = LastingTime;
    Submitted.push_back(Job);
    Sim.submit(std::move(Job));
    Sim.runFor(static_cast<int64_t>(Rng.below(1'500)));
  }
  if (Rng.below(2) == 0)
    Sim.takeOver();
  Sim.runFor(5'000);
  // Once it keeps up again, everything that should run does.
  Sim.OwnerTurnMs = 0;
  Sim.Faults = {};
  Sim.runFor(RecoveryMs);
  std::string Where = fmt::format("seed {} turn {}: ", Seed, TurnMs);
  for (const std::string &Violation : Sim.violations())
    FAIL((Where + Violation).c_str());
  for (const JobSpec &Job : Submitted) {
    bool IsLasting = Job.Steps.front().LongRunning;
    for (uint32_t I = 0; IsLasting && I < Job.Steps.front().Count; ++I)
      CHECK_TEXT(Sim.isOpen(taskName({.Job = Job.Id, .Index = I})),
                 (Where + Job.Id).c_str());
    if (!IsLasting)
      CHECK_TEXT(Sim.storedPhase(Job.Id) == JobPhase::Completed,
                 (Where + Job.Id).c_str());
  }
}

} // namespace

TEST_GROUP(AnOwnerThatCannotKeepUp){};

TEST(AnOwnerThatCannotKeepUp, BreaksNoRuleWhateverItsDelay) {
  for (int64_t TurnMs : {300, 1'000, 2'500, 5'000, 8'000}) {
    for (uint64_t Seed = 1; Seed <= 12; ++Seed)
      runLateOwner(Seed, TurnMs);
  }
}

// clang-format off
TEST_GROUP(AnOwnerOfTenExecutors) {
  Simulation Sim;
  void setup() override {
    for (int I = 0; I < 10; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.takeOver();
    Sim.runFor(200);
  }
};

TEST_GROUP_BASE(WhoseCommitsOutlastTheOffers, TEST_GROUP_CppUTestGroupAnOwnerOfTenExecutors) {
  static constexpr int64_t CommitMs = 150;
  static constexpr int64_t EntryWaitMs = 100;
  static constexpr int64_t ArrivalMs = 20;
  int Offers = 0;
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerOfTenExecutors::setup();
    Sim.CommitTimeMs = CommitMs;
  }
  /// Offers a job; its entry stores it itself when it has waited in vain.
  void offerOne() {
    JobSpec Job = Simulation::makeJob(fmt::format("{:016x}", 0xf000 + ++Offers), 1, Small, 100);
    Sim.registerJob(Job);
    Sim.Owner->offer({.Job = Job, .TimeLeft = Millis(3'000), .Done = [](OfferOutcome) {}}, Sim.Now, Sim.Now);
    Sim.storeLater(Job, EntryWaitMs);
  }
};
// clang-format on

/// Each commit holds an offer that its entry has stored meanwhile, so that the
/// store refuses it.
TEST(WhoseCommitsOutlastTheOffers, TheOwnerStillRecordsStartsAndEnds) {
  constexpr int64_t Ms = 3'000;
  Sim.submit(Simulation::makeJob("00000000000000a1", 4, Small, 200));
  for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += ArrivalMs) {
    offerOne();
    Sim.runFor(ArrivalMs);
  }
  CHECK(Sim.storedPhase("00000000000000a1") == JobPhase::Completed);
  LONGS_EQUAL(0, Sim.violations().size());
}

TEST(WhoseCommitsOutlastTheOffers, ItsRowChangesOftenEnoughToKeepTheService) {
  constexpr int64_t Ms = 3'000;
  constexpr int64_t MaxRowAgeMs = 900;
  uint64_t Version = Sim.ownerRowVersion();
  TimePoint ChangedAt = Sim.Now;
  for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += ArrivalMs) {
    offerOne();
    Sim.runFor(ArrivalMs);
    if (Sim.ownerRowVersion() != Version)
      ChangedAt = Sim.Now;
    Version = Sim.ownerRowVersion();
    CHECK(Sim.Now < ChangedAt + Millis(MaxRowAgeMs));
  }
}

/// Clocks of the store are estimated from its answers, which lag by seconds on
/// a slow store.
TEST(AnOwnerOfTenExecutors, AnOfferWhoseAcceptanceLooksOldKeepsItsTime) {
  std::optional<OfferOutcome> Outcome;
  JobSpec Job = Simulation::makeJob("00000000000000b1", 1, Small, 100);
  Sim.registerJob(Job);
  Sim.Owner->offer(
      {.Job = Job,
       .TimeLeft = Millis(1'000),
       .Done = [&](OfferOutcome NewOutcome) { Outcome = NewOutcome; }},
      Sim.Now - Millis(2'000), Sim.Now);
  Sim.runFor(500);
  CHECK(Outcome == OfferOutcome::Stored);
}

// clang-format off
TEST_GROUP(AnOwnerOfManyRunningJobs) {
  static constexpr int Jobs = 300;
  static constexpr int64_t CommitMs = 400;
  Simulation Sim;
  void setup() override {
    for (int I = 0; I < Jobs / 4; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.RunTimeFor = [](const std::string &Task, int64_t Estimate) {
      return Task.ends_with(".0") ? Estimate : 60'000;
    };
    Sim.takeOver();
    Sim.runFor(200);
    for (int I = 1; I <= Jobs; ++I)
      Sim.submit(Simulation::makeJob(fmt::format("{:016x}", I), 2, Small, 2'000));
    Sim.runFor(1'500);
    Sim.CommitTimeMs = CommitMs;
  }
};
// clang-format on

/// The ends of tasks fill several commits. A start that waited behind them
/// would hold its place on an executor meanwhile.
TEST(AnOwnerOfManyRunningJobs, RecordsStartsBeforeEndsThatCanWait) {
  auto AreAllEnded = [&] { return Sim.Owner->counts().EndsDone >= Jobs; };
  CHECK_TRUE(Sim.runUntil(AreAllEnded, 3'000));
  JobSpec Late = Simulation::makeJob("0000000000ffffff", 1, Small, 100);
  Sim.submit(Late);
  auto IsStarted = [&] { return Sim.runsOf(Late.Id + ".0.0.0") > 0; };
  CHECK_TRUE(Sim.runUntil(IsStarted, 2 * CommitMs + 50));
}

// clang-format off
TEST_GROUP(AnOwnerWhoseCommitsAreFullOfEnds) {
  static constexpr int Jobs = 600;
  static constexpr int64_t CommitMs = 150;
  Simulation Sim;
  std::string Executor;
  void setup() override {
    Executor = Sim.addExecutor({.MilliCores = 2'000'000, .MemoryMb = 2'000'000});
    Sim.RunTimeFor = [](const std::string &Task, int64_t Estimate) {
      return Task.ends_with(".0") ? Estimate : 60'000;
    };
    Sim.takeOver();
    Sim.runFor(200);
    for (int I = 1; I <= Jobs; ++I)
      Sim.submit(Simulation::makeJob(fmt::format("{:016x}", I), 2, Small, 2'000));
    Sim.runFor(1'500);
    Sim.CommitTimeMs = CommitMs;
  }
};
// clang-format on

/// Answers to starts say nothing of ends. Places of runs that have ended would
/// be held for as long as starts are sent.
TEST(AnOwnerWhoseCommitsAreFullOfEnds, HearsOfFurtherEndsWhileItStartsWork) {
  constexpr int64_t MaxGapMs = 500;
  constexpr int64_t StepMs = 10;
  auto IsAnyEnded = [&] { return Sim.Owner->counts().EndsDone > 0; };
  CHECK_TRUE(Sim.runUntil(IsAnyEnded, 3'000));
  size_t Renewals = Sim.Renewals.size();
  TimePoint RenewedAt = Sim.Now;
  for (int I = 0; I < 120; ++I) {
    Sim.submit(Simulation::makeJob(fmt::format("{:016x}", 0xf0000 + I), 1,
                                   Small, 5'000));
    Sim.runFor(StepMs);
    if (Sim.Renewals.size() > Renewals)
      RenewedAt = Sim.Now;
    Renewals = Sim.Renewals.size();
    CHECK(Sim.Now < RenewedAt + Millis(MaxGapMs));
  }
}

// clang-format off
/// Its turns are further apart than a lease is long.
TEST_GROUP(AnOwnerWhoseRenewalsTakeLongerThanALease) {
  static constexpr int Executors = 160;
  static constexpr int Jobs = 100;
  static constexpr int64_t TurnMs = 6'000;
  Simulation Sim;
  void setup() override {
    for (int I = 0; I < Executors; ++I)
      Sim.addExecutor(ExecutorSize);
    Sim.takeOver();
    Sim.runFor(500);
    for (int I = 1; I <= Jobs; ++I)
      Sim.submit(Simulation::makeJob(fmt::format("{:016x}", I), 1, ExecutorSize, 1'000));
    CHECK(Sim.runUntil([&] { return Sim.Started.size() == Jobs; }, 2'000));
    Sim.OwnerTurnMs = TurnMs;
  }
};
// clang-format on

/// Guards against second runs of tasks that are done: no lease has lapsed where
/// they ran, and their executors tell of it once they are asked.
TEST(AnOwnerWhoseRenewalsTakeLongerThanALease, TakesNoRunForLapsed) {
  Sim.runFor(4 * TurnMs);
  LONGS_EQUAL(0, Sim.Owner->counts().ExpiredRuns);
  Sim.OwnerTurnMs = 0;
  Sim.runFor(3'000);
  LONGS_EQUAL(Jobs, Sim.Started.size());
  for (const std::string &Violation : Sim.violations())
    FAIL(Violation.c_str());
}
