#include "node/CallerKeys.h"
#include "cell/JobSpec.h"
#include "node/ConfigConfirmation.h"
#include "platform/PlatformPorts.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;

// clang-format off
TEST_GROUP(AConfigurationWithWorkspaces) {
  platform::PlatformDocumentCodec Codec;
  static std::string document(const std::string &Workspaces) {
    return fmt::format(R"({{"version":3,"routes":[
        {{"name":"closed","host":"h","path-prefix":"/c/","service":"s"}},
        {{"name":"open","host":"h","path-prefix":"/o/","service":"s","public":true}}],
        "services":[{{"name":"s"}}]{}}})", Workspaces);
  }
  Result<cell::CellConfig> parse(const std::string &Workspaces) const {
    return Codec.parseConfig(document(Workspaces));
  }
  static http::Request request(const std::string &Authorization) {
    http::Request Sent{.Method = "GET", .Target = "/c/"};
    if (!Authorization.empty())
      Sent.Headers.emplace_back("Authorization", Authorization);
    return Sent;
  }
};

TEST_GROUP_BASE(OnAQueueThatNeedsAKey, TEST_GROUP_CppUTestGroupAConfigurationWithWorkspaces) {
  cell::CellConfig Config = *parse(R"(,"tenants":[
      {"name":"a","api-keys":["k1","k2"],"weight":3,"cap":{"cpu":900,"mem-mb":0,"gpu":2}},
      {"name":"b","api-keys":["k3"]}])");
  node::KeyCheck check(const std::string &Authorization) const {
    return node::checkKey(Config, *Config.findQueue("closed"), request(Authorization));
  }
};

TEST_GROUP_BASE(AJobOfAWorkspace, TEST_GROUP_CppUTestGroupOnAQueueThatNeedsAKey) {
  bool mayCancel(const char *Queue, const char *Workspace, const char *JobWorkspace = "a") const {
    cell::JobSpec Job{.Id = "00000000000000a1", .Queue = "open", .Steps = {{}}, .Workspace = JobWorkspace};
    return node::mayCancel({.Config = Config, .Queue = *Config.findQueue(Queue), .Workspace = Workspace},
                           cell::encodeJob(Job));
  }
};

TEST_GROUP_BASE(AVersionThatTakesAKeyAway, TEST_GROUP_CppUTestGroupAConfigurationWithWorkspaces) {
  cell::SharedConfig InForce;
  bool apply(uint64_t Version, const std::string &Workspaces) {
    cell::CellConfig Config = *parse(Workspaces);
    Config.Version = Version;
    return InForce.replaceIfNewer(std::make_shared<const cell::CellConfig>(std::move(Config)), true);
  }
  bool isKnown(const std::string &Key) const {
    auto Config = InForce.current();
    return node::checkKey(*Config, *Config->findQueue("closed"), request("Bearer " + Key)).Allowed;
  }
  void setup() override {
    CHECK(apply(1, R"(,"tenants":[{"name":"a","api-keys":["k1","k2"]}])"));
    CHECK(apply(2, R"(,"tenants":[{"name":"a","api-keys":["k2","k3"]}])"));
  }
};
// clang-format on

TEST(AConfigurationWithWorkspaces, NamesTheirCapsAndWeights) {
  auto Config = parse(R"(,"tenants":[{"name":"a","api-keys":["k"],"priority":1,
      "weight":3,"cap":{"cpu":4000000000,"gpu":2}}])");
  CHECK(static_cast<bool>(Config));
  const cell::Workspace *Workspace = Config->findWorkspace("a");
  LONGS_EQUAL(3, Workspace->Weight);
  LONGS_EQUAL(1, Workspace->Priority);
  CHECK_EQUAL(4'000'000'000U, Workspace->Cap.MilliCores);
  LONGS_EQUAL(0, Workspace->Cap.MemoryMb);
  LONGS_EQUAL(2, Workspace->Cap.Accelerators);
}

TEST(AConfigurationWithWorkspaces, IsRefusedIfItsKeysAreNotSound) {
  for (const char *Workspaces :
       {R"(,"tenants":[{"name":"a","api-keys":["k"]},
                       {"name":"b","api-keys":["k"]}])",
        R"(,"tenants":[{"name":"a","api-keys":[""]}])",
        R"(,"tenants":[{"name":"a","api-keys":[7]}])",
        R"(,"tenants":[{"name":"a","api-keys":"k"}])",
        R"(,"tenants":{"name":"a"})",
        R"(,"tenants":[{"name":"a"},{"name":"a"}])",
        R"(,"tenants":[{"name":""}])", R"(,"tenants":[{"api-keys":["k"]}])",
        R"(,"tenants":[{"name":"a","cap":{"cpu":-1}}])"})
    CHECK_FALSE(static_cast<bool>(parse(Workspaces)));
}

