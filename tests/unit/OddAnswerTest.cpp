#include "common/Json.h"
#include "platform/ExecutorClient.h"
#include "platform/StoreClient.h"
#include "standin/RawServer.h"
#include "unit/RandomJson.h"

#include <fmt/format.h>

#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

/// What an executor, the store, or something else at their addresses may
/// answer: it is refused as a failure of its type, and the entry goes on.
using namespace daisylanding;
using standin::RawServer;
using test::ManyLevels;
using test::nestedLists;

namespace {

/// No answer of these tests is late, however slow the machine is.
constexpr Millis LongWait{60'000};

} // namespace

// clang-format off
/// An executor, or something else at its address.
TEST_GROUP(AnAnswerToAnOrder) {
  http::MultiClient Client{{}};
  platform::ExecutorClient Port{{.ConnectTimeout = LongWait, .OrderTimeout = LongWait, .RenewalGrace = LongWait}, Client};
  template <typename Answer, typename Sender>
  Answer waitFor(Sender Send) {
    std::optional<Answer> Received;
    Send([&](Answer Result) { Received = std::move(Result); });
    while (!Received)
      Client.poll(Millis(10'000));
    return *Received;
  }
  executor::OrderAnswer startWith(const std::string &Body, const std::string &Status) {
    RawServer Server({}, Body, Status);
    return waitFor<executor::OrderAnswer>([&](auto Done) {
      Port.start({.Target = {.Address = Server.address(), .Id = "i-1"}}, Done);
    });
  }
  executor::RenewalAnswer renewWith(const std::string &Body, const std::string &Status = "200 OK") {
    RawServer Server({}, Body, Status);
    return waitFor<executor::RenewalAnswer>([&](auto Done) {
      Port.renewLeases({.Target = {.Address = Server.address(), .Id = "i-1"}}, Done);
    });
  }
  Result<executor::Advice> adviseWith(const std::string &Body, const std::string &Status = "200 OK") {
    RawServer Server({}, Body, Status);
    platform::AdviceClient Advisor(Server.address(), Client);
    return waitFor<Result<executor::Advice>>([&](auto Done) {
      Advisor.requestAdvice({.Timeout = LongWait}, Done);
    });
  }
  executor::Advice adviceWith(const std::string &Validity) {
    return *adviseWith(R"({"allowed":[],"validity-ms":)" + Validity + "}");
  }
};
// clang-format on

/// Guards against an answer that ends the process: an exception left the
/// callback of the call.
TEST(AnAnswerToAnOrder, WhoseReasonIsNoTextIsARefusal) {
  for (const char *Body : {R"({"reason":7})", R"({"reason":null})",
                           R"({"reason":{}})", R"({"reason":[]})"})
    CHECK(startWith(Body, "409 Conflict").Outcome ==
          executor::OrderOutcome::Rejected);
}

/// Guards against lease ends beyond all time.
TEST(AnAnswerToAnOrder, WhoseClockIsNoTimeTellsNone) {
  for (const char *Clock : {"1e30", "-1", "-1e30", "9223372036854775807",
                            "18446744073709551615", "\"7\"", "null"})
    CHECK_FALSE(startWith(fmt::format(R"({{"clock-ms":{}}})", Clock), "200 OK")
                    .ClockMs.has_value());
  LONGS_EQUAL(482'113, *startWith(R"({"clock-ms":482113})", "200 OK").ClockMs);
  LONGS_EQUAL(482'113,
              *startWith(R"({"clock-ms":482113.7})", "200 OK").ClockMs);
}

/// Guards against run numbers cut down to those of other runs, the end of a run
/// that no task has, by which one that was never started is done, end numbers
/// after which all further ends would count as known, and a list that is none,
/// by which every run would have ended.
TEST(AnAnswerToAnOrder, WithARowThatIsNoRunIsDroppedAsAWhole) {
  for (const char *Lists :
       {R"("running":[["t",4294967298]],"finished":[])",
        R"("running":[["t",0]],"finished":[])",
        R"("running":[["t",-1]],"finished":[])",
        R"("running":[["t",1.5]],"finished":[])",
        R"("running":[],"finished":[[1,"t",4294967298,"done",""]])",
        R"("running":[],"finished":[[18446744073709551615,"t",1,"done",""]])",
        R"("running":[],"finished":[[1,"t",0,"done",""]])",
        R"("running":[],"finished":[[0,"t",1,"done",""]])",
        R"("running":[],"finished":[[-1,"t",1,"done",""]])",
        R"("running":[],"finished":[[1e30,"t",1,"done",""]])",
        R"("running":7,"finished":[])", R"("running":null,"finished":[])",
        R"("running":{},"finished":[])", R"("running":[],"finished":null)"})
    CHECK(renewWith(fmt::format(R"({{"clock-ms":1,{}}})", Lists)).Outcome ==
          executor::OrderOutcome::Unknown);
  CHECK(renewWith(nestedLists(ManyLevels)).Outcome ==
        executor::OrderOutcome::Unknown);
}

/// Only a report about the run, which decides nothing.
TEST(AnAnswerToAnOrder, WithAnOddMeasurementLeavesItOut) {
  auto Answer = renewWith(R"({"clock-ms":1,"finished":[],
      "running":[["a",1,"",-1,-1e30],["b",1,"",1e30,1e300],["c",1,"",41,0.5],
      ["d",1,"",101,1]]})");
  CHECK(Answer.Outcome == executor::OrderOutcome::Done);
  LONGS_EQUAL(0, Answer.Running[0].Percent);
  DOUBLES_EQUAL(0, Answer.Running[0].Usage, 0);
  LONGS_EQUAL(0, Answer.Running[1].Percent);
  DOUBLES_EQUAL(0, Answer.Running[1].Usage, 0);
  LONGS_EQUAL(41, Answer.Running[2].Percent);
  DOUBLES_EQUAL(0.5, Answer.Running[2].Usage, 0);
  LONGS_EQUAL(0, Answer.Running[3].Percent);
}

/// Guards against a progress row that the store refuses for its size, with all
/// that the owner commits beside it.
TEST(AnAnswerToAnOrder, WithACheckpointThatNoRowHoldsLeavesItOut) {
  auto Renew = [&](size_t Bytes) {
    std::string Checkpoint(Bytes, 'c');
    return renewWith(fmt::format(
        R"({{"running":[["a",1,"{0}",1,1]],"finished":[[1,"b",1,"done","{0}"]]}})",
        Checkpoint));
  };
  for (size_t Bytes : {300'000, 257}) {
    auto Answer = Renew(Bytes);
    CHECK(Answer.Outcome == executor::OrderOutcome::Done);
    LONGS_EQUAL(0, Answer.Running[0].Checkpoint.size());
    LONGS_EQUAL(0, Answer.Ended[0].Checkpoint.size());
  }
  LONGS_EQUAL(256, Renew(256).Running[0].Checkpoint.size());
}

/// Guards against an answer whose incarnation, as of the far future, ends the
/// runs of the real one.
TEST(AnAnswerToAnOrder, OfAnIncarnationThatIsNoTimeIsDropped) {
  for (const char *Born : {"-1", "1.5", "1e30", "9223372036854775807", "null"})
    CHECK(renewWith(
              fmt::format(R"({{"running":[],"finished":[],"born":{}}})", Born))
              .Outcome == executor::OrderOutcome::Unknown);
}

/// Guards against an answer that ends the runs of an executor that goes on, and
/// after which each real start counts as an earlier one.
TEST(AnAnswerToAnOrder, OfAnIncarnationStartedFarAheadIsDropped) {
  constexpr int64_t MinuteMs = 60'000;
  int64_t NowMs = toMillis(Micros(wallMicros()));
  auto OutcomeWith = [&](int64_t Born) {
    return renewWith(
               fmt::format(R"({{"running":[],"finished":[],"born":{}}})", Born))
        .Outcome;
  };
  for (int64_t Born :
       {NowMs + 120 * MinuteMs, NowMs * 1'000, int64_t{253'402'300'799'999}})
    CHECK(OutcomeWith(Born) == executor::OrderOutcome::Unknown);
  // Wall clocks may differ.
  for (int64_t Born : {int64_t{0}, NowMs, NowMs + 10 * MinuteMs})
    CHECK(OutcomeWith(Born) == executor::OrderOutcome::Done);
}

/// Guards against tickets that never lapse, or times that wrap.
TEST(AnAnswerToAnOrder, WithTicketsOfNoSensibleValidityGrantsNone) {
  for (const char *Validity : {"-1", "1e30", "9223372036854775807", "null"})
    LONGS_EQUAL(0, adviceWith(Validity).Validity.count());
  LONGS_EQUAL(2'000, adviceWith("2000").Validity.count());
  LONGS_EQUAL(2'000, adviceWith("2000.5").Validity.count());
}

namespace {

const char *const SoundRenewal = R"({"clock-ms":482113,"born":1700000000000,
    "running":[["a.0.1.17",2,"00bb",41,0.5],["a.0.1.18",1,"",100,7]],
    "finished":[[58,"a.0.1.9",1,"done",""],[59,"a.0.1.8",3,"failed","0c"]]})";

std::string randomStatus() {
  return *rc::gen::element<std::string>(
      "200 OK", "200 OK", "200 OK", "409 Conflict", "421 Misdirected",
      "429 Busy", "503 Busy", "400 Bad", "599 Odd", "204 Nothing");
}

void checkClock(const std::optional<int64_t> &ClockMs) {
  constexpr int64_t CenturyMs = 100LL * 366 * 24 * 3'600'000;
  if (ClockMs)
    RC_ASSERT(*ClockMs >= 0 && *ClockMs <= CenturyMs);
}

void checkRun(const executor::RunId &Id, const std::string &Checkpoint) {
  RC_ASSERT(Id.Run >= 1U);
  RC_ASSERT(Checkpoint.size() <= 256U);
}

void checkRenewal(const executor::RenewalAnswer &Answer) {
  checkClock(Answer.ClockMs);
  bool IsDone = Answer.Outcome == executor::OrderOutcome::Done;
  RC_ASSERT(IsDone ||
            (Answer.Running.empty() && Answer.Ended.empty() && !Answer.Born));
  RC_ASSERT(Answer.Born >= 0);
  RC_ASSERT(!executor::isBornAhead(Answer.Born, Micros(wallMicros())));
  for (const executor::RunStatus &Run : Answer.Running) {
    checkRun(Run.Id, Run.Checkpoint);
    RC_ASSERT(Run.Percent <= 100U);
    RC_ASSERT(Run.Usage >= 0 && Run.Usage <= 1e9);
  }
  for (const executor::RunEnd &End : Answer.Ended) {
    checkRun(End.Id, End.Checkpoint);
    RC_ASSERT(End.Sequence >= 1U);
    RC_ASSERT(std::cmp_less_equal(End.Sequence, MaxExactInteger));
    RC_ASSERT(End.Kind <= executor::EndKind::GangIncomplete);
  }
}

} // namespace

/// Guards against what nobody thought of: nothing throws, ends the process, or
/// is out of range.
TEST(AnAnswerToAnOrder, WhateverItIsIsReadOrRefused) {
  const char *SoundOrder = R"({"clock-ms":482113,"reason":"fence"})";
  const char *SoundAdvice =
      R"({"allowed":[["i-1","t1"],["i-2","t2"]],"validity-ms":2000})";
  CHECK(rc::check("answers", [&] {
    for (int I = 0; I < 5; ++I)
      checkRenewal(renewWith(test::oddVersionOf(SoundRenewal), randomStatus()));
    auto Order = startWith(test::oddVersionOf(SoundOrder), randomStatus());
    checkClock(Order.ClockMs);
    RC_ASSERT(Order.Outcome <= executor::OrderOutcome::Unknown);
    auto Advice = adviseWith(test::oddVersionOf(SoundAdvice), randomStatus());
    constexpr Millis Day{24 * 3'600'000};
    if (Advice)
      RC_ASSERT(Advice->Validity >= Millis(0) && Advice->Validity <= Day);
  }));
}

/// The random changes above are made to one that is read as a whole.
TEST(AnAnswerToAnOrder, ThatIsSoundIsReadAsAWhole) {
  auto Answer = renewWith(SoundRenewal);
  CHECK(Answer.Outcome == executor::OrderOutcome::Done);
  LONGS_EQUAL(2, Answer.Running.size());
  LONGS_EQUAL(41, Answer.Running[0].Percent);
  STRCMP_EQUAL("00bb", Answer.Running[0].Checkpoint.c_str());
  LONGS_EQUAL(2, Answer.Ended.size());
  CHECK(Answer.Ended[1].Kind == executor::EndKind::Failed);
  LONGS_EQUAL(59, Answer.Ended[1].Sequence);
  LONGS_EQUAL(3, Answer.Ended[1].Id.Run);
  CHECK(Answer.Born == 1'700'000'000'000);
}

// clang-format off
/// The store, or something else at its address.
TEST_GROUP(AnAnswerOfTheStore) {
  http::MultiClient Client{{}};
  template <typename Answer, typename Sender>
  Answer waitFor(const std::string &Body, const std::string &Status, Sender Send) {
    RawServer Server({}, Body, Status);
    platform::StoreClient Store({.Address = Server.address(), .ConnectTimeout = LongWait, .ReadStallTimeout = LongWait}, Client);
    std::optional<Answer> Received;
    Send(Store, [&](const Answer &Result) { Received = Result; });
    while (!Received)
      Client.poll(Millis(10'000));
    return *Received;
  }
  store::TransactionResult commitWith(const std::string &Body, const std::string &Status = "200 OK") {
    return waitFor<store::TransactionResult>(Body, Status, [](auto &Store, auto Done) {
      Store.commit({.AnswerWait = LongWait}, Done);
    });
  }
  Result<store::RowPage> readWith(const std::string &Body, const std::string &Status = "200 OK") {
    return waitFor<Result<store::RowPage>>(Body, Status, [](auto &Store, auto Done) {
      Store.read({.Table = "t"}, Done);
    });
  }
  Result<store::ChangePage> followWith(const std::string &Body, const std::string &Status = "200 OK") {
    return waitFor<Result<store::ChangePage>>(Body, Status, [](auto &Store, auto Done) {
      Store.readChanges({.Table = "t", .MaxWait = LongWait}, Done);
    });
  }
};
// clang-format on

namespace {

const char *const SoundPage = R"({"row-version":7,"now-ms":1000,"has-more":true,
    "rows":[{"table":"t","part":"p","key":"a","row-version":5,"value":"AAEC"},
            {"table":"t","part":"","key":"b","row-version":6,"deleted":true}]})";
/// Numbers that are no version, and no time.
const char *const OddNumbers[] = {
    "-1",    "1.5", "1e30", "9007199254740993", "18446744073709551615", "null",
    "\"7\"", "[7]", "{}"};

bool isVersion(uint64_t Version) {
  return std::cmp_less_equal(Version, MaxExactInteger);
}

bool isStoreTime(int64_t Time) {
  constexpr int64_t CenturyMs = 100LL * 366 * 24 * 3'600'000;
  return Time >= 0 && Time <= CenturyMs;
}

template <typename Page> void checkPage(const Result<Page> &Answer) {
  if (!Answer) {
    RC_ASSERT(Answer.error().category() == errorCategory());
    return;
  }
  RC_ASSERT(isVersion(Answer->Version));
  RC_ASSERT(isStoreTime(Answer->StoreClockMs));
  for (const store::Row &Row : Answer->Rows)
    RC_ASSERT(isVersion(Row.Version));
}

} // namespace

/// Guards against versions that wrap: after one beyond all others, no change is
/// ever read as newer.
TEST(AnAnswerOfTheStore, WithAnOddVersionOrTimeIsRefused) {
  for (const char *Field : {"row-version", "now-ms"}) {
    for (const char *Odd : OddNumbers) {
      std::string Body = fmt::format(R"({{"rows":[],"{}":{}}})", Field, Odd);
      CHECK(readWith(Body).error() == Errc::Malformed);
      CHECK(followWith(Body).error() == Errc::Malformed);
      for (const char *Status : {"200 OK", "412 Precondition Failed"})
        CHECK(commitWith(Body, Status).Outcome ==
              store::TransactionOutcome::Unknown);
    }
  }
}

/// The store gives each row its version: a page with an odd one is none of its
/// pages, and without the row it would show it as removed.
TEST(AnAnswerOfTheStore, WithARowOfAnOddVersionIsRefused) {
  for (const char *Odd : OddNumbers) {
    std::string Body = fmt::format(
        R"({{"row-version":9,"now-ms":1,"rows":[{{"key":"a","row-version":{}}}]}})",
        Odd);
    CHECK(readWith(Body).error() == Errc::Malformed);
    CHECK(followWith(Body).error() == Errc::Malformed);
    CHECK(commitWith(Body, "412 Precondition Failed").Outcome ==
          store::TransactionOutcome::Unknown);
  }
}

/// Guards against a page by which all rows would have been removed.
TEST(AnAnswerOfTheStore, WithoutAListOfRowsIsRefused) {
  for (const char *Body : {"{}", "7", "[]", "", R"({"rows":7})",
                           R"({"rows":null})", R"({"rows":{}})"}) {
    CHECK(readWith(Body).error() == Errc::Malformed);
    CHECK(followWith(Body).error() == Errc::Malformed);
  }
}

TEST(AnAnswerOfTheStore, ThatIsSoundIsReadAsAWhole) {
  auto Page = readWith(SoundPage);
  CHECK_TRUE(static_cast<bool>(Page));
  CHECK_TRUE(Page->HasMore);
  LONGS_EQUAL(7, Page->Version);
  LONGS_EQUAL(1'000, Page->StoreClockMs);
  LONGS_EQUAL(2, Page->Rows.size());
  LONGS_EQUAL(5, Page->Rows[0].Version);
  LONGS_EQUAL(3, Page->Rows[0].Value.size());
  CHECK_TRUE(Page->Rows[1].Deleted);
  LONGS_EQUAL(7, followWith(SoundPage)->Version);
  auto Commit = commitWith(SoundPage);
  CHECK(Commit.Outcome == store::TransactionOutcome::Committed);
  LONGS_EQUAL(7, Commit.Version);
}

/// Guards against what nobody thought of: nothing throws, ends the process, or
/// is out of range.
TEST(AnAnswerOfTheStore, WhateverItIsIsReadOrRefused) {
  auto RandomStatus = [] {
    return *rc::gen::element<std::string>("200 OK", "200 OK",
                                          "412 Precondition Failed", "410 Gone",
                                          "503 Busy", "599 Odd");
  };
  CHECK(rc::check("answers", [&] {
    for (int I = 0; I < 3; ++I) {
      checkPage(readWith(test::oddVersionOf(SoundPage), RandomStatus()));
      checkPage(followWith(test::oddVersionOf(SoundPage), RandomStatus()));
      auto Commit = commitWith(test::oddVersionOf(SoundPage), RandomStatus());
      RC_ASSERT(Commit.Outcome <= store::TransactionOutcome::Unknown);
      RC_ASSERT(isVersion(Commit.Version));
      RC_ASSERT(isStoreTime(Commit.StoreClockMs));
      for (const store::Row &Row : Commit.CurrentRows)
        RC_ASSERT(isVersion(Row.Version));
    }
  }));
}
