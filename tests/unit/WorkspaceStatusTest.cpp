#include "node/StatusApi.h"
#include "platform/PlatformPorts.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::node;

// clang-format off
TEST_GROUP(AnOperatorWhoAsksForWorkspaces) {
  platform::PlatformPorts Ports{{}};
  EntryContext Context{config::CellSettings{}, "1", Ports};
  StatusApi Api{Context};

  http::Response ask() {
    http::Response Answer;
    Api.handle({.Method = "GET", .Target = "/v1/workspaces"},
               [&](http::Response Response) { Answer = std::move(Response); });
    return Answer;
  }
  void configure() {
    auto Config = std::make_shared<cell::CellConfig>();
    Config->Version = 4;
    Config->Workspaces = {{.Name = "a", .Weight = 3, .Cap = {.MilliCores = 900}}, {.Name = "b"}};
    CHECK_FALSE(static_cast<bool>(Config->Keys.add("secret", 0)));
    CHECK(Context.Config.replaceIfNewer(Config, true));
  }
};
// clang-format on

TEST(AnOperatorWhoAsksForWorkspaces, IsToldThatNoneAreKnownYet) {
  LONGS_EQUAL(503, ask().Status);
}

TEST(AnOperatorWhoAsksForWorkspaces, SeesWhatIsConfiguredWithoutKeys) {
  configure();
  std::string Body = ask().Body;
  CHECK(Body.find("secret") == std::string::npos);
  auto Shown = nlohmann::json::parse(Body)["workspaces"];
  LONGS_EQUAL(2, Shown.size());
  LONGS_EQUAL(1, Shown[0]["keys"].get<int>());
  LONGS_EQUAL(3, Shown[0]["weight"].get<int>());
  LONGS_EQUAL(900, Shown[0]["cap"]["milli_cores"].get<int>());
  CHECK(Shown[0]["services"].empty());
}

TEST(AnOperatorWhoAsksForWorkspaces, SeesWhatTheOwnersHereTellOfThem) {
  configure();
  ServiceStatus Owned{.TakenAt = monotonicNow()};
  Owned.State.Workspaces.push_back({.Name = "b",
                                    .Used = {.MilliCores = 700},
                                    .WaitingSteps = 5,
                                    .OldestWait = Millis(1'200),
                                    .Refused = 9});
  Context.OwnedServices.set("s", Owned);
  auto Answer = nlohmann::json::parse(ask().Body);
  auto Use = Answer["workspaces"][1]["services"][0];
  STRCMP_EQUAL("s", Use["service"].get<std::string>().c_str());
  LONGS_EQUAL(700, Use["used"]["milli_cores"].get<int>());
  LONGS_EQUAL(5, Use["waiting_steps"].get<int>());
  LONGS_EQUAL(1'200, Use["oldest_wait_ms"].get<int>());
  LONGS_EQUAL(9, Use["refused"].get<int>());
  CHECK(Answer["workspaces"][0]["services"].empty());
}
