#include "cell/FairOrder.h"
#include "cell/BacklogEstimate.h"
#include "cell/OwnerRow.h"
#include "cell/SendRate.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

constexpr TimePoint Start{Millis(1'000'000)};
constexpr uint32_t JobsPerSecond = 4;

} // namespace

// clang-format off
TEST_GROUP(AWorkspaceThatMaySendFourJobsASecond) {
  SendRate Rates;

  bool send(int64_t AfterMs) { return Rates.take("a", JobsPerSecond, Start + Millis(AfterMs)); }
  /// How many of \p Count jobs at once are within the rate.
  int sendAtOnce(int Count, int64_t AfterMs) {
    int Within = 0;
    for (int I = 0; I < Count; ++I)
      Within += send(AfterMs) ? 1 : 0;
    return Within;
  }
};

TEST_GROUP(AServiceOfFourWorkspaces) {
  static constexpr CapacitySum All{.MilliCores = 100'000, .MemoryMb = 100'000, .Accelerators = 10};
  FairOrder Order;
  std::map<std::string, Resources, std::less<>> Used;
  TimePoint Now = Start;

  FairOrder::WaitingByName waiting(std::initializer_list<const char *> Names) const {
    FairOrder::WaitingByName Waiting;
    for (const char *Name : Names)
      Waiting[Name] = {};
    return Waiting;
  }
  std::vector<FairOrder::Change> update(const FairOrder::WaitingByName &Waiting, bool IsFull = true) {
    auto UsedBy = [this](std::string_view Name) {
      auto Found = Used.find(Name);
      return Found == Used.end() ? Resources{} : Found->second;
    };
    return Order.update(Waiting, UsedBy, All, IsFull, Now);
  }
  void runFor(int64_t Ms, const FairOrder::WaitingByName &Waiting) {
    constexpr int64_t TurnMs = 50;
    for (int64_t Elapsed = 0; Elapsed < Ms; Elapsed += TurnMs) {
      update(Waiting);
      Now += Millis(TurnMs);
    }
  }
};

