#include "platform/PlatformPorts.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;

// clang-format off
TEST_GROUP(DocumentsOfThePlatform) {
  platform::PlatformDocuments Texts;
  node::BodyProblem Problem;
};
// clang-format on

TEST(DocumentsOfThePlatform, AJobIsReadWithAllItsFields) {
  auto Job = Texts.job(
      R"({"spec":"x","steps":[{"count":2,"cpu":500,"mem-mb":256,"gpu":1,
      "est-runtime-ms":900,"affinity":"r1-3"},{"count":1,"after":[0],
      "gang":true,"checkpointing":true,"fills":true,"new-field":7}]})",
      Problem);
  CHECK_TRUE(static_cast<bool>(Job));
  LONGS_EQUAL(2, Job->Steps.size());
  LONGS_EQUAL(500, Job->Steps[0].Size.MilliCores);
  LONGS_EQUAL(900, Job->Steps[0].Estimate.count());
  CHECK_TRUE(Job->Steps[1].Gang && Job->Steps[1].BestEffort);
  LONGS_EQUAL(0, Job->Steps[1].Dependencies[0]);
}

TEST(DocumentsOfThePlatform, AbsurdJobsAreRefusedByField) {
  struct Case {
    const char *Body;
    const char *Field;
  };
  const Case Cases[] = {
      {"", "body"},
      {"[1]", "body"},
      {R"({"steps":[]})", "steps"},
      {R"({"steps":5})", "steps"},
      {R"({"steps":[3]})", "steps[0]"},
      {R"({"steps":[{}]})", "steps[0].count"},
      {R"({"steps":[{"count":-1}]})", "steps[0].count"},
      {R"({"steps":[{"count":1.5}]})", "steps[0].count"},
      {R"({"steps":[{"count":18446744073709551615}]})", "steps[0].count"},
      {R"({"steps":[{"count":700},{"count":700}]})", "steps"},
      {R"({"steps":[{"count":1,"after":[0]}]})", "steps[0].after"},
      {R"({"steps":[{"count":1,"gang":"yes"}]})", "steps[0].gang"},
      {R"({"spec":7,"steps":[{"count":1}]})", "spec"},
  };
  for (const Case &Each : Cases) {
    Problem = {};
    CHECK_FALSE(static_cast<bool>(Texts.job(Each.Body, Problem)));
    STRCMP_EQUAL(Each.Field, Problem.Field.c_str());
  }
}

TEST(DocumentsOfThePlatform, AnExecutorsEntryThatCannotBeReadNamesNone) {
  const char *Good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",
      "capacity":{"cpu":1000,"mem-mb":10,"gpu":2},"labels":["a","r1-3"]})";
  auto Read = Texts.executor("i-1", Good);
  CHECK_TRUE(static_cast<bool>(Read));
  STRCMP_EQUAL("r1-3", Read->Rack.c_str());
  LONGS_EQUAL(2, Read->Capacity.Accelerators);
  for (const char *Bad :
       {"", "\xff\xfe", "7", R"({"service":"s"})",
        R"({"service":"s","address":"a","zone":"z","state":"odd",
        "capacity":{"cpu":1},"labels":[]})",
        R"({"service":7,"address":"a","zone":"z","state":"ready",
        "capacity":{"cpu":1},"labels":[]})",
        R"({"service":"s","address":"a","zone":"z","state":"ready",
        "capacity":{"cpu":"x"},"labels":[]})"})
    CHECK_FALSE(static_cast<bool>(Texts.executor("i-1", Bad)));
}

TEST(DocumentsOfThePlatform, TheLongestPrefixOfAHostIsTheQueue) {
  auto Config = Texts.config(
      R"({"version":7,"routes":[
      {"name":"a","host":"h","path-prefix":"/x/","service":"s"},
      {"name":"b","host":"h","path-prefix":"/x/y/","service":"s",
       "advice":{"decision-ms":19.0,"period-ms":0.5,"validity-ms":2000}}],
      "services":[{"name":"s"}]})");
  CHECK_TRUE(static_cast<bool>(Config));
  STRCMP_EQUAL("b", Config->findQueueByPath("h", "/x/y/1")->Name.c_str());
  STRCMP_EQUAL("a", Config->findQueueByPath("h", "/x/1")->Name.c_str());
  POINTERS_EQUAL(nullptr, Config->findQueueByPath("other", "/x/1"));
  LONGS_EQUAL(2'000, Config->findQueue("b")->Advice->Validity.count());
}

TEST(DocumentsOfThePlatform, AConfigurationThatCannotBeReadIsNone) {
  CHECK_FALSE(static_cast<bool>(Texts.config("{}")));
  CHECK_FALSE(static_cast<bool>(Texts.config(R"({"version":"x"})")));
}
