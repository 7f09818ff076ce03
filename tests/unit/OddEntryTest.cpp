#include "cell/EntryCapacity.h"
#include "cell/JobSpec.h"
#include "cell/JsonProgress.h"
#include "cell/OwnerRow.h"
#include "cell/Progress.h"
#include "platform/PlatformPorts.h"
#include "unit/RandomJson.h"

#include <fmt/format.h>

#include <string>

#include <CppUTest/TestHarness.h>

/// What other writers may leave where an entry reads: it is refused or left
/// out, and the entry goes on.
using namespace daisylanding;
using test::ManyLevels;
using test::nestedLists;

namespace {

/// An entry of an executor with other members in place of, or beside, its own.
std::string entry(const std::string &Address, const std::string &Capacity,
                  const std::string &More = "") {
  return R"({"service":"s","zone":"z","state":"ready","labels":[],"address":)" +
         Address + R"(,"capacity":)" + Capacity + More + "}";
}

std::string entryAt(const std::string &Address) {
  return entry('"' + Address + '"', R"({"cpu":1000})");
}

std::string entryWith(const std::string &Capacity) {
  return entry(R"("10.0.0.1:80")", Capacity);
}

} // namespace

// clang-format off
TEST_GROUP(AnEntryAmongThoseOfTheExecutors) {
  platform::PlatformDocumentCodec Codec;
  bool isUsable(const std::string &Text, std::string_view Id = "i-1") {
    return static_cast<bool>(Codec.parseExecutor(Id, Text));
  }
};
// clang-format on

/// Guards against starts sent to a port that doesn't exist.
TEST(AnEntryAmongThoseOfTheExecutors, WithoutAnAddressToCallNamesNone) {
  for (const char *Address :
       {"10.0.0.1:1", "10.0.0.1:65535", "host-1.zone:80", "[fe80::1]:80"})
    CHECK_TRUE(isUsable(entryAt(Address)));
  for (const char *Address : {"",
                              ":",
                              "10.0.0.1",
                              "10.0.0.1:",
                              "10.0.0.1:0",
                              "10.0.0.1:-1",
                              "10.0.0.1:65536",
                              "10.0.0.1:99999",
                              "10.0.0.1:80x",
                              "10.0.0.1:8 0",
                              ":80",
                              "a b:80",
                              "a/b:80",
                              "a@b:80",
                              "fe80::1:80",
                              "[]:80",
                              "[::1:80",
                              "a\\r\\nb:80",
                              "10.0.0.1:80/path",
                              "10.0.0.1:4294967376"})
    CHECK_FALSE(isUsable(entryAt(Address)));
}

