#include "entry/CreditLoop.h"
#include "entry/RecordLoop.h"
#include "standin/MemoryTable.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::entry;

// clang-format off
TEST_GROUP(ARecordWriter) {
  standin::MemoryTable Table;
  RecordWriter Writer{Table};
  static RecordCall call(RecordOperation Operation, uint64_t Id, const std::string &Key, const std::string &Token) {
    RecordCall Call{.Operation = Operation, .Id = Id, .Key = "request/s/" + Key};
    Call.Record.Token = Token;
    return Call;
  }
  RecordReply writeOne(RecordCall Call) {
    auto Replies = Writer.write({std::move(Call)});
    LONGS_EQUAL(1, Replies.size());
    return Replies.front();
  }
};

TEST_GROUP_BASE(WithAReservedKey, TEST_GROUP_CppUTestGroupARecordWriter) {
  void setup() override {
    CHECK(writeOne(call(RecordOperation::Reserve, 1, "k", "first")).Status == RecordStatus::Done);
  }
  RecordCall completion() {
    RecordCall Call = call(RecordOperation::Complete, 1, "k", "first");
    Call.Record.Answered = true;
    Call.Record.Answer = {.Status = 200, .Body = std::string("\0\xff", 2)};
    return Call;
  }
};

TEST_GROUP(ACreditWrite) {
  standin::MemoryTable Table;
  policy::CreditTable NewTable;
  void setup() override {
    table::Mutation Write{.Key = "c", .Value = "old"};
    CHECK(static_cast<bool>(Table.commit({&Write, 1})));
    NewTable.Endpoints["e"].Slots = 8;
  }
};
// clang-format on

TEST(ARecordWriter, WritesManyKeysInOneTransaction) {
  std::vector<RecordCall> Calls;
  for (uint64_t I = 0; I < 40; ++I)
    Calls.push_back(call(RecordOperation::Reserve, I, std::to_string(I), "t"));
  LONGS_EQUAL(40, Writer.write(std::move(Calls)).size());
  LONGS_EQUAL(1, Table.CommitCount);
}

TEST(ARecordWriter, ResolvesALostAnswerByReadingBack) {
  Table.Faults.ResponsesToLose = 1;
  CHECK(writeOne(call(RecordOperation::Reserve, 1, "k", "a")).Status ==
        RecordStatus::Done);
}

TEST(ARecordWriter, ReservesNothingWhileTheTableIsUnavailable) {
  Table.Faults.Unreachable = true;
  CHECK(writeOne(call(RecordOperation::Reserve, 1, "k", "a")).Status ==
        RecordStatus::Unavailable);
}

TEST(WithAReservedKey, ASecondTryFindsTheReservation) {
  RecordReply Reply =
      writeOne(call(RecordOperation::Reserve, 2, "k", "second"));
  CHECK(Reply.Status == RecordStatus::Exists);
  CHECK_FALSE(Reply.EarlierRecord.Answered);
}

TEST(WithAReservedKey, AConflictDoesNotBlockOtherReservationsOfTheGroup) {
  auto Replies =
      Writer.write({call(RecordOperation::Reserve, 2, "k", "second"),
                    call(RecordOperation::Reserve, 3, "other", "third")});
  LONGS_EQUAL(2, Replies.size());
  for (const RecordReply &Reply : Replies)
    CHECK((Reply.Id == 2) == (Reply.Status == RecordStatus::Exists));
}

TEST(WithAReservedKey, ASecondTryGetsTheStoredAnswerByteForByte) {
  writeOne(completion());
  RecordReply Reply =
      writeOne(call(RecordOperation::Reserve, 2, "k", "second"));
  CHECK(Reply.EarlierRecord.Answered);
  CHECK(Reply.EarlierRecord.Answer.Body == std::string("\0\xff", 2));
}

TEST(WithAReservedKey, AnAnswerIsStoredAfterAnOutage) {
  Table.Faults.Unreachable = true;
  LONGS_EQUAL(0, Writer.write({completion()}).size());
  LONGS_EQUAL(1, Writer.backlog());
  Table.Faults.Unreachable = false;
  Writer.write({});
  CHECK(writeOne(call(RecordOperation::Lookup, 2, "k", "second"))
            .EarlierRecord.Answered);
}

TEST(WithAReservedKey, AReleasedKeyIsFree) {
  writeOne(call(RecordOperation::Release, 1, "k", "first"));
  CHECK(writeOne(call(RecordOperation::Lookup, 2, "k", "x")).Status ==
        RecordStatus::Done);
}

TEST(ACreditWrite, ReturnsTheNewRow) {
  uint64_t Version = Table.read("c")->Version;
  auto Row = writeCreditTable(Table, "c", NewTable, Version);
  CHECK(Row->Version > Version);
}

TEST(ACreditWrite, ReturnsTheStoredRowAfterALostAnswer) {
  Table.Faults.ResponsesToLose = 1;
  auto Row = writeCreditTable(Table, "c", NewTable, Table.read("c")->Version);
  CHECK(Row->Value == creditTableToText(NewTable));
}

namespace {

/// A table whose first commit times out and is applied when the test says so.
class DelayedTable final : public table::Table {
public:
  explicit DelayedTable(standin::MemoryTable &Inner) : Inner(Inner) {}
  Result<table::Row> read(std::string_view Key) override {
    return Inner.read(Key);
  }
  Result<std::vector<table::Row>> scan(std::string_view Prefix) override {
    return Inner.scan(Prefix);
  }
  Result<table::CommitResult>
  commit(std::span<const table::Mutation> Mutations) override {
    if (!DelayedMutations.empty())
      return Inner.commit(Mutations);
    DelayedMutations.assign(Mutations.begin(), Mutations.end());
    return Errc::Timeout;
  }
  bool applyDelayedCommit() {
    return Inner.commit(DelayedMutations)->Committed;
  }

private:
  standin::MemoryTable &Inner;
  std::vector<table::Mutation> DelayedMutations;
};

} // namespace

TEST(ACreditWrite, HasNoEffectIfItArrivesAfterItWasResolved) {
  DelayedTable Delayed(Table);
  auto Row = writeCreditTable(Delayed, "c", NewTable, Table.read("c")->Version);
  CHECK(Row->Value == "old");
  CHECK_FALSE(Delayed.applyDelayedCommit());
  CHECK(Table.read("c")->Value == "old");
}