TEST(AConfigurationWithWorkspaces, MayRepeatAKeyOfOneWorkspace) {
  CHECK(static_cast<bool>(
      parse(R"(,"tenants":[{"name":"a","api-keys":["k","k"]}])")));
}

TEST(AConfigurationWithWorkspaces, NeedsNoKeysIfItHasNone) {
  for (const char *Workspaces :
       {"", R"(,"tenants":[])", R"(,"tenants":null)"}) {
    auto Config = parse(Workspaces);
    CHECK(static_cast<bool>(Config));
    CHECK(node::checkKey(*Config, *Config->findQueue("closed"), request(""))
              .Allowed);
  }
}

TEST(OnAQueueThatNeedsAKey, AKnownKeyTellsTheWorkspace) {
  STRCMP_EQUAL("a", check("Bearer k2").Workspace->Name.c_str());
  STRCMP_EQUAL("b", check("bearer  k3 ").Workspace->Name.c_str());
}

TEST(OnAQueueThatNeedsAKey, AnythingElseIsRefused) {
  for (const char *Authorization :
       {"", "Bearer", "Bearer ", "Bearer k", "Bearer k11", "k1", "Basic k1",
        "Bearer k1 k1"})
    CHECK_FALSE(check(Authorization).Allowed);
}

TEST(OnAQueueThatNeedsAKey, APublicQueueTakesAnyCaller) {
  const cell::Queue &Open = *Config.findQueue("open");
  CHECK(node::checkKey(Config, Open, request("")).Allowed);
  CHECK(node::checkKey(Config, Open, request("Bearer x")).Allowed);
  STRCMP_EQUAL("a", node::checkKey(Config, Open, request("Bearer k1"))
                        .Workspace->Name.c_str());
}

TEST(AJobOfAWorkspace, IsNotCancelledWithAnotherWorkspacesKey) {
  CHECK(mayCancel("closed", "a"));
  CHECK_FALSE(mayCancel("closed", "b"));
  CHECK_FALSE(mayCancel("open", "b"));
}

/// Guards against a caller without a key who cancels, at a public queue, a job
/// of a queue that needs one.
TEST(AJobOfAWorkspace, IsCancelledWithoutAKeyOnlyAtItsOwnPublicQueue) {
  CHECK(mayCancel("open", ""));
  Config.Queues.push_back({.Name = "other", .Service = "s", .IsPublic = true});
  CHECK_FALSE(mayCancel("other", ""));
}

TEST(AJobOfAWorkspace, OrOfNoneIsCancelledByAnyoneLetIn) {
  CHECK(mayCancel("closed", "b", ""));
  Config.Workspaces.clear();
  CHECK(mayCancel("closed", ""));
}

TEST(AVersionThatTakesAKeyAway, AddsOthersAtOnce) {
  CHECK_FALSE(isKnown("k1"));
  CHECK(isKnown("k2"));
  CHECK(isKnown("k3"));
}

TEST(AVersionThatTakesAKeyAway, IsNotFollowedByOneBeforeIt) {
  CHECK_FALSE(apply(1, R"(,"tenants":[{"name":"a","api-keys":["k1"]}])"));
  CHECK_FALSE(apply(2, R"(,"tenants":[{"name":"a","api-keys":["k1"]}])"));
  CHECK_FALSE(isKnown("k1"));
}

// clang-format off
TEST_GROUP(AnEntryThatTheStoreDoesNotAnswer) {
  static constexpr TimePoint ConfirmedAt{Millis(50'000)};
  static constexpr Millis Limit{5'000};
};
// clang-format on

TEST(AnEntryThatTheStoreDoesNotAnswer, TrustsKeysUntilTheirLimit) {
  Micros Moment{1};
  CHECK(node::isConfigConfirmed(ConfirmedAt, Limit,
                                ConfirmedAt + Limit - Moment));
  CHECK_FALSE(node::isConfigConfirmed(ConfirmedAt, Limit, ConfirmedAt + Limit));
}

TEST(AnEntryThatTheStoreDoesNotAnswer, TrustsThemForGoodWithoutALimit) {
  CHECK(node::isConfigConfirmed(ConfirmedAt, Millis(0),
                                ConfirmedAt + Millis(3'600'000)));
}

TEST(AnEntryThatTheStoreDoesNotAnswer, GoesOnWithPublicQueues) {
  cell::CellConfig Config;
  CHECK_FALSE(node::needsKey(Config, {.IsPublic = false}));
  Config.Workspaces.push_back({.Name = "a"});
  CHECK(node::needsKey(Config, {.IsPublic = false}));
  CHECK_FALSE(node::needsKey(Config, {.IsPublic = true}));
}
