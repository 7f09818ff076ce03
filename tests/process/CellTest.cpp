#include "cell/JobSpec.h"
#include "cell/OwnerRow.h"
#include "cell/Progress.h"
#include "process/CellFixture.h"
#include "standin/SlowLink.h"

#include <asio.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <optional>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::celltest;
using nlohmann::json;

namespace {

constexpr uint16_t SlowLinkPort = 7'941;

} // namespace

// clang-format off
TEST_GROUP_BASE(ACellOfTwoEntries, CellOfTwoEntries) {};

TEST_GROUP_BASE(WithTenJobs, TEST_GROUP_CppUTestGroupACellOfTwoEntries) {
  void setup() override {
    TEST_GROUP_CppUTestGroupACellOfTwoEntries::setup();
    for (int I = 1; I <= 10; ++I)
      LONGS_EQUAL(200, submit(I % 2, I, 4));
  }
  bool allDone(int Entry) {
    return eventually([&] {
      for (int I = 1; I <= 10; ++I) {
        if (state(Entry, I) != "completed")
          return false;
      }
      return true;
    });
  }
};
// clang-format on

TEST(WithTenJobs, EachRunsOnceAndAnyEntryReportsIt) {
  CHECK(allDone(0));
  CHECK(allDone(1));
  LONGS_EQUAL(40, Platform.runsStarted());
}

TEST(WithTenJobs, ARetriedSubmissionIsTheSameJob) {
  LONGS_EQUAL(200, submit(0, 3, 4));
  LONGS_EQUAL(409, submit(1, 3, 5));
  CHECK(allDone(1));
  LONGS_EQUAL(200, submit(1, 3, 4));
  LONGS_EQUAL(40, Platform.runsStarted());
}

