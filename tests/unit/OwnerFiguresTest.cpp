#include "node/OwnerGauges.h"
#include "node/StatusApi.h"
#include "platform/PlatformPorts.h"

#include <fmt/format.h>
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
  bool hasSeries(const std::string &Name) {
    return ask("/metrics").Body.find("daisylanding_" + Name) != std::string::npos;
  }

  /// As an owner with two live jobs publishes it.
  ServiceStatus statusOfTwoJobs(Millis Age) {
    ServiceStatus Status{.Epoch = 7, .TakenAt = monotonicNow() - Age};
    Status.State.LiveJobs = 2;
    Status.State.WaitingSteps = 3;
    Status.State.JobReadingAge = Millis(400);
    Status.State.Workspaces = {{.Name = "w", .WaitingSteps = 3}};
    Status.Jobs = {{.Id = "a", .Queue = "q"}, {.Id = "b", .Queue = "q"}};
    return Status;
  }
  ServiceStatus loadingStatus() {
    ServiceStatus Status{.Epoch = 7, .TakenAt = monotonicNow()};
    Status.State.Loading = true;
    return Status;
  }
  void publish(const std::string &Service, ServiceStatus Status) {
    Status.Gauges = OwnerGauges(Service).make({.Counts = {}, .State = Status.State});
    Context.OwnedServices.set(Service, std::move(Status));
  }
};

TEST_GROUP_BASE(WhoseStoredJobsAreBeingRead, TEST_GROUP_CppUTestGroupAnOperatorOfAnOwner) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOperatorOfAnOwner::setup();
    publish("s", loadingStatus());
  }
};

TEST_GROUP_BASE(ThatHasPublishedNothingOfLate, TEST_GROUP_CppUTestGroupAnOperatorOfAnOwner) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOperatorOfAnOwner::setup();
    publish("s", statusOfTwoJobs(MaxStatusAge + Millis(1)));
  }
};

TEST_GROUP_BASE(ThatHasLeftTheService, TEST_GROUP_CppUTestGroupAnOperatorOfAnOwner) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAnOperatorOfAnOwner::setup();
    publish("s", statusOfTwoJobs(Millis(0)));
    publish("t", statusOfTwoJobs(Millis(0)));
    Context.OwnedServices.remove("s");
  }
};
// clang-format on

TEST(AnOperatorOfAnOwner, IsToldItsFigures) {
  publish("s", statusOfTwoJobs(Millis(0)));
  auto Service = askDocument("/v1/status")["services"][0];
  CHECK_EQUAL(std::string("known"), Service.value("figures", ""));
  LONGS_EQUAL(2, Service.value("live_jobs", 0));
  LONGS_EQUAL(400, Service.value("jobs_read_ms_ago", 0));
  LONGS_EQUAL(2, askDocument("/v1/jobs")["jobs"].size());
  CHECK(askDocument("/v1/jobs").value("complete", false));
  LONGS_EQUAL(200, ask("/v1/jobs/b").Status);
  CHECK(hasSeries("live_jobs{service=\"s\"} 2\n"));
  CHECK(hasSeries("figures_known{service=\"s\"} 1\n"));
}

/// Guards against figures that don't say when they were made.
TEST(AnOperatorOfAnOwner, IsToldHowOldItsFiguresAre) {
  constexpr int AgeMs = 1'500;
  publish("s", statusOfTwoJobs(Millis(AgeMs)));
  auto IsOfThatAge = [&](const nlohmann::json &Document) {
    return Document.value("status_age_ms", 0) >= AgeMs;
  };
  CHECK(IsOfThatAge(askDocument("/v1/status")["services"][0]));
  CHECK(IsOfThatAge(askDocument("/v1/jobs/a")));
  CHECK(IsOfThatAge(askDocument("/v1/jobs")["services"][0]));
  CHECK(IsOfThatAge(askDocument("/v1/jobs/other")["services"][0]));
  CHECK(IsOfThatAge(askDocument("/v1/workspaces")["services"][0]));
  CHECK(hasSeries("status_age_ms{service=\"s\"} 15"));
}

TEST(AnOperatorOfAnOwner, IsToldThatAJobIsNotAmongThoseKnown) {
  publish("s", statusOfTwoJobs(Millis(0)));
  LONGS_EQUAL(404, ask("/v1/jobs/other").Status);
}

TEST(AnOperatorOfAnOwner, IsToldThatThereAreNoJobsIfNoneIsOwnedHere) {
  LONGS_EQUAL(200, ask("/v1/jobs").Status);
  CHECK(askDocument("/v1/jobs")["jobs"].empty());
  LONGS_EQUAL(404, ask("/v1/jobs/a").Status);
}

/// Guards against a silence since the start of the machine, and a read time of
/// reads that nobody made.
TEST(AnOperatorOfAnOwner, IsNotToldOfAStoreThatHasNotAnswered) {
  auto Status = askDocument("/v1/status");
  CHECK(Status["store_silent_ms"].is_null());
  CHECK(Status["store_read_ms"].is_null());
}

TEST(AnOperatorOfAnOwner, IsToldHowLongTheStoreIsSilent) {
  constexpr int SilentMs = 700;
  Context.StoreHealth.recordAnswer(monotonicNow() - Millis(SilentMs), 1);
  auto Status = askDocument("/v1/status");
  CHECK(Status["store_silent_ms"].is_number());
  CHECK(Status.value("store_silent_ms", 0) >= SilentMs);
  CHECK(Status["store_read_ms"].is_number());
}