/// Guards against a request header that an id from the store would end.
TEST(AnEntryAmongThoseOfTheExecutors, UnderAKeyThatIsNoIdNamesNone) {
  for (std::string_view Id : {"", "i 1", "i\r\nX: y", "i\x7f", "\xc3\xa4"})
    CHECK_FALSE(isUsable(entryAt("10.0.0.1:80"), Id));
  CHECK_FALSE(isUsable(entryAt("10.0.0.1:80"), std::string(5'000, 'i')));
}

/// Guards against a capacity of 4,294,967 cores read from -1, and other sizes
/// that no executor has.
TEST(AnEntryAmongThoseOfTheExecutors, WithACapacityThatNoneHasNamesNone) {
  for (const char *Field : {"cpu", "mem-mb", "gpu"}) {
    for (const char *Value :
         {"-1", "1.5", "1e30", "1e400", "1180591620717411303424", "4294968296",
          "100000001", "\"8\"", "null", "[1]", "true"})
      CHECK_FALSE(
          isUsable(entryWith(fmt::format(R"({{"{}":{}}})", Field, Value))));
    for (const char *Value : {"0", "16000", "16000.0", "100000000"})
      CHECK_TRUE(
          isUsable(entryWith(fmt::format(R"({{"{}":{}}})", Field, Value))));
  }
  for (const char *Capacity : {"[]", "7", "null", "\"cpu\""})
    CHECK_FALSE(isUsable(entryWith(Capacity)));
}

/// Guards against documents whose copies exhaust the stack.
TEST(AnEntryAmongThoseOfTheExecutors, ThatIsVeryDeeplyNestedNamesNone) {
  std::string Deep = nestedLists(ManyLevels);
  std::string Open(ManyLevels, '[');
  auto Usable = [&](const std::string &Other) {
    return isUsable(entry(R"("10.0.0.1:80")", "{}", R"(,"other":)" + Other));
  };
  CHECK_TRUE(Usable(R"([[{"a":"[[[[\"[["}]])"));
  CHECK_TRUE(Usable('"' + Open + "\\\\\""));
  CHECK_FALSE(Usable(Deep));
  CHECK_FALSE(isUsable(Deep));
  CHECK_FALSE(isUsable(Open));
}

// clang-format off
TEST_GROUP(ABodyOfACaller) {
  platform::PlatformDocumentCodec Codec;
  node::FieldError Error;
};
// clang-format on

/// Guards against one request that ends the process: a list nested 120,000
/// times, which fits a body, was copied by recursion.
TEST(ABodyOfACaller, ThatIsVeryDeeplyNestedIsRefused) {
  std::string Deep = nestedLists(ManyLevels);
  CHECK_FALSE(static_cast<bool>(Codec.parseJob(
      R"({"steps":[{"count":1,"after":)" + Deep + "}]}", Error)));
  STRCMP_EQUAL("body", Error.Field.c_str());
  CHECK_FALSE(static_cast<bool>(Codec.parseJob(Deep, Error)));
}

// clang-format off
TEST_GROUP(AConfigurationOfTheOperator) {
  platform::PlatformDocumentCodec Codec;
  bool isReadable(const std::string &Member, const std::string &Value,
                  const std::string &Limit = "") {
    return static_cast<bool>(Codec.parseConfig(
        R"({"version":7,"services":[{"name":"s"}],"limits":{)" + Limit +
        R"(},"routes":[{"name":"a","host":"h","path-prefix":"/x/","service":"s",")" +
        Member + "\":" + Value + "}]}"));
  }
};
// clang-format on

/// Guards against deadlines and tries that wrap.
TEST(AConfigurationOfTheOperator, WithAnOddNumberIsRefused) {
  for (const char *Member : {"priority", "max-attempts", "target-latency-ms"}) {
    for (const char *Value : {"-1", "1e30", "4611686018427387904",
                              "18446744073709551615", "\"7\"", "null"})
      CHECK_FALSE(isReadable(Member, Value));
    CHECK_TRUE(isReadable(Member, "3"));
  }
  for (const char *Value : {"-1", "1001", "1e30", "1e400", "\"7\"", "null"})
    CHECK_FALSE(isReadable("stretch", Value));
  CHECK_TRUE(isReadable("stretch", "2.5"));
  for (const char *Member : {"decision-ms", "period-ms", "validity-ms"}) {
    auto Terms = [&](const char *Value) {
      return fmt::format(R"({{"{}":{}}})", Member, Value);
    };
    for (const char *Value : {"-1", "1e30", "\"7\"", "null"})
      CHECK_FALSE(isReadable("advice", Terms(Value)));
    CHECK_TRUE(isReadable("advice", Terms("19.5")));
  }
  for (const char *Limit : {"max-header-bytes", "max-body-bytes",
                            "header-timeout-ms", "idle-timeout-ms"}) {
    for (const char *Value : {"-1", "1e30", "18446744073709551615", "null"})
      CHECK_FALSE(
          isReadable("priority", "1", fmt::format(R"("{}":{})", Limit, Value)));
    CHECK_TRUE(isReadable("priority", "1", fmt::format(R"("{}":4096)", Limit)));
  }
  CHECK_FALSE(isReadable("other", nestedLists(ManyLevels)));
}

// clang-format off
TEST_GROUP(ARowOfACell) {};
// clang-format on

/// Guards against entries that all take themselves for much too small to own a
/// service.
TEST(ARowOfACell, WithAnOddCapacityOfAnEntryIsRefused) {
  auto Decode = [](const char *MilliCores) {
    return cell::decodeEntryCapacity(
        fmt::format(R"({{"millicores":{},"link_kbit":1000}})", MilliCores));
  };
  for (const char *MilliCores : {"-1", "1e30", "4294968296", "1.5", "null"})
    CHECK_FALSE(static_cast<bool>(Decode(MilliCores)));
  LONGS_EQUAL(500, Decode("500")->MilliCores);
}

/// Guards against fencing tokens and lease ends read from what is none.
TEST(ARowOfACell, WithAnOddNumberOfAnOwnerIsRefused) {
  auto Decode = [](const char *Epoch, const char *LeasesEnd) {
    return cell::decodeOwnerRow(fmt::format(
        R"({{"holder":"e","epoch":{},"sequence":1,"released":false,)"
        R"("pending":{{}},"leases_end_ms":{}}})",
        Epoch, LeasesEnd));
  };
  for (const char *Odd : {"-1", "1e30", "1.5", "18446744073709551615"}) {
    CHECK_FALSE(static_cast<bool>(Decode(Odd, "1")));
    CHECK_FALSE(static_cast<bool>(Decode("1", Odd)));
  }
  CHECK_TRUE(static_cast<bool>(Decode("1", "1")));
}

/// Guards against a row that ends each process that loads it.
TEST(ARowOfACell, ThatIsVeryDeeplyNestedIsRefused) {
  std::string Deep = nestedLists(ManyLevels);
  CHECK_FALSE(static_cast<bool>(cell::decodeJsonProgress(
      R"({"phase":"running","tasks":[],"done":)" + Deep + "}")));
  CHECK_FALSE(static_cast<bool>(cell::decodeJob(Deep)));
  CHECK_FALSE(static_cast<bool>(cell::decodeOwnerRow(Deep)));
  CHECK_FALSE(cell::knowsEndedJobs(Deep));
}

/// Guards against a row that ends each process that loads it: an exception left
/// the decoder.
TEST(ARowOfACell, WhosePhaseIsNoTextIsRefused) {
  for (const char *Phase : {"7", "null", "[]", "\"odd\""}) {
    std::string Text =
        fmt::format(R"({{"phase":{},"tasks":[],"done":[]}})", Phase);
    CHECK_FALSE(static_cast<bool>(cell::decodeJsonPhase(Text)));
    CHECK_FALSE(static_cast<bool>(cell::decodeJsonProgress(Text)));
  }
}

/// Guards against steps that wait for steps that don't exist.
TEST(ARowOfACell, OfAJobThatNoCallerCouldSubmitIsRefused) {
  auto Decode = [](const std::string &Steps) {
    return cell::decodeJob(
        R"({"id":"0000000000000001","queue":"q","spec":"","steps":)" + Steps +
        "}");
  };
  for (const char *Steps :
       {"[]", R"([{"count":0}])", R"([{"count":-1}])",
        R"([{"count":4000000000}])", R"([{"count":1,"after":[0]}])",
        R"([{"count":1},{"count":1,"after":[-1]}])", R"([{"cores":-1}])",
        R"([{"cores":4294968296}])", R"([{"estimate":1e30}])"})
    CHECK_FALSE(static_cast<bool>(Decode(Steps)));
  CHECK_TRUE(static_cast<bool>(Decode(R"([{},{"count":2,"after":[0]}])")));
}

// clang-format off
TEST_GROUP(ForAnyDocument) {
  platform::PlatformDocumentCodec Codec;
};
// clang-format on

/// Guards against what nobody thought of: nothing throws, or ends the process.
TEST(ForAnyDocument, AnOddVersionOfItIsReadOrRefused) {
  const char *Config = R"({"version":7,"services":[{"name":"s"}],
      "limits":{"max-body-bytes":1},"routes":[{"name":"a","host":"h",
      "path-prefix":"/x/","service":"s","stretch":2.0,"target-latency-ms":9,
      "max-attempts":3,"priority":1,"advice":{"decision-ms":1}}]})";
  const char *Body = R"({"spec":"x","first-run-ms":1,"repeat-count":2,
      "steps":[{"count":2,"cpu":5},{"count":1,"after":[0],"gang":true}]})";
  const char *Job = R"({"id":"0000000000000001","queue":"q","spec":"",
      "steps":[{"count":1,"cores":5},{"count":2,"after":[0],"estimate":7}]})";
  const char *Owner = R"({"holder":"e","epoch":1,"sequence":1,"pending":{"q":1},
      "released":false,"silent":{"i-1":5},"leases_end_ms":7})";
  const char *Progress = R"({"phase":"running","ended":0,"done":[1],
      "tasks":[[0,0,0,"o",1,0,"i-1","","a:1",0]]})";
  CHECK(rc::check("documents", [&] {
    (void)Codec.parseConfig(test::oddVersionOf(Config));
    (void)Codec.parseExecutor("i-1", test::oddVersionOf(entryAt("a:1")));
    node::FieldError Error;
    bool Read =
        static_cast<bool>(Codec.parseJob(test::oddVersionOf(Body), Error));
    RC_ASSERT(Read == Error.Field.empty());
    (void)cell::decodeJob(test::oddVersionOf(Job));
    (void)cell::decodeOwnerRow(test::oddVersionOf(Owner));
    (void)cell::decodeProgress(test::oddVersionOf(Progress));
    std::string Capacity =
        test::oddVersionOf(R"({"millicores":5,"link_kbit":5})");
    (void)cell::decodeEntryCapacity(Capacity);
    (void)cell::knowsEndedJobs(Capacity);
  }));
}
