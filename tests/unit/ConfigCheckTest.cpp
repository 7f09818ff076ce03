#include "cell/ConfigChanges.h"
#include "node/ConfigDocument.h"
#include "platform/PlatformPorts.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::cell;

namespace {

/// One queue to one service, and two workspaces with a key each.
CellConfig soundConfig() {
  CellConfig Config;
  Config.Version = 1;
  Config.Services = {"s"};
  Config.Queues.push_back(
      {.Name = "q", .Host = "h", .PathPrefix = "/q/", .Service = "s"});
  Config.Workspaces = {{.Name = "a", .Weight = 3, .Cap = {.MilliCores = 900}},
                       {.Name = "b"}};
  CHECK_FALSE(static_cast<bool>(Config.Keys.add("secret-a", 0)));
  CHECK_FALSE(static_cast<bool>(Config.Keys.add("secret-b", 1)));
  return Config;
}

} // namespace

// clang-format off
TEST_GROUP(AConfigurationToBeChecked) {
  platform::PlatformDocumentCodec Codec;
  CellConfig Config = soundConfig();

  /// "error" or "warning" with the path of each finding.
  std::vector<std::string> findings() const {
    std::vector<std::string> Lines;
    for (const ConfigFinding &Finding : checkConfig(Config))
      Lines.push_back((Finding.Kind == FindingKind::Error ? "error " : "warning ") + Codec.fieldPath(Finding.Place));
    return Lines;
  }
  void finds(const char *Expected) const {
    LONGS_EQUAL(1, findings().size());
    STRCMP_EQUAL(Expected, findings().front().c_str());
  }
};

TEST_GROUP(ADocumentToBeChecked) {
  platform::PlatformDocumentCodec Codec;
  std::vector<node::ConfigProblem> Problems;
  bool read(const std::string &Workspaces, const std::string &Attempts = "1") {
    Problems.clear();
    return static_cast<bool>(Codec.parseConfig(fmt::format(
        R"({{"version":3,"routes":[{{"name":"q","host":"h","path-prefix":"/q/","service":"s",
            "max-attempts":{}}}],"services":[{{"name":"s"}}],"tenants":{}}})", Attempts, Workspaces), Problems));
  }
};

TEST_GROUP_BASE(AVersionToBeCompared, TEST_GROUP_CppUTestGroupAConfigurationToBeChecked) {
  CellConfig Running = soundConfig();
  std::vector<std::string> changes(bool KnowsKeys = true) const {
    std::vector<std::string> Lines;
    for (const ConfigChange &Change : findChanges(Running, Config, {.KnowsKeys = KnowsKeys}))
      Lines.push_back(fmt::format("{}: {} {}>{}", Change.Subject, Change.What, Change.From, Change.To));
    return Lines;
  }
  bool tells(const char *Line) const {
    auto Lines = changes();
    return std::find(Lines.begin(), Lines.end(), Line) != Lines.end();
  }
};
// clang-format on

TEST(AConfigurationToBeChecked, IsSound) { CHECK(findings().empty()); }

TEST(AConfigurationToBeChecked, SendsNoQueueToAServiceThatIsNotThere) {
  Config.Queues[0].Service = "t";
  finds("error routes[0].service");
}

TEST(AConfigurationToBeChecked, HasOneQueueForAHostAndPrefix) {
  Config.Queues.push_back(Config.Queues[0]);
  Config.Queues[1].Name = "hidden";
  finds("error routes[1].path-prefix");
}

TEST(AConfigurationToBeChecked, NamesEachQueueOnce) {
  Config.Queues.push_back(Config.Queues[0]);
  Config.Queues[1].PathPrefix = "/other/";
  finds("error routes[1].name");
}

TEST(AConfigurationToBeChecked, TellsOfAQueueThatNoRequestReaches) {
  Config.Queues[0].Host = "h:80";
  finds("warning routes[0].host");
  Config.Queues[0].Host = "h";
  Config.Queues[0].PathPrefix = "q/";
  finds("warning routes[0].path-prefix");
}

TEST(AConfigurationToBeChecked, TellsOfATargetBelowTheTimeOfItsAdviceCall) {
  Config.Queues[0].Advice = {.BaseMs = 400};
  Config.Queues[0].TargetLatency = Millis(300);
  finds("warning routes[0].target-latency-ms");
  Config.Queues[0].TargetLatency = Millis(400);
  CHECK(findings().empty());
}

TEST(AConfigurationToBeChecked, TellsOfAWorkspaceWithoutAShareOrAKey) {
  Config.Workspaces.push_back({.Name = "c"});
  finds("warning tenants[2].api-keys");
  CHECK_FALSE(static_cast<bool>(Config.Keys.add("secret-c", 2)));
  Config.Workspaces[2].Weight = 0;
  finds("warning tenants[2].weight");
}

TEST(AConfigurationToBeChecked, TellsOfOneWorkspaceThatHasAllWeight) {
  Config.Workspaces[1].Weight = 0;
  LONGS_EQUAL(2, findings().size());
}

