#include "http/Server.h"

#include <asio.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::http;

namespace {

/// Used by no other test that runs beside this one.
constexpr uint16_t ServerPort = 26'821;

/// Answers at once, or keeps requests until the test answers them.
class HeldHandler final : public Handler {
public:
  void handle(Request, Responder Respond) override {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (!Holding) {
      Respond({.Status = StatusOk, .Body = "fine"});
      return;
    }
    Held.push_back(std::move(Respond));
    Changed.notify_all();
  }
  void hold() {
    std::lock_guard<std::mutex> Lock(Mutex);
    Holding = true;
  }
  void answerNext() {
    std::unique_lock<std::mutex> Lock(Mutex);
    Changed.wait(Lock, [this] { return !Held.empty(); });
    Held.front()({.Status = StatusOk, .Body = "fine"});
    Held.pop_front();
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Holding = false;
  std::deque<Responder> Held;
};

class Caller {
public:
  Caller() : Socket(Io) {
    Socket.connect({asio::ip::address_v4::loopback(), ServerPort});
  }
  void send(const std::string &Bytes) {
    asio::write(Socket, asio::buffer(Bytes));
  }
  /// All that comes until the server ends the connection.
  std::string readAll() {
    std::string Out;
    std::error_code Failure;
    asio::read(Socket, asio::dynamic_buffer(Out), Failure);
    return Out;
  }
  std::string readTo(const std::string &End) {
    std::string Out;
    asio::read_until(Socket, asio::dynamic_buffer(Out), End);
    return Out;
  }

private:
  asio::io_context Io;
  asio::ip::tcp::socket Socket;
};

std::string get() { return "GET / HTTP/1.1\r\nHost: x\r\n\r\n"; }

} // namespace

// clang-format off
TEST_GROUP(AGuardedServer) {
  HeldHandler Target;
  Server Listening{{.Port = ServerPort, .MaxConnections = 4,
                    .Limits = [] {
                      return RequestLimits{.MaxHeaderBytes = 4'000, .MaxBodyBytes = 10'000,
                                           .HeaderTimeout = Millis(300), .IdleTimeout = Millis(60'000)};
                    }}, Target};
  void setup() override { CHECK_FALSE(static_cast<bool>(Listening.start())); }
  void teardown() override { Listening.stop(Millis(0)); }

  static void answeredWith(const std::string &Answer, const std::string &Status, const std::string &Field) {
    std::string Begin = "HTTP/1.1 " + Status + "\r\n";
    STRCMP_EQUAL(Begin.c_str(), Answer.substr(0, Begin.size()).c_str());
    auto Body = nlohmann::json::parse(Answer.substr(Answer.find("\r\n\r\n") + 4), nullptr, false);
    STRCMP_EQUAL(Field.c_str(), Body.value("field", "").c_str());
  }
  static std::string afterSending(const std::string &Bytes) {
    Caller One;
    One.send(Bytes);
    return One.readAll();
  }
};
TEST_GROUP_BASE(ThatIsSentNonsense, TEST_GROUP_CppUTestGroupAGuardedServer) {};
TEST_GROUP_BASE(ThatIsKeptWaiting, TEST_GROUP_CppUTestGroupAGuardedServer) {};
// clang-format on

TEST(ThatIsSentNonsense, TwoLengthsAreToldSo) {
  answeredWith(afterSending("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                            "Content-Length: 4\r\n\r\nabcd"),
               "400 Bad Request", "content-length");
}

TEST(ThatIsSentNonsense, ALengthWithChunksIsToldSo) {
  answeredWith(afterSending("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
               "400 Bad Request", "transfer-encoding");
}

TEST(ThatIsSentNonsense, ANegativeLengthIsToldSo) {
  answeredWith(afterSending("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
               "400 Bad Request", "content-length");
}

TEST(ThatIsSentNonsense, AHeadOfAMegabyteIsToldSoThoughItIsSentToTheEnd) {
  answeredWith(afterSending("GET / HTTP/1.1\r\nX: " +
                            std::string(1'000'000, 'y') + "\r\n\r\n"),
               "431 Request Header Fields Too Large", "headers");
}

TEST(ThatIsSentNonsense, ABodyOf99GigabytesIsToldSoAtOnce) {
  answeredWith(
      afterSending("POST / HTTP/1.1\r\nContent-Length: 99000000000\r\n\r\nabc"),
      "413 Payload Too Large", "body");
}

TEST(ThatIsSentNonsense, WhatCameBeforeIsAnsweredFirst) {
  Target.hold();
  Caller One;
  One.send(get() + "nonsense\r\n\r\n");
  Target.answerNext();
  std::string Answer = One.readAll();
  STRCMP_EQUAL("HTTP/1.1 200 OK", Answer.substr(0, 15).c_str());
  size_t Second = Answer.find("HTTP/1.1 400");
  CHECK(Second != std::string::npos);
  answeredWith(Answer.substr(Second), "400 Bad Request", "request-line");
}

TEST(ThatIsSentNonsense, OthersAreServedAsBefore) {
  Caller Other;
  Other.send(get());
  Other.readTo("fine");
  afterSending("nonsense\r\n\r\n");
  Other.send(get());
  STRCMP_EQUAL("HTTP/1.1 200 OK", Other.readTo("fine").substr(0, 15).c_str());
}

TEST(ThatIsKeptWaiting, AHeadThatNeverEndsIsToldSo) {
  answeredWith(afterSending("GET / HTTP/1.1\r\nX: "), "408 Request Timeout",
               "head");
}

TEST(ThatIsKeptWaiting, ABodyThatNeverEndsIsToldSo) {
  answeredWith(afterSending("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"),
               "408 Request Timeout", "body");
}

TEST(ThatIsKeptWaiting, TheLongestIdleGivesWayToANewCaller) {
  std::deque<Caller> Idle(4);
  for (Caller &Each : Idle) {
    Each.send(get());
    Each.readTo("fine");
  }
  Idle[0].send(get()); // So the second is the one that was idle longest.
  Idle[0].readTo("fine");
  Caller New;
  New.send(get());
  New.readTo("fine");
  STRCMP_EQUAL("", Idle[1].readAll().c_str());
  Idle[0].send(get());
  STRCMP_EQUAL("HTTP/1.1 200 OK", Idle[0].readTo("fine").substr(0, 15).c_str());
}
