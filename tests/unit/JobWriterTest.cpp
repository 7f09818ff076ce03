#include "node/JobWriter.h"

#include "cell/EndedJob.h"
#include "cell/OwnerRow.h"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::node;

namespace {

/// Records transactions; the test answers them.
class ManualStore final : public store::RowStore {
public:
  void commit(const store::Transaction &Tx,
              store::TransactionDone Done) override {
    Transactions.push_back(Tx);
    Callbacks.push_back(std::move(Done));
  }
  void read(const store::RangeRead &, store::ReadDone) override {}
  void readChanges(const store::ChangeQuery &, store::ChangesDone) override {}

  void answer(size_t Index, store::TransactionResult Result) {
    Callbacks[Index](std::move(Result));
  }

  std::vector<store::Transaction> Transactions;
  std::vector<store::TransactionDone> Callbacks;
};

cell::JobSpec makeJob(int Number) {
  cell::JobSpec Job;
  Job.Id = "000000000000000" + std::to_string(Number);
  Job.Queue = "q";
  Job.Steps.push_back({.Count = 1});
  return Job;
}

bool isRequiredAbsent(const store::Transaction &Tx, const std::string &Table,
                      const std::string &Key) {
  return std::any_of(Tx.Preconditions.begin(), Tx.Preconditions.end(),
                     [&](const store::Precondition &Condition) {
                       return Condition.Table == Table &&
                              Condition.Key == Key &&
                              Condition.Version == store::AbsentVersion;
                     });
}

} // namespace

