#include "operator/OperatorApi.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <future>

using namespace daisylanding;

// clang-format off
TEST_GROUP(AnOperatorWhoseCallsOtherEntriesCantTake) {
  entry::EntryContext Context{config::Settings{}, "1"};
  entry::ShardLoop Shards{Context};
  peer::PeerLoop Peers{Context, {}};
  op::OperatorApi Api{Context, Shards, Peers};

  void setup() override {
    while (Peers.JobsCalls.push({})) {
    }
    Api.start();
  }
  void teardown() override { Api.stop(); }
  http::Response ask(const std::string &Target) {
    std::promise<http::Response> Answer;
    Api.handle({.Method = "GET", .Target = Target},
               [&](http::Response Response) { Answer.set_value(std::move(Response)); });
    return Answer.get_future().get();
  }
};
// clang-format on

/// Guards against an empty list of jobs when no entry was asked for its jobs.
TEST(AnOperatorWhoseCallsOtherEntriesCantTake, IsNotToldThatThereAreNoJobs) {
  http::Response Answer = ask("/v1/jobs");
  LONGS_EQUAL(503, Answer.Status);
  CHECK_EQUAL(std::string("queue-full"),
              nlohmann::json::parse(Answer.Body).value("code", ""));
}

/// Guards against an empty list of shards when no entry was asked for them.
TEST(AnOperatorWhoseCallsOtherEntriesCantTake, IsNotToldThatThereAreNoShards) {
  http::Response Answer = ask("/v1/status");
  LONGS_EQUAL(200, Answer.Status);
  auto Document = nlohmann::json::parse(Answer.Body);
  CHECK_FALSE(Document.contains("shards"));
  CHECK_EQUAL(std::string("queue-full"), Document.value("shards_unknown", ""));
}
