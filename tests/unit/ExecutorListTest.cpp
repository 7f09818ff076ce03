#include "node/ExecutorList.h"
#include "platform/PlatformPorts.h"

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::node;

namespace {

/// Answers whole reads at once, and the feed when the test says so.
class ListStore final : public store::RowStore {
public:
  void commit(const store::Transaction &, store::TransactionDone) override {}
  void read(const store::RangeRead &What, store::ReadDone Done) override {
    ++Reads;
    if (Down) {
      Done(Errc::NotReady);
      return;
    }
    store::RowPage Page{.Version = Version};
    for (const store::Row &Each : Rows) {
      if (Each.Key < What.From)
        continue;
      Page.HasMore = Page.Rows.size() == PageRows;
      if (Page.HasMore)
        break;
      Page.Rows.push_back(Each);
    }
    Done(std::move(Page));
  }
  void readChanges(const store::ChangeQuery &What,
                   store::ChangesDone Done) override {
    Asked = What;
    Feed = std::move(Done);
  }

  void put(const std::string &Id, bool Draining) {
    std::erase_if(Rows, [&](const store::Row &Each) { return Each.Key == Id; });
    Rows.push_back({.Key = Id,
                    .Value = R"({"service":"s","address":"a:1","zone":"z",)"
                             R"("capacity":{},"labels":[],"state":")" +
                             std::string(Draining ? "draining" : "ready") +
                             "\"}",
                    .Version = ++Version});
    std::sort(Rows.begin(), Rows.end(),
              [](const auto &A, const auto &B) { return A.Key < B.Key; });
  }
  void answerFeed(Result<store::ChangePage> Page) {
    auto Done = std::exchange(Feed, nullptr);
    Done(std::move(Page));
  }

  std::vector<store::Row> Rows;
  uint64_t Version = 10;
  size_t PageRows = 500;
  bool Down = false;
  size_t Reads = 0;
  store::ChangeQuery Asked;
  store::ChangesDone Feed;
};

constexpr Millis PastTheInterval{1'000};

} // namespace

// clang-format off
TEST_GROUP(AnOwnerThatFollowsTheList) {
  ListStore Store;
  platform::PlatformDocuments Texts;
  Timers Later;
  ExecutorList List{Store, Texts, Later, [](int64_t) {}};
  TimePoint Started = monotonicNow();
  void setup() override {
    Store.put("i-1", false);
    Store.put("i-2", false);
    List.start();
    LONGS_EQUAL(2, List.changes()->size());
  }
  void nextWholeRead() { Later.runDue(monotonicNow() + PastTheInterval); }
};

TEST_GROUP_BASE(WhenOneBeginsToDrain, TEST_GROUP_CppUTestGroupAnOwnerThatFollowsTheList) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOwnerThatFollowsTheList::setup();
    Store.put("i-1", true);
  }
};
// clang-format on

TEST(AnOwnerThatFollowsTheList, ItIsConfirmedByAWholeReadOnly) {
  CHECK(List.confirmed() >= Started);
  TimePoint Before = List.confirmed();
  Store.answerFeed(store::ChangePage{.Version = 40});
  CHECK(List.confirmed() == Before);
  nextWholeRead();
  CHECK(List.confirmed() > Before);
}

TEST(AnOwnerThatFollowsTheList, NothingIsConfirmedWhileTheStoreIsAway) {
  TimePoint Before = List.confirmed();
  Store.Down = true;
  nextWholeRead();
  CHECK(List.confirmed() == Before);
  Store.Down = false;
  nextWholeRead();
  CHECK(List.confirmed() > Before);
}

TEST(AnOwnerThatFollowsTheList, AListOfManyPagesIsReadToItsEnd) {
  Store.PageRows = 2;
  for (int I = 3; I <= 7; ++I)
    Store.put("i-" + std::to_string(I), false);
  nextWholeRead();
  LONGS_EQUAL(7, List.changes()->size());
  Store.Rows.erase(Store.Rows.begin() + 3);
  ++Store.Version;
  nextWholeRead();
  LONGS_EQUAL(6, List.changes()->size());
}

TEST(WhenOneBeginsToDrain, TheFeedTellsItAtOnce) {
  Store.answerFeed(
      store::ChangePage{.Rows = {Store.Rows.front()}, .Version = 13});
  CHECK_TRUE(List.changes()->front().Draining);
}

TEST(WhenOneBeginsToDrain, AFeedThatLeavesItOutIsFoundOut) {
  Store.answerFeed(store::ChangePage{.Version = Store.Version});
  CHECK_FALSE(List.changes().has_value());
  nextWholeRead();
  CHECK_TRUE(List.changes()->front().Draining);
}

TEST(WhenOneBeginsToDrain, AnAnswerWithoutItDoesNotMoveTheFeedPastIt) {
  Store.answerFeed(store::ChangePage{.Version = Store.Version});
  CHECK(Store.Asked.After < Store.Version);
}

TEST(WhenOneBeginsToDrain, OlderNewsDoesNotBringItBack) {
  store::Row Old{.Key = "i-1", .Value = Store.Rows[1].Value, .Version = 11};
  nextWholeRead();
  CHECK_TRUE(List.changes()->front().Draining);
  Store.answerFeed(store::ChangePage{.Rows = {Old}, .Version = 11});
  CHECK_FALSE(List.changes().has_value());
}

TEST(WhenOneBeginsToDrain, OneThatHasLeftStaysAway) {
  Store.Rows.erase(Store.Rows.begin());
  ++Store.Version;
  nextWholeRead();
  LONGS_EQUAL(1, List.changes()->size());
  store::Row Old{.Key = "i-1", .Value = Store.Rows[0].Value, .Version = 12};
  Store.answerFeed(store::ChangePage{.Rows = {Old}, .Version = 12});
  CHECK_FALSE(List.changes().has_value());
}
