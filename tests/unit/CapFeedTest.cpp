#include "node/CapFeed.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;

namespace {

/// Keeps the calls until the test answers them.
struct HeldStore final : store::RowStore {
  std::vector<std::pair<store::RangeRead, store::ReadDone>> Reads;
  std::vector<std::pair<store::ChangeQuery, store::ChangesDone>> Feeds;

  void commit(const store::Transaction &, store::TransactionDone) override {}
  void read(const store::RangeRead &Request, store::ReadDone Done) override {
    Reads.emplace_back(Request, std::move(Done));
  }
  void readChanges(const store::ChangeQuery &Query,
                   store::ChangesDone Done) override {
    Feeds.emplace_back(Query, std::move(Done));
  }
  void answerRead(const Result<store::RowPage> &Page) {
    auto Done = std::move(Reads.back().second);
    Reads.pop_back();
    Done(Page);
  }
};

std::shared_ptr<const cell::CellConfig>
configOf(uint64_t Version, std::vector<std::string> Services,
         const Resources &Cap) {
  auto Config = std::make_shared<cell::CellConfig>();
  Config->Version = Version;
  Config->Services = std::move(Services);
  Config->Workspaces.push_back({.Name = "w", .Cap = Cap});
  return Config;
}

} // namespace

// clang-format off
TEST_GROUP(AnOwnerOfOneOfTwoServices) {
  HeldStore Store;
  Timers TimerQueue;
  std::shared_ptr<const cell::CellConfig> Config =
      configOf(1, {"s", "t"}, {.MilliCores = 8'000});
  cell::CellOwner Owner{{.Service = "s"}, Config};
  size_t Changes = 0;
  node::CapFeed Feed{"s", Owner, Store, TimerQueue, [](int64_t) {},
                     [this] { ++Changes; }};

  void follow(std::shared_ptr<const cell::CellConfig> NewConfig) {
    Config = std::move(NewConfig);
    Owner.setConfig(Config);
    Feed.follow(Config);
  }
};

TEST_GROUP_BASE(WithASharedCap, TEST_GROUP_CppUTestGroupAnOwnerOfOneOfTwoServices) {
  void setup() override {
    Feed.follow(Config);
  }
};
// clang-format on

TEST(AnOwnerOfOneOfTwoServices, ReadsNothingWithoutCaps) {
  follow(configOf(2, {"s", "t"}, {}));
  LONGS_EQUAL(0, Store.Reads.size() + Store.Feeds.size());
}

TEST(AnOwnerOfOneOfTwoServices, ReadsNothingIfThereIsNoOtherService) {
  follow(configOf(2, {"s"}, {.MilliCores = 8'000}));
  LONGS_EQUAL(0, Store.Reads.size() + Store.Feeds.size());
}

TEST(WithASharedCap, ReadsItsOwnRowLast) {
  STRCMP_EQUAL("t", Store.Reads.back().first.Partition.c_str());
  Store.answerRead(store::RowPage{.Version = 5});
  CHECK_FALSE(Owner.capsRestored());
  STRCMP_EQUAL("s", Store.Reads.back().first.Partition.c_str());
  Store.answerRead(store::RowPage{.Version = 9});
  CHECK(Owner.capsRestored());
  LONGS_EQUAL(1, Store.Feeds.size());
  LONGS_EQUAL(5, Store.Feeds.back().first.After);
  LONGS_EQUAL(1, Changes);
}

TEST(WithASharedCap, ReadsAllAgainIfTheFeedIsLost) {
  Store.answerRead(store::RowPage{.Version = 5});
  Store.answerRead(store::RowPage{.Version = 5});
  auto Lost = std::move(Store.Feeds.back().second);
  Lost(Errc::HistoryGone);
  CHECK(Store.Reads.empty());
  TimerQueue.runDue(monotonicNow() + Millis(1'000));
  STRCMP_EQUAL("t", Store.Reads.back().first.Partition.c_str());
}

TEST(WithASharedCap, IsNotRestoredByAReadThatFailed) {
  Store.answerRead(Errc::Timeout);
  CHECK_FALSE(Owner.capsRestored());
  TimerQueue.runDue(monotonicNow() + Millis(1'000));
  LONGS_EQUAL(1, Store.Reads.size());
}

TEST(WithASharedCap, IgnoresLateAnswersOnceNoCapIsShared) {
  follow(configOf(2, {"s", "t"}, {}));
  Store.answerRead(store::RowPage{.Version = 5});
  LONGS_EQUAL(0, Store.Reads.size() + Store.Feeds.size());
}
