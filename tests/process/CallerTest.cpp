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

std::unique_ptr<Deployment> Shared;

/// One deployment for all tests; each uses keys of its own.
Deployment &deployment() {
  if (!Shared) {
    Shared = std::make_unique<Deployment>(loadScenario(DAISYLANDING_SMALL), ".",
                                          "process-run");
    CHECK(Shared->start());
  }
  return *Shared;
}

/// Sends bytes as they are and reads until the peer closes, or until \p Until
/// came \p Times times.
std::string exchange(uint16_t Port, const std::string &Bytes,
                     const std::string &Until, size_t Times) {
  asio::io_context Io;
  asio::ip::tcp::socket Socket(Io);
  Socket.connect({asio::ip::address_v4::loopback(), Port});
  asio::write(Socket, asio::buffer(Bytes));
  std::string Received;
  std::array<char, 4'096> Buffer;
  std::error_code Failure;
  while (!Failure) {
    size_t Found = 0;
    for (size_t At = Received.find(Until); At != std::string::npos;
         At = Received.find(Until, At + 1))
      ++Found;
    if (Found >= Times)
      break;
    size_t Count = Socket.read_some(asio::buffer(Buffer), Failure);
    Received.append(Buffer.data(), Count);
  }
  return Received;
}

std::string pipelined(const std::string &Key) {
  return fmt::format("POST /v1/services/bl-issue/requests HTTP/1.1\r\n"
                     "Host: x\r\nIdempotency-Key: {}\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     Key, Key.size(), Key);
}

} // namespace

void stopSharedDeployment() { Shared.reset(); }

