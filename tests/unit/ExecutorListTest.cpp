#include "node/ExecutorList.h"
#include "platform/PlatformPorts.h"
#include "unit/RandomJson.h"

#include <deque>
#include <limits>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::node;

namespace {

/// Answers full reads at once, and feed reads when the test calls answerFeed.
class FakeListStore final : public store::RowStore {
public:
  void commit(const store::Transaction &, store::TransactionDone) override {}
  void read(const store::RangeRead &Range, store::ReadDone Done) override {
    ++Reads;
    if (Unavailable) {
      Done(Errc::NotReady);
      return;
    }
    store::RowPage Page{.Version = Version};
    for (const store::Row &Row : Rows) {
      if (Row.Key < Range.From)
        continue;
      Page.HasMore = Page.Rows.size() == MaxPageRows;
      if (Page.HasMore)
        break;
      Page.Rows.push_back(Row);
    }
    Done(std::move(Page));
  }
  void readChanges(const store::ChangeQuery &Query,
                   store::ChangesDone Done) override {
    LastQuery = Query;
    PendingFeed = std::move(Done);
  }

  void putExecutor(const std::string &Id, bool Draining, int64_t Born = 0) {
    putRow(Id, R"({"service":"s","address":"a:1","zone":"z",)"
               R"("capacity":{},"labels":[],"state":")" +
                   std::string(Draining ? "draining" : "ready") +
                   "\",\"born\":" + std::to_string(Born) + "}");
  }
  void putRow(const std::string &Id, const std::string &Value) {
    std::erase_if(Rows, [&](const store::Row &Row) { return Row.Key == Id; });
    Rows.push_back({.Key = Id, .Value = Value, .Version = ++Version});
    std::sort(Rows.begin(), Rows.end(),
              [](const auto &Left, const auto &Right) {
                return Left.Key < Right.Key;
              });
  }
  void answerFeed(Result<store::ChangePage> Page) {
    auto Done = std::exchange(PendingFeed, nullptr);
    Done(std::move(Page));
  }

  std::vector<store::Row> Rows;
  uint64_t Version = 10;
  size_t MaxPageRows = 500;
  bool Unavailable = false;
  size_t Reads = 0;
  store::ChangeQuery LastQuery;
  store::ChangesDone PendingFeed;
};

constexpr Millis PastReadInterval{1'000};

} // namespace

// clang-format off
TEST_GROUP(AnOwnerFollowingTheInstanceList) {
  FakeListStore Store;
  platform::PlatformDocumentCodec Codec;
  Timers TimerQueue;
  ExecutorList List{Store, Codec, TimerQueue, [](int64_t) {}};
  TimePoint Started = monotonicNow();
  void setup() override {
    Store.putExecutor("i-1", false);
    Store.putExecutor("i-2", false);
    List.start();
    LONGS_EQUAL(2, List.takeChanges()->size());
  }
  void runNextFullRead() { TimerQueue.runDue(monotonicNow() + PastReadInterval); }
};

TEST_GROUP_BASE(WhenAnExecutorStartsDraining, TEST_GROUP_CppUTestGroupAnOwnerFollowingTheInstanceList) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerFollowingTheInstanceList::setup();
    Store.putExecutor("i-1", true);
  }
};
TEST_GROUP_BASE(WhenAnotherWriterLeavesAnOddEntry, TEST_GROUP_CppUTestGroupAnOwnerFollowingTheInstanceList) {
  /// The ids listed after the feed has told of the newest rows.
  std::string listedAfterFeed() {
    Store.answerFeed(store::ChangePage{.Rows = Store.Rows, .Version = Store.Version});
    return listed();
  }
  std::string listed() {
    std::string Ids;
    for (const auto &Info : List.takeChanges().value_or(std::vector<executor::ExecutorInfo>{}))
      Ids += Info.Id + " ";
    return Ids;
  }
};
// clang-format on

TEST(AnOwnerFollowingTheInstanceList, TheListIsConfirmedOnlyByAFullRead) {
  CHECK(List.confirmedAt() >= Started);
  TimePoint Before = List.confirmedAt();
  Store.answerFeed(store::ChangePage{.Version = 40});
  CHECK(List.confirmedAt() == Before);
  runNextFullRead();
  CHECK(List.confirmedAt() > Before);
}

TEST(AnOwnerFollowingTheInstanceList,
     NothingIsConfirmedWhileTheStoreIsUnavailable) {
  TimePoint Before = List.confirmedAt();
  Store.Unavailable = true;
  runNextFullRead();
  CHECK(List.confirmedAt() == Before);
  Store.Unavailable = false;
  runNextFullRead();
  CHECK(List.confirmedAt() > Before);
}

TEST(AnOwnerFollowingTheInstanceList, AListOfManyPagesIsReadToItsEnd) {
  Store.MaxPageRows = 2;
  for (int I = 3; I <= 7; ++I)
    Store.putExecutor("i-" + std::to_string(I), false);
  runNextFullRead();
  LONGS_EQUAL(7, List.takeChanges()->size());
  Store.Rows.erase(Store.Rows.begin() + 3);
  ++Store.Version;
  runNextFullRead();
  LONGS_EQUAL(6, List.takeChanges()->size());
}

