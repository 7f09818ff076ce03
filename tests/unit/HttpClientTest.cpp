#include "http/Client.h"
#include "standin/RawServer.h"

#include <memory>
#include <optional>

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
TEST_GROUP(ACallAnsweredWhileItsLoopIsHeldUp) {
  /// The body arrives within a second.
  static constexpr Millis Timeout{1'500};
  http::MultiClient Client{{}};
  std::optional<http::CallResult> Answer;
  RawServer Server{{RawAction::Trickle}};
  void setup() override {
    http::Call Request;
    Request.Url = "http://" + Server.address() + "/";
    Request.Timeout = Timeout;
    Client.start(std::move(Request), [this](http::CallResult Result) { Answer = std::move(Result); });
    while (Server.requestCount() == 0)
      Client.poll(Millis(1));
  }
};
// clang-format on

TEST(ACallAnsweredWhileItsLoopIsHeldUp, IsNotLate) {
  TimePoint OutOfTime = monotonicNow() + Timeout;
  while (monotonicNow() < OutOfTime) {
  }
  while (!Answer)
    Client.poll(Millis(1'000));
  CHECK(static_cast<bool>(*Answer));
}
