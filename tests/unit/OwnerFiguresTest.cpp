#include "node/StatusApi.h"
#include "platform/PlatformPorts.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::node;

// clang-format off
TEST_GROUP(AnOperatorOfAnOwner) {
  platform::PlatformPorts Ports{{}};
  EntryContext Context{config::CellSettings{}, "1", Ports};
  StatusApi Api{Context};

  void setup() override {
    auto Config = std::make_shared<cell::CellConfig>();
    Config->Version = 4;
    Config->Services = {"s", "t"};
    Config->Workspaces = {{.Name = "w"}};
    CHECK(Context.Config.replaceIfNewer(Config, true));
  }
  http::Response ask(const std::string &Target) {
    http::Response Answer;
    Api.handle({.Method = "GET", .Target = Target},
               [&](http::Response Response) { Answer = std::move(Response); });
    return Answer;
  }
  nlohmann::json askDocument(const std::string &Target) {
    return nlohmann::json::parse(ask(Target).Body);
  }

  /// As an owner with two live jobs publishes it.
  ServiceStatus statusOfTwoJobs() {
    ServiceStatus Status{.Epoch = 7};
    Status.State.LiveJobs = 2;
    Status.State.WaitingSteps = 3;
    Status.State.JobReadingAge = Millis(400);
    Status.State.Workspaces = {{.Name = "w", .WaitingSteps = 3}};
    Status.Jobs = {{.Id = "a", .Queue = "q"}, {.Id = "b", .Queue = "q"}};
    return Status;
  }
  ServiceStatus loadingStatus() {
    ServiceStatus Status{.Epoch = 7};
    Status.State.Loading = true;
    return Status;
  }
  void publish(const std::string &Service, ServiceStatus Status) {
    Context.OwnedServices.set(Service, std::move(Status));
  }
};

TEST_GROUP_BASE(WhoseStoredJobsAreBeingRead, TEST_GROUP_CppUTestGroupAnOperatorOfAnOwner) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOperatorOfAnOwner::setup();
    publish("s", loadingStatus());
  }
};

// clang-format on

TEST(AnOperatorOfAnOwner, IsToldItsFigures) {
  publish("s", statusOfTwoJobs());
  auto Service = askDocument("/v1/status")["services"][0];
  CHECK_EQUAL(std::string("known"), Service.value("figures", ""));
  LONGS_EQUAL(2, Service.value("live_jobs", 0));
  LONGS_EQUAL(400, Service.value("jobs_read_ms_ago", 0));
  LONGS_EQUAL(2, askDocument("/v1/jobs")["jobs"].size());
  CHECK(askDocument("/v1/jobs").value("complete", false));
  LONGS_EQUAL(200, ask("/v1/jobs/b").Status);
}

TEST(AnOperatorOfAnOwner, IsToldThatAJobIsNotAmongThoseKnown) {
  publish("s", statusOfTwoJobs());
  LONGS_EQUAL(404, ask("/v1/jobs/other").Status);
}

TEST(AnOperatorOfAnOwner, IsToldThatThereAreNoJobsIfNoneIsOwnedHere) {
  LONGS_EQUAL(200, ask("/v1/jobs").Status);
  CHECK(askDocument("/v1/jobs")["jobs"].empty());
  LONGS_EQUAL(404, ask("/v1/jobs/a").Status);
}

/// Guards against zeros that nobody counted.
TEST(WhoseStoredJobsAreBeingRead, IsToldThatTheFiguresAreNotKnown) {
  auto Service = askDocument("/v1/status")["services"][0];
  CHECK(Service.value("owned_here", false));
  CHECK_EQUAL(std::string("loading"), Service.value("figures", ""));
  for (const char *Figure : {"live_jobs", "waiting_steps", "open_runs",
                             "executors", "usable", "jobs_read_ms_ago"})
    CHECK_FALSE_TEXT(Service.contains(Figure), Figure);
}

/// Guards against an empty list, or a job "not found", while jobs exist.
TEST(WhoseStoredJobsAreBeingRead, IsToldThatTheJobsAreNotKnown) {
  for (const char *Target : {"/v1/jobs", "/v1/jobs/a"}) {
    http::Response Answer = ask(Target);
    LONGS_EQUAL(503, Answer.Status);
    auto Document = nlohmann::json::parse(Answer.Body);
    CHECK_EQUAL(std::string("not-ready"), Document.value("code", ""));
    CHECK_EQUAL(std::string("loading"),
                Document["services"][0].value("figures", ""));
  }
}

/// Guards against a list that leaves out a service's jobs without saying so.
TEST(WhoseStoredJobsAreBeingRead, IsToldThatAListOfOthersIsNotComplete) {
  publish("t", statusOfTwoJobs());
  auto Document = askDocument("/v1/jobs");
  LONGS_EQUAL(2, Document["jobs"].size());
  CHECK_FALSE(Document.value("complete", true));
  CHECK_EQUAL(std::string("loading"),
              Document["services"][0].value("figures", ""));
  LONGS_EQUAL(200, ask("/v1/jobs/a").Status);
  LONGS_EQUAL(503, ask("/v1/jobs/other").Status);
}