/// Guards against an owner's address without a word on when it was read.
TEST(AnOperatorOfAnOwner, IsToldWhenItsRowWasRead) {
  constexpr int ReadMsAgo = 9'000;
  Context.Owners.set("s", "10.0.0.1:7");
  Context.Pending.set(
      "s", {.RowVersion = 3, .SentAt = monotonicNow() - Millis(ReadMsAgo)});
  auto Services = askDocument("/v1/status")["services"];
  CHECK(Services[0].value("owner_read_ms_ago", 0) >= ReadMsAgo);
  CHECK(Services[1]["owner_relay"].is_null());
  CHECK(Services[1]["owner_read_ms_ago"].is_null());
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
  publish("t", statusOfTwoJobs(Millis(0)));
  auto Document = askDocument("/v1/jobs");
  LONGS_EQUAL(2, Document["jobs"].size());
  CHECK_FALSE(Document.value("complete", true));
  CHECK_EQUAL(std::string("loading"),
              Document["services"][0].value("figures", ""));
  LONGS_EQUAL(200, ask("/v1/jobs/a").Status);
  LONGS_EQUAL(503, ask("/v1/jobs/other").Status);
}

/// Guards against gauges of zero, which sums over entries would count.
TEST(WhoseStoredJobsAreBeingRead, SeesNoGauges) {
  CHECK_FALSE(hasSeries("live_jobs{"));
  CHECK_FALSE(hasSeries("advice_waiting{"));
  CHECK(hasSeries("figures_known{service=\"s\"} 0\n"));
}

/// Guards against the last figures of a stuck owner, shown as present ones.
TEST(ThatHasPublishedNothingOfLate, IsToldThatTheFiguresAreOutdated) {
  auto Service = askDocument("/v1/status")["services"][0];
  CHECK_EQUAL(std::string("outdated"), Service.value("figures", ""));
  CHECK_FALSE(Service.contains("live_jobs"));
  LONGS_EQUAL(503, ask("/v1/jobs").Status);
  LONGS_EQUAL(503, ask("/v1/jobs/a").Status);
}

/// Guards against the last use of a workspace, shown as the present one.
TEST(ThatHasPublishedNothingOfLate, SeesNoUseOfWorkspaces) {
  auto Document = askDocument("/v1/workspaces");
  CHECK(Document["workspaces"][0]["services"].empty());
  CHECK_EQUAL(std::string("outdated"),
              Document["services"][0].value("figures", ""));
}

/// Guards against the last gauges of a stuck owner, scraped as present ones.
TEST(ThatHasPublishedNothingOfLate, SeesNoGauges) {
  CHECK_FALSE(hasSeries("live_jobs{"));
  CHECK_FALSE(hasSeries("workspace_waiting_steps{"));
  CHECK(hasSeries("figures_known{service=\"s\"} 0\n"));
}

/// Guards against gauges that stay after a service was left, so that sums over
/// entries count its jobs twice.
TEST(ThatHasLeftTheService, SeesTheGaugesOfOtherServicesOnly) {
  CHECK_FALSE(hasSeries("live_jobs{service=\"s\"}"));
  CHECK_FALSE(hasSeries("workspace_waiting_steps{service=\"s\""));
  CHECK(hasSeries("live_jobs{service=\"t\"} 2\n"));
}

// clang-format off
TEST_GROUP(GaugesOfWorkspaces) {
  OwnerGauges Gauges{"s"};

  std::vector<cell::WorkspaceStatus> busyWorkspaces(size_t First, size_t Count) {
    std::vector<cell::WorkspaceStatus> Statuses;
    for (size_t I = First; I < First + Count; ++I)
      Statuses.push_back({.Name = fmt::format("w{}", I), .WaitingSteps = 1});
    return Statuses;
  }
  /// -1 if the owner tells nothing of the workspace.
  double waitingSteps(std::vector<cell::WorkspaceStatus> Statuses, const std::string &Workspace) {
    cell::OwnerStatus State{.Workspaces = std::move(Statuses)};
    std::string Name = "workspace_waiting_steps{service=\"s\",workspace=\"" + Workspace + "\"}";
    for (const Gauge &Made : Gauges.make({.Counts = {}, .State = State})) {
      if (Made.Name == Name)
        return Made.Value;
    }
    return -1;
  }
};
// clang-format on

TEST(GaugesOfWorkspaces, AreZeroForOneThatIsIdleAgain) {
  DOUBLES_EQUAL(1, waitingSteps(busyWorkspaces(0, 2), "w0"), 0);
  DOUBLES_EQUAL(0, waitingSteps(busyWorkspaces(1, 1), "w0"), 0);
}

/// Guards against zeros for a workspace that only isn't among the busiest.
TEST(GaugesOfWorkspaces, AreLeftOutForOneThatTheOwnerMayNotTellOf) {
  constexpr size_t Most = cell::MaxReportedWorkspaces;
  DOUBLES_EQUAL(1, waitingSteps(busyWorkspaces(0, Most), "w0"), 0);
  DOUBLES_EQUAL(-1, waitingSteps(busyWorkspaces(1, Most), "w0"), 0);
}