// clang-format off
TEST_GROUP(AnEntryThatStoresJobs) {
  ManualStore Store;
  Timers TimerQueue;
  Millis Delay{100};
  JobWriter Writer{"s", Store, TimerQueue, [this] { return Delay; }};
  TimePoint Now = monotonicNow();
  std::map<int, WriteOutcome> Outcomes;
  void add(int Number) {
    Writer.add({.Job = makeJob(Number),
                .Deadline = Now + Millis(60'000),
                .Done = [this, Number](WriteOutcome Outcome) { Outcomes[Number] = Outcome; }}, Now);
  }
};

TEST_GROUP_BASE(WhileABatchIsInFlight, TEST_GROUP_CppUTestGroupAnEntryThatStoresJobs) {
  void setup() override {
    for (int I = 1; I <= 5; ++I)
      add(I);
  }
};
// clang-format on

TEST(WhileABatchIsInFlight, LaterJobsShareTheNextTransaction) {
  LONGS_EQUAL(1, Store.Transactions.size());
  Store.answer(0, {.Outcome = store::TransactionOutcome::Committed});
  LONGS_EQUAL(2, Store.Transactions.size());
  LONGS_EQUAL(4, Store.Transactions[1].Writes.size());
  Store.answer(1, {.Outcome = store::TransactionOutcome::Committed});
  LONGS_EQUAL(5, Outcomes.size());
  CHECK(Outcomes[5] == WriteOutcome::Stored);
}

// clang-format off
/// Many entries that store jobs themselves would otherwise fill the queue of the
/// service's partition, in which its owner's commits wait too.
TEST_GROUP_BASE(WhenABatchHasTakenSeconds, TEST_GROUP_CppUTestGroupAnEntryThatStoresJobs) {
  void setup() override {
    Now -= Millis(2'000);
    add(1);
    Store.answer(0, {.Outcome = store::TransactionOutcome::Committed});
    add(2);
  }
};
// clang-format on

TEST(WhenABatchHasTakenSeconds, TheNextOneIsSentAfterAPause) {
  LONGS_EQUAL(1, Store.Transactions.size());
  TimerQueue.runDue(monotonicNow() + Millis(1'000));
  LONGS_EQUAL(2, Store.Transactions.size());
}

/// The store may be quick again, and callers wait.
TEST(WhenABatchHasTakenSeconds, ThePauseIsShort) {
  constexpr Millis LongestPause{600};
  TimerQueue.runDue(monotonicNow() + LongestPause);
  LONGS_EQUAL(2, Store.Transactions.size());
}

TEST(WhileABatchIsInFlight, AJobAlreadyStoredDoesNotFailTheOthers) {
  Store.answer(0, {.Outcome = store::TransactionOutcome::Committed});
  store::TransactionResult Conflict{.Outcome =
                                        store::TransactionOutcome::Conflict};
  Conflict.CurrentRows.push_back({.Table = "jobs",
                                  .Key = makeJob(3).Id,
                                  .Value = cell::encodeJob(makeJob(3)),
                                  .Version = 7});
  Store.answer(1, Conflict);
  CHECK(Outcomes[3] == WriteOutcome::StoredBefore);
  LONGS_EQUAL(3, Store.Transactions[2].Writes.size());
}

/// Guards against a job that runs again because a copy of its request, or of
/// its write, arrives after it has ended.
TEST(WhileABatchIsInFlight, AJobThatHasEndedIsNotStoredAgain) {
  Store.answer(0, {.Outcome = store::TransactionOutcome::Committed});
  for (int Number : {3, 4}) {
    for (const char *Table : {cell::JobTable, cell::EndedTable})
      CHECK(isRequiredAbsent(Store.Transactions[1], Table, makeJob(Number).Id));
  }
  cell::JobSpec OtherJob = makeJob(4);
  OtherJob.Payload = "other";
  store::TransactionResult Conflict{.Outcome =
                                        store::TransactionOutcome::Conflict};
  for (const cell::JobSpec &Job : {makeJob(3), OtherJob})
    Conflict.CurrentRows.push_back(
        {.Table = cell::EndedTable,
         .Key = Job.Id,
         .Value = cell::encodeEndedJob({.Phase = cell::JobPhase::Completed,
                                        .EndedMs = 7,
                                        .WorkHash = cell::workHash(Job)}),
         .Version = 7});
  Store.answer(1, Conflict);
  CHECK(Outcomes[3] == WriteOutcome::StoredBefore);
  CHECK(Outcomes[4] == WriteOutcome::OtherWork);
  LONGS_EQUAL(2, Store.Transactions[2].Writes.size());
}

TEST(AnEntryThatStoresJobs, ABatchStaysWithinTheStoresLimit) {
  constexpr int MoreThanABatch = 99;
  for (int I = 0; I <= MoreThanABatch; ++I)
    add(I);
  Store.answer(0, {.Outcome = store::TransactionOutcome::Committed});
  CHECK(Store.Transactions[1].entryCount() <= store::MaxTransactionEntries);
}

// clang-format off
/// By the configuration of version 5; the owner may state a newer one.
TEST_GROUP_BASE(WithAnOlderConfiguration, TEST_GROUP_CppUTestGroupAnEntryThatStoresJobs) {
  void setup() override {
    Writer.add({.Job = makeJob(1),
                .Deadline = Now + Millis(60'000),
                .MayStore = [](uint64_t Stated) { return Stated <= 5; },
                .Done = [this](WriteOutcome Outcome) { Outcomes[1] = Outcome; }}, Now);
  }
  void answerStated(size_t Index, const char *ConfigVersion, uint64_t RowVersion) {
    store::TransactionResult Conflict{.Outcome = store::TransactionOutcome::Conflict};
    Conflict.CurrentRows.push_back({.Table = cell::StatedConfigTable,
                                    .Key = cell::StatedConfigKey,
                                    .Value = ConfigVersion,
                                    .Version = RowVersion});
    Store.answer(Index, Conflict);
  }
};
// clang-format on

/// Guards against a write that is carried out in the old service, after the
/// queue has moved and its new service has found no copy of the job there.
TEST(WithAnOlderConfiguration, ABatchRequiresWhatTheOwnerStates) {
  CHECK(isRequiredAbsent(Store.Transactions[0], cell::StatedConfigTable,
                         cell::StatedConfigKey));
  answerStated(0, "5", 33);
  LONGS_EQUAL(2, Store.Transactions.size());
  LONGS_EQUAL(33, Store.Transactions[1].Preconditions.back().Version);
  Store.answer(1, {.Outcome = store::TransactionOutcome::Committed});
  CHECK(Outcomes[1] == WriteOutcome::Stored);
}

TEST(WithAnOlderConfiguration, AJobIsRefusedOnceTheOwnerStatesTheNewerOne) {
  answerStated(0, "5", 33);
  answerStated(1, "7", 44);
  LONGS_EQUAL(2, Store.Transactions.size());
  CHECK(Outcomes[1] == WriteOutcome::Refused);
}

TEST(WithAnOlderConfiguration, ALaterJobIsRefusedOnlyByWhatIsStatedThen) {
  answerStated(0, "7", 33);
  CHECK(Outcomes[1] == WriteOutcome::Refused);
  Writer.add({.Job = makeJob(2),
              .Deadline = Now + Millis(60'000),
              .MayStore = [](uint64_t Stated) { return Stated == 8; },
              .Done = [this](WriteOutcome Outcome) { Outcomes[2] = Outcome; }},
             Now);
  LONGS_EQUAL(2, Store.Transactions.size());
  answerStated(1, "8", 55);
  LONGS_EQUAL(55, Store.Transactions[2].Preconditions.back().Version);
}

TEST(WithAnOlderConfiguration, AnUnreadableStatementStoresNothing) {
  answerStated(0, "x", 33);
  CHECK(Outcomes[1] == WriteOutcome::Refused);
}

TEST(WhileABatchIsInFlight, ARefusedJobIsReportedAtOnce) {
  Store.answer(0, {.Outcome = store::TransactionOutcome::NotApplied});
  CHECK(Outcomes[1] == WriteOutcome::Refused);
  LONGS_EQUAL(1, Outcomes.size());
}

TEST(WhileABatchIsInFlight,
     AJobThatMayBeStoredIsRetriedAndNeverReportedAsRefused) {
  Store.answer(0, {.Outcome = store::TransactionOutcome::Unknown});
  CHECK_TRUE(Outcomes.empty());
  TimerQueue.runDue(monotonicNow() + Millis(1'000));
  LONGS_EQUAL(2, Store.Transactions.size());
  Store.answer(1, {.Outcome = store::TransactionOutcome::NotApplied});
  CHECK_EQUAL(size_t{0}, Outcomes.count(1));
  Writer.failAll();
  CHECK(Outcomes[1] == WriteOutcome::Unknown);
}

TEST(AnEntryThatStoresJobs, AWriteWithoutAnAnswerIsSentOnceMore) {
  add(1);
  TimerQueue.runDue(Now + Millis(200));
  LONGS_EQUAL(2, Store.Transactions.size());
  Store.answer(1, {.Outcome = store::TransactionOutcome::Committed});
  CHECK(Outcomes[1] == WriteOutcome::Stored);
  Store.answer(0, {.Outcome = store::TransactionOutcome::Unknown});
  LONGS_EQUAL(1, Outcomes.size());
}

TEST(AnEntryThatStoresJobs, NoSecondCopyIsSentIfTheStoreBecomesSlowMeanwhile) {
  add(1);
  Delay = Millis(5'000);
  TimerQueue.runDue(Now + Millis(200));
  LONGS_EQUAL(1, Store.Transactions.size());
  TimerQueue.runDue(Now + Millis(5'200));
  LONGS_EQUAL(2, Store.Transactions.size());
}