// clang-format off
TEST_GROUP_BASE(WhoseQueueMovesToAnotherService, TEST_GROUP_CppUTestGroupWithTenJobs) {
  void setup() override {
    TEST_GROUP_CppUTestGroupWithTenJobs::setup();
    CHECK(allDone(0));
    sendQueueTo("t", 2);
  }
  /// Each version has a queue of its own, too, by which its arrival is seen.
  void sendQueueTo(const char *Service, int Version) {
    json Route = {{"name", "q"}, {"host", "jobs.example"}, {"path-prefix", "/q/"}, {"service", Service},
                  {"target-latency-ms", 1'000}, {"stretch", 2.0}, {"max-attempts", 2}};
    json Added = Route;
    std::string Prefix = fmt::format("/added-{}/", Version);
    Added["name"] = fmt::format("added-{}", Version);
    Added["path-prefix"] = Prefix;
    json Config = {{"version", Version}, {"routes", {Route, Added}},
                   {"services", {{{"name", "s"}}, {{"name", "t"}}, {{"name", "u"}}}}};
    Platform.putRow("op", "", "config", Config.dump());
    for (int I = 0; I < 2; ++I)
      CHECK(eventually([&] { return get(I, 0, Prefix) == 200; }));
  }
  bool isStoredIn(const char *Service, int Number) {
    return !Platform.rowValue("jobs", Service, jobId(Number)).empty();
  }
};
// clang-format on

/// Guards against a job that is stored, and runs, once more in the service that
/// its queue was sent to, when a copy of its request arrives.
TEST(WhoseQueueMovesToAnotherService, ACopyOfARequestIsStillKnown) {
  for (int I = 1; I <= 10; ++I) {
    LONGS_EQUAL(200, submit(I % 2, I, 4));
    CHECK_FALSE(isStoredIn("t", I));
  }
  LONGS_EQUAL(409, submit(0, 3, 5));
  STRCMP_EQUAL("completed", state(1, 3).c_str());
}

/// Guards against a second copy in a third service, and in the first one once
/// the queue has come back.
TEST(WhoseQueueMovesToAnotherService, ACopyIsKnownWhereverTheQueueGoesNext) {
  LONGS_EQUAL(200, submit(0, 11, 4));
  CHECK(isStoredIn("t", 11));
  sendQueueTo("u", 3);
  for (int Number : {1, 11}) {
    LONGS_EQUAL(200, submit(1, Number, 4));
    CHECK_FALSE(isStoredIn("u", Number));
  }
  sendQueueTo("s", 4);
  LONGS_EQUAL(200, submit(0, 11, 4));
  CHECK_FALSE(isStoredIn("s", 11));
  LONGS_EQUAL(200, submit(1, 12, 4));
  CHECK(isStoredIn("s", 12));
}

/// Guards against a query or a cancel that asks the queue's new service only.
TEST(WhoseQueueMovesToAnotherService, AQueryAndACancelFindTheJob) {
  LONGS_EQUAL(200, submit(0, 11, 4));
  sendQueueTo("u", 3);
  STRCMP_EQUAL("queued", state(1, 11).c_str());
  auto Cancelled = call(1, 0, "DELETE", "/q/" + jobId(11), "");
  CHECK_TRUE(static_cast<bool>(Cancelled));
  LONGS_EQUAL(200, Cancelled->Status);
  CHECK(eventually([&] { return state(0, 11) == "cancelled"; }));
}

TEST(WhoseQueueMovesToAnotherService, ANewJobIsStoredInTheNewService) {
  LONGS_EQUAL(200, submit(0, 11, 4));
  CHECK(isStoredIn("t", 11));
  LONGS_EQUAL(200, submit(1, 11, 4));
  LONGS_EQUAL(40, Platform.runsStarted());
}

/// Guards against entries that end, or stop following the list, because of odd
/// rows in it.
TEST(ACellOfTwoEntries, OddEntriesAmongThoseOfTheExecutorsDoNoHarm) {
  constexpr size_t Levels = 100'000;
  std::string Deep = std::string(Levels, '[') + std::string(Levels, ']');
  auto Odd = [](const std::string &Port, const std::string &Cpu,
                const std::string &More) {
    return fmt::format(
        R"({{"service":"s","address":"127.0.0.1:{}","zone":"za",)"
        R"("state":"ready","labels":["a","r1"],"capacity":{{"cpu":{},)"
        R"("mem-mb":10000}}{}}})",
        Port, Cpu, More);
  };
  const std::vector<std::string> Rows = {
      Deep,
      Odd("7941", "8000", ",\"x\":" + Deep),
      Odd("99999", "8000", ""),
      Odd("-1", "8000", ""),
      Odd("7941", "1e400", ""),
      Odd("7941", "-1", ""),
      Odd("7941", "8000", ",\"born\":9223372036854775807"),
      "",
      "7"};
  for (size_t I = 0; I < Rows.size(); ++I)
    Platform.putRow("servers", "", fmt::format("i-{}-from-others", I), Rows[I]);
  // Also under the id of a sound executor.
  Platform.putRow("servers", "", "i-2",
                  Odd("7941", "8000", ",\"born\":9223372036854775807"));
  for (int I = 1; I <= 6; ++I)
    LONGS_EQUAL(200, submit(I % 2, I, 3));
  for (int I = 1; I <= 6; ++I)
    CHECK(eventually([&] { return state(I % 2, I) == "completed"; }));
  Platform.addExecutor("i-later", fmt::format("127.0.0.1:{}", PlatformPort),
                       8'000);
  LONGS_EQUAL(200, submit(0, 7, 3));
  CHECK(eventually([&] { return state(1, 7) == "completed"; }));
  LONGS_EQUAL(21, Platform.runsStarted());
  for (int I = 0; I < 2; ++I)
    LONGS_EQUAL(200, get(I, 1, "/ready"));
}

/// Guards against one request that ends each entry that it is sent to.
TEST(ACellOfTwoEntries, AVeryDeeplyNestedRequestIsRefused) {
  constexpr size_t Levels = 100'000;
  std::string Body = R"({"spec":"x","steps":[{"count":1,"after":)" +
                     std::string(Levels, '[') + std::string(Levels, ']') +
                     "}]}";
  for (int I = 0; I < 2; ++I) {
    auto Answer = call(I, 0, "POST", "/q/" + jobId(1), Body);
    CHECK_TRUE(static_cast<bool>(Answer));
    LONGS_EQUAL(400, Answer->Status);
    LONGS_EQUAL(200, get(I, 1, "/ready"));
  }
}

/// Guards against a job that is unknown while its rows are moved at its end,
/// and to entries that read one table before and the other after.
TEST(ACellOfTwoEntries, AJobIsKnownWhileItEndsAndAfterATakeover) {
  constexpr int Jobs = 8;
  Platform.setFaults({.ReadTime = Millis(60)});
  for (int I = 1; I <= Jobs; ++I) {
    CHECK(eventually([&] { return submit(I % 2, I, 1) == 200; }));
    CHECK(eventually([&] {
      std::string Shown = state(I % 2, I);
      CHECK(Shown != "none");
      return Shown == "completed";
    }));
  }
  Platform.setFaults({});
  auto IsMoved = [&](int I) {
    return Platform.rowValue(cell::JobTable, "s", jobId(I)).empty() &&
           Platform.rowValue(cell::ProgressTable, "s", jobId(I)).empty() &&
           !Platform.rowValue(cell::EndedTable, "s", jobId(I)).empty();
  };
  for (int I = 1; I <= Jobs; ++I)
    CHECK(eventually([&] { return IsMoved(I); }));
  auto Owner = cell::decodeOwnerRow(
      Platform.rowValue(cell::OwnerTable, "s", cell::OwnerKey));
  int Killed = Owner->Holder.starts_with("e0/") ? 0 : 1;
  int Other = 1 - Killed;
  Entries[static_cast<size_t>(Killed)].signal(SIGKILL);
  CHECK(eventually([&] { return submit(Other, Jobs + 1, 1) == 200; }));
  CHECK(eventually([&] { return state(Other, Jobs + 1) == "completed"; }));
  for (int I = 1; I <= Jobs; ++I) {
    STRCMP_EQUAL("completed", state(Other, I).c_str());
    LONGS_EQUAL(200, submit(Other, I, 1));
    LONGS_EQUAL(409, submit(Other, I, 2));
    LONGS_EQUAL(200, call(Other, 0, "DELETE", "/q/" + jobId(I))->Status);
  }
  LONGS_EQUAL(410, get(Other, 0, "/q/" + jobId(Jobs + 2)));
  LONGS_EQUAL(410, call(Other, 0, "DELETE", "/q/" + jobId(Jobs + 2))->Status);
  LONGS_EQUAL(Jobs + 1, Platform.runsStarted());
}

TEST(WithTenJobs, AnEntryThatIsKilledIsReplacedAndNothingRunsTwice) {
  Entries[0].signal(SIGKILL);
  CHECK(allDone(1));
  startEntry(0);
  CHECK(eventually([&] { return get(0, 1, "/ready") == 200; }));
  Entries[1].signal(SIGKILL);
  LONGS_EQUAL(200, submit(0, 100, 4));
  CHECK(eventually([&] { return state(0, 100) == "completed"; }));
}

TEST(WithTenJobs, AGracefulStopReleasesTheService) {
  Entries[0].signal(SIGTERM);
  LONGS_EQUAL(0, Entries[0].wait(Millis(8'000)));
  CHECK(allDone(1));
}

TEST(WithTenJobs, ExecutorsRestartUnderTheirIdsAndRunNothingTwice) {
  CHECK(allDone(0));
  for (const char *Id : {"i-0", "i-1", "i-2"})
    Platform.restartExecutor(Id, Millis(300));
  for (int I = 11; I <= 20; ++I)
    LONGS_EQUAL(200, submit(I % 2, I, 4));
  CHECK(eventually([&] {
    for (int I = 11; I <= 20; ++I) {
      if (state(0, I) != "completed")
        return false;
    }
    return true;
  }));
}

TEST(WithTenJobs, ADeadExecutorsTasksRunElsewhere) {
  Platform.killExecutor("i-1");
  CHECK(allDone(0));
}

/// Guards against a service without an owner: an entry whose load takes longer
/// than an owner may be silent was taken over, and so was the next one.
TEST(ACellOfTwoEntries, AServiceWhoseLoadIsSlowIsTakenOverOnce) {
  constexpr int StoredJobs = 600;
  constexpr int FirstStored = 1'000;
  for (int I = 0; I < StoredJobs; ++I) {
    std::string Id = jobId(FirstStored + I);
    cell::JobSpec Job{.Id = Id,
                      .Queue = "q",
                      .Payload = std::string(cell::MaxPayloadBytes, 'x'),
                      .Steps = {{}}};
    Platform.putRow(cell::ProgressTable, "s", Id,
                    cell::encodeProgress({.Phase = cell::JobPhase::Completed}));
    Platform.putRow(cell::JobTable, "s", Id, cell::encodeJob(Job));
  }
  auto Owner = [&] {
    return cell::decodeOwnerRow(
        Platform.rowValue(cell::OwnerTable, "s", cell::OwnerKey));
  };
  CHECK(eventually([&] { return bool(Owner()); }));
  auto First = Owner();
  // A load of about 3.3 s.
  Platform.setFaults({.ReadBytesPerSecond = 1'000'000});
  Entries[First->Holder.starts_with("e0/") ? 0 : 1].signal(SIGKILL);
  int Other = First->Holder.starts_with("e0/") ? 1 : 0;
  CHECK(eventually(
      [&] { return Owner()->Epoch == cell::nextEpoch(First->Epoch); }));
  startEntry(1 - Other);
  CHECK(eventually([&] { return submit(Other, 1, 1) == 200; }));
  CHECK(eventually([&] { return state(Other, 1) == "completed"; }));
  LONGS_EQUAL(cell::nextEpoch(First->Epoch), Owner()->Epoch);
}

/// Guards against an owner that never catches up after its job feed was lost:
/// each page's answer must begin within a read's timeout on a slow link.
TEST(ACellOfTwoEntries, AnOwnerOnASlowLinkCatchesUpAfterALostJobFeed) {
  constexpr int StoredJobs = 600;
  constexpr int FirstStored = 1'000;
  constexpr uint32_t MoreThanAnyExecutor = 99'000;
  for (int I = 0; I < StoredJobs; ++I) {
    cell::JobSpec Job{.Id = jobId(FirstStored + I),
                      .Queue = "q",
                      .Payload = std::string(cell::MaxPayloadBytes, 'x'),
                      .Steps = {{.Size = {.MilliCores = MoreThanAnyExecutor}}}};
    Platform.putRow(cell::JobTable, "s", Job.Id, cell::encodeJob(Job));
  }
  LONGS_EQUAL(200, submit(0, 1, 1));
  CHECK(eventually([&] { return state(0, 1) == "completed"; }));
  Platform.setFaults(
      {.FeedHistoryGone = true, .ReadBytesPerSecond = 1'000'000});
  CHECK(eventually([&] { return Platform.refusedFeeds(cell::JobTable) > 0; }));
  Platform.setFaults({.ReadBytesPerSecond = 1'000'000});
  // Enough jobs, one after the other, to outlast the last view of the feed.
  constexpr int LaterJobs = 15;
  for (int I = 2; I < 2 + LaterJobs; ++I) {
    CHECK(eventually([&] { return submit(0, I, 1) == 200; }));
    CHECK(eventually([&] { return state(0, I) == "completed"; }));
  }
}

/// Guards against an entry that never applies a configuration whose transfer
/// over its link takes longer than the store usually takes to answer.
TEST(ACellOfTwoEntries, AnEntryOnASlowLinkAppliesALargeConfigurationInTime) {
  constexpr Millis ApplyBound{3'000};
  constexpr uint32_t LinkBytesPerSecond = 1'250'000;
  constexpr size_t FurtherQueues = 7'000; // 1.6 s for its transfer.
  constexpr int SmallEntry = 2;
  standin::SlowLink Link(SlowLinkPort, PlatformPort);
  startEntry(SmallEntry, SlowLinkPort);
  CHECK(eventually([&] { return get(SmallEntry, 1, "/ready") == 200; }));
  Link.setRate(LinkBytesPerSecond);
  Platform.configure(2, true, FurtherQueues);
  TimePoint ChangedAt = monotonicNow();
  std::string Added = fmt::format("/q{}/", FurtherQueues - 1);
  CHECK(eventually([&] { return get(SmallEntry, 0, Added) == 200; }));
  CHECK(monotonicNow() - ChangedAt < ApplyBound);
  Entries.pop_back();
}

/// Guards against an owner that never learns of its commits, since it gives up
/// each answer before a slow store can send it.
TEST(ACellOfTwoEntries, AnOwnerGoesOnWhileEachCommitTakesThreeSeconds) {
  // The first may be stored without its owner's knowledge. Each takes twice as
  // long if a copy is queued before it.
  constexpr uint64_t Commits = 2;
  auto Owner = [&] {
    return cell::decodeOwnerRow(
        Platform.rowValue(cell::OwnerTable, "s", cell::OwnerKey));
  };
  // Both entries know the owner before the store is slow.
  for (int Entry : {0, 1}) {
    CHECK(eventually([&] { return submit(Entry, 1 + Entry, 1) == 200; }));
    CHECK(eventually([&] { return state(Entry, 1 + Entry) == "completed"; }));
  }
  Platform.setFaults(
      {.ReadTime = Millis(2'000), .TransactionTime = Millis(3'000)});
  auto First = Owner();
  CHECK(eventually(
      [&] { return Owner()->Sequence >= First->Sequence + Commits; }));
  LONGS_EQUAL(First->Epoch, Owner()->Epoch);
}

TEST(ACellOfTwoEntries, LostAnswersAndLateWritesDuplicateNothing) {
  Platform.setFaults({.LostResponsesPerTen = 2, .LateWritesPerTen = 1});
  for (int I = 1; I <= 10; ++I) {
    int Status = submit(I % 2, I, 3);
    CHECK(Status == 200 || Status == 504);
  }
  Platform.setFaults({});
  for (int I = 1; I <= 10; ++I)
    CHECK(eventually([&] { return submit(0, I, 3) == 200; }));
  for (int I = 1; I <= 10; ++I)
    CHECK(eventually([&] { return state(1, I) == "completed"; }));
  LONGS_EQUAL(30, Platform.runsStarted());
}

TEST(ACellOfTwoEntries, ASilentStoreIsReportedAtOnceAndUsedAgainSoon) {
  Platform.setFaults({.StoreUnresponsive = true});
  CHECK(eventually([&] { return get(0, 1, "/ready") == 503; }));
  TimePoint StartedAt = monotonicNow();
  LONGS_EQUAL(503, submit(0, 1, 1));
  CHECK(monotonicNow() - StartedAt < Millis(500));
  Platform.setFaults({});
  CHECK(eventually([&] { return submit(0, 1, 1) == 200; }));
  CHECK(eventually([&] { return state(0, 1) == "completed"; }));
}

/// Guards against callers who are refused long after the store answers again.
TEST(ACellOfTwoEntries, AStoreThatWasSilentIsUsedAgainAtOnce) {
  int NextJob = 1;
  for (Millis Outage :
       {Millis(2'000), Millis(2'300), Millis(2'600), Millis(2'900)}) {
    CHECK(eventually([&] { return submit(0, NextJob, 1) == 200; }));
    CHECK(eventually([&] { return state(0, NextJob) == "completed"; }));
    Platform.setFaults({.StoreUnresponsive = true});
    std::this_thread::sleep_for(Outage);
    Platform.setFaults({});
    TimePoint BackAt = monotonicNow();
    ++NextJob;
    for (int Entry : {0, 1})
      CHECK(
          eventually([&] { return submit(Entry, NextJob + Entry, 1) == 200; }));
    NextJob += 2;
    CHECK(monotonicNow() - BackAt < Millis(500));
  }
}

TEST(ACellOfTwoEntries, AJobInFlightWhenTheStoreFallsSilentGetsAnAnswerInTime) {
  LONGS_EQUAL(200, submit(0, 9, 1));
  CHECK(eventually([&] { return state(0, 9) == "completed"; }));
  Platform.setFaults({.StoreUnresponsive = true});
  TimePoint StartedAt = monotonicNow();
  // One of the two entries owns the service; it holds more of the store's feeds
  // than the other.
  auto FromOtherEntry = std::async(std::launch::async, [] {
    http::Client OtherCaller;
    return submitWith(OtherCaller, 1, 3, 1);
  });
  int FromOwnEntry = submit(0, 1, 1);
  CHECK(monotonicNow() - StartedAt < Millis(2'000));
  int FromOther = FromOtherEntry.get();
  CHECK(monotonicNow() - StartedAt < Millis(2'000));
  // One commit of the owner is in flight; a job that came too late for it is
  // refused.
  CHECK(FromOwnEntry == 504 || FromOther == 504);
  CHECK(eventually([&] { return get(1, 1, "/ready") == 503; }));
  LONGS_EQUAL(503, submit(1, 2, 1));
  // A refusal must be true: the job is not known later either.
  Platform.setFaults({});
  CHECK(eventually([&] { return submit(0, 4, 1) == 200; }));
  CHECK(eventually([&] { return state(0, 4) == "completed"; }));
  for (auto [Number, Status] : {std::pair(1, FromOwnEntry), {3, FromOther}}) {
    CHECK(Status == 503 || Status == 504);
    if (Status == 503)
      STRCMP_EQUAL("none", state(0, Number).c_str());
  }
}

TEST(ACellOfTwoEntries, InvalidInputIsRefusedWithItsStatus) {
  LONGS_EQUAL(404,
              call(0, 0, "POST", "/other/" + jobId(1), jobBody(1))->Status);
  LONGS_EQUAL(400, call(0, 0, "POST", "/q/xyz", jobBody(1))->Status);
  LONGS_EQUAL(400, call(0, 0, "POST", "/q/" + jobId(1), "{")->Status);
  LONGS_EQUAL(400, call(0, 0, "POST", "/q/" + jobId(1), jobBody(-3))->Status);
  LONGS_EQUAL(405, call(0, 0, "PUT", "/q/" + jobId(1), jobBody(1))->Status);
  LONGS_EQUAL(410, call(0, 0, "GET", "/q/" + jobId(1))->Status);
  LONGS_EQUAL(410, call(0, 0, "DELETE", "/q/" + jobId(1))->Status);
  LONGS_EQUAL(200, call(0, 0, "GET", "/q/")->Status);
  LONGS_EQUAL(
      413,
      call(0, 0, "POST", "/q/" + jobId(1), std::string(300'000, ' '))->Status);
}

TEST(ACellOfTwoEntries, AnyEntryReportsACancelledJob) {
  LONGS_EQUAL(200, submit(0, 7, 40));
  LONGS_EQUAL(200, call(1, 0, "DELETE", "/q/" + jobId(7))->Status);
  CHECK(eventually([&] { return state(0, 7) == "cancelled"; }));
}

TEST(ACellOfTwoEntries, ARefusalCarriesItsReasonPhrase) {
  asio::io_context Io;
  asio::ip::tcp::socket Socket(Io);
  Socket.connect({asio::ip::address_v4::loopback(), port(0, 0)});
  asio::write(Socket, asio::buffer(std::string("GET /q/x HTTP/1.1\r\nHost: "
                                               "jobs.example\r\n\r\n")));
  std::string StatusLine;
  asio::read_until(Socket, asio::dynamic_buffer(StatusLine), "\r\n");
  CHECK_EQUAL(size_t{0}, StatusLine.find("HTTP/1.1 400 Bad Request"));
}

TEST(ACellOfTwoEntries, HostileBytesAreRefusedByTheConfiguredLimits) {
  auto Answer = [&](const std::string &Bytes) {
    asio::io_context Io;
    asio::ip::tcp::socket Socket(Io);
    Socket.connect({asio::ip::address_v4::loopback(), port(0, 0)});
    asio::write(Socket, asio::buffer(Bytes));
    std::string Received;
    std::error_code Failure;
    asio::read(Socket, asio::dynamic_buffer(Received), Failure);
    return Received.substr(9, 3);
  };
  std::string Post =
      "POST /q/" + jobId(1) + " HTTP/1.1\r\nHost: jobs.example\r\n";
  for (const char *LengthHeaders :
       {"Content-Length: 2\r\nContent-Length: 3\r\n", "Content-Length: -2\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"})
    STRCMP_EQUAL("400", Answer(Post + LengthHeaders + "\r\n{}").c_str());
  STRCMP_EQUAL("413",
               Answer(Post + "Content-Length: 99000000000\r\n\r\n{").c_str());
  STRCMP_EQUAL("431",
               Answer(Post + "X: " + std::string(1'000'000, 'y')).c_str());
  STRCMP_EQUAL("408", Answer(Post + "Content-Length: 50\r\n\r\n{").c_str());
  LONGS_EQUAL(200, submit(0, 1, 1));
}

TEST(ACellOfTwoEntries, TakesCallersByTheirKeysUntilTheyAreWithdrawn) {
  Platform.configureKeys(2, {"first", "second"});
  for (int Entry : {0, 1}) {
    CHECK(eventually([&] { return countWith(Entry, "/q/", "") == 401; }));
    LONGS_EQUAL(401, countWith(Entry, "/q/", "unknown"));
    LONGS_EQUAL(200, countWith(Entry, "/q/", "first"));
    LONGS_EQUAL(200, countWith(Entry, "/open/", ""));
  }
  Platform.configureKeys(3, {"second"});
  for (int Entry : {0, 1}) {
    CHECK(eventually([&] { return countWith(Entry, "/q/", "first") == 401; }));
    LONGS_EQUAL(200, countWith(Entry, "/q/", "second"));
  }
  auto Shown = call(0, 3, "GET", "/v1/workspaces");
  CHECK(Shown && Shown->Status == 200);
  json Workspace = json::parse(Shown->Body)["workspaces"][0];
  STRCMP_EQUAL("a", Workspace["name"].get<std::string>().c_str());
  LONGS_EQUAL(1, Workspace["keys"].get<int>());
  CHECK(Shown->Body.find("second") == std::string::npos);
}

TEST(ACellOfTwoEntries, RefusesKeysThatTheStoreHasLongNotConfirmed) {
  constexpr int StrictEntry = 2;
  startEntry(StrictEntry, PlatformPort, "key_confirmation_ms = 2500");
  Platform.configureKeys(2, {"first"});
  CHECK(eventually([&] { return countWith(0, "/q/", "") == 401; }));
  CHECK(eventually(
      [&] { return countWith(StrictEntry, "/q/", "first") == 200; }));
  Platform.setFaults({.StoreUnavailable = true});
  const std::string ForItsKey = "keys-unconfirmed";
  // Whoever is let in learns that the count is too old by then.
  const std::string ForTheCount = "pending-unknown";
  CHECK(eventually(
      [&] { return countRefusal(StrictEntry, "/q/", "first") == ForItsKey; }));
  CHECK(countRefusal(StrictEntry, "/q/", "unknown") == ForItsKey);
  CHECK(countRefusal(StrictEntry, "/open/", "") == ForTheCount);
  CHECK(countRefusal(0, "/q/", "first") == ForTheCount);
  Platform.setFaults({});
  CHECK(eventually(
      [&] { return countWith(StrictEntry, "/q/", "first") == 200; }));
  Entries.pop_back();
}

/// Guards against a queue, a job or a key that is denied although it may have
/// been added: the store has long not confirmed the configuration.
TEST(ACellOfTwoEntries, DeniesNothingByAConfigurationThatIsNotConfirmed) {
  Platform.configureKeys(2, {"first"});
  CHECK(eventually([&] { return countWith(0, "/q/", "unknown") == 401; }));
  LONGS_EQUAL(404, countWith(0, "/added/", "first"));
  Platform.setFaults({.StoreUnavailable = true});
  const std::string ForTheConfig = "config-unconfirmed";
  CHECK(eventually(
      [&] { return countRefusal(0, "/added/", "first") == ForTheConfig; }));
  CHECK(countRefusal(0, "/q/", "unknown") == ForTheConfig);
  // Who is let in learns that the count is too old by then.
  CHECK(countRefusal(0, "/q/", "first") == "pending-unknown");
  Platform.setFaults({});
  CHECK(eventually([&] { return countWith(0, "/added/", "first") == 404; }));
}

TEST(ACellOfTwoEntries, ServesItsStatusToOperators) {
  CHECK(eventually([&] {
    auto Status = call(0, 3, "GET", "/v1/status");
    return Status && json::parse(Status->Body)["services"].size() == 1;
  }));
  auto HasLoaded = [&](int Entry) {
    auto Status = call(Entry, 3, "GET", "/v1/status");
    json Services = Status ? json::parse(Status->Body)["services"] : json();
    return Services.size() == 1 && Services[0].value("figures", "") == "known";
  };
  CHECK(eventually([&] { return HasLoaded(0) || HasLoaded(1); }));
  LONGS_EQUAL(200, get(0, 3, "/v1/config"));
  LONGS_EQUAL(200, get(0, 3, "/v1/jobs"));
  LONGS_EQUAL(404, get(0, 3, "/v1/jobs/" + jobId(1)));
  auto Timeline = call(0, 3, "GET", "/v1/timeline");
  CHECK(Timeline && !json::parse(Timeline->Body)["events"].empty());
}

TEST(ACellOfTwoEntries, ServesItsMetrics) {
  LONGS_EQUAL(200, submit(0, 9, 1));
  auto Answer = call(0, 3, "GET", "/metrics");
  CHECK(Answer &&
        Answer->Body.find("daisylanding_answer_ms") != std::string::npos);
}