// clang-format off
TEST_GROUP(ACallerOfASmallDeployment) {
  http::Client Client;
  Deployment &Target = deployment();
  http::Response post(std::vector<http::Header> Headers, const std::string &Body, size_t Entry = 0) {
    http::Call Request;
    Request.Method = "POST";
    Request.Url = "http://" + Target.Entries[Entry]->callerAddress() + "/v1/services/bl-issue/requests";
    Request.Headers = std::move(Headers);
    Request.Body = Body;
    Request.FreshConnection = true;
    Request.Timeout = Millis(20'000);
    auto Answer = Client.perform(Request);
    CHECK(static_cast<bool>(Answer));
    return Answer ? std::move(*Answer) : http::Response();
  }
  static std::string outcome(const http::Response &Answer) {
    const std::string *Found = http::findHeader(Answer.Headers, "Daisylanding-Outcome");
    return Found ? *Found : "";
  }
  static std::string field(const http::Response &Answer) {
    return json::parse(Answer.Body, nullptr, false).value("field", "");
  }
};

TEST_GROUP_BASE(WhenThePlatformIsAway, TEST_GROUP_CppUTestGroupACallerOfASmallDeployment) {
  void setup() override { Target.setPlatformFaults({{"down", true}}); }
  void teardown() override { Target.setPlatformFaults({}); }
};
// clang-format on

TEST(ACallerOfASmallDeployment, GetsTheWholeAnswerToItsOwnRequest) {
  http::Response Answer = post({{"Idempotency-Key", "own-1"}}, "own-1");
  LONGS_EQUAL(200, Answer.Status);
  STRCMP_EQUAL("answer:own-1", Answer.Body.c_str());
  STRCMP_EQUAL("done", outcome(Answer).c_str());
}

TEST(ACallerOfASmallDeployment, GetsTheStoredAnswerOnASecondTryElsewhere) {
  post({{"Idempotency-Key", "twice-1"}}, "twice-1", 0);
  http::Response Second = post({{"Idempotency-Key", "twice-1"}}, "twice-1", 1);
  STRCMP_EQUAL("answer:twice-1", Second.Body.c_str());
  DeploymentHistory Past = Target.history();
  size_t Runs = 0;
  for (const EndpointEvent &Each : Past.EndpointEvents)
    Runs += Each.IsStart && Each.Key == "twice-1";
  LONGS_EQUAL(1, Runs);
}

TEST(ACallerOfASmallDeployment, IsNotToldNotRunOfAKeyThatRan) {
  post({{"Idempotency-Key", "ran-1"}}, "ran-1", 0);
  // So that the other entry knows how long requests take.
  for (int I = 0; I < 5; ++I)
    post({{"Daisylanding-Repeatable", "yes"}}, "warm-up", 1);
  http::Response Second =
      post({{"Idempotency-Key", "ran-1"}, {"Daisylanding-Deadline-Ms", "1"}},
           "ran-1", 1);
  CHECK(outcome(Second) != "not-run");
}

TEST(ACallerOfASmallDeployment, MayNotReuseAKeyForAnotherBody) {
  post({{"Idempotency-Key", "reused-1"}}, "reused-1");
  http::Response Second = post({{"Idempotency-Key", "reused-1"}}, "other");
  LONGS_EQUAL(422, Second.Status);
  STRCMP_EQUAL("Idempotency-Key", field(Second).c_str());
}

TEST(ACallerOfASmallDeployment, GetsPipelinedAnswersInOrder) {
  std::string Received =
      exchange(Target.Entries[0]->BasePort,
               pipelined("pipe-1") + pipelined("pipe-2") + pipelined("pipe-3"),
               "answer:pipe-", 3);
  size_t First = Received.find("answer:pipe-1");
  size_t Second = Received.find("answer:pipe-2");
  size_t Third = Received.find("answer:pipe-3");
  CHECK(First < Second && Second < Third && Third != std::string::npos);
}

TEST(ACallerOfASmallDeployment, WithoutAKeyIsToldSo) {
  http::Response Answer = post({}, "x");
  LONGS_EQUAL(400, Answer.Status);
  STRCMP_EQUAL("Idempotency-Key", field(Answer).c_str());
}

TEST(ACallerOfASmallDeployment, WithAMalformedNumberIsToldWhere) {
  for (const char *Bad : {"0", "-1", "1x", "99999999999999999999", ""}) {
    http::Response Answer = post(
        {{"Idempotency-Key", "n"}, {"Daisylanding-Deadline-Ms", Bad}}, "n");
    if (*Bad == '\0')
      continue; // An empty header counts as none.
    LONGS_EQUAL(400, Answer.Status);
    STRCMP_EQUAL("Daisylanding-Deadline-Ms", field(Answer).c_str());
  }
}

TEST(ACallerOfASmallDeployment, WithTooLargeABodyIsToldSo) {
  http::Response Answer =
      post({{"Idempotency-Key", "large"}}, std::string((1 << 20) + 1, 'x'));
  LONGS_EQUAL(413, Answer.Status);
  STRCMP_EQUAL("body", field(Answer).c_str());
}

TEST(ACallerOfASmallDeployment, WithTooLargeHeadersIsToldSo) {
  http::Response Answer = post(
      {{"Idempotency-Key", "h"}, {"X-Long", std::string(9'000, 'x')}}, "h");
  LONGS_EQUAL(431, Answer.Status);
  STRCMP_EQUAL("headers", field(Answer).c_str());
}

TEST(ACallerOfASmallDeployment, SendingGarbageHarmsNobody) {
  exchange(Target.Entries[0]->BasePort, std::string(4'096, '\xff') + "\r\n\r\n",
           "no such text", 1);
  STRCMP_EQUAL(
      "done",
      outcome(post({{"Idempotency-Key", "after-garbage"}}, "g")).c_str());
}

TEST(ACallerOfASmallDeployment, FindsNoOperatorsPathOnItsPort) {
  http::Call Request;
  Request.Url = "http://" + Target.Entries[0]->callerAddress() + "/v1/config";
  auto Answer = Client.perform(Request);
  LONGS_EQUAL(404, Answer->Status);
}

TEST(ACallerOfASmallDeployment, IsRefusedAtOnceWhatCannotBeDoneInTime) {
  http::Response Answer =
      post({{"Idempotency-Key", "late-1"}, {"Daisylanding-Deadline-Ms", "1"}},
           "late-1");
  CHECK(outcome(Answer) != "done" || Answer.Body == "answer:late-1");
}

TEST(ACallerOfASmallDeployment, IsNotCutOffByAPlannedStop) {
  constexpr int SlowFactor = 300; // About a second and a half.
  for (size_t I = 0; I < Target.Endpoints.size(); ++I)
    Target.setEndpointFaults(I, {{"slow_factor", SlowFactor}});
  http::MultiClient Slow({});
  http::Call Request;
  Request.Method = "POST";
  Request.Url = "http://" + Target.Entries[0]->callerAddress() +
                "/v1/services/bl-issue/requests";
  Request.Headers = {{"Idempotency-Key", "slow-1"}};
  Request.Body = "slow-1";
  Request.Timeout = Millis(20'000);
  http::Outcome Answer = Errc::Timeout;
  Slow.start(Request, [&](http::Outcome Got) { Answer = std::move(Got); });
  auto Ran = [&] {
    auto Runs = Target.history().EndpointEvents;
    return std::any_of(Runs.begin(), Runs.end(), [](const EndpointEvent &Each) {
      return Each.Key == "slow-1";
    });
  };
  while (Slow.running() > 0 && !Ran())
    Slow.poll(Millis(10));
  Target.stopEntry(0);
  while (Slow.running() > 0)
    Slow.poll(Millis(10));
  CHECK(static_cast<bool>(Answer));
  STRCMP_EQUAL("answer:slow-1", Answer->Body.c_str());
  LONGS_EQUAL(0, Target.Entries[0]->Child.wait(Millis(40'000)));
  for (size_t I = 0; I < Target.Endpoints.size(); ++I)
    Target.setEndpointFaults(I, {});
  Target.restartEntry(0);
  CHECK(Target.waitUntilReady());
}

TEST(WhenThePlatformIsAway, RepeatableRequestsAreServed) {
  http::Response Answer =
      post({{"Daisylanding-Repeatable", "yes"}}, "away-repeatable");
  STRCMP_EQUAL("done", outcome(Answer).c_str());
}

TEST(WhenThePlatformIsAway, WhatCannotBeRecordedIsNotRun) {
  http::Response Answer = post({{"Idempotency-Key", "away-1"}}, "away-1");
  STRCMP_EQUAL("not-run", outcome(Answer).c_str());
  CHECK(http::findHeader(Answer.Headers, "Retry-After") != nullptr);
  STRCMP_EQUAL(
      "not-checked",
      http::findHeader(Answer.Headers, "Daisylanding-Earlier-Tries")->c_str());
  for (const EndpointEvent &Each : Target.history().EndpointEvents)
    CHECK(Each.Key != "away-1");
}

TEST(WhenThePlatformIsAway, AJobIsRefusedWithATimeToComeBack) {
  http::Call Request;
  Request.Method = "POST";
  Request.Url = "http://" + Target.Entries[0]->operatorAddress() + "/v1/jobs";
  Request.Body = R"({"id":"away","kind":"batch","class":"issue"})";
  auto Answer = Client.perform(Request);
  LONGS_EQUAL(503, Answer->Status);
  CHECK(http::findHeader(Answer->Headers, "Retry-After") != nullptr);
}

TEST(ACallerOfASmallDeployment, HasAStatusThatShowsTheShard) {
  for (auto &Each : Target.Entries) {
    http::Call Request;
    Request.Url = "http://" + Each->operatorAddress() + "/v1/status";
    auto Answer = Client.perform(Request);
    CHECK(static_cast<bool>(Answer));
    json Status = json::parse(Answer->Body);
    LONGS_EQUAL(1, Status["shards"].size());
    CHECK_FALSE(Status["zones"]["za"]["cut_off"].get<bool>());
    STRCMP_EQUAL("za.0", Status["shards"][0].value("id", "").c_str());
  }
}

TEST(ACallerOfASmallDeployment, HasOneTimeLineOverAllEntries) {
  http::Call Request;
  Request.Url =
      "http://" + Target.Entries[0]->operatorAddress() + "/v1/timeline";
  std::set<std::string> Entries;
  TimePoint Until = monotonicNow() + Millis(30'000);
  while (Entries.size() < 2 && monotonicNow() < Until) {
    auto Answer = Client.perform(Request);
    CHECK(static_cast<bool>(Answer));
    uint64_t Last = 0;
    json Document = json::parse(Answer->Body);
    for (const json &Each : Document["events"]) {
      Entries.insert(Each["entry"].get<std::string>());
      CHECK(Each["stamp"].get<uint64_t>() >= Last);
      Last = Each["stamp"];
    }
  }
  LONGS_EQUAL(2, Entries.size());
}

TEST(ACallerOfASmallDeployment, AnEntryOfAnotherDeploymentIsTurnedAway) {
  std::ofstream("process-run/stranger.toml")
      << fmt::format("[entry]\ndeployment = \"stranger\"\nname = \"s\"\n"
                     "zone = \"za\"\n"
                     "[callers]\nlisten = \"127.0.0.1:29501\"\n"
                     "[operators]\nlisten = \"127.0.0.1:29502\"\n"
                     "[peers]\nlisten = \"127.0.0.1:29503\"\n"
                     "seeds = [\"{}\"]\n"
                     "[platform]\nurl = \"http://127.0.0.1:1\"\n",
                     Target.Entries[0]->peerAddress());
  Process Stranger(
      {"./daisylanding", "serve", "--config", "process-run/stranger.toml"},
      "process-run/stranger.log");
  http::Call Request;
  Request.Url = "http://127.0.0.1:29502/v1/timeline";
  json Events;
  TimePoint Until = monotonicNow() + Millis(30'000);
  while (Events.empty() && monotonicNow() < Until) {
    auto Answer = Client.perform(Request);
    if (Answer)
      Events = json::parse(Answer->Body)["events"];
  }
  CHECK_FALSE(Events.empty());
  for (const json &Each : Events)
    STRCMP_EQUAL("s", Each["entry"].get<std::string>().c_str());
}