TEST(ADocumentToBeChecked, NamesEachFieldThatIsNotAsAllowed) {
  CHECK_FALSE(read(R"([{"name":"a","weight":-1,"api-keys":["k",7]},
                       {"name":"a","cap":3}])",
                   "1.5"));
  std::vector<std::string> Fields;
  for (const node::ConfigProblem &Problem : Problems)
    Fields.push_back(Problem.Field);
  CHECK(Fields ==
        std::vector<std::string>({"routes[0].max-attempts", "tenants[0].weight",
                                  "tenants[0].api-keys[1]", "tenants[1].cap",
                                  "tenants[1].name"}));
}

/// Guards against a key in what the check prints.
TEST(ADocumentToBeChecked, NamesTheWorkspacesThatHaveOneKeyAndNotTheKey) {
  CHECK_FALSE(read(R"([{"name":"a","api-keys":["secret"]},
                       {"name":"b","api-keys":["secret"]}])"));
  STRCMP_EQUAL("tenants[1].api-keys[0]", Problems[0].Field.c_str());
  STRCMP_EQUAL("a key that only workspace b has, not a too",
               Problems[0].Allowed.c_str());
}

TEST(ADocumentToBeChecked, IsReadThoughACapOfNothingLimitsNothing) {
  CHECK(read(R"([{"name":"a","cap":{"cpu":0}}])"));
  STRCMP_EQUAL("tenants[0].cap", Problems[0].Field.c_str());
  CHECK_FALSE(Problems[0].IsFatal);
}

TEST(ADocumentToBeChecked, IsToldOfAtMostSomeProblems) {
  std::string Many = "[";
  for (size_t I = 0; I < 2 * node::MaxConfigProblems; ++I)
    Many += I == 0 ? "7" : ",7";
  CHECK_FALSE(read(Many + "]"));
  LONGS_EQUAL(node::MaxConfigProblems, Problems.size());
}

TEST(AVersionToBeCompared, ChangesNothingByItself) {
  CHECK(changes().empty());
  CHECK_FALSE(checkVersion(Running, Config, {}).has_value());
}

TEST(AVersionToBeCompared, TellsOfQueuesAddedRemovedAndMoved) {
  Running.Queues.push_back({.Name = "old", .Service = "s"});
  Config.Queues.push_back({.Name = "new", .Service = "s"});
  Config.Services.emplace_back("t");
  Config.Queues[0].Service = "t";
  Config.Queues[0].TargetLatency = Millis(300);
  CHECK(tells("queue old: removed >"));
  CHECK(tells("queue new: added >"));
  CHECK(tells("queue q: moved to service s>t"));
  CHECK(tells("queue q: target latency in ms 0>300"));
  CHECK(tells("service t: added >"));
}

TEST(AVersionToBeCompared, TellsWhetherACapIsLowered) {
  Config.Workspaces[0].Cap = {.MilliCores = 0, .Accelerators = 2};
  CHECK(tells("workspace a: cap of milli-cores raised 900>no limit"));
  CHECK(tells("workspace a: cap of accelerators lowered no limit>2"));
}

TEST(AVersionToBeCompared, CountsKeysOfAWorkspaceAndShowsNone) {
  CHECK_FALSE(static_cast<bool>(Config.Keys.add("secret-1", 0)));
  CHECK_FALSE(static_cast<bool>(Running.Keys.add("secret-2", 1)));
  CHECK_FALSE(static_cast<bool>(Running.Keys.add("secret-3", 1)));
  CHECK(tells("workspace a: keys added: 1 >"));
  CHECK(tells("workspace b: keys taken away: 2 >"));
  CHECK(changes(false).empty());
}

TEST(AVersionToBeCompared, IsNotAppliedUnlessItIsNewer) {
  Config.Workspaces[0].Weight = 7;
  auto Changes = findChanges(Running, Config, {});
  CHECK(checkVersion(Running, Config, Changes).has_value());
  Config.Version = 2;
  CHECK_FALSE(checkVersion(Running, Config, Changes).has_value());
}

/// What operators see of it holds all but the keys.
TEST(AVersionToBeCompared, IsReadBackFromWhatAnEntryShows) {
  Config.Queues[0].Advice = {.BaseMs = 400, .Validity = Millis(1'000)};
  Config.Queues[0].IsPublic = true;
  nlohmann::json Shown = node::configToJson(Config);
  CHECK(Shown.dump().find("secret") == std::string::npos);
  auto Read = node::configFromJson(Shown);
  CHECK(static_cast<bool>(Read));
  Running = *Read;
  CHECK(changes(false).empty());
}

TEST(AVersionToBeCompared, IsComparedWithWhatAnEarlierVersionShows) {
  nlohmann::json Shown = node::configToJson(Config);
  for (const char *Field : {"services", "workspaces", "limits"})
    Shown.erase(Field);
  for (const char *Field : {"public", "advice"})
    Shown["queues"][0].erase(Field);
  CHECK(static_cast<bool>(node::configFromJson(Shown)));
  CHECK_FALSE(static_cast<bool>(node::configFromJson(nlohmann::json("odd"))));
}
