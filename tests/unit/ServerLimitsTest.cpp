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

/// Not used by any test that may run concurrently.
constexpr uint16_t ServerPort = 26'821;

/// Responds at once, or defers responses until the test requests them.
class DeferringHandler final : public Handler {
public:
  void handle(Request, Responder Respond) override {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (!Deferring) {
      Respond({.Status = StatusOk, .Body = "fine"});
      return;
    }
    Deferred.push_back(std::move(Respond));
    Changed.notify_all();
  }
  void deferResponses() {
    std::lock_guard<std::mutex> Lock(Mutex);
    Deferring = true;
  }
  void respondToNext() {
    std::unique_lock<std::mutex> Lock(Mutex);
    Changed.wait(Lock, [this] { return !Deferred.empty(); });
    Deferred.front()({.Status = StatusOk, .Body = "fine"});
    Deferred.pop_front();
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Deferring = false;
  std::deque<Responder> Deferred;
};

class RawClient {
public:
  RawClient() : Socket(Context) {
    Socket.connect({asio::ip::address_v4::loopback(), ServerPort});
  }
  void send(const std::string &Bytes) {
    asio::write(Socket, asio::buffer(Bytes));
  }
  /// Reads until the server closes the connection.
  std::string readAll() {
    std::string Received;
    std::error_code ReadError;
    asio::read(Socket, asio::dynamic_buffer(Received), ReadError);
    return Received;
  }
  std::string readUntil(const std::string &Delimiter) {
    std::string Received;
    asio::read_until(Socket, asio::dynamic_buffer(Received), Delimiter);
    return Received;
  }

private:
  asio::io_context Context;
  asio::ip::tcp::socket Socket;
};

std::string makeGetRequest() { return "GET / HTTP/1.1\r\nHost: x\r\n\r\n"; }

} // namespace

