#include "harness/Deployment.h"

#include <asio.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::harness;
using nlohmann::json;

namespace {

std::unique_ptr<Deployment> SharedDeployment;

/// The deployment that all tests share; each test uses its own keys.
Deployment &sharedDeployment() {
  if (!SharedDeployment) {
    SharedDeployment = std::make_unique<Deployment>(
        loadScenario(DAISYLANDING_SMALL), ".", "process-run");
    CHECK(SharedDeployment->start());
  }
  return *SharedDeployment;
}

/// Sends raw bytes and reads until the peer closes the connection or \p Marker
/// was received \p Occurrences times.
std::string exchangeBytes(uint16_t Port, const std::string &RequestBytes,
                          const std::string &Marker, size_t Occurrences) {
  asio::io_context IoContext;
  asio::ip::tcp::socket Socket(IoContext);
  Socket.connect({asio::ip::address_v4::loopback(), Port});
  asio::write(Socket, asio::buffer(RequestBytes));
  std::string Received;
  std::array<char, 4'096> Buffer;
  std::error_code Failure;
  while (!Failure) {
    size_t MatchCount = 0;
    for (size_t Offset = Received.find(Marker); Offset != std::string::npos;
         Offset = Received.find(Marker, Offset + 1))
      ++MatchCount;
    if (MatchCount >= Occurrences)
      break;
    size_t Count = Socket.read_some(asio::buffer(Buffer), Failure);
    Received.append(Buffer.data(), Count);
  }
  return Received;
}

std::string makePipelinedRequest(const std::string &Key) {
  return fmt::format("POST /v1/services/bl-issue/requests HTTP/1.1\r\n"
                     "Host: x\r\nIdempotency-Key: {}\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     Key, Key.size(), Key);
}

} // namespace

void stopSharedDeployment() { SharedDeployment.reset(); }

// clang-format off
TEST_GROUP(ACallerOfASmallDeployment) {
  http::Client Client;
  Deployment &Target = sharedDeployment();
  http::Response post(std::vector<http::Header> Headers, const std::string &Body, size_t EntryIndex = 0) {
    http::Call Request;
    Request.Method = "POST";
    Request.Url = "http://" + Target.Entries[EntryIndex]->callerAddress() + "/v1/services/bl-issue/requests";
    Request.Headers = std::move(Headers);
    Request.Body = Body;
    Request.FreshConnection = true;
    Request.Timeout = Millis(20'000);
    auto Response = Client.perform(Request);
    CHECK(static_cast<bool>(Response));
    return Response ? std::move(*Response) : http::Response();
  }
  static std::string outcome(const http::Response &Response) {
    const std::string *Header = http::findHeader(Response.Headers, "Daisylanding-Outcome");
    return Header ? *Header : "";
  }
  static std::string field(const http::Response &Response) {
    return json::parse(Response.Body, nullptr, false).value("field", "");
  }
};

TEST_GROUP_BASE(WhenThePlatformIsUnreachable, TEST_GROUP_CppUTestGroupACallerOfASmallDeployment) {
  void setup() override { Target.setPlatformFaults({{"down", true}}); }
  void teardown() override { Target.setPlatformFaults({}); }
};
// clang-format on

TEST(ACallerOfASmallDeployment, GetsTheCompleteResponseToItsRequest) {
  http::Response Response = post({{"Idempotency-Key", "own-1"}}, "own-1");
  LONGS_EQUAL(200, Response.Status);
  STRCMP_EQUAL("answer:own-1", Response.Body.c_str());
  STRCMP_EQUAL("done", outcome(Response).c_str());
}

TEST(ACallerOfASmallDeployment,
     GetsTheStoredResponseWhenRetryingOnAnotherEntry) {
  post({{"Idempotency-Key", "twice-1"}}, "twice-1", 0);
  http::Response SecondResponse =
      post({{"Idempotency-Key", "twice-1"}}, "twice-1", 1);
  STRCMP_EQUAL("answer:twice-1", SecondResponse.Body.c_str());
  DeploymentHistory Recorded = Target.history();
  size_t RunCount = 0;
  for (const EndpointEvent &Run : Recorded.EndpointEvents)
    RunCount += Run.IsStart && Run.Key == "twice-1";
  LONGS_EQUAL(1, RunCount);
}

TEST(ACallerOfASmallDeployment, IsNotToldNotRunForAKeyThatRan) {
  post({{"Idempotency-Key", "ran-1"}}, "ran-1", 0);
  // Lets the other entry measure how long requests take.
  for (int Round = 0; Round < 5; ++Round)
    post({{"Daisylanding-Repeatable", "yes"}}, "warm-up", 1);
  http::Response SecondResponse =
      post({{"Idempotency-Key", "ran-1"}, {"Daisylanding-Deadline-Ms", "1"}},
           "ran-1", 1);
  CHECK(outcome(SecondResponse) != "not-run");
}

TEST(ACallerOfASmallDeployment, CannotReuseAKeyForAnotherBody) {
  post({{"Idempotency-Key", "reused-1"}}, "reused-1");
  http::Response SecondResponse =
      post({{"Idempotency-Key", "reused-1"}}, "other");
  LONGS_EQUAL(422, SecondResponse.Status);
  STRCMP_EQUAL("Idempotency-Key", field(SecondResponse).c_str());
}

TEST(ACallerOfASmallDeployment, GetsPipelinedResponsesInOrder) {
  std::string Received = exchangeBytes(Target.Entries[0]->BasePort,
                                       makePipelinedRequest("pipe-1") +
                                           makePipelinedRequest("pipe-2") +
                                           makePipelinedRequest("pipe-3"),
                                       "answer:pipe-", 3);
  size_t FirstOffset = Received.find("answer:pipe-1");
  size_t SecondOffset = Received.find("answer:pipe-2");
  size_t ThirdOffset = Received.find("answer:pipe-3");
  CHECK(FirstOffset < SecondOffset && SecondOffset < ThirdOffset &&
        ThirdOffset != std::string::npos);
}

TEST(ACallerOfASmallDeployment, WithoutAKeyIsToldThatTheKeyIsMissing) {
  http::Response Response = post({}, "x");
  LONGS_EQUAL(400, Response.Status);
  STRCMP_EQUAL("Idempotency-Key", field(Response).c_str());
}

TEST(ACallerOfASmallDeployment, WithAMalformedNumberIsToldWhichField) {
  for (const char *Malformed : {"0", "-1", "1x", "99999999999999999999", ""}) {
    http::Response Response = post(
        {{"Idempotency-Key", "n"}, {"Daisylanding-Deadline-Ms", Malformed}},
        "n");
    if (*Malformed == '\0')
      continue; // An empty header counts as absent.
    LONGS_EQUAL(400, Response.Status);
    STRCMP_EQUAL("Daisylanding-Deadline-Ms", field(Response).c_str());
  }
}

TEST(ACallerOfASmallDeployment, WithAnOversizedBodyIsRefused) {
  http::Response Response =
      post({{"Idempotency-Key", "large"}}, std::string((1 << 20) + 1, 'x'));
  LONGS_EQUAL(413, Response.Status);
  STRCMP_EQUAL("body", field(Response).c_str());
}

TEST(ACallerOfASmallDeployment, WithOversizedHeadersIsRefused) {
  http::Response Response = post(
      {{"Idempotency-Key", "h"}, {"X-Long", std::string(9'000, 'x')}}, "h");
  LONGS_EQUAL(431, Response.Status);
  STRCMP_EQUAL("headers", field(Response).c_str());
}

TEST(ACallerOfASmallDeployment, SendingGarbageDoesNotAffectOtherCallers) {
  exchangeBytes(Target.Entries[0]->BasePort,
                std::string(4'096, '\xff') + "\r\n\r\n", "no such text", 1);
  STRCMP_EQUAL(
      "done",
      outcome(post({{"Idempotency-Key", "after-garbage"}}, "g")).c_str());
}

TEST(ACallerOfASmallDeployment, FindsNoOperatorPathOnItsPort) {
  http::Call Request;
  Request.Url = "http://" + Target.Entries[0]->callerAddress() + "/v1/config";
  auto Response = Client.perform(Request);
  LONGS_EQUAL(404, Response->Status);
}

TEST(ACallerOfASmallDeployment, IsRefusedRequestsThatCannotMeetTheirDeadline) {
  http::Response Response =
      post({{"Idempotency-Key", "late-1"}, {"Daisylanding-Deadline-Ms", "1"}},
           "late-1");
  CHECK(outcome(Response) != "done" || Response.Body == "answer:late-1");
}

TEST(ACallerOfASmallDeployment, GetsItsResponseWhenTheEntryIsStopped) {
  constexpr int SlowFactor = 300; // A request takes about 1.5 s.
  for (size_t Index = 0; Index < Target.Endpoints.size(); ++Index)
    Target.setEndpointFaults(Index, {{"slow_factor", SlowFactor}});
  http::MultiClient SlowClient({});
  http::Call Request;
  Request.Method = "POST";
  Request.Url = "http://" + Target.Entries[0]->callerAddress() +
                "/v1/services/bl-issue/requests";
  Request.Headers = {{"Idempotency-Key", "slow-1"}};
  Request.Body = "slow-1";
  Request.Timeout = Millis(20'000);
  http::CallResult Outcome = Errc::Timeout;
  SlowClient.start(Request, [&](http::CallResult Completed) {
    Outcome = std::move(Completed);
  });
  auto HasStarted = [&] {
    auto Runs = Target.history().EndpointEvents;
    return std::any_of(Runs.begin(), Runs.end(), [](const EndpointEvent &Run) {
      return Run.Key == "slow-1";
    });
  };
  while (SlowClient.activeCalls() > 0 && !HasStarted())
    SlowClient.poll(Millis(10));
  Target.stopEntry(0);
  while (SlowClient.activeCalls() > 0)
    SlowClient.poll(Millis(10));
  CHECK(static_cast<bool>(Outcome));
  STRCMP_EQUAL("answer:slow-1", Outcome->Body.c_str());
  LONGS_EQUAL(0, Target.Entries[0]->Child.wait(Millis(40'000)));
  for (size_t Index = 0; Index < Target.Endpoints.size(); ++Index)
    Target.setEndpointFaults(Index, {});
  Target.restartEntry(0);
  CHECK(Target.waitUntilReady());
}

TEST(WhenThePlatformIsUnreachable, RepeatableRequestsAreServed) {
  http::Response Response =
      post({{"Daisylanding-Repeatable", "yes"}}, "away-repeatable");
  STRCMP_EQUAL("done", outcome(Response).c_str());
}

TEST(WhenThePlatformIsUnreachable, RequestsThatCannotBeRecordedAreNotRun) {
  http::Response Response = post({{"Idempotency-Key", "away-1"}}, "away-1");
  STRCMP_EQUAL("not-run", outcome(Response).c_str());
  CHECK(http::findHeader(Response.Headers, "Retry-After") != nullptr);
  STRCMP_EQUAL("not-checked",
               http::findHeader(Response.Headers, "Daisylanding-Earlier-Tries")
                   ->c_str());
  for (const EndpointEvent &Run : Target.history().EndpointEvents)
    CHECK(Run.Key != "away-1");
}

TEST(WhenThePlatformIsUnreachable, JobsAreRefusedWithARetryAfterHeader) {
  http::Call Request;
  Request.Method = "POST";
  Request.Url = "http://" + Target.Entries[0]->operatorAddress() + "/v1/jobs";
  Request.Body = R"({"id":"away","kind":"batch","class":"issue"})";
  auto Response = Client.perform(Request);
  LONGS_EQUAL(503, Response->Status);
  CHECK(http::findHeader(Response->Headers, "Retry-After") != nullptr);
}

TEST(ACallerOfASmallDeployment, SeesTheShardInTheStatusOfEachEntry) {
  for (auto &Entry : Target.Entries) {
    http::Call Request;
    Request.Url = "http://" + Entry->operatorAddress() + "/v1/status";
    auto Response = Client.perform(Request);
    CHECK(static_cast<bool>(Response));
    json Status = json::parse(Response->Body);
    LONGS_EQUAL(1, Status["shards"].size());
    CHECK_FALSE(Status["zones"]["za"]["cut_off"].get<bool>());
    STRCMP_EQUAL("za.0", Status["shards"][0].value("id", "").c_str());
  }
}

TEST(ACallerOfASmallDeployment, GetsOneTimelineOfAllEntries) {
  http::Call Request;
  Request.Url =
      "http://" + Target.Entries[0]->operatorAddress() + "/v1/timeline";
  std::set<std::string> Entries;
  TimePoint Deadline = monotonicNow() + Millis(30'000);
  while (Entries.size() < 2 && monotonicNow() < Deadline) {
    auto Response = Client.perform(Request);
    CHECK(static_cast<bool>(Response));
    uint64_t LastStamp = 0;
    json Document = json::parse(Response->Body);
    for (const json &Event : Document["events"]) {
      Entries.insert(Event["entry"].get<std::string>());
      CHECK(Event["stamp"].get<uint64_t>() >= LastStamp);
      LastStamp = Event["stamp"];
    }
  }
  LONGS_EQUAL(2, Entries.size());
}

TEST(ACallerOfASmallDeployment, SeesNoEventsOfItsDeploymentOnAForeignEntry) {
  std::ofstream("process-run/stranger.toml")
      << fmt::format("[entry]\ndeployment = \"stranger\"\nname = \"s\"\n"
                     "zone = \"za\"\n"
                     "[callers]\nlisten = \"127.0.0.1:29501\"\n"
                     "[operators]\nlisten = \"127.0.0.1:29502\"\n"
                     "[peers]\nlisten = \"127.0.0.1:29503\"\n"
                     "seeds = [\"{}\"]\n"
                     "[platform]\nurl = \"http://127.0.0.1:1\"\n",
                     Target.Entries[0]->peerAddress());
  Process ForeignEntry(
      {"./daisylanding", "serve", "--config", "process-run/stranger.toml"},
      "process-run/stranger.log");
  http::Call Request;
  Request.Url = "http://127.0.0.1:29502/v1/timeline";
  json Events;
  TimePoint Deadline = monotonicNow() + Millis(30'000);
  while (Events.empty() && monotonicNow() < Deadline) {
    auto Response = Client.perform(Request);
    if (Response)
      Events = json::parse(Response->Body)["events"];
  }
  CHECK_FALSE(Events.empty());
  for (const json &Event : Events)
    STRCMP_EQUAL("s", Event["entry"].get<std::string>().c_str());
}
