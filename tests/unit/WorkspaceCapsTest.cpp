#include "common/Random.h"
#include "unit/CapPlay.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;
using namespace daisylanding::cellsim;

namespace {

constexpr Resources Cap{.MilliCores = 64'000, .Accelerators = 8};
constexpr Resources OneCore{.MilliCores = 1'000};
constexpr Resources OneAccelerator{.MilliCores = 1'000, .Accelerators = 1};
/// Rows are read and written some times until rights have moved.
constexpr size_t FewRounds = 6;

} // namespace

// clang-format off
TEST_GROUP(ACapOverTwoServices) {
  CapPlay Play{{"a", "b"}, Cap};
  void setup() override {
    Play["a"].TaskSize = Play["b"].TaskSize = OneCore;
    Play.round();
  }
};

TEST_GROUP_BASE(WhileOneServiceIsPressed, TEST_GROUP_CppUTestGroupACapOverTwoServices) {
  void setup() override {
    TEST_GROUP_CppUTestGroupACapOverTwoServices::setup();
    Play["a"].Waiting = 100;
    Play.rounds(FewRounds);
  }
};

TEST_GROUP_BASE(AndThenTheOtherIsPressedToo, TEST_GROUP_CppUTestGroupWhileOneServiceIsPressed) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWhileOneServiceIsPressed::setup();
    Play["b"].Waiting = 100;
    Play.rounds(FewRounds);
  }
};
// clang-format on

TEST(ACapOverTwoServices, LetsEachStartItsHalfWithoutAskingAnyone) {
  Play["a"].Waiting = 100;
  Play.plan("a");
  LONGS_EQUAL(32, Play["a"].Placed);
}

TEST(ACapOverTwoServices, LetsNothingStartBeforeTheOwnRowIsRead) {
  WorkspaceCaps Successor("a");
  CellConfig Config;
  Config.Version = 1;
  Config.Services = {"a", "b"};
  Config.Workspaces.push_back({.Name = CapWorkspace, .Cap = Cap});
  Successor.setConfig(Config);
  LONGS_EQUAL(0, Successor.placesFor(CapWorkspace, OneCore, 1));
  LONGS_EQUAL(1, Successor.placesFor("of-no-workspace", OneCore, 1));
}

TEST(ACapOverTwoServices, GivesAllAcceleratorsToTheServiceThatHasThem) {
  Play["b"].TaskSize = OneAccelerator;
  Play["b"].Waiting = 20;
  Play.rounds(FewRounds);
  LONGS_EQUAL(8, Play["b"].Running);
}

TEST(ACapOverTwoServices, LetsAGangAsWideAsTheCapStart) {
  Play["a"].TaskSize = {.MilliCores = 64'000};
  Play["a"].Waiting = 1;
  Play.rounds(FewRounds);
  LONGS_EQUAL(1, Play["a"].Running);
}

TEST(ACapOverTwoServices, LetsTwoWideGangsTakeTurns) {
  Play["a"].TaskSize = Play["b"].TaskSize = {.MilliCores = 64'000};
  Play["a"].Waiting = Play["b"].Waiting = 3;
  for (size_t I = 0; I < 6; ++I) {
    Play.rounds(FewRounds);
    LONGS_EQUAL(1, Play["a"].Running + Play["b"].Running);
    Play.end(Play["a"].Running > 0 ? "a" : "b");
  }
  LONGS_EQUAL(0, Play["a"].Waiting + Play["b"].Waiting);
}

TEST(ACapOverTwoServices, IsSharedAnewOnceItIsLowered) {
  Play["a"].Waiting = Play["b"].Waiting = 100;
  Play.rounds(FewRounds);
  Play.changeCap({.MilliCores = 32'000, .Accelerators = 8});
  Play.rounds(FewRounds);
  for (size_t I = 0; I < 40; ++I) {
    Play.end("a");
    Play.rounds(FewRounds);
  }
  LONGS_EQUAL(32, Play["a"].Running + Play["b"].Running);
  LONGS_EQUAL(0, Play.Violations);
}

TEST(ACapOverTwoServices, IsWrittenSeldomWhileDemandHardlyChanges) {
  Play["a"].Waiting = Play["b"].Waiting = 1'000;
  Play.rounds(FewRounds);
  uint64_t Before = Play["a"].Caps->revision();
  for (size_t I = 0; I < 100; ++I) {
    Play.end("a");
    Play.end("b");
    Play.round();
  }
  CHECK(Play["a"].Caps->revision() - Before <= 10);
}

TEST(WhileOneServiceIsPressed, ItGetsAllButAReserve) {
  LONGS_EQUAL(56, Play["a"].Running);
  LONGS_EQUAL(8, Play["b"].Caps->placesFor(CapWorkspace, OneCore, 100));
}

TEST(WhileOneServiceIsPressed, ABurstOfTheOtherStartsAtOnceByItsReserve) {
  Play["b"].Waiting = 8;
  Play.plan("b");
  LONGS_EQUAL(8, Play["b"].Placed);
}

TEST(WhileOneServiceIsPressed, ASuccessorHoldsWhatItsPredecessorHad) {
  Play.takeOver("b");
  Play["b"].Waiting = 100;
  Play.round();
  LONGS_EQUAL(8, Play["b"].Running);
  LONGS_EQUAL(0, Play.Violations);
}

TEST(AndThenTheOtherIsPressedToo, ItGetsItsHalfAsTasksEnd) {
  for (size_t I = 0; I < 40; ++I) {
    Play.end("a");
    Play.rounds(2);
  }
  LONGS_EQUAL(32, Play["a"].Running);
  LONGS_EQUAL(32, Play["b"].Running);
  LONGS_EQUAL(0, Play.Violations);
}

TEST(AndThenTheOtherIsPressedToo, RightsDontMoveBackAndForth) {
  Play["a"].Waiting = Play["b"].Waiting = 1'000;
  for (size_t I = 0; I < 40; ++I) {
    Play.end("a");
    Play.rounds(2);
  }
  auto Granted = [&] {
    return Play["a"].Caps->row().Workspaces[CapWorkspace].Granted;
  };
  auto Before = Granted();
  for (size_t I = 0; I < 50; ++I) {
    Play.end("a");
    Play.end("b");
    Play.round();
  }
  CHECK(Before == Granted());
}

TEST_GROUP(SharesOfACap){};

TEST(SharesOfACap, AddUpToTheCapForAnyNumberOfServices) {
  for (size_t Services = 1; Services <= 7; ++Services) {
    int64_t Sum = 0;
    for (size_t I = 0; I < Services; ++I)
      Sum += initialRight(I, Services);
    CHECK_EQUAL(WholeCap, Sum);
  }
}

TEST(SharesOfACap, AreScaledIfTheServicesAreOthers) {
  std::vector<int64_t> Rights = {WholeCap * 3 / 4, -WholeCap / 4, WholeCap / 2};
  std::vector<int64_t> Scaled = scaledRights(Rights);
  CHECK_EQUAL(0, Scaled[1]);
  CHECK(Scaled[0] + Scaled[1] + Scaled[2] <= WholeCap);
  CHECK(Scaled[0] > Scaled[2]);
}

TEST(SharesOfACap, CoverTheAmountsThatTheyWereCountedFor) {
  for (uint32_t Amount : {1u, 7u, 999u, 64'000u})
    CHECK(allowanceOf(partsFor(Amount, 64'000), 64'000) >= Amount);
}

TEST_GROUP(ARowOfCaps){};

TEST(ARowOfCaps, IsReadAsItWasWritten) {
  CapRow Row{.Service = "a", .ConfigVersion = 7};
  Row.Workspaces["w"] = {.Granted = {{"b", {1, 2, 3}}},
                         .Wanted = {4, 0, 0},
                         .Needed = {5, 0, 0},
                         .Width = {6, 0, 0},
                         .Beyond = {0, 0, 7}};
  CHECK(Row == *decodeCapRow(encodeCapRow(Row)));
}

TEST(ARowOfCaps, IsRefusedIfItIsNotSound) {
  for (
      const char *Text :
      {"", "[]", "{}", R"({"service":"a","config":-1,"workspaces":{}})",
       R"({"service":"a","config":1,"workspaces":[]})",
       R"({"service":"a","config":1,"workspaces":{"w":{"wanted":[1]}}})",
       R"({"service":"a","config":1,"workspaces":{"w":{"granted":{"b":[1,2,-3]}}}})"})
    CHECK_FALSE(static_cast<bool>(decodeCapRow(Text)));
}

TEST(ARowOfCaps, KeepsItsBoundsWithThousandsOfWorkspaces) {
  CellConfig Config;
  Config.Version = 1;
  Config.Services = {"a", "b"};
  for (size_t I = 0; I < 3'000; ++I)
    Config.Workspaces.push_back(
        {.Name = "workspace-" + std::to_string(I), .Cap = Cap});
  WorkspaceCaps Caps("a");
  Caps.setConfig(Config);
  Caps.restore(std::nullopt);
  Caps.beginTurn();
  for (const Workspace &Configured : Config.Workspaces)
    Caps.noteWanted(Configured.Name, OneAccelerator, 100);
  Caps.endTurn({});
  CHECK(encodeCapRow(Caps.row()).size() <= 65'536);
  CHECK(Caps.leftOutCount() > 0);
}

namespace {

/// Owners at odds: late, lost and repeated commits, takeovers, old rows, and
/// caps that go up and down.
class RandomCaps {
public:
  explicit RandomCaps(uint64_t Seed) : Rng(Seed), Play(namesFor(Rng), Cap) {
    for (const std::string &Name : Play.names()) {
      Play[Name].TaskSize = {
          .MilliCores = 500 * (1 + static_cast<uint32_t>(Rng.below(8))),
          .Accelerators = static_cast<uint32_t>(Rng.below(2))};
    }
  }

  void run() {
    constexpr size_t Steps = 600;
    for (size_t I = 0; I < Steps; ++I)
      step(Play.names()[Rng.below(Play.names().size())]);
  }
  /// Without faults, a service whose workspace uses under half of its cap
  /// starts a task within a few rounds.
  bool startsSoon() {
    for (const std::string &Name : Play.names())
      Play[Name].Waiting = 0;
    Play.rounds(FewRounds);
    for (const std::string &Name : Play.names()) {
      while (Play[Name].Running > 0)
        Play.end(Name);
    }
    const std::string &First = Play.names().front();
    Play[First].Waiting = 1;
    uint32_t Before = Play[First].Running;
    Play.rounds(FewRounds);
    return Play[First].Running > Before;
  }
  size_t violations() const { return Play.Violations; }

private:
  static std::vector<std::string> namesFor(Random &Rng) {
    if (Rng.below(2) == 0)
      return {"a", "b"};
    return {"a", "b", "c"};
  }
  void step(const std::string &Name) {
    switch (Rng.below(16)) {
    case 0:
      Play.takeOver(Name);
      return;
    case 1:
      Play.carryOutAndTakeOver(Name);
      return;
    case 2:
      if (Rng.below(4) == 0)
        Play.changeCap(
            {.MilliCores = 8'000 * (1 + static_cast<uint32_t>(Rng.below(8))),
             .Accelerators = 1 + static_cast<uint32_t>(Rng.below(8))});
      return;
    case 3:
      Play.adoptConfig(Name);
      return;
    case 4:
      Play[Name].Waiting = static_cast<uint32_t>(Rng.below(100));
      return;
    case 5:
    case 6:
      Play.end(Name);
      return;
    case 7:
      Play.read(Name, Rng.below(4));
      return;
    case 8:
    case 9:
      Play.read(Name);
      return;
    case 10:
    case 11:
    case 12:
      Play.plan(Name);
      Play.send(Name);
      return;
    default:
      Play.carryOut(Name);
    }
  }

  Random Rng;
  CapPlay Play;
};

} // namespace

TEST_GROUP(RandomHistoriesOfCaps){};

TEST(RandomHistoriesOfCaps, NeverExceedTheHighestCapInForce) {
  for (uint64_t Seed = 1; Seed <= 400; ++Seed) {
    RandomCaps Caps(Seed);
    Caps.run();
    CHECK_EQUAL_TEXT(0, Caps.violations(), std::to_string(Seed).c_str());
  }
}

TEST(RandomHistoriesOfCaps, LeaveNoWorkspaceWaitingUnderHalfOfItsCap) {
  for (uint64_t Seed = 1; Seed <= 400; ++Seed) {
    RandomCaps Caps(Seed);
    Caps.run();
    CHECK_TRUE_TEXT(Caps.startsSoon(), std::to_string(Seed).c_str());
  }
}
