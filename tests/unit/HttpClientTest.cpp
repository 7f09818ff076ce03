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
  http::Outcome post(const RawServer &Server, bool Fresh = false) {
    http::Call Request;
    Request.Method = "POST";
    Request.Url = "http://" + Server.address() + "/";
    Request.Body = "x";
    Request.Timeout = Millis(1'000);
    Request.FreshConnection = Fresh;
    return Client.perform(Request);
  }
};

TEST_GROUP_BASE(WithAConnectionKeptFromBefore, TEST_GROUP_CppUTestGroupAClientOfAMisbehavingServer) {};
// clang-format on

TEST(AClientOfAMisbehavingServer, ARefusedConnectionMeansNotSent) {
  auto Server = std::make_unique<RawServer>(
      std::vector<RawAction>{RawAction::CloseAndStopListening});
  CHECK(post(*Server).error() == Errc::AnswerLost);
  CHECK(post(*Server).error() == Errc::Unreachable);
}

TEST(AClientOfAMisbehavingServer, ACutBodyIsNoAnswer) {
  RawServer Server({RawAction::TruncateBody});
  CHECK(post(Server).error() == Errc::AnswerLost);
}

TEST(AClientOfAMisbehavingServer, ABodyWithoutALengthIsNoAnswer) {
  RawServer Server({RawAction::OmitContentLength});
  CHECK(post(Server).error() == Errc::AnswerLost);
}

TEST(AClientOfAMisbehavingServer, SilenceIsATimeout) {
  RawServer Server({RawAction::Hang});
  CHECK(post(Server).error() == Errc::Timeout);
}

TEST(WithAConnectionKeptFromBefore,
     ARequestThatItMayHaveCarriedIsNotCalledUnsent) {
  // The library sends again on a new connection, which is refused.
  RawServer Server({RawAction::Respond, RawAction::CloseAndStopListening});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(post(Server).error() == Errc::AnswerLost);
  LONGS_EQUAL(2, Server.requestCount());
}

TEST(WithAConnectionKeptFromBefore, AFreshCallIsSentOnce) {
  RawServer Server({RawAction::Respond, RawAction::CloseWithoutResponse});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(post(Server, true).error() == Errc::AnswerLost);
  LONGS_EQUAL(2, Server.requestCount());
}

TEST(WithAConnectionKeptFromBefore, AReusedCallIsRepeatedByTheLibrary) {
  // Why calls that must not be repeated take a fresh connection.
  RawServer Server({RawAction::Respond, RawAction::CloseWithoutResponse});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(static_cast<bool>(post(Server)));
  LONGS_EQUAL(3, Server.requestCount());
}

TEST(WithAConnectionKeptFromBefore, ATimedOutOneIsNotUsedAgain) {
  RawServer Server({RawAction::Respond, RawAction::Hang});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(post(Server).error() == Errc::Timeout);
  CHECK(static_cast<bool>(post(Server)));
}
