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
  static RecordCall call(RecordKind Kind, uint64_t Id, const std::string &Key, const std::string &Token) {
    RecordCall Out{.Kind = Kind, .Id = Id, .Key = "request/s/" + Key};
    Out.Record.Token = Token;
    return Out;
  }
  RecordReply one(RecordCall Call) {
    auto Replies = Writer.write({std::move(Call)});
    LONGS_EQUAL(1, Replies.size());
    return Replies.front();
  }
};

TEST_GROUP_BASE(WithAReservedKey, TEST_GROUP_CppUTestGroupARecordWriter) {
  void setup() override {
    CHECK(one(call(RecordKind::Reserve, 1, "k", "first")).Status == RecordStatus::Done);
  }
  RecordCall completion() {
    RecordCall Out = call(RecordKind::Complete, 1, "k", "first");
    Out.Record.Answered = true;
    Out.Record.Answer = {.Status = 200, .Body = std::string("\0\xff", 2)};
    return Out;
  }
};

TEST_GROUP(ACreditWrite) {
  standin::MemoryTable Table;
  policy::CreditTable Next;
  void setup() override {
    table::Mutation Put{.Key = "c", .Value = "old"};
    CHECK(static_cast<bool>(Table.commit({&Put, 1})));
    Next.Endpoints["e"].Slots = 8;
  }
};
// clang-format on

TEST(ARecordWriter, WritesManyKeysInOneTransaction) {
  std::vector<RecordCall> Calls;
  for (uint64_t I = 0; I < 40; ++I)
    Calls.push_back(call(RecordKind::Reserve, I, std::to_string(I), "t"));
  LONGS_EQUAL(40, Writer.write(std::move(Calls)).size());
  LONGS_EQUAL(1, Table.CommitCount);
}

TEST(ARecordWriter, ResolvesALostAnswerByReadingBack) {
  Table.Faults.ResponsesToLose = 1;
  CHECK(one(call(RecordKind::Reserve, 1, "k", "a")).Status ==
        RecordStatus::Done);
}

TEST(ARecordWriter, ReservesNothingWhileTheTableIsAway) {
  Table.Faults.Unreachable = true;
  CHECK(one(call(RecordKind::Reserve, 1, "k", "a")).Status ==
        RecordStatus::Unavailable);
}

TEST(WithAReservedKey, ASecondTryFindsIt) {
  RecordReply Reply = one(call(RecordKind::Reserve, 2, "k", "second"));
  CHECK(Reply.Status == RecordStatus::Exists);
  CHECK_FALSE(Reply.Earlier.Answered);
}

TEST(WithAReservedKey, ASecondTryBesideOthersFindsItAndTheOthersAreReserved) {
  auto Replies = Writer.write({call(RecordKind::Reserve, 2, "k", "second"),
                               call(RecordKind::Reserve, 3, "other", "third")});
  LONGS_EQUAL(2, Replies.size());
  for (const RecordReply &Each : Replies)
    CHECK((Each.Id == 2) == (Each.Status == RecordStatus::Exists));
}

TEST(WithAReservedKey, ASecondTryGetsTheStoredAnswerByteForByte) {
  one(completion());
  RecordReply Reply = one(call(RecordKind::Reserve, 2, "k", "second"));
  CHECK(Reply.Earlier.Answered);
  CHECK(Reply.Earlier.Answer.Body == std::string("\0\xff", 2));
}

TEST(WithAReservedKey, AnAnswerIsStoredAfterAnOutage) {
  Table.Faults.Unreachable = true;
  LONGS_EQUAL(0, Writer.write({completion()}).size());
  LONGS_EQUAL(1, Writer.backlog());
  Table.Faults.Unreachable = false;
  Writer.write({});
  CHECK(one(call(RecordKind::Lookup, 2, "k", "second")).Earlier.Answered);
}

TEST(WithAReservedKey, AReleasedKeyIsFree) {
  one(call(RecordKind::Release, 1, "k", "first"));
  CHECK(one(call(RecordKind::Lookup, 2, "k", "x")).Status ==
        RecordStatus::Done);
}

TEST(ACreditWrite, ThatIsWrittenReturnsTheNewRow) {
  uint64_t Version = Table.read("c")->Version;
  auto Row = settleCreditWrite(Table, "c", Next, Version);
  CHECK(Row->Version > Version);
}

TEST(ACreditWrite, WhoseAnswerIsLostReturnsTheRowThatStands) {
  Table.Faults.ResponsesToLose = 1;
  auto Row = settleCreditWrite(Table, "c", Next, Table.read("c")->Version);
  CHECK(Row->Value == creditTableToText(Next));
}

namespace {

/// A table whose first write is under way until the test lets it arrive.
class LateTable final : public table::Table {
public:
  explicit LateTable(standin::MemoryTable &Inner) : Inner(Inner) {}
  Result<table::Row> read(std::string_view Key) override {
    return Inner.read(Key);
  }
  Result<std::vector<table::Row>> scan(std::string_view Prefix) override {
    return Inner.scan(Prefix);
  }
  Result<table::CommitResult>
  commit(std::span<const table::Mutation> Mutations) override {
    if (!Held.empty())
      return Inner.commit(Mutations);
    Held.assign(Mutations.begin(), Mutations.end());
    return Errc::Timeout;
  }
  bool arrive() { return Inner.commit(Held)->Committed; }

private:
  standin::MemoryTable &Inner;
  std::vector<table::Mutation> Held;
};

} // namespace

TEST(ACreditWrite, ThatArrivesLateTakesNoEffectAfterItWasSettled) {
  LateTable Late(Table);
  auto Row = settleCreditWrite(Late, "c", Next, Table.read("c")->Version);
  CHECK(Row->Value == "old");
  CHECK_FALSE(Late.arrive());
  CHECK(Table.read("c")->Value == "old");
}
