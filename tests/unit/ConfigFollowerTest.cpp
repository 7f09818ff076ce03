#include "node/ConfigFollower.h"
#include "platform/PlatformPorts.h"
#include "unit/CapturedOutput.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::node;

namespace {

/// Holds calls until the test answers them.
class HeldStore final : public store::RowStore {
public:
  void commit(const store::Transaction &, store::TransactionDone) override {}
  void read(const store::RangeRead &, store::ReadDone Done) override {
    PendingRead = std::move(Done);
  }
  void readChanges(const store::ChangeQuery &Query,
                   store::ChangesDone Done) override {
    LastQuery = Query;
    PendingFeed = std::move(Done);
  }
  void answerRead(Result<store::RowPage> Page) {
    std::exchange(PendingRead, nullptr)(std::move(Page));
  }
  void answerFeed(Result<store::ChangePage> Page) {
    std::exchange(PendingFeed, nullptr)(std::move(Page));
  }

  store::ReadDone PendingRead;
  store::ChangesDone PendingFeed;
  store::ChangeQuery LastQuery;
};

store::Row configRow(uint64_t ConfigVersion, uint64_t RowVersion) {
  return {.Key = "config",
          .Value = fmt::format(R"({{"version":{},"routes":[],"services":[]}})",
                               ConfigVersion),
          .Version = RowVersion};
}

constexpr Millis PastRetryDelay{1'000};

} // namespace

// clang-format off
TEST_GROUP(AnEntryThatFollowsTheConfiguration) {
  platform::PlatformPorts Ports{{}};
  EntryContext Context{config::CellSettings{}, "1", Ports};
  HeldStore Store;
  Timers TimerQueue;
  ConfigFollower Follower{Context, Store, TimerQueue};

  void setup() override {
    Follower.start();
    Store.answerRead(store::RowPage{.Rows = {configRow(3, 40)}, .Version = 50});
  }
  uint64_t version() const { return Context.Config.current()->Version; }
};

TEST_GROUP_BASE(WhenItsFeedIsLost, TEST_GROUP_CppUTestGroupAnEntryThatFollowsTheConfiguration) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnEntryThatFollowsTheConfiguration::setup();
    Store.answerFeed(Errc::Timeout);
  }
  void retry() { TimerQueue.runDue(monotonicNow() + PastRetryDelay); }
};
// clang-format on

TEST(AnEntryThatFollowsTheConfiguration, AppliesWhatItReadsAndWhatChanges) {
  LONGS_EQUAL(3, version());
  LONGS_EQUAL(50, Store.LastQuery.After);
  Store.answerFeed(store::ChangePage{.Rows = {configRow(7, 60)}});
  LONGS_EQUAL(7, version());
  LONGS_EQUAL(60, Store.LastQuery.After);
}

TEST(AnEntryThatFollowsTheConfiguration, KeepsTheNewestVersion) {
  Store.answerFeed(store::ChangePage{.Rows = {configRow(7, 60)}});
  Store.answerFeed(store::ChangePage{.Rows = {configRow(5, 61)}});
  LONGS_EQUAL(7, version());
}

TEST(AnEntryThatFollowsTheConfiguration, KeepsItsOwnIfANewOneIsUnreadable) {
  store::Row Unreadable{.Key = "config", .Value = "{", .Version = 60};
  Store.answerFeed(store::ChangePage{.Rows = {Unreadable}});
  LONGS_EQUAL(3, version());
  Store.answerFeed(store::ChangePage{.Rows = {configRow(7, 61)}});
  LONGS_EQUAL(7, version());
}

TEST(WhenItsFeedIsLost, ItReadsTheConfigurationUntilItHasIt) {
  constexpr int FailedReads = 3;
  for (int I = 0; I < FailedReads; ++I) {
    retry();
    Store.answerRead(Errc::Timeout);
  }
  LONGS_EQUAL(3, version());
  retry();
  Store.answerRead(store::RowPage{.Rows = {configRow(9, 70)}, .Version = 80});
  LONGS_EQUAL(9, version());
  LONGS_EQUAL(80, Store.LastQuery.After);
}

/// Guards against a withdrawn key that is taken for longer than allowed: a page
/// without rows may miss what changed while it was awaited.
TEST(AnEntryThatFollowsTheConfiguration, IsConfirmedAsOfWhenItAsked) {
  TimePoint AskedBefore = monotonicNow();
  CHECK(Context.ConfirmedConfig.confirmedAt() > TimePoint{});
  CHECK(Context.ConfirmedConfig.confirmedAt() <= AskedBefore);
  Store.answerFeed(store::ChangePage{});
  CHECK(Context.ConfirmedConfig.confirmedAt() <= AskedBefore);
  TimePoint AskedAgain = monotonicNow();
  Store.answerFeed(store::ChangePage{});
  CHECK(Context.ConfirmedConfig.confirmedAt() <= AskedAgain);
  CHECK(Context.ConfirmedConfig.confirmedAt() >= AskedBefore);
}

TEST(WhenItsFeedIsLost, ItIsNotConfirmedUntilARead) {
  TimePoint LastConfirmed = Context.ConfirmedConfig.confirmedAt();
  retry();
  Store.answerRead(Errc::Timeout);
  CHECK(Context.ConfirmedConfig.confirmedAt() == LastConfirmed);
  retry();
  Store.answerRead(store::RowPage{.Rows = {configRow(3, 40)}, .Version = 80});
  CHECK(Context.ConfirmedConfig.confirmedAt() > LastConfirmed);
}

/// Guards against a key that is in a log.
TEST(AnEntryThatFollowsTheConfiguration, NamesTheFieldThatItCannotRead) {
  store::Row Odd = configRow(7, 60);
  Odd.Value = R"({"version":7,"routes":[],"services":[],"tenants":[
      {"name":"a","api-keys":["secret"]},{"name":"b","api-keys":["secret"]}]})";
  auto LinesWith = [&](const char *Text) {
    CapturedOutput Output;
    Store.answerFeed(store::ChangePage{.Rows = {Odd}});
    return Output.countLinesWith(Text);
  };
  LONGS_EQUAL(1, LinesWith("field=tenants[1].api-keys[0]"));
  LONGS_EQUAL(0, LinesWith("secret"));
  LONGS_EQUAL(3, version());
}
