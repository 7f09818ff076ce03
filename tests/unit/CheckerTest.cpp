#include "harness/Checker.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::harness;

namespace {

Told told(const std::string &Key, const std::string &Outcome,
          bool Repeatable = false) {
  return {.Key = Key,
          .Repeatable = Repeatable,
          .AskedAt = 10,
          .ToldAt = 20,
          .Outcome = Outcome,
          .Body = "answer:" + Key};
}

EndpointRun endpointRun(const std::string &Key, bool Begins = true,
                        int64_t At = 15) {
  return {.At = At, .Begins = Begins, .Endpoint = "ep", .Key = Key};
}

TaskRun task(int64_t At, TaskRun::Kind What, const std::string &Worker,
             uint32_t Attempt, const std::string &Result = "") {
  return {.At = At,
          .What = What,
          .Worker = Worker,
          .Task = "j/0",
          .Attempt = Attempt,
          .Result = Result,
          .Size = {.MilliCores = 3'000}};
}

} // namespace

// clang-format off
TEST_GROUP(ACleanHistory) {
  Histories Past;
  void setup() override {
    Past.Answers = {told("a", "done"), told("b", "not-run")};
    Past.Runs = {endpointRun("a"), endpointRun("a", false, 18)};
    Past.Capacities["w1"] = {.MilliCores = 4'000};
    Past.Tasks = {task(1, TaskRun::Kind::Start, "w1", 1),
                  task(5, TaskRun::Kind::End, "w1", 1, "succeeded")};
    Past.Jobs = {{.Id = "j", .State = "succeeded", .Tasks = 1}};
  }
  void finds(Violation What) {
    auto Findings = check(Past);
    LONGS_EQUAL(1, Findings.size());
    CHECK(Findings.front().What == What);
  }
};
// clang-format on

TEST(ACleanHistory, HasNoFindings) { LONGS_EQUAL(0, check(Past).size()); }

TEST(ACleanHistory, WithASecondRunRanTwice) {
  Past.Runs.push_back(endpointRun("a", true, 30));
  finds(Violation::RanTwice);
}

TEST(ACleanHistory, WithASecondRunOfARepeatableIsClean) {
  Past.Answers[0].Repeatable = true;
  Past.Runs.push_back(endpointRun("a", true, 30));
  LONGS_EQUAL(0, check(Past).size());
}

TEST(ACleanHistory, WithARunOfWhatWasToldNotRunLied) {
  Past.Runs.push_back(endpointRun("b"));
  finds(Violation::NotRunRan);
}

TEST(ACleanHistory, WithHalfAnAnswerIsWrong) {
  Past.Answers[0].Body = "answer:";
  finds(Violation::WrongAnswer);
}

TEST(ACleanHistory, WithAnAnswerOutOfNothingIsWrong) {
  Past.Runs.clear();
  finds(Violation::DoneButNeverRan);
}

TEST(ACleanHistory, WithANinthRequestExceedsTheSlots) {
  for (int I = 0; I < 9; ++I)
    Past.Runs.push_back(endpointRun("c" + std::to_string(I), true, 40));
  finds(Violation::SlotsExceeded);
}

TEST(ACleanHistory, WithOverlappingAttemptsRanTwiceAtOnce) {
  Past.Tasks.insert(Past.Tasks.begin() + 1,
                    task(3, TaskRun::Kind::Start, "w2", 2));
  finds(Violation::TaskRanTwiceAtOnce);
}

TEST(ACleanHistory, WithAttemptsOneAfterTheOtherIsClean) {
  Past.Tasks.push_back(task(6, TaskRun::Kind::Start, "w2", 2));
  LONGS_EQUAL(0, check(Past).size());
}

TEST(ACleanHistory, WithAWorkerKilledBeforeTheNextAttemptIsClean) {
  Past.Tasks[1].What = TaskRun::Kind::Killed;
  Past.Tasks[1].Worker = "w";
  Past.Tasks.push_back(task(6, TaskRun::Kind::Start, "w2", 2));
  Past.Tasks.push_back(task(8, TaskRun::Kind::End, "w2", 2, "succeeded"));
  LONGS_EQUAL(0, check(Past).size());
}

TEST(ACleanHistory, WithMoreThanTheInstanceHoldsIsOverbooked) {
  TaskRun Other = task(2, TaskRun::Kind::Start, "w1", 1);
  Other.Task = "k/0";
  Past.Tasks.insert(Past.Tasks.begin() + 1, Other);
  finds(Violation::InstanceOverbooked);
}

TEST(ACleanHistory, WithNewWorkOnALeavingEndpointBrokeTheDrain) {
  Past.Drains = {{.Endpoint = "ep", .ListedAt = 1, .AppliedAt = 5}};
  finds(Violation::WorkOnLeavingEndpoint);
}

TEST(ACleanHistory, WithARequestCutByAPlannedStopWasCut) {
  Past.Answers[0].Outcome = "none";
  Past.Answers[0].EntryWasStopping = true;
  finds(Violation::CutByPlannedStop);
}

TEST(ACleanHistory, WithALowerVersionLaterReverted) {
  Past.Versions = {{1, "e/1", 3}, {2, "e/2", 2}, {3, "e/1", 2}};
  finds(Violation::ConfigReverted);
}

TEST(ACleanHistory, WithTwoWinnersOfOneVersionIsFalse) {
  Past.AcceptedVersions = {4, 5, 5};
  finds(Violation::RaceHadTwoWinners);
}

TEST(ACleanHistory, WithAnOpenJobLostIt) {
  Past.Jobs[0].State = "accepted";
  finds(Violation::JobLost);
}

TEST(ACleanHistory, WithASuccessOfTasksThatNeverEndedIsFalse) {
  Past.Jobs[0].Tasks = 2;
  finds(Violation::JobEndedWithoutItsTasks);
}
