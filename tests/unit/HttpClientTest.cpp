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
      std::vector<RawAction>{RawAction::CloseForGood});
  CHECK(post(*Server).error() == Errc::AnswerLost);
  CHECK(post(*Server).error() == Errc::Unreachable);
}

TEST(AClientOfAMisbehavingServer, ReportsATruncatedBodyAsAnswerLost) {
  RawServer Server({RawAction::Truncate});
  CHECK(post(Server).error() == Errc::AnswerLost);
}

TEST(AClientOfAMisbehavingServer, ReportsABodyWithoutLengthAsAnswerLost) {
  RawServer Server({RawAction::NoLength});
  CHECK(post(Server).error() == Errc::AnswerLost);
}

TEST(AClientOfAMisbehavingServer, ReportsASilentServerAsTimeout) {
  RawServer Server({RawAction::Hang});
  CHECK(post(Server).error() == Errc::Timeout);
}

TEST(WithAReusedConnection, DoesNotReportASentRequestAsUnreachable) {
  // libcurl resends on a new connection, which is refused.
  RawServer Server({RawAction::Answer, RawAction::CloseForGood});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(post(Server).error() == Errc::AnswerLost);
  LONGS_EQUAL(2, Server.requests());
}

TEST(WithAReusedConnection, SendsACallOnAFreshConnectionOnce) {
  RawServer Server({RawAction::Answer, RawAction::CloseSilently});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(post(Server, true).error() == Errc::AnswerLost);
  LONGS_EQUAL(2, Server.requests());
}

TEST(WithAReusedConnection, LibcurlRepeatsTheCall) {
  // This is why calls that must not be repeated set FreshConnection.
  RawServer Server({RawAction::Answer, RawAction::CloseSilently});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(static_cast<bool>(post(Server)));
  LONGS_EQUAL(3, Server.requests());
}

TEST(WithAReusedConnection, DoesNotReuseItAfterATimeout) {
  RawServer Server({RawAction::Answer, RawAction::Hang});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(post(Server).error() == Errc::Timeout);
  CHECK(static_cast<bool>(post(Server)));
}