TEST(WhenAnExecutorStartsDraining, TheFeedReportsItAtOnce) {
  Store.answerFeed(
      store::ChangePage{.Rows = {Store.Rows.front()}, .Version = 13});
  CHECK_TRUE(List.takeChanges()->front().Draining);
}

TEST(WhenAnExecutorStartsDraining, AFullReadFindsItIfTheFeedSkipsIt) {
  Store.answerFeed(store::ChangePage{.Version = Store.Version});
  CHECK_FALSE(List.takeChanges().has_value());
  runNextFullRead();
  CHECK_TRUE(List.takeChanges()->front().Draining);
}

TEST(WhenAnExecutorStartsDraining, AnEmptyAnswerDoesNotMoveTheFeedPastIt) {
  Store.answerFeed(store::ChangePage{.Version = Store.Version});
  CHECK(Store.LastQuery.After < Store.Version);
}

TEST(WhenAnExecutorStartsDraining, AnOlderChangeDoesNotRevertIt) {
  store::Row OldRow{.Key = "i-1", .Value = Store.Rows[1].Value, .Version = 11};
  runNextFullRead();
  CHECK_TRUE(List.takeChanges()->front().Draining);
  Store.answerFeed(store::ChangePage{.Rows = {OldRow}, .Version = 11});
  CHECK_FALSE(List.takeChanges().has_value());
}

TEST(WhenAnExecutorStartsDraining, AnOlderChangeDoesNotRestoreARemovedOne) {
  Store.Rows.erase(Store.Rows.begin());
  ++Store.Version;
  runNextFullRead();
  LONGS_EQUAL(1, List.takeChanges()->size());
  store::Row OldRow{.Key = "i-1", .Value = Store.Rows[0].Value, .Version = 12};
  Store.answerFeed(store::ChangePage{.Rows = {OldRow}, .Version = 12});
  CHECK_FALSE(List.takeChanges().has_value());
}

/// Guards against a list that is no longer followed.
TEST(WhenAnotherWriterLeavesAnOddEntry, TheOthersAreFollowedAsBefore) {
  for (const std::string &Odd :
       {std::string("\xff\xfe"), std::string(100'000, '['), std::string("{}"),
        std::string()}) {
    Store.putRow("i-0", Odd);
    Store.putExecutor("i-3", false);
    STRCMP_EQUAL("i-1 i-2 i-3 ", listedAfterFeed().c_str());
    Store.putExecutor("i-3", true);
    STRCMP_EQUAL("i-1 i-2 i-3 ", listedAfterFeed().c_str());
    runNextFullRead();
    STRCMP_EQUAL("", listed().c_str());
  }
}

/// Guards against an id that stays unused after its odd entry was mended.
TEST(WhenAnotherWriterLeavesAnOddEntry, TheIdIsListedAgainOnceItIsSound) {
  Store.putRow("i-1", "{}");
  STRCMP_EQUAL("i-2 ", listedAfterFeed().c_str());
  Store.putExecutor("i-1", false);
  STRCMP_EQUAL("i-1 i-2 ", listedAfterFeed().c_str());
}

/// Guards against a start time after which each real start under the id counts
/// as an earlier one, and which ends the runs of the real executor.
TEST(WhenAnotherWriterLeavesAnOddEntry, AStartFarAheadIsNone) {
  int64_t NowMs = wallMicros() / 1'000;
  constexpr int64_t MinuteMs = 60'000;
  for (int64_t Born : {std::numeric_limits<int64_t>::max(),
                       NowMs + 120 * MinuteMs, NowMs * 1'000}) {
    Store.putExecutor("i-1", false, Born);
    STRCMP_EQUAL("i-2 ", listedAfterFeed().c_str());
    runNextFullRead();
    STRCMP_EQUAL("", listed().c_str());
  }
  // Wall clocks may differ.
  Store.putExecutor("i-1", false, NowMs + 10 * MinuteMs);
  STRCMP_EQUAL("i-1 i-2 ", listedAfterFeed().c_str());
}

/// Guards against entries that nobody thought of.
TEST(WhenAnotherWriterLeavesAnOddEntry, WhateverItIsTheOthersStayListed) {
  const char *Sound = R"({"service":"s","address":"a:1","zone":"z","born":5,
      "capacity":{"cpu":1000,"mem-mb":9},"labels":["a"],"state":"ready"})";
  constexpr uint32_t MaxAmount = 100'000'000;
  CHECK(rc::check("entries", [&] {
    for (int I = 0; I < 10; ++I) {
      Store.putRow("i-0", test::oddVersionOf(Sound));
      Store.answerFeed(
          store::ChangePage{.Rows = Store.Rows, .Version = Store.Version});
      auto Infos = List.takeChanges();
      RC_ASSERT(Infos.has_value());
      bool IsUsed = Infos->front().Id == "i-0";
      RC_ASSERT(Infos->size() == (IsUsed ? 3U : 2U));
      RC_ASSERT(Infos->back().Id == "i-2");
      RC_ASSERT(Infos->front().Capacity.MilliCores <= MaxAmount);
      RC_ASSERT(Infos->front().Capacity.MemoryMb <= MaxAmount);
      RC_ASSERT(Infos->front().Address != "10.0.0.1:99999");
    }
  }));
}
