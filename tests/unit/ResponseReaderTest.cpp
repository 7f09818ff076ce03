#include "http/ResponseReader.h"

#include <string_view>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using State = http::ResponseReader::State;

// clang-format off
TEST_GROUP(AReaderOfAResponse) {
  static constexpr size_t MaxBodyBytes = 10;
  http::ResponseReader Reader{MaxBodyBytes};
  State read(std::string_view Bytes) { return Reader.read({Bytes.data(), Bytes.size()}); }
  State readByteByByte(std::string_view Bytes) {
    State Last = State::Incomplete;
    for (size_t I = 0; I < Bytes.size() && Last == State::Incomplete; ++I)
      Last = read(Bytes.substr(I, 1));
    return Last;
  }
  void checkHeader(const char *Name, const char *Value) {
    const std::string *Found = http::findHeader(Reader.response().Headers, Name);
    CHECK(Found != nullptr);
    STRCMP_EQUAL(Value, Found->c_str());
  }
};
// clang-format on

TEST(AReaderOfAResponse, ReadsStatusHeadersAndBody) {
  CHECK(read("HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\nA:  b c\r\n"
             "Empty:\r\n\r\nok") == State::Complete);
  LONGS_EQUAL(409, Reader.response().Status);
  STRCMP_EQUAL("ok", Reader.response().Body.c_str());
  checkHeader("a", "b c");
  checkHeader("empty", "");
  checkHeader("content-length", "2");
  CHECK_TRUE(Reader.mayReuseConnection());
}

TEST(AReaderOfAResponse, ReadsItInSingleBytes) {
  CHECK(readByteByByte(
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n\r\nok") ==
        State::Complete);
  STRCMP_EQUAL("ok", Reader.response().Body.c_str());
  checkHeader("a", "b");
}

TEST(AReaderOfAResponse, ReadsChunksAndTrailers) {
  CHECK(readByteByByte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "2\r\nok\r\n1\r\n!\r\n0\r\nT: u\r\n\r\n") ==
        State::Complete);
  STRCMP_EQUAL("ok!", Reader.response().Body.c_str());
  checkHeader("t", "u");
}

TEST(AReaderOfAResponse, SkipsInterimResponses) {
  CHECK(read("HTTP/1.1 100 Continue\r\nA: b\r\n\r\n") == State::Incomplete);
  CHECK(read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") ==
        State::Complete);
  LONGS_EQUAL(200, Reader.response().Status);
  CHECK(http::findHeader(Reader.response().Headers, "A") == nullptr);
}

TEST(AReaderOfAResponse, NeedsNoBodyWithoutContent) {
  CHECK(read("HTTP/1.1 204 No Content\r\n\r\n") == State::Complete);
  CHECK_TRUE(Reader.mayReuseConnection());
}

TEST(AReaderOfAResponse, TakesNoBodyWithoutLengthForComplete) {
  CHECK(read("HTTP/1.1 200 OK\r\n\r\nok") == State::Incomplete);
}

TEST(AReaderOfAResponse, LeavesAConnectionThatItsServerCloses) {
  CHECK(read("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
             "2\r\n\r\nok") == State::Complete);
  CHECK_FALSE(Reader.mayReuseConnection());
}

TEST(AReaderOfAResponse, LeavesAConnectionWithBytesThatNobodyAskedFor) {
  CHECK(read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK") ==
        State::Complete);
  STRCMP_EQUAL("ok", Reader.response().Body.c_str());
  CHECK_FALSE(Reader.mayReuseConnection());
}

TEST(AReaderOfAResponse, RefusesABodyThatIsTooLong) {
  CHECK(read("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n01234567890") ==
        State::Malformed);
}

TEST(AReaderOfAResponse, RefusesWhatIsNoResponse) {
  CHECK(read("SSH-2.0-OpenSSH\r\n") == State::Malformed);
}

TEST(AReaderOfAResponse, RefusesAChangeOfTheProtocol) {
  CHECK(read("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
             "Upgrade: h2c\r\n\r\n") == State::Malformed);
}
