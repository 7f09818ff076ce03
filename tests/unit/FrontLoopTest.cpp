#include "entry/FrontLoop.h"
#include "caller/Answers.h"
#include "standin/RawServer.h"

#include <future>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::entry;
using standin::RawAction;
using standin::RawServer;

namespace {

/// A front loop with one slot of one endpoint, and no platform.
class FrontWorld {
public:
  explicit FrontWorld(std::vector<RawAction> Actions)
      : Endpoint(std::move(Actions)), Shared(settings(), "i1"), Front(Shared) {
    Front.Forward = [](const ForwardCall &) { return false; };
    Front.WriteCredits = [](const CreditWrite &) { return true; };
    publish({"c", "other"});
    Front.start();
    CreditRow Row{.Service = "s"};
    Row.Table.Endpoints["ep"] = {8, {{Shared.holder(), 1}}};
    CHECK(Front.CreditRows.push(Row));
  }
  ~FrontWorld() { Front.stop(Millis(0)); }
  FrontWorld(const FrontWorld &) = delete;
  FrontWorld &operator=(const FrontWorld &) = delete;

  /// A configuration with these classes, the first the service's own.
  void publish(const std::vector<std::string> &Classes) {
    auto Config = std::make_shared<config::ClusterConfig>();
    Config->Version = ++Version;
    for (const std::string &Name : Classes)
      Config->Classes.push_back({.Name = Name, .WaitingTarget = Millis(300)});
    Config->Services = {
        {.Name = "s", .Class = Classes.front(), .RunLimit = Millis(60'000)}};
    auto Next = std::make_shared<View>();
    Next->Config = Config;
    Next->List = {.Version = 1,
                  .Instances = {{.Name = "ep",
                                 .Kind = table::Role::Endpoint,
                                 .AvailabilityZone = "za",
                                 .Address = Endpoint.address(),
                                 .Service = "s"}}};
    Shared.Views.publish(Next);
  }

  std::future<http::Response> ask(const std::string &Class) {
    auto Promise = std::make_shared<std::promise<http::Response>>();
    FrontRequest In{.Body = {.Service = "s",
                             .Class = Class,
                             .Repeatable = true,
                             .Body = "x"},
                    .Respond =
                        [Promise](http::Response Answer) {
                          Promise->set_value(std::move(Answer));
                        },
                    .Arrived = monotonicNow()};
    CHECK(Front.FromCallers.push(std::move(In)));
    return Promise->get_future();
  }

  RawServer Endpoint;

private:
  static config::Settings settings() {
    config::Settings Out;
    Out.Name = "e1";
    Out.AvailabilityZone = "za";
    Out.PlatformUrl = "http://127.0.0.1:1";
    return Out;
  }

  Context Shared;
  FrontLoop Front;
  uint64_t Version = 0;
};

std::string outcome(const http::Response &Answer) {
  return *http::findHeader(Answer.Headers, caller::OutcomeHeader);
}

} // namespace

// clang-format off
TEST_GROUP(AFrontLoopWithOneSlot) {};
// clang-format on

TEST(AFrontLoopWithOneSlot, AnswersWithWhatTheEndpointSaid) {
  FrontWorld World({RawAction::Respond});
  http::Response Answer = World.ask("c").get();
  STRCMP_EQUAL("done", outcome(Answer).c_str());
  STRCMP_EQUAL("ok", Answer.Body.c_str());
}

TEST(AFrontLoopWithOneSlot, DoesNotCallNotRunWhatAnEarlierTryMayHaveRun) {
  // The first try's answer is lost and its slot stays taken, so that the
  // second try can't start before the request is given up.
  FrontWorld World({RawAction::CloseWithoutResponse});
  http::Response Answer = World.ask("c").get();
  LONGS_EQUAL(1, World.Endpoint.requestCount());
  STRCMP_EQUAL("unknown", outcome(Answer).c_str());
}

TEST(AFrontLoopWithOneSlot, KeepsWhatWaitsInAClassThatIsRemoved) {
  FrontWorld World({RawAction::Hang});
  auto Running = World.ask("c");
  while (World.Endpoint.requestCount() == 0)
    std::this_thread::yield();
  auto Waiting = World.ask("other");
  World.publish({"c"});
  STRCMP_EQUAL("not-run", outcome(Waiting.get()).c_str());
}
