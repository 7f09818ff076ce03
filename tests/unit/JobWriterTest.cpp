#include "node/JobWriter.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::node;

namespace {

/// Keeps what it is asked for until the test answers it.
class HeldStore final : public store::RowStore {
public:
  void commit(const store::Transaction &What,
              store::TransactionDone Done) override {
    Asked.push_back(What);
    Answers.push_back(std::move(Done));
  }
  void read(const store::RangeRead &, store::ReadDone) override {}
  void readChanges(const store::ChangeQuery &, store::ChangesDone) override {}

  void answer(size_t Index, store::TransactionResult Result) {
    Answers[Index](std::move(Result));
  }

  std::vector<store::Transaction> Asked;
  std::vector<store::TransactionDone> Answers;
};

cell::JobSpec job(int Number) {
  cell::JobSpec Out;
  Out.Id = "000000000000000" + std::to_string(Number);
  Out.Queue = "q";
  Out.Steps.push_back({.Count = 1});
  return Out;
}

} // namespace

// clang-format off
TEST_GROUP(AnEntryThatStoresJobs) {
  HeldStore Store;
  Timers Later;
  Millis Hedge{100};
  JobWriter Writer{"s", Store, Later, [this] { return Hedge; }};
  TimePoint Now = monotonicNow();
  std::map<int, WriteOutcome> Told;
  void add(int Number) {
    Writer.add({.Job = job(Number),
                .Deadline = Now + Millis(60'000),
                .Done = [this, Number](WriteOutcome How) { Told[Number] = How; }}, Now);
  }
};

TEST_GROUP_BASE(WhileOneIsOnItsWay, TEST_GROUP_CppUTestGroupAnEntryThatStoresJobs) {
  void setup() override {
    for (int I = 1; I <= 5; ++I)
      add(I);
  }
};
// clang-format on

TEST(WhileOneIsOnItsWay, TheOthersShareTheNextTransaction) {
  LONGS_EQUAL(1, Store.Asked.size());
  Store.answer(0, {.Outcome = store::TransactionOutcome::Committed});
  LONGS_EQUAL(2, Store.Asked.size());
  LONGS_EQUAL(4, Store.Asked[1].Writes.size());
  Store.answer(1, {.Outcome = store::TransactionOutcome::Committed});
  LONGS_EQUAL(5, Told.size());
  CHECK(Told[5] == WriteOutcome::Stored);
}

TEST(WhileOneIsOnItsWay, OneThatIsStoredAlreadyDoesNotKeepTheOthersOut) {
  Store.answer(0, {.Outcome = store::TransactionOutcome::Committed});
  store::TransactionResult Conflict{.Outcome =
                                        store::TransactionOutcome::Conflict};
  Conflict.CurrentRows.push_back({.Table = "jobs",
                                  .Key = job(3).Id,
                                  .Value = cell::encodeJob(job(3)),
                                  .Version = 7});
  Store.answer(1, Conflict);
  CHECK(Told[3] == WriteOutcome::StoredBefore);
  LONGS_EQUAL(3, Store.Asked[2].Writes.size());
}

TEST(WhileOneIsOnItsWay, WhatIsRefusedIsToldSoAtOnce) {
  Store.answer(0, {.Outcome = store::TransactionOutcome::NotApplied});
  CHECK(Told[1] == WriteOutcome::Refused);
  LONGS_EQUAL(1, Told.size());
}

TEST(WhileOneIsOnItsWay, WhatMayBeStoredIsTriedAgainAndNeverToldRefused) {
  Store.answer(0, {.Outcome = store::TransactionOutcome::Unknown});
  CHECK_TRUE(Told.empty());
  Later.runDue(monotonicNow() + Millis(1'000));
  LONGS_EQUAL(2, Store.Asked.size());
  Store.answer(1, {.Outcome = store::TransactionOutcome::NotApplied});
  CHECK_EQUAL(size_t{0}, Told.count(1));
  Writer.giveUp();
  CHECK(Told[1] == WriteOutcome::Unknown);
}

TEST(AnEntryThatStoresJobs, AWriteWithoutAnAnswerIsSentOnceMore) {
  add(1);
  Later.runDue(Now + Millis(200));
  LONGS_EQUAL(2, Store.Asked.size());
  Store.answer(1, {.Outcome = store::TransactionOutcome::Committed});
  CHECK(Told[1] == WriteOutcome::Stored);
  Store.answer(0, {.Outcome = store::TransactionOutcome::Unknown});
  LONGS_EQUAL(1, Told.size());
}

TEST(AnEntryThatStoresJobs, NoCopyIsSentToAStoreThatTurnsSlowMeanwhile) {
  add(1);
  Hedge = Millis(5'000);
  Later.runDue(Now + Millis(200));
  LONGS_EQUAL(1, Store.Asked.size());
  Later.runDue(Now + Millis(5'200));
  LONGS_EQUAL(2, Store.Asked.size());
}
