#include "harness/Checker.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::harness;

namespace {

TryRecord tryRecord(const std::string &Key, const std::string &Outcome,
                    bool Repeatable = false) {
  return {.Key = Key,
          .Repeatable = Repeatable,
          .SentAt = 10,
          .AnsweredAt = 20,
          .Outcome = Outcome,
          .Body = "answer:" + Key};
}

EndpointEvent endpointEvent(const std::string &Key, bool IsStart = true,
                            int64_t Time = 15) {
  return {.Time = Time, .IsStart = IsStart, .Endpoint = "ep", .Key = Key};
}

AttemptEvent attemptEvent(int64_t Time, AttemptEvent::Kind EventKind,
                          const std::string &Worker, uint32_t Attempt,
                          const std::string &Result = "") {
  return {.Time = Time,
          .EventKind = EventKind,
          .Worker = Worker,
          .Task = "j/0",
          .Attempt = Attempt,
          .Result = Result,
          .Size = {.MilliCores = 3'000}};
}

} // namespace

// clang-format off
TEST_GROUP(HistoryChecker) {
  DeploymentHistory History;
  void setup() override {
    History.Tries = {tryRecord("a", "done"), tryRecord("b", "not-run")};
    History.EndpointEvents = {endpointEvent("a"), endpointEvent("a", false, 18)};
    History.WorkerCapacities["w1"] = {.MilliCores = 4'000};
    History.AttemptEvents = {attemptEvent(1, AttemptEvent::Kind::Start, "w1", 1),
                             attemptEvent(5, AttemptEvent::Kind::End, "w1", 1, "succeeded")};
    History.Jobs = {{.Id = "j", .State = "succeeded", .TaskCount = 1}};
  }
  void expectViolation(Violation Kind) {
    auto Findings = findViolations(History);
    LONGS_EQUAL(1, Findings.size());
    CHECK(Findings.front().Kind == Kind);
  }
};
// clang-format on

TEST(HistoryChecker, AcceptsAConsistentHistory) {
  LONGS_EQUAL(0, findViolations(History).size());
}

TEST(HistoryChecker, ReportsASecondRunOfANonRepeatableRequest) {
  History.EndpointEvents.push_back(endpointEvent("a", true, 30));
  expectViolation(Violation::NonRepeatableRanTwice);
}

TEST(HistoryChecker, AcceptsASecondRunOfARepeatableRequest) {
  History.Tries[0].Repeatable = true;
  History.EndpointEvents.push_back(endpointEvent("a", true, 30));
  LONGS_EQUAL(0, findViolations(History).size());
}

TEST(HistoryChecker, ReportsARunOfARequestAnsweredNotRun) {
  History.EndpointEvents.push_back(endpointEvent("b"));
  expectViolation(Violation::RanDespiteNotRun);
}

TEST(HistoryChecker, ReportsATruncatedAnswer) {
  History.Tries[0].Body = "answer:";
  expectViolation(Violation::WrongAnswer);
}

TEST(HistoryChecker, ReportsADoneAnswerWithoutARun) {
  History.EndpointEvents.clear();
  expectViolation(Violation::DoneWithoutRun);
}

TEST(HistoryChecker, ReportsANinthConcurrentRequestOnEightSlots) {
  for (int Index = 0; Index < 9; ++Index)
    History.EndpointEvents.push_back(
        endpointEvent("c" + std::to_string(Index), true, 40));
  expectViolation(Violation::SlotsExceeded);
}

TEST(HistoryChecker, ReportsOverlappingAttemptsOfATask) {
  History.AttemptEvents.insert(
      History.AttemptEvents.begin() + 1,
      attemptEvent(3, AttemptEvent::Kind::Start, "w2", 2));
  expectViolation(Violation::OverlappingAttempts);
}

TEST(HistoryChecker, AcceptsConsecutiveAttemptsOfATask) {
  History.AttemptEvents.push_back(
      attemptEvent(6, AttemptEvent::Kind::Start, "w2", 2));
  LONGS_EQUAL(0, findViolations(History).size());
}

TEST(HistoryChecker, AcceptsANewAttemptAfterTheWorkerWasKilled) {
  History.AttemptEvents[1].EventKind = AttemptEvent::Kind::Killed;
  History.AttemptEvents[1].Worker = "w";
  History.AttemptEvents.push_back(
      attemptEvent(6, AttemptEvent::Kind::Start, "w2", 2));
  History.AttemptEvents.push_back(
      attemptEvent(8, AttemptEvent::Kind::End, "w2", 2, "succeeded"));
  LONGS_EQUAL(0, findViolations(History).size());
}

TEST(HistoryChecker, ReportsAttemptsBeyondTheCapacityOfAnInstance) {
  AttemptEvent OtherStart = attemptEvent(2, AttemptEvent::Kind::Start, "w1", 1);
  OtherStart.Task = "k/0";
  History.AttemptEvents.insert(History.AttemptEvents.begin() + 1, OtherStart);
  expectViolation(Violation::InstanceOvercommitted);
}

TEST(HistoryChecker, ReportsANewRequestOnADrainingEndpoint) {
  History.Drains = {{.Endpoint = "ep", .ListedAt = 1, .AppliedAt = 5}};
  expectViolation(Violation::RequestOnDrainingEndpoint);
}

TEST(HistoryChecker, ReportsARequestDroppedByAGracefulStop) {
  History.Tries[0].Outcome = "none";
  History.Tries[0].EntryWasStopping = true;
  expectViolation(Violation::DroppedByGracefulStop);
}

TEST(HistoryChecker, ReportsAConfigVersionThatDecreases) {
  History.ConfigObservations = {{1, "e/1", 3}, {2, "e/2", 2}, {3, "e/1", 2}};
  expectViolation(Violation::ConfigReverted);
}

TEST(HistoryChecker, ReportsTwoChangesAcceptedForOneVersion) {
  History.AcceptedVersions = {4, 5, 5};
  expectViolation(Violation::VersionAcceptedTwice);
}

TEST(HistoryChecker, ReportsABatchJobThatNeverEnds) {
  History.Jobs[0].State = "accepted";
  expectViolation(Violation::JobNeverEnded);
}

TEST(HistoryChecker, ReportsASucceededJobWithUnfinishedTasks) {
  History.Jobs[0].TaskCount = 2;
  expectViolation(Violation::JobSucceededWithoutTasks);
}
