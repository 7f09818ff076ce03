#include "endpoint/EndpointLoop.h"
#include "entry/ServiceState.h"
#include "standin/RawServer.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using standin::RawAction;
using standin::RawServer;

// clang-format off
TEST_GROUP(AnEndpointLoop) {
  Waker Wake;
  endpoint::EndpointLoop Loop{{}, [this] { Wake.wake(); }};
  uint64_t NextId = 1;
  void setup() override { Loop.start(); }
  void teardown() override { Loop.stop(); }
  http::CallResult send(const RawServer &Server, bool Repeatable) {
    CHECK(Loop.Calls.push({.Id = NextId++, .Address = Server.address(), .Service = "s", .Body = "x",
                           .Timeout = Millis(5'000), .Repeatable = Repeatable}));
    endpoint::EndpointReply Reply;
    while (!Loop.Replies.pop(Reply))
      Wake.wait(Millis(100));
    return std::move(Reply.Answer);
  }
};

TEST_GROUP(AServiceWithOneEndpoint) {
  TimePoint Now{Micros(std::chrono::hours(1))};
  Random Generator{1};
  config::ClusterConfig Config;
  std::unique_ptr<entry::ServiceState> Service;
  table::InstanceSnapshot List;
  void setup() override {
    Config.Classes = {{.Name = "c"}};
    Service = std::make_unique<entry::ServiceState>(
        config::ServiceSpec{.Name = "s", .Class = "c", .RunLimit = Millis(5'000)}, Config, 100);
    List.Instances.push_back({.Name = "e", .Kind = table::Role::Endpoint, .AvailabilityZone = "za",
                              .Address = "a", .Service = "s"});
    Service->applyInstanceList(List, {}, "za");
    policy::CreditTable Table;
    Table.Endpoints["e"] = {8, {{"me", 1}}};
    Service->applyCredits(Table, "me");
  }
  bool canSend() { return Service->pickEndpoint(std::nullopt, Now, Generator).has_value(); }
};

TEST_GROUP_BASE(WhenARequestTimesOut, TEST_GROUP_CppUTestGroupAServiceWithOneEndpoint) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAServiceWithOneEndpoint::setup();
    Service->onSent(0, Now);
    Service->onUnresolved(0, Now + Millis(5'000), Now);
  }
};
// clang-format on

TEST(AnEndpointLoop, SendsANonRepeatableRequestOnlyOnce) {
  RawServer Server({RawAction::Respond, RawAction::CloseWithoutResponse});
  CHECK(static_cast<bool>(send(Server, true)));
  CHECK(send(Server, false).error() == Errc::AnswerLost);
  LONGS_EQUAL(2, Server.requestCount());
}

TEST(AServiceWithOneEndpoint, UsesOnlyTheSlotsItHasCreditsFor) {
  CHECK(canSend());
  Service->onSent(0, Now);
  CHECK_FALSE(canSend());
  Service->onEnded(0, Millis(10), true, Now);
  CHECK(canSend());
}

TEST(AServiceWithOneEndpoint, SendsNothingToALeavingEndpoint) {
  List.Instances[0].Leaving = true;
  Service->applyInstanceList(List, {}, "za");
  CHECK_FALSE(canSend());
}

TEST(AServiceWithOneEndpoint, SendsNothingToADrainedEndpoint) {
  Service->applyInstanceList(List, {"e"}, "za");
  CHECK_FALSE(canSend());
}

TEST(WhenARequestTimesOut, ItsSlotStaysTakenUntilItCanNoLongerRun) {
  Now += Millis(4'999);
  Service->releaseExpiredSlots(Now);
  CHECK_FALSE(canSend());
  Now += Millis(1);
  Service->releaseExpiredSlots(Now);
  CHECK(canSend());
}

TEST(WhenARequestTimesOut, ItsCreditIsNotGivenAway) {
  CHECK(Service->creditDemand("me").IdleSlots.empty());
}
