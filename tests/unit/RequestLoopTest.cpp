#include "entry/RequestLoop.h"
#include "caller/Responses.h"
#include "standin/RawServer.h"

#include <future>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::entry;
using standin::RawAction;
using standin::RawServer;

namespace {

/// A request loop with one slot of one endpoint, and without a platform.
class RequestLoopFixture {
public:
  explicit RequestLoopFixture(std::vector<RawAction> Actions)
      : Endpoint(std::move(Actions)), Context(settings(), "i1"), Loop(Context) {
    Loop.Forward = [](const ForwardCall &) { return false; };
    Loop.WriteCredits = [](const CreditWrite &) { return true; };
    publish({"c", "other"});
    Loop.start();
    CreditRow Row{.Service = "s"};
    Row.Table.Endpoints["ep"] = {8, {{Context.holderName(), 1}}};
    CHECK(Loop.CreditRows.push(Row));
  }
  ~RequestLoopFixture() { Loop.stop(Millis(0)); }
  RequestLoopFixture(const RequestLoopFixture &) = delete;
  RequestLoopFixture &operator=(const RequestLoopFixture &) = delete;

  /// Publishes a configuration with these classes; the first is that of the
  /// service.
  void publish(const std::vector<std::string> &Classes) {
    auto Config = std::make_shared<config::ClusterConfig>();
    Config->Version = ++Version;
    for (const std::string &Name : Classes)
      Config->Classes.push_back({.Name = Name, .WaitingTarget = Millis(300)});
    Config->Services = {
        {.Name = "s", .Class = Classes.front(), .RunLimit = Millis(60'000)}};
    auto NewView = std::make_shared<ClusterView>();
    NewView->Config = Config;
    NewView->List = {.Version = 1,
                     .Instances = {{.Name = "ep",
                                    .Kind = table::Role::Endpoint,
                                    .AvailabilityZone = "za",
                                    .Address = Endpoint.address(),
                                    .Service = "s"}}};
    Context.Views.publish(NewView);
  }

  std::future<http::Response> send(const std::string &Class) {
    auto Promise = std::make_shared<std::promise<http::Response>>();
    IncomingRequest Request{.Request = {.Service = "s",
                                        .Class = Class,
                                        .Repeatable = true,
                                        .Body = "x"},
                            .Respond =
                                [Promise](http::Response Answer) {
                                  Promise->set_value(std::move(Answer));
                                },
                            .Arrived = monotonicNow()};
    CHECK(Loop.CallerRequests.push(std::move(Request)));
    return Promise->get_future();
  }

  RawServer Endpoint;

private:
  static config::Settings settings() {
    config::Settings Options;
    Options.Name = "e1";
    Options.AvailabilityZone = "za";
    Options.PlatformUrl = "http://127.0.0.1:1";
    return Options;
  }

  EntryContext Context;
  RequestLoop Loop;
  uint64_t Version = 0;
};

std::string outcome(const http::Response &Answer) {
  return *http::findHeader(Answer.Headers, caller::OutcomeHeader);
}

} // namespace

// clang-format off
TEST_GROUP(ARequestLoopWithOneSlot) {};
// clang-format on

TEST(ARequestLoopWithOneSlot, ReturnsTheEndpointsAnswer) {
  RequestLoopFixture Fixture({RawAction::Respond});
  http::Response Answer = Fixture.send("c").get();
  STRCMP_EQUAL("done", outcome(Answer).c_str());
  STRCMP_EQUAL("ok", Answer.Body.c_str());
}

TEST(ARequestLoopWithOneSlot, AnswersUnknownIfAnEarlierAttemptMayHaveRun) {
  // The answer to the first attempt is lost and its slot stays taken, so the
  // second attempt can't start before the request is abandoned.
  RequestLoopFixture Fixture({RawAction::CloseWithoutResponse});
  http::Response Answer = Fixture.send("c").get();
  LONGS_EQUAL(1, Fixture.Endpoint.requestCount());
  STRCMP_EQUAL("unknown", outcome(Answer).c_str());
}

TEST(ARequestLoopWithOneSlot, KeepsRequestsOfARemovedClass) {
  RequestLoopFixture Fixture({RawAction::Hang});
  auto Running = Fixture.send("c");
  while (Fixture.Endpoint.requestCount() == 0)
    std::this_thread::yield();
  auto Waiting = Fixture.send("other");
  Fixture.publish({"c"});
  STRCMP_EQUAL("not-run", outcome(Waiting.get()).c_str());
}
