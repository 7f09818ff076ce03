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
  ShardRow OwnedShard;
  void setup() override {
    OwnedShard = *acquireShard(Table, {.Id = "za.0"}, Self);
    Store = std::make_unique<JournalStore>(Table, Table, OwnedShard);
    CHECK(static_cast<bool>(Store->load()));
  }
  static shard::JournalGroup group(uint64_t Sequence, const std::string &Token) {
    shard::JournalGroup Group{.Sequence = Sequence};
    Group.Row.Token = Token;
    Group.Row.Records.push_back(shard::JobStopped{"j" + Token});
    return Group;
  }
};

TEST_GROUP_BASE(WhenTheAnswerToAnAppendIsLost, TEST_GROUP_CppUTestGroupAnOwnedShard) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnedShard::setup();
    Table.Faults.ResponsesToLose = 1;
  }
};

TEST_GROUP_BASE(WhenAnotherEntryAcquiredTheShard, TEST_GROUP_CppUTestGroupAnOwnedShard) {
  Member OtherEntry{.Name = "e2", .Incarnation = "i2"};
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnedShard::setup();
    CHECK(acquireShard(Table, OwnedShard, OtherEntry).has_value());
  }
};

TEST_GROUP_BASE(WithATeamsQuota, TEST_GROUP_CppUTestGroupAnOwnedShard) {
  table::Resources Quota{.MilliCores = 1'000, .MemoryMb = 1'000};
  shard::QuotaDemand Demand{.Wanted = {.MilliCores = 600, .MemoryMb = 10}};
};
// clang-format on

TEST(AnOwnedShard, LoadsWhatItAppended) {
  CHECK_FALSE(Store->append(group(1, "a")));
  CHECK_FALSE(Store->append(group(2, "b")));
  JournalStore Reader(Table, Table, OwnedShard);
  auto Content = Reader.load();
  LONGS_EQUAL(2, Content->Rows.size());
  LONGS_EQUAL(2, Content->LastSequence);
}

TEST(AnOwnedShard, ACompactedJournalIsLoadedFromItsSnapshot) {
  CHECK_FALSE(Store->append(group(1, "a")));
  CHECK_FALSE(Store->append(group(2, "b")));
  CHECK_FALSE(Store->compact("snapshot-text", 2));
  CHECK_FALSE(Store->append(group(3, "c")));
  JournalStore Reader(Table, Table, OwnedShard);
  auto Content = Reader.load();
  STRCMP_EQUAL("snapshot-text", Content->Snapshot.c_str());
  LONGS_EQUAL(1, Content->Rows.size());
  LONGS_EQUAL(3, Content->LastSequence);
}

TEST(WhenTheAnswerToAnAppendIsLost, TheGroupIsWrittenOnce) {
  CHECK_FALSE(Store->append(group(1, "a")));
  CHECK_FALSE(Store->append(group(2, "b")));
  LONGS_EQUAL(2, Table.scan("journal/")->size());
}

TEST(WhenTheAnswerToAnAppendIsLost, ANewOwnerStillReadsTheGroup) {
  CHECK_FALSE(Store->append(group(1, "a")));
  Store.reset();
  auto NextShard = acquireShard(Table, *shardFromRow(*Table.read("shard/za.0")),
                                {.Name = "e2", .Incarnation = "i2"});
  JournalStore Reader(Table, Table, *NextShard);
  LONGS_EQUAL(1, Reader.load()->Rows.size());
}

TEST(WhenAnotherEntryAcquiredTheShard, TheOldOwnerWritesNothing) {
  CHECK(Store->append(group(1, "a")) == Errc::Fenced);
  LONGS_EQUAL(0, Table.scan("journal/")->size());
  CHECK(Store->release() == Errc::Fenced);
}

TEST(WhenAnotherEntryAcquiredTheShard, AcquiringItAtAnOldVersionFails) {
  CHECK_FALSE(acquireShard(Table, OwnedShard, Self).has_value());
}

TEST(WithATeamsQuota, TheFirstShareIsGranted) {
  auto Share = Store->adjustShare("press", Quota, Demand);
  CHECK(static_cast<bool>(Share));
  LONGS_EQUAL(600, Share->MilliCores);
}

TEST(WithATeamsQuota, TwoShardsNeverHoldMoreThanTheQuota) {
  ShardRow SecondShard = *acquireShard(Table, {.Id = "za.1"}, Self);
  JournalStore SecondStore(Table, Table, SecondShard);
  LONGS_EQUAL(600, Store->adjustShare("press", Quota, Demand)->MilliCores);
  LONGS_EQUAL(400, SecondStore.adjustShare("press", Quota, Demand)->MilliCores);
}

TEST(WithATeamsQuota, ALateWriteDoesNotRestoreAReturnedShare) {
  CHECK(static_cast<bool>(Store->adjustShare("press", Quota, Demand)));
  Table.Faults.ResponsesToLose = 1;
  shard::QuotaDemand ReducedDemand{
      .Wanted = {.MilliCores = 100, .MemoryMb = 10}};
  CHECK_FALSE(
      static_cast<bool>(Store->adjustShare("press", Quota, ReducedDemand)));
  uint64_t CommitsBefore = Table.CommitCount;
  LONGS_EQUAL(100,
              Store->adjustShare("press", Quota, ReducedDemand)->MilliCores);
  CHECK(Table.CommitCount >
        CommitsBefore); // Resolved by a write, not by a read.
}
