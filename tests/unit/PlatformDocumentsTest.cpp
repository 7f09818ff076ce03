#include "platform/PlatformPorts.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;

// clang-format off
TEST_GROUP(PlatformDocuments) {
  platform::PlatformDocumentCodec Codec;
  node::FieldError Error;
};
// clang-format on

TEST(PlatformDocuments, AJobIsParsedWithAllItsFields) {
  auto Job = Codec.parseJob(
      R"({"spec":"x","steps":[{"count":2,"cpu":500,"mem-mb":256,"gpu":1,
      "est-runtime-ms":900,"affinity":"r1-3"},{"count":1,"after":[0],
      "gang":true,"checkpointing":true,"fills":true,"new-field":7}]})",
      Error);
  CHECK_TRUE(static_cast<bool>(Job));
  LONGS_EQUAL(2, Job->Steps.size());
  LONGS_EQUAL(500, Job->Steps[0].Size.MilliCores);
  LONGS_EQUAL(900, Job->Steps[0].Estimate.count());
  CHECK_TRUE(Job->Steps[1].Gang && Job->Steps[1].BestEffort);
  LONGS_EQUAL(0, Job->Steps[1].Dependencies[0]);
}

TEST(PlatformDocuments, AnInvalidJobIsRefusedWithItsField) {
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
  for (const Case &Example : Cases) {
    Error = {};
    CHECK_FALSE(static_cast<bool>(Codec.parseJob(Example.Body, Error)));
    STRCMP_EQUAL(Example.Field, Error.Field.c_str());
  }
}

TEST(PlatformDocuments, AMalformedExecutorDocumentIsRefused) {
  const char *Valid =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",
      "capacity":{"cpu":1000,"mem-mb":10,"gpu":2},"labels":["a","r1-3"]})";
  auto Info = Codec.parseExecutor("i-1", Valid);
  CHECK_TRUE(static_cast<bool>(Info));
  STRCMP_EQUAL("r1-3", Info->Rack.c_str());
  LONGS_EQUAL(2, Info->Capacity.Accelerators);
  for (const char *Malformed :
       {"", "\xff\xfe", "7", R"({"service":"s"})",
        R"({"service":"s","address":"a:1","zone":"z","state":"odd",
        "capacity":{"cpu":1},"labels":[]})",
        R"({"service":7,"address":"a:1","zone":"z","state":"ready",
        "capacity":{"cpu":1},"labels":[]})",
        R"({"service":"s","address":"a:1","zone":"z","state":"ready",
        "capacity":{"cpu":"x"},"labels":[]})"})
    CHECK_FALSE(static_cast<bool>(Codec.parseExecutor("i-1", Malformed)));
}

TEST(PlatformDocuments, AnExecutorMayStateWhenItStarted) {
  auto Parse = [&](const std::string &Born) {
    return Codec.parseExecutor(
        "i-1", R"({"service":"s","address":"a:1","zone":"z","state":"ready",
               "capacity":{"cpu":1},"labels":[])" +
                   Born + "}");
  };
  LONGS_EQUAL(0, Parse("")->Born);
  LONGS_EQUAL(1'900'000'000'123, Parse(R"(,"born":1900000000123)")->Born);
  for (const char *Malformed :
       {R"(,"born":"1900000000123")", R"(,"born":1.5)", R"(,"born":-1)",
        R"(,"born":null)", R"(,"born":[7])"})
    CHECK_FALSE(static_cast<bool>(Parse(Malformed)));
}

TEST(PlatformDocuments, TheLongestMatchingPrefixSelectsTheQueue) {
  auto Config = Codec.parseConfig(R"({"version":7,"routes":[
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

TEST(PlatformDocuments, AMalformedConfigurationIsRefused) {
  CHECK_FALSE(static_cast<bool>(Codec.parseConfig("{}")));
  CHECK_FALSE(static_cast<bool>(Codec.parseConfig(R"({"version":"x"})")));
}