// clang-format off
TEST_GROUP(AServerWithLimits) {
  DeferringHandler RequestHandler;
  Metrics Counters;
  Server HttpServer{{.Port = ServerPort, .Budget = {.MaxRequestBytes = 20'000, .MaxConnections = 4}, .Counters = &Counters,
                    .Limits = [] {
                      return RequestLimits{.MaxHeaderBytes = 4'000, .MaxBodyBytes = 10'000,
                                           .HeaderTimeout = Millis(300), .IdleTimeout = Millis(60'000)};
                    }}, RequestHandler};
  void setup() override { CHECK_FALSE(static_cast<bool>(HttpServer.start())); }
  void teardown() override { HttpServer.stop(Millis(0)); }

  static void checkResponse(const std::string &ResponseText, const std::string &Status, const std::string &Field) {
    std::string StatusLine = "HTTP/1.1 " + Status + "\r\n";
    STRCMP_EQUAL(StatusLine.c_str(), ResponseText.substr(0, StatusLine.size()).c_str());
    auto Body = nlohmann::json::parse(ResponseText.substr(ResponseText.find("\r\n\r\n") + 4), nullptr, false);
    STRCMP_EQUAL(Field.c_str(), Body.value("field", "").c_str());
  }
  static std::string sendAndReadAll(const std::string &Bytes) {
    RawClient Client;
    Client.send(Bytes);
    return Client.readAll();
  }
};
TEST_GROUP_BASE(ThatReceivesInvalidRequests, TEST_GROUP_CppUTestGroupAServerWithLimits) {};
TEST_GROUP_BASE(ThatReadsMoreThanItMayHold, TEST_GROUP_CppUTestGroupAServerWithLimits) {};
TEST_GROUP_BASE(ThatWaitsForClients, TEST_GROUP_CppUTestGroupAServerWithLimits) {};
// clang-format on

TEST(ThatReceivesInvalidRequests, RefusesTwoContentLengths) {
  checkResponse(sendAndReadAll("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                               "Content-Length: 4\r\n\r\nabcd"),
                "400 Bad Request", "content-length");
}

TEST(ThatReceivesInvalidRequests, RefusesAContentLengthWithChunkedEncoding) {
  checkResponse(sendAndReadAll("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                "400 Bad Request", "transfer-encoding");
}

TEST(ThatReceivesInvalidRequests, RefusesANegativeContentLength) {
  checkResponse(sendAndReadAll("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
                "400 Bad Request", "content-length");
}

TEST(ThatReceivesInvalidRequests, RefusesAMegabyteHeadThatIsSentInFull) {
  checkResponse(sendAndReadAll("GET / HTTP/1.1\r\nX: " +
                               std::string(1'000'000, 'y') + "\r\n\r\n"),
                "431 Request Header Fields Too Large", "headers");
}

TEST(ThatReceivesInvalidRequests, RefusesA99GigabyteBodyBeforeItIsSent) {
  checkResponse(
      sendAndReadAll(
          "POST / HTTP/1.1\r\nContent-Length: 99000000000\r\n\r\nabc"),
      "413 Payload Too Large", "body");
}

TEST(ThatReceivesInvalidRequests, RespondsToEarlierRequestsFirst) {
  RequestHandler.deferResponses();
  RawClient Client;
  Client.send(makeGetRequest() + "nonsense\r\n\r\n");
  RequestHandler.respondToNext();
  std::string ResponseText = Client.readAll();
  STRCMP_EQUAL("HTTP/1.1 200 OK", ResponseText.substr(0, 15).c_str());
  size_t RefusalStart = ResponseText.find("HTTP/1.1 400");
  CHECK(RefusalStart != std::string::npos);
  checkResponse(ResponseText.substr(RefusalStart), "400 Bad Request",
                "request-line");
}

TEST(ThatReceivesInvalidRequests, KeepsServingOtherClients) {
  RawClient OtherClient;
  OtherClient.send(makeGetRequest());
  OtherClient.readUntil("fine");
  sendAndReadAll("nonsense\r\n\r\n");
  OtherClient.send(makeGetRequest());
  STRCMP_EQUAL("HTTP/1.1 200 OK",
               OtherClient.readUntil("fine").substr(0, 15).c_str());
}

TEST(ThatWaitsForClients, RefusesAHeadThatNeverEnds) {
  checkResponse(sendAndReadAll("GET / HTTP/1.1\r\nX: "), "408 Request Timeout",
                "head");
}

TEST(ThatWaitsForClients, RefusesABodyThatNeverEnds) {
  checkResponse(
      sendAndReadAll("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"),
      "408 Request Timeout", "body");
}

TEST(ThatWaitsForClients, ClosesTheLongestIdleConnectionForANewOne) {
  std::deque<RawClient> IdleClients(4);
  for (RawClient &IdleClient : IdleClients) {
    IdleClient.send(makeGetRequest());
    IdleClient.readUntil("fine");
  }
  // Makes IdleClients[1] the one that has been idle longest.
  IdleClients[0].send(makeGetRequest());
  IdleClients[0].readUntil("fine");
  RawClient NewClient;
  NewClient.send(makeGetRequest());
  NewClient.readUntil("fine");
  STRCMP_EQUAL("", IdleClients[1].readAll().c_str());
  IdleClients[0].send(makeGetRequest());
  STRCMP_EQUAL("HTTP/1.1 200 OK",
               IdleClients[0].readUntil("fine").substr(0, 15).c_str());
}

/// Guards against clients that make the process hold their unfinished bodies.
TEST(ThatReadsMoreThanItMayHold, TellsTheCostliestClientThatItIsNotRun) {
  std::string Head = "POST / HTTP/1.1\r\nContent-Length: 9900\r\n\r\n";
  RawClient First;
  First.send(Head + std::string(9'899, ' '));
  RawClient Second;
  Second.send(Head + std::string(9'000, ' '));
  RawClient Third;
  Third.send(Head + std::string(9'000, ' '));
  Third.send(std::string(900, ' '));
  std::string Received = Third.readUntil("\r\n");
  std::string Refused = First.readAll();
  STRCMP_EQUAL("HTTP/1.1 200", Received.substr(0, 12).c_str());
  STRCMP_EQUAL("HTTP/1.1 503", Refused.substr(0, 12).c_str());
  STRCMP_CONTAINS("refusals{server=\"http\",reason=\"request-bytes\"}",
                  Counters.render().c_str());
}
