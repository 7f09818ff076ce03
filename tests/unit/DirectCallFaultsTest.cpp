#include "common/Thread.h"
#include "http/Client.h"
#include "standin/ScriptedServer.h"
#include "unit/CapturedOutput.h"

#include <algorithm>
#include <vector>

#include <sys/resource.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using standin::ScriptedServer;

namespace {

/// Lets no descriptor be opened while it exists.
class NoDescriptors {
public:
  NoDescriptors() {
    ::getrlimit(RLIMIT_NOFILE, &Before);
    rlimit None{.rlim_cur = 0, .rlim_max = Before.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &None);
  }
  ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &Before); }
  NoDescriptors(const NoDescriptors &) = delete;
  NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
  rlimit Before{};
};

constexpr std::string_view Answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

// clang-format off
TEST_GROUP(CallsToAHostByItsAddress) {
  static constexpr Millis LongTime{60'000};
  http::MultiClient Client{{.MaxConnectionsPerHost = 2}};
  ScriptedServer Server;
  std::vector<http::CallResult> Results;
  http::Call request(const char *Method) const {
    http::Call Request;
    Request.Method = Method;
    Request.Url = Server.url();
    Request.Timeout = LongTime;
    Request.ConnectTimeout = LongTime;
    return Request;
  }
  void start(http::Call Request) {
    Client.start(std::move(Request), [this](http::CallResult Result) { Results.push_back(std::move(Result)); });
  }
  bool pollUntil(const std::function<bool()> &IsReached) {
    TimePoint GivenUpAt = monotonicNow() + Millis(5'000);
    bool Reached = IsReached();
    while (!Reached && monotonicNow() < GivenUpAt) {
      Client.poll(Millis(1));
      Reached = IsReached();
    }
    return Reached;
  }
  bool endsCalls(size_t Count) {
    return pollUntil([&] { return Results.size() == Count; });
  }
  std::string receive(int Socket) {
    std::string Received;
    pollUntil([&] {
      Received += ScriptedServer::receive(Socket);
      return Received.find("\r\n\r\n") != std::string::npos;
    });
    return Received;
  }
  size_t countOf(Errc Failure) const {
    return static_cast<size_t>(std::count_if(Results.begin(), Results.end(), [&](const auto &Result) {
      return !Result && Result.error() == Failure;
    }));
  }
};

/// As many connections are open as are kept, one of them to each host.
TEST_GROUP(ACallBeyondTheKeptConnections) {
  http::MultiClient Client{{.MaxIdleConnections = 2}};
  ScriptedServer Other;
  ScriptedServer Server;
  size_t Answered = 0;
  int Kept = -1;
  int OtherKept = -1;
  void start(const ScriptedServer &Called) {
    http::Call Request;
    Request.Url = Called.url();
    Client.start(std::move(Request), [this](const http::CallResult &Result) { Answered += Result ? 1 : 0; });
  }
  bool pollUntil(const std::function<bool()> &IsReached) {
    TimePoint GivenUpAt = monotonicNow() + Millis(5'000);
    bool Reached = IsReached();
    while (!Reached && monotonicNow() < GivenUpAt) {
      Client.poll(Millis(1));
      Reached = IsReached();
    }
    return Reached;
  }
  bool arrivesOn(int Socket) {
    return pollUntil([&] { return !ScriptedServer::receive(Socket).empty(); });
  }
  void setup() override {
    start(Server);
    start(Other);
    Kept = Server.accept();
    OtherKept = Other.accept();
    for (int Socket : {Kept, OtherKept}) {
      CHECK(arrivesOn(Socket));
      ScriptedServer::send(Socket, Answer);
    }
    CHECK(pollUntil([&] { return Answered == 2; }));
  }
};

TEST_GROUP(AConnectionWithoutCalls) {
  http::MultiClient Client{{.MaxIdleTime = Millis(40)}};
  ScriptedServer Server;
};

/// Two connections are busy, and three calls wait for one.
TEST_GROUP_BASE(CallsThatWaitForAConnection, TEST_GROUP_CppUTestGroupCallsToAHostByItsAddress) {
  int First = -1;
  int Second = -1;
  void setup() override {
    for (int I = 0; I < 5; ++I)
      start(request("POST"));
    First = Server.accept();
    Second = Server.accept();
    receive(First);
    receive(Second);
  }
};

/// A call has been answered, and its connection is kept.
TEST_GROUP_BASE(ACallOnAKeptConnection, TEST_GROUP_CppUTestGroupCallsToAHostByItsAddress) {
  int Kept = -1;
  void setup() override {
    start(request("POST"));
    Kept = Server.accept();
    receive(Kept);
    ScriptedServer::send(Kept, Answer);
    CHECK(endsCalls(1));
    Results.clear();
  }
  /// The server closes as the request arrives.
  void closeOn(http::Call Request) {
    start(std::move(Request));
    receive(Kept);
    ScriptedServer::close(Kept);
  }
};
// clang-format on

/// Guards against calls that wait until their deadlines for a connection that
/// can't be opened.
TEST(CallsThatWaitForAConnection, EndIfNoneIsLeftAndNoneCanBeOpened) {
  NoDescriptors None;
  ScriptedServer::close(First);
  ScriptedServer::close(Second);
  CHECK(endsCalls(5));
  LONGS_EQUAL(2, countOf(Errc::AnswerLost));
  LONGS_EQUAL(3, countOf(Errc::Unreachable));
}

TEST(CallsThatWaitForAConnection, StartOnOneThatIsReleased) {
  NoDescriptors None;
  ScriptedServer::close(First);
  CHECK(endsCalls(1));
  for (size_t Call = 2; Call <= 5; ++Call) {
    ScriptedServer::send(Second, Answer);
    CHECK(endsCalls(Call));
    if (Call < 5)
      CHECK(!receive(Second).empty());
  }
  LONGS_EQUAL(1, countOf(Errc::AnswerLost));
  LONGS_EQUAL(0, countOf(Errc::Unreachable));
}

/// Guards against a call that is given up although a connection to its host is
/// about to be released.
TEST(CallsToAHostByItsAddress, WaitIfNoFurtherConnectionCanBeOpened) {
  start(request("POST"));
  int Only = Server.accept();
  receive(Only);
  NoDescriptors None;
  start(request("POST"));
  ScriptedServer::send(Only, Answer);
  CHECK(!receive(Only).empty());
  ScriptedServer::send(Only, Answer);
  CHECK(endsCalls(2));
  LONGS_EQUAL(0, countOf(Errc::Unreachable));
}

/// Guards against a log that is filled by each call that gets no socket.
TEST(CallsToAHostByItsAddress, LogOnceThatNoSocketCanBeOpened) {
  CapturedOutput Log;
  {
    NoDescriptors None;
    for (int I = 0; I < 20; ++I)
      start(request("POST"));
    CHECK(endsCalls(20));
  }
  LONGS_EQUAL(20, countOf(Errc::Unreachable));
  LONGS_EQUAL(1, Log.countLinesWith("event=socket-not-opened"));
}

/// Guards against reads that fail, and are tried again only after a delay,
/// because the store closed a kept connection.
TEST(ACallOnAKeptConnection, IsRepeatedIfItIsAGet) {
  closeOn(request("GET"));
  int Next = -1;
  CHECK(pollUntil([&] { return (Next = Server.acceptWaiting()) >= 0; }));
  CHECK(!receive(Next).empty());
  ScriptedServer::send(Next, Answer);
  CHECK(endsCalls(1));
  CHECK(static_cast<bool>(Results.front()));
}

TEST(ACallOnAKeptConnection, IsRepeatedIfItIsMarkedAsIdempotent) {
  http::Call Request = request("POST");
  Request.Idempotent = true;
  closeOn(std::move(Request));
  int Next = -1;
  CHECK(pollUntil([&] { return (Next = Server.acceptWaiting()) >= 0; }));
  CHECK(!receive(Next).empty());
  ScriptedServer::send(Next, Answer);
  CHECK(endsCalls(1));
  CHECK(static_cast<bool>(Results.front()));
}

TEST(ACallOnAKeptConnection, IsRepeatedOnce) {
  closeOn(request("GET"));
  int Next = -1;
  CHECK(pollUntil([&] { return (Next = Server.acceptWaiting()) >= 0; }));
  receive(Next);
  ScriptedServer::close(Next);
  CHECK(endsCalls(1));
  LONGS_EQUAL(1, countOf(Errc::AnswerLost));
  LONGS_EQUAL(-1, Server.acceptWaiting());
}

/// The server may have carried out what it did not answer.
TEST(ACallOnAKeptConnection, WasSentThoughItsRepeatIsNot) {
  start(request("GET"));
  receive(Kept);
  NoDescriptors None;
  ScriptedServer::reset(Kept);
  CHECK(endsCalls(1));
  LONGS_EQUAL(1, countOf(Errc::AnswerLost));
}

/// Guards against a start, or a commit, that arrives twice.
TEST(ACallOnAKeptConnection, IsNotRepeatedIfItIsNotIdempotent) {
  closeOn(request("POST"));
  CHECK(endsCalls(1));
  LONGS_EQUAL(1, countOf(Errc::AnswerLost));
  LONGS_EQUAL(-1, Server.acceptWaiting());
}

TEST(ACallOnAKeptConnection, IsNotRepeatedAfterAByteOfItsAnswer) {
  start(request("GET"));
  receive(Kept);
  ScriptedServer::send(Kept, "H");
  ScriptedServer::close(Kept);
  CHECK(endsCalls(1));
  LONGS_EQUAL(1, countOf(Errc::AnswerLost));
  LONGS_EQUAL(-1, Server.acceptWaiting());
}

/// Guards against bytes after an answer that are taken for the next answer.
TEST(ACallOnAKeptConnection, IsNotSentWhereBytesHaveArrivedBefore) {
  ScriptedServer::send(Kept,
                       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
  start(request("POST"));
  int Next = Server.accept();
  CHECK(!receive(Next).empty());
  ScriptedServer::send(Next, Answer);
  CHECK(endsCalls(1));
  CHECK(static_cast<bool>(Results.front()));
  STRCMP_EQUAL("ok", Results.front()->Body.c_str());
}

/// Guards against a commit that is lost because the store closed a connection
/// right after an answer.
TEST(ACallOnAKeptConnection, IsNotSentWhereTheServerHasClosed) {
  ScriptedServer::close(Kept);
  start(request("POST"));
  int Next = Server.accept();
  CHECK(!receive(Next).empty());
  ScriptedServer::send(Next, Answer);
  CHECK(endsCalls(1));
  CHECK(static_cast<bool>(Results.front()));
}

/// Guards against an answer that the server sent before it was asked.
TEST(CallsToAHostByItsAddress, AreNotAnsweredBeforeTheyAreSent) {
  start(request("POST"));
  int Accepted = Server.accept();
  ScriptedServer::send(Accepted, Answer);
  CHECK(endsCalls(1));
  LONGS_EQUAL(1, countOf(Errc::Unreachable));
  STRCMP_EQUAL("", ScriptedServer::receive(Accepted).c_str());
}

TEST(CallsToAHostByItsAddress, AreLostIfTheAnswerIsBrokenOff) {
  start(request("GET"));
  int Accepted = Server.accept();
  receive(Accepted);
  ScriptedServer::send(Accepted, Answer.substr(0, Answer.size() - 1));
  ScriptedServer::reset(Accepted);
  CHECK(endsCalls(1));
  LONGS_EQUAL(1, countOf(Errc::AnswerLost));
}

TEST(CallsToAHostByItsAddress, AreLateIfTheServerNeverReads) {
  http::Call Request = request("POST");
  Request.Body = std::string(32 << 20, 'x');
  Request.Timeout = Millis(300);
  start(std::move(Request));
  Server.accept();
  CHECK(endsCalls(1));
  LONGS_EQUAL(1, countOf(Errc::Timeout));
}

TEST(CallsToAHostByItsAddress, AreLateIfTheAnswerComesByteByByte) {
  http::Call Request = request("GET");
  Request.Timeout = Millis(300);
  Request.StallTimeout = Millis(200);
  start(std::move(Request));
  int Accepted = Server.accept();
  receive(Accepted);
  ScriptedServer::send(Accepted, "HTTP/1.1 200 OK\r\nA: ");
  // Often enough not to stall, and too seldom for the head to grow too long.
  constexpr Millis BytePause{5};
  TimePoint NextByteAt = monotonicNow();
  CHECK(pollUntil([&] {
    if (monotonicNow() >= NextByteAt) {
      ScriptedServer::send(Accepted, "x");
      NextByteAt = monotonicNow() + BytePause;
    }
    return !Results.empty();
  }));
  LONGS_EQUAL(1, countOf(Errc::Timeout));
}

/// Guards against connections that are kept for ever.
TEST(AConnectionWithoutCalls, IsClosedAfterItsIdleTime) {
  http::Call Request;
  Request.Url = Server.url();
  Client.start(std::move(Request), [](const http::CallResult &) {});
  int Kept = Server.accept();
  TimePoint GivenUpAt = monotonicNow() + Millis(3'000);
  bool IsAnswered = false;
  while (!ScriptedServer::isClosedByClient(Kept) &&
         monotonicNow() < GivenUpAt) {
    Client.poll(Millis(1));
    if (!IsAnswered && !ScriptedServer::receive(Kept).empty()) {
      ScriptedServer::send(Kept, Answer);
      IsAnswered = true;
    }
  }
  CHECK_TRUE(IsAnswered);
  CHECK_TRUE(ScriptedServer::isClosedByClient(Kept));
}

/// Guards against connections that are opened for each call of a burst, and
/// closed before the next burst: orders to hundreds of executors.
TEST(ACallBeyondTheKeptConnections, WaitsForTheOneBeforeIt) {
  start(Server);
  start(Server);
  for (size_t Call = 3; Call <= 4; ++Call) {
    CHECK(arrivesOn(Kept));
    ScriptedServer::send(Kept, Answer);
    CHECK(pollUntil([&] { return Answered == Call; }));
  }
  LONGS_EQUAL(-1, Server.acceptWaiting());
  CHECK_FALSE(ScriptedServer::isClosedByClient(OtherKept));
}

TEST(ACallBeyondTheKeptConnections, IsSentOnANewOneIfNoneIsReleased) {
  start(Server);
  CHECK(arrivesOn(Kept));
  start(Server);
  int Next = -1;
  CHECK(pollUntil([&] { return (Next = Server.acceptWaiting()) >= 0; }));
  CHECK(arrivesOn(Next));
  ScriptedServer::send(Next, Answer);
  CHECK(pollUntil([&] { return Answered == 3; }));
}

TEST(ACallBeyondTheKeptConnections, IsSentAtOnceIfTheOneBeforeItIsLost) {
  start(Server);
  CHECK(arrivesOn(Kept));
  start(Server);
  ScriptedServer::send(Kept, "H");
  ScriptedServer::close(Kept);
  int Next = -1;
  CHECK(pollUntil([&] { return (Next = Server.acceptWaiting()) >= 0; }));
  CHECK(arrivesOn(Next));
  ScriptedServer::send(Next, Answer);
  CHECK(pollUntil([&] { return Answered == 3; }));
}
