#include "http/Client.h"
#include "standin/RawServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using standin::RawAction;
using standin::RawServer;

namespace {

/// A server that accepts no connections and drops those beyond its queue, as a
/// host that is down does.
class FullServer {
public:
  FullServer() {
    sockaddr_in Any{};
    Any.sin_family = AF_INET;
    Any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    (void)::bind(Listener, reinterpret_cast<sockaddr *>(&Any), sizeof(Any));
    ::listen(Listener, 0);
    ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    for (int &Socket : Queued) {
      Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)::connect(Socket, reinterpret_cast<sockaddr *>(&Address), Size);
    }
  }
  ~FullServer() {
    for (int Socket : Queued)
      ::close(Socket);
    ::close(Listener);
  }
  FullServer(const FullServer &) = delete;
  FullServer &operator=(const FullServer &) = delete;
  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(ntohs(Address.sin_port)) + "/";
  }

private:
  int Listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  int Queued[4] = {};
};

} // namespace

// clang-format off
TEST_GROUP(ConcurrentCallsToAMisbehavingServer) {
  http::MultiClient Client{{.MaxConnectionsPerHost = 2, .MaxIdleConnections = 2}};
  std::vector<http::CallResult> Answers;
  http::Call request(const RawServer &Server) const {
    http::Call Request;
    Request.Method = "POST";
    Request.Url = "http://" + Server.address() + "/";
    Request.Body = "x";
    Request.Timeout = Millis(500);
    return Request;
  }
  void start(http::Call Request) {
    Client.start(std::move(Request), [this](http::CallResult Result) { Answers.push_back(std::move(Result)); });
  }
  void finishAll() {
    while (Client.activeCalls() > 0)
      Client.poll(Millis(1'000));
  }
  http::CallResult finish(http::Call Request) {
    Answers.clear();
    start(std::move(Request));
    finishAll();
    LONGS_EQUAL(1, Answers.size());
    return std::move(Answers.front());
  }
  http::CallResult post(const RawServer &Server) { return finish(request(Server)); }
};

TEST_GROUP_BASE(OnAnOpenConnection, TEST_GROUP_CppUTestGroupConcurrentCallsToAMisbehavingServer) {};
// clang-format on

TEST(ConcurrentCallsToAMisbehavingServer, AreUnreachableIfRefused) {
  auto Server = std::make_unique<RawServer>(
      std::vector<RawAction>{RawAction::CloseAndStopListening});
  CHECK(post(*Server).error() == Errc::AnswerLost);
  CHECK(post(*Server).error() == Errc::Unreachable);
}

TEST(ConcurrentCallsToAMisbehavingServer, LoseATruncatedAnswer) {
  RawServer Server({RawAction::TruncateBody});
  CHECK(post(Server).error() == Errc::AnswerLost);
}

TEST(ConcurrentCallsToAMisbehavingServer, LoseAnAnswerWithoutLength) {
  RawServer Server({RawAction::OmitContentLength});
  CHECK(post(Server).error() == Errc::AnswerLost);
}

TEST(ConcurrentCallsToAMisbehavingServer, LoseAnAnswerThatIsTooLong) {
  RawServer Server({RawAction::Trickle});
  http::Call Request = request(Server);
  Request.Timeout = Millis(5'000);
  Request.MaxResponseBytes = 4;
  CHECK(finish(std::move(Request)).error() == Errc::AnswerLost);
}

TEST(ConcurrentCallsToAMisbehavingServer, RunOutOfTimeIfItIsSilent) {
  RawServer Server({RawAction::Hang});
  CHECK(post(Server).error() == Errc::Timeout);
}

/// Guards against a poll that never returns: a caller that tries again at once,
/// with a request that can't be sent.
TEST(ConcurrentCallsToAMisbehavingServer, ThatAreRepeatedAtOnceLeaveThePoll) {
  constexpr int MaxTries = 100;
  RawServer Server({});
  int Tries = 0;
  std::function<void()> Try = [&] {
    http::Call Request = request(Server);
    Request.Headers = {{"X-Id", "a\r\n"}};
    Client.start(std::move(Request), [&](const http::CallResult &) {
      if (++Tries < MaxTries)
        Try();
    });
  };
  Try();
  Client.poll(Millis(0));
  CHECK(Tries < MaxTries);
  finishAll();
}

/// Guards against a header that ends its request and begins another one.
TEST(ConcurrentCallsToAMisbehavingServer, SendNoMalformedRequest) {
  RawServer Server({});
  http::Call Request = request(Server);
  Request.Headers = {{"X-Id", "a\r\n\r\nPOST / HTTP/1.1"}};
  CHECK(finish(std::move(Request)).error() == Errc::Unreachable);
  LONGS_EQUAL(0, Server.requestCount());
}

TEST(ConcurrentCallsToAMisbehavingServer, WaitForAConnection) {
  constexpr size_t Calls = 7;
  RawServer Server({});
  for (size_t I = 0; I < Calls; ++I)
    start(request(Server));
  finishAll();
  LONGS_EQUAL(Calls, Answers.size());
  for (const http::CallResult &Answer : Answers)
    CHECK(static_cast<bool>(Answer));
  LONGS_EQUAL(2, Server.connectionCount());
}

/// What has waited for a connection in vain was certainly not sent.
TEST(ConcurrentCallsToAMisbehavingServer, AreUnreachableIfNoConnectionIsFree) {
  RawServer Server(std::vector<RawAction>(3, RawAction::Hang));
  for (size_t I = 0; I < 3; ++I)
    start(request(Server));
  finishAll();
  size_t Unsent = 0;
  for (const http::CallResult &Answer : Answers)
    Unsent += Answer.error() == Errc::Unreachable ? 1 : 0;
  LONGS_EQUAL(3, Answers.size());
  LONGS_EQUAL(3 - Server.requestCount(), Unsent);
}

TEST(ConcurrentCallsToAMisbehavingServer, AreUnreachableIfItTakesNoConnection) {
  FullServer Server;
  http::Call Request;
  Request.Url = Server.url();
  Request.ConnectTimeout = Millis(200);
  Request.Timeout = Millis(20'000);
  TimePoint StartedAt = monotonicNow();
  CHECK(finish(std::move(Request)).error() == Errc::Unreachable);
  CHECK(monotonicNow() - StartedAt < Millis(10'000));
}

TEST(OnAnOpenConnection, FurtherCallsAreSent) {
  RawServer Server({});
  for (size_t I = 0; I < 5; ++I)
    CHECK(static_cast<bool>(post(Server)));
  LONGS_EQUAL(5, Server.requestCount());
  LONGS_EQUAL(1, Server.connectionCount());
}

/// Guards against orders and commits that arrive twice: libcurl sends a request
/// again when its connection closes.
TEST(OnAnOpenConnection, ACallIsSentOnce) {
  RawServer Server({RawAction::Respond, RawAction::CloseWithoutResponse});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(post(Server).error() == Errc::AnswerLost);
  LONGS_EQUAL(2, Server.requestCount());
}

TEST(OnAnOpenConnection, ACallIsNotSentAfterItsServerHasClosed) {
  RawServer Server({RawAction::RespondAndClose});
  CHECK(static_cast<bool>(post(Server)));
  TimePoint ClosedAt = monotonicNow() + Millis(200);
  while (monotonicNow() < ClosedAt) {
  }
  CHECK(static_cast<bool>(post(Server)));
  LONGS_EQUAL(2, Server.requestCount());
  LONGS_EQUAL(2, Server.connectionCount());
}

TEST(OnAnOpenConnection, NoCallFollowsOneThatWasLate) {
  RawServer Server({RawAction::Respond, RawAction::Hang});
  CHECK(static_cast<bool>(post(Server)));
  CHECK(post(Server).error() == Errc::Timeout);
  CHECK(static_cast<bool>(post(Server)));
  LONGS_EQUAL(2, Server.connectionCount());
}

TEST(OnAnOpenConnection, CallsToManyHostsCloseTheLongestIdle) {
  RawServer First({});
  RawServer Second({});
  RawServer Third({});
  for (const RawServer *Server : {&First, &Second, &Third, &Third, &First})
    CHECK(static_cast<bool>(post(*Server)));
  LONGS_EQUAL(2, First.connectionCount());
  LONGS_EQUAL(1, Third.connectionCount());
}

TEST(OnAnOpenConnection, ALongRequestArrivesWhole) {
  RawServer Server({});
  CHECK(static_cast<bool>(post(Server)));
  http::Call Request = request(Server);
  Request.Headers = {{"X-Long", std::string(8 << 20, 'x')}};
  Request.Timeout = Millis(20'000);
  CHECK(static_cast<bool>(finish(std::move(Request))));
  LONGS_EQUAL(2, Server.requestCount());
}
