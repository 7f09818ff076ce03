#include "entry/JournalStore.h"
#include "entry/Ownership.h"
#include "standin/MemoryTable.h"

#include <nlohmann/json.hpp>

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::entry;

// clang-format off
TEST_GROUP(AnOwnedShard) {
  standin::MemoryTable Table;
  Member Self{.Name = "e1", .Incarnation = "i1"};
  std::unique_ptr<JournalStore> Store;
  Shard Owned;
  void setup() override {
    Owned = *claimShard(Table, {.Id = "za.0"}, Self);
    Store = std::make_unique<JournalStore>(Table, Table, Owned);
    CHECK(static_cast<bool>(Store->load()));
  }
  static shard::JournalGroup group(uint64_t Sequence, const std::string &Token) {
    shard::JournalGroup Out{.Sequence = Sequence};
    Out.Row.Token = Token;
    Out.Row.Records.push_back(shard::JobStopped{"j" + Token});
    return Out;
  }
};

TEST_GROUP_BASE(WhenTheAnswerToAnAppendIsLost, TEST_GROUP_CppUTestGroupAnOwnedShard) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnedShard::setup();
    Table.Faults.ResponsesToLose = 1;
  }
};

TEST_GROUP_BASE(WhenAnotherEntryTookIt, TEST_GROUP_CppUTestGroupAnOwnedShard) {
  Member Other{.Name = "e2", .Incarnation = "i2"};
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnedShard::setup();
    CHECK(claimShard(Table, Owned, Other).has_value());
  }
};

TEST_GROUP_BASE(WithATeamsQuota, TEST_GROUP_CppUTestGroupAnOwnedShard) {
  table::Resources Quota{.MilliCores = 1'000, .MemoryMb = 1'000};
  shard::QuotaDemand Demand{.Wanted = {.MilliCores = 600, .MemoryMb = 10}};
};
// clang-format on

TEST(AnOwnedShard, ReadsBackWhatItWrote) {
  CHECK_FALSE(Store->append(group(1, "a")));
  CHECK_FALSE(Store->append(group(2, "b")));
  JournalStore Reader(Table, Table, Owned);
  auto Content = Reader.load();
  LONGS_EQUAL(2, Content->Rows.size());
  LONGS_EQUAL(2, Content->LastSequence);
}

TEST(AnOwnedShard, ACompactedJournalIsReadFromItsSnapshot) {
  CHECK_FALSE(Store->append(group(1, "a")));
  CHECK_FALSE(Store->append(group(2, "b")));
  CHECK_FALSE(Store->compact("snapshot-text", 2));
  CHECK_FALSE(Store->append(group(3, "c")));
  JournalStore Reader(Table, Table, Owned);
  auto Content = Reader.load();
  STRCMP_EQUAL("snapshot-text", Content->Snapshot.c_str());
  LONGS_EQUAL(1, Content->Rows.size());
  LONGS_EQUAL(3, Content->LastSequence);
}

TEST(WhenTheAnswerToAnAppendIsLost, TheGroupIsFoundWrittenAndNotDoubled) {
  CHECK_FALSE(Store->append(group(1, "a")));
  CHECK_FALSE(Store->append(group(2, "b")));
  LONGS_EQUAL(2, Table.scan("journal/")->size());
}

TEST(WhenTheAnswerToAnAppendIsLost, AndTheEntryDiesTheNextOwnerReadsIt) {
  CHECK_FALSE(Store->append(group(1, "a")));
  Store.reset();
  auto Next = claimShard(Table, *shardFromRow(*Table.read("shard/za.0")),
                         {.Name = "e2", .Incarnation = "i2"});
  JournalStore Reader(Table, Table, *Next);
  LONGS_EQUAL(1, Reader.load()->Rows.size());
}

TEST(WhenAnotherEntryTookIt, TheOldOwnerWritesNothing) {
  CHECK(Store->append(group(1, "a")) == Errc::Fenced);
  LONGS_EQUAL(0, Table.scan("journal/")->size());
  CHECK(Store->release() == Errc::Fenced);
}

TEST(WhenAnotherEntryTookIt, TheLoserOfTheRaceGetsNothing) {
  CHECK_FALSE(claimShard(Table, Owned, Self).has_value());
}

TEST(WithATeamsQuota, TheFirstShareOfATeamIsTaken) {
  auto Share = Store->moveShare("press", Quota, Demand);
  CHECK(static_cast<bool>(Share));
  LONGS_EQUAL(600, Share->MilliCores);
}

TEST(WithATeamsQuota, TwoShardsNeverHoldMoreThanTheQuota) {
  Shard Second = *claimShard(Table, {.Id = "za.1"}, Self);
  JournalStore Other(Table, Table, Second);
  LONGS_EQUAL(600, Store->moveShare("press", Quota, Demand)->MilliCores);
  LONGS_EQUAL(400, Other.moveShare("press", Quota, Demand)->MilliCores);
}

TEST(WithATeamsQuota, AShareThatIsGivenBackIsNotTakenBackByALateWrite) {
  CHECK(static_cast<bool>(Store->moveShare("press", Quota, Demand)));
  Table.Faults.ResponsesToLose = 1;
  shard::QuotaDemand Less{.Wanted = {.MilliCores = 100, .MemoryMb = 10}};
  CHECK_FALSE(static_cast<bool>(Store->moveShare("press", Quota, Less)));
  uint64_t Before = Table.CommitCount;
  LONGS_EQUAL(100, Store->moveShare("press", Quota, Less)->MilliCores);
  CHECK(Table.CommitCount > Before); // Settled by a write, not by a look.
}
