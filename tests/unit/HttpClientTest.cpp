#include "http/Client.h"
#include "standin/RawServer.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using standin::RawAction;
using standin::RawServer;

// clang-format off
TEST_GROUP(AClientOfAMisbehavingServer) {
  http::Client Client;
  http::CallResult post(const RawServer &Server, bool FreshConnection = false) {
    http::Call Request;
    Request.Method = "POST";
    Request.Url = "http://" + Server.address() + "/";
    Request.Body = "x";
    Request.Timeout = Millis(1'000);
    Request.FreshConnection = FreshConnection;
    return Client.perform(Request);
  }
};

TEST_GROUP(ACallWithAStallTimeout) {
  http::MultiClient Client{{}};
  http::CallResult get(const RawServer &Server) {
    http::Call Request;
    Request.Url = "http://" + Server.address() + "/";
    Request.StallTimeout = Millis(400);
    std::optional<http::CallResult> Answer;
    Client.start(std::move(Request), [&](http::CallResult Result) { Answer = std::move(Result); });
    while (!Answer)
      Client.poll(Millis(10'000));
    return *Answer;
  }
};

TEST_GROUP_BASE(WithAReusedConnection, TEST_GROUP_CppUTestGroupAClientOfAMisbehavingServer) {};
// clang-format on

TEST(AClientOfAMisbehavingServer, ReportsARefusedConnectionAsUnreachable) {
  auto Server = std::make_unique<RawServer>(
      std::vector<RawAction>{RawAction::CloseAndStopListening});
  CHECK(post(*Server).error() == Errc::AnswerLost);
  CHECK(post(*Server).error() == Errc::Unreachable);
}

TEST(AClientOfAMisbehavingServer, ReportsATruncatedBodyAsAnswerLost) {
  RawServer Server({RawAction::TruncateBody});
  CHECK(post(Server).error() == Errc::AnswerLost);
}

TEST(AClientOfAMisbehavingServer, ReportsABodyWithoutLengthAsAnswerLost) {
  RawServer Server({RawAction::OmitContentLength});
  CHECK(post(Server).error() == Errc::AnswerLost);
}

TEST(AClientOfAMisbehavingServer, ReportsASilentServerAsTimeout) {
  RawServer Server({RawAction::Hang});
  CHECK(post(Server).error() == Errc::Timeout);
}

TEST(WithAReusedConnection, DoesNotReportASentRequestAsUnreachable) {
  // libcurl resends on a new connection, which is refused.
  RawServer Server({RawAction::Respond, RawAction::CloseAndStopListening});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(post(Server).error() == Errc::AnswerLost);
  LONGS_EQUAL(2, Server.requestCount());
}

TEST(WithAReusedConnection, SendsACallOnAFreshConnectionOnce) {
  RawServer Server({RawAction::Respond, RawAction::CloseWithoutResponse});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(post(Server, true).error() == Errc::AnswerLost);
  LONGS_EQUAL(2, Server.requestCount());
}

TEST(WithAReusedConnection, LibcurlRepeatsTheCall) {
  // This is why calls that must not be repeated set FreshConnection.
  RawServer Server({RawAction::Respond, RawAction::CloseWithoutResponse});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(static_cast<bool>(post(Server)));
  LONGS_EQUAL(3, Server.requestCount());
}

TEST(WithAReusedConnection, DoesNotReuseItAfterATimeout) {
  RawServer Server({RawAction::Respond, RawAction::Hang});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(post(Server).error() == Errc::Timeout);
  CHECK(static_cast<bool>(post(Server)));
}

/// Guards against answers that are given up, for ever, because their transfer
/// takes longer than a server usually needs to answer.
TEST(ACallWithAStallTimeout, GetsAnAnswerThatKeepsArriving) {
  RawServer Server({RawAction::Trickle});
  auto Answer = get(Server);
  CHECK(static_cast<bool>(Answer));
  STRCMP_EQUAL("xxxxxxxxxx", Answer->Body.c_str());
  CHECK(Answer->BeganAt + Millis(800) < monotonicNow());
}

TEST(ACallWithAStallTimeout, EndsIfNoAnswerBegins) {
  RawServer Server({RawAction::Hang});
  TimePoint StartedAt = monotonicNow();
  CHECK(get(Server).error() == Errc::Timeout);
  CHECK(monotonicNow() - StartedAt < Millis(2'000));
}

TEST(ACallWithAStallTimeout, EndsIfNothingFurtherArrives) {
  RawServer Server({RawAction::StallInBody});
  TimePoint StartedAt = monotonicNow();
  CHECK(get(Server).error() == Errc::Timeout);
  CHECK(monotonicNow() - StartedAt < Millis(2'000));
}

TEST(ACallWithAStallTimeout, LeavesLaterCallsTheirAnswers) {
  RawServer Server({RawAction::StallInBody, RawAction::Respond});
  CHECK(get(Server).error() == Errc::Timeout);
  CHECK(static_cast<bool>(get(Server)));
}

// clang-format off
/// A loop that is held up reads answers after their time.
TEST_GROUP(CallsAnsweredWhileTheirLoopIsHeldUp) {
  /// More than one look at the sockets shows.
  static constexpr size_t Calls = 150;
  /// The bodies arrive within a second.
  static constexpr Millis Timeout{1'500};
  http::MultiClient Client{{.MaxConnectionsPerHost = Calls}};
  std::vector<http::CallResult> Answers;
  RawServer Server{actions()};
  static std::vector<RawAction> actions() {
    std::vector<RawAction> Actions(Calls, RawAction::Respond);
    Actions.resize(2 * Calls, RawAction::Trickle);
    return Actions;
  }
  void startAll() {
    for (size_t I = 0; I < Calls; ++I) {
      http::Call Request;
      Request.Url = "http://" + Server.address() + "/";
      Request.Timeout = Timeout;
      // When this has passed, libcurl looks at the call by itself.
      Request.ConnectTimeout = Millis(60'000);
      Client.start(std::move(Request), [this](http::CallResult Result) { Answers.push_back(std::move(Result)); });
    }
  }
  void setup() override {
    // It does so, too, on new connections.
    startAll();
    while (Answers.size() < Calls)
      Client.poll(Millis(1));
    Answers.clear();
    startAll();
    while (Server.requestCount() < 2 * Calls)
      Client.poll(Millis(1));
  }
};
// clang-format on

TEST(CallsAnsweredWhileTheirLoopIsHeldUp, AreNotLate) {
  TimePoint OutOfTime = monotonicNow() + Timeout;
  while (monotonicNow() < OutOfTime) {
  }
  while (Answers.size() < Calls)
    Client.poll(Millis(1'000));
  size_t Answered = static_cast<size_t>(
      std::count_if(Answers.begin(), Answers.end(),
                    [](const auto &Answer) { return bool(Answer); }));
  LONGS_EQUAL(Calls, Answered);
}

// clang-format off
/// Its connection is open by the time at which the loop goes on.
TEST_GROUP(ACallWhoseLoopIsHeldUpWhileItConnects) {
  static constexpr Millis Timeout{60};
  http::MultiClient Client{{}};
  RawServer Server{{}};
  std::vector<http::CallResult> Results;
  void start(Millis Allowed) {
    http::Call Request;
    Request.Method = "POST";
    Request.Url = "http://" + Server.address() + "/";
    Request.Timeout = Allowed;
    Request.ConnectTimeout = Millis(60'000);
    Client.start(std::move(Request), [this](http::CallResult Result) { Results.push_back(std::move(Result)); });
  }
  void setup() override {
    start(Timeout);
    TimePoint OutOfTime = monotonicNow() + Timeout;
    while (monotonicNow() < OutOfTime) {
    }
    while (Results.empty())
      Client.poll(Millis(1));
  }
};
// clang-format on

/// Guards against an order that a process sends when it goes on after a
/// suspension, long after its decision.
TEST(ACallWhoseLoopIsHeldUpWhileItConnects, IsNotSentOnceItsTimeIsOver) {
  CHECK(Results.front().error() == Errc::Unreachable);
  start(Millis(5'000));
  while (Results.size() < 2)
    Client.poll(Millis(1));
  LONGS_EQUAL(1, Server.requestCount());
}

// clang-format off
TEST_GROUP(ACallStartedByAnAnswer) {
  http::MultiClient Client{{}};
  RawServer Server{{}};
  http::Call request() const {
    http::Call Request;
    Request.Url = "http://" + Server.address() + "/";
    return Request;
  }
  bool receives(size_t Requests) const {
    TimePoint GivenUpAt = monotonicNow() + Millis(3'000);
    while (Server.requestCount() < Requests && monotonicNow() < GivenUpAt) {
    }
    return Server.requestCount() == Requests;
  }
};
// clang-format on

/// Guards against commits that wait for a turn and hundreds of other answers:
/// an owner starts the next one with the answer to the last.
TEST(ACallStartedByAnAnswer, IsSentInTheSamePoll) {
  bool Answered = false;
  Client.start(request(), [&](const http::CallResult &) {
    Answered = true;
    Client.start(request(), [](const http::CallResult &) {});
  });
  while (!Answered)
    Client.poll(Millis(1'000));
  CHECK_TRUE(receives(2));
}

// clang-format off
/// These calls are made by libcurl, which looks the name up.
TEST_GROUP(ACallToANamedHost) {
  http::MultiClient Client{{}};
  http::CallResult get(const RawServer &Server) {
    std::string Address = Server.address();
    http::Call Request;
    Request.Url = "http://localhost" + Address.substr(Address.find(':')) + "/";
    Request.Timeout = Millis(3'000);
    Request.StallTimeout = Millis(400);
    std::optional<http::CallResult> Answer;
    Client.start(std::move(Request), [&](http::CallResult Result) { Answer = std::move(Result); });
    while (!Answer)
      Client.poll(Millis(10'000));
    return *Answer;
  }
};
// clang-format on

TEST(ACallToANamedHost, GetsItsAnswers) {
  RawServer Server({});
  for (size_t I = 0; I < 3; ++I)
    CHECK(static_cast<bool>(get(Server)));
  LONGS_EQUAL(1, Server.connectionCount());
}

TEST(ACallToANamedHost, EndsIfNothingFurtherArrives) {
  RawServer Server({RawAction::Hang, RawAction::StallInBody});
  CHECK(get(Server).error() == Errc::Timeout);
  CHECK(get(Server).error() == Errc::Timeout);
  CHECK(static_cast<bool>(get(Server)));
}
