#include "http/Client.h"
#include "standin/RawServer.h"

#include <memory>

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