TEST_GROUP_BASE(WhenOneUsesMostOfIt, TEST_GROUP_CppUTestGroupAServiceOfFourWorkspaces) {
  void setup() override {
    Used["a"] = {.MilliCores = 80'000};
    runFor(1'000, waiting({"a", "b"}));
  }
};

/// It stops sending, and the service stays full of others' work.
TEST_GROUP_BASE(AndThenWaitsForNothing, TEST_GROUP_CppUTestGroupWhenOneUsesMostOfIt) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWhenOneUsesMostOfIt::setup();
    Used.clear();
    Used["b"] = {.MilliCores = 80'000};
  }
};

TEST_GROUP(ABacklog) {
  static constexpr Resources OneCore{.MilliCores = 1'000};
  static constexpr Resources OneAccelerator{.MilliCores = 1'000, .Accelerators = 1};
  BacklogEstimate Backlog;

  static BacklogEstimate::Item item(const char *Workspace, double RankMs, const Resources &Size, uint64_t Tasks) {
    return {.Class = {.NeedsAccelerators = Size.Accelerators > 0},
            .Queue = "q",
            .Workspace = Workspace,
            .RankMs = RankMs,
            .Work = workOf(Size, Tasks, Millis(1'000))};
  }
};
// clang-format on

/// Guards against a refusal of its next job for what it used long before.
TEST(AndThenWaitsForNothing, ItComesBackAsItsUseEnds) {
  CHECK_TRUE(Order.isBeyondShare("a"));
  runFor(500, waiting({"b"}));
  CHECK_TRUE(Order.isBeyondShare("a"));
  runFor(20'000, waiting({"b"}));
  CHECK_FALSE(Order.isBeyondShare("a"));
}

TEST(AWorkspaceThatMaySendFourJobsASecond, IsWithinItsRateAtAnEvenPace) {
  for (int64_t Ms = 0; Ms < 20'000; Ms += 250)
    CHECK_TRUE(send(Ms));
}

TEST(AWorkspaceThatMaySendFourJobsASecond, MaySendABurst) {
  LONGS_EQUAL(12, sendAtOnce(12, 0));
  CHECK_FALSE(send(0));
}

TEST(AWorkspaceThatMaySendFourJobsASecond, IsBeyondItAtFiveTimesThePace) {
  int Within = 0;
  for (int64_t Ms = 0; Ms < 20'000; Ms += 50)
    Within += send(Ms) ? 1 : 0;
  CHECK_TRUE(Within <= 12 + 20 * 4);
  CHECK_TRUE(Within >= 20 * 4);
}

TEST(AWorkspaceThatMaySendFourJobsASecond, MaySendAgainAfterAPause) {
  sendAtOnce(40, 0);
  LONGS_EQUAL(4, sendAtOnce(10, 1'000));
  LONGS_EQUAL(12, sendAtOnce(20, 60'000));
}

TEST(AWorkspaceThatMaySendFourJobsASecond, GainsNothingByJobsThatComeLate) {
  sendAtOnce(12, 10'000);
  CHECK_FALSE(send(9'000));
  CHECK_FALSE(send(10'000));
}

TEST(AWorkspaceThatMaySendFourJobsASecond, IsNotChargedForAJobThatIsNotStored) {
  sendAtOnce(12, 0);
  Rates.giveBack("a");
  CHECK_TRUE(send(0));
}

TEST(AWorkspaceThatMaySendFourJobsASecond, IsOneOfABoundedNumber) {
  for (size_t I = 0; I < 2 * SendRate::MaxBuckets; ++I)
    Rates.take(fmt::format("w{}", I), 1, Start + Millis(I));
  LONGS_EQUAL(SendRate::MaxBuckets, Rates.size());
}

TEST(WhenOneUsesMostOfIt, ItIsBeyondItsShareWhileOthersWait) {
  CHECK_TRUE(Order.isBeyondShare("a"));
  CHECK_FALSE(Order.isBeyondShare("b"));
}

TEST(WhenOneUsesMostOfIt, ItMayUseWhatNobodyWaitsFor) {
  runFor(1'000, waiting({"a"}));
  CHECK_FALSE(Order.isBeyondShare("a"));
}

TEST(WhenOneUsesMostOfIt, ItComesBackSecondsAfterItUsesLess) {
  Used["a"] = {.MilliCores = 10'000};
  runFor(1'000, waiting({"a", "b"}));
  CHECK_TRUE(Order.isBeyondShare("a"));
  runFor(10'000, waiting({"a", "b"}));
  CHECK_FALSE(Order.isBeyondShare("a"));
}

TEST(WhenOneUsesMostOfIt, NobodyIsBeyondOnceThereIsRoom) {
  Now += FairOrder::FullMemory;
  update(waiting({"a", "b"}), false);
  CHECK_FALSE(Order.isBeyondShare("a"));
}

TEST(WhenOneUsesMostOfIt, ItsWeightMayAllowThat) {
  FairOrder::WaitingByName Waiting = waiting({"a", "b"});
  Waiting["a"].Weight = 9;
  runFor(200, Waiting);
  CHECK_FALSE(Order.isBeyondShare("a"));
}

TEST(AServiceOfFourWorkspaces, ABurstOfASecondIsNotPushedBehind) {
  runFor(1'000, waiting({"b", "c", "d"}));
  Used["a"] = {.MilliCores = 90'000};
  runFor(1'000, waiting({"a", "b", "c", "d"}));
  CHECK_FALSE(Order.isBeyondShare("a"));
}

TEST(AServiceOfFourWorkspaces, AcceleratorsAndCoresCountByWhatEachUsesMost) {
  Used["a"] = {.MilliCores = 10'000, .Accelerators = 9};
  Used["b"] = {.MilliCores = 45'000};
  runFor(1'000, waiting({"a", "b"}));
  CHECK_TRUE(Order.isBeyondShare("a"));
  CHECK_FALSE(Order.isBeyondShare("b"));
}

TEST(AServiceOfFourWorkspaces, ASuccessorStartsFromWhatIsInUse) {
  Used["a"] = {.MilliCores = 90'000};
  auto Changes = update(waiting({"a", "b"}));
  LONGS_EQUAL(1, Changes.size());
  STRCMP_EQUAL("a", Changes.front().Name.c_str());
  CHECK_TRUE(Changes.front().Now.IsBeyond);
}

TEST(AServiceOfFourWorkspaces, OnesThatAreIdleAreForgotten) {
  Used["a"] = {.MilliCores = 50'000};
  runFor(1'000, waiting({"a", "b"}));
  Used.clear();
  runFor(120'000, {});
  LONGS_EQUAL(0, Order.shares().size());
}

TEST(ABacklog, IsTheWorkOfMoreUrgentSteps) {
  std::vector<BacklogEstimate::Item> Items = {
      item("a", 100, OneCore, 10), item("b", 200, OneCore, 20),
      item("a", YieldSlackMs, OneCore, 30)};
  Backlog.set(Items);
  DOUBLES_EQUAL(10, Backlog.before({}, 150).CoreSeconds, 1e-9);
  DOUBLES_EQUAL(30, Backlog.before({}, 300).CoreSeconds, 1e-9);
  DOUBLES_EQUAL(60, Backlog.before({}, 2 * YieldSlackMs).CoreSeconds, 1e-9);
  LONGS_EQUAL(3'000,
              timeFor(Backlog.before({}, 300), {.MilliCores = 10'000}).count());
}

TEST(ABacklog, OfAcceleratorsDoesNotHoldWorkThatNeedsNone) {
  std::vector<BacklogEstimate::Item> Items = {
      item("a", 100, OneAccelerator, 40)};
  Backlog.set(Items);
  DOUBLES_EQUAL(0, Backlog.before({}, 1'000).CoreSeconds, 1e-9);
  WorkAmount Work = Backlog.before({.NeedsAccelerators = true}, 1'000);
  CapacitySum Capacity{.MilliCores = 100'000, .Accelerators = 4};
  LONGS_EQUAL(10'000, timeFor(Work, Capacity).count());
}

TEST(ABacklog, GrowsWithEachArrival) {
  Backlog.set({});
  Backlog.add(item("a", 100, OneCore, 5));
  DOUBLES_EQUAL(5, Backlog.before({}, 200).CoreSeconds, 1e-9);
  DOUBLES_EQUAL(0, Backlog.before({}, 50).CoreSeconds, 1e-9);
}

TEST(ABacklog, IsStatedOnlyForThoseThatWaitLong) {
  std::vector<BacklogEstimate::Item> Items = {item("a", 100, OneCore, 1),
                                              item("b", 200, OneCore, 50)};
  Backlog.set(Items);
  BacklogStatement Statement =
      Backlog.statement({{WorkClass{}, {.MilliCores = 10'000}}});
  LONGS_EQUAL(1, Statement.Entries.size());
  CHECK_FALSE(Statement.find("q", "a"));
  LONGS_EQUAL(6, Statement.find("q", "b")->WaitSeconds);
}

TEST(ABacklog, OfThousandWorkspacesIsStatedOfTheLongest) {
  constexpr size_t Count = 1'000;
  std::vector<std::string> Names;
  Names.reserve(Count);
  for (size_t I = 0; I < Count; ++I)
    Names.push_back(fmt::format("w{}", I));
  std::vector<BacklogEstimate::Item> Items;
  Items.reserve(Count);
  for (const std::string &Name : Names)
    Items.push_back(item(Name.c_str(), 100, OneCore, 10));
  Backlog.set(Items);
  BacklogStatement Statement =
      Backlog.statement({{WorkClass{}, {.MilliCores = 10'000}}});
  LONGS_EQUAL(BacklogStatement::MaxEntries, Statement.Entries.size());
  LONGS_EQUAL(1'000, Statement.find("q", "w999")->WaitSeconds);
}

TEST(ABacklog, IsReadFromTheOwnersRow) {
  OwnerRow Row{.Holder = "e/1", .Epoch = 1};
  Row.Backlog = {.AtMs = 17, .Entries = {{"q", "a", 9}}};
  auto Decoded = decodeOwnerRow(encodeOwnerRow(Row));
  CHECK_TRUE(static_cast<bool>(Decoded));
  CHECK(Decoded->Backlog == Row.Backlog);
}

TEST(ABacklog, LeavesTheRowOfACalmOwnerAsItWas) {
  OwnerRow Row{.Holder = "e/1", .Epoch = 1};
  Row.Backlog.AtMs = 17;
  CHECK(encodeOwnerRow(Row).find("backlog") == std::string::npos);
}

TEST(ABacklog, ThatCannotBeReadStatesNothing) {
  std::string Text = encodeOwnerRow({.Holder = "e/1", .Epoch = 1});
  for (const char *Odd : {"7", "{}", R"({"at_ms":1,"waits":[{"queue":3}]})",
                          R"({"at_ms":-1.5,"waits":7})"}) {
    std::string WithOdd = Text;
    WithOdd.insert(1, fmt::format("\"backlog\":{},", Odd));
    auto Decoded = decodeOwnerRow(WithOdd);
    CHECK_TRUE(static_cast<bool>(Decoded));
    LONGS_EQUAL(0, Decoded->Backlog.Entries.size());
  }
}
