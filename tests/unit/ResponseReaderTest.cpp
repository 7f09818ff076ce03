#include "http/ResponseReader.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include <rapidcheck.h>

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

/// Guards against headers that fill the memory.
TEST(AReaderOfAResponse, RefusesHeadersThatAreTooLong) {
  std::string Field = "A: " + std::string(1'000, 'x') + "\r\n";
  CHECK(read("HTTP/1.1 200 OK\r\n") == State::Incomplete);
  State Last = State::Incomplete;
  for (int I = 0; I < 70 && Last == State::Incomplete; ++I)
    Last = read(Field);
  CHECK(Last == State::Malformed);
}

TEST(AReaderOfAResponse, RefusesManyShortHeaders) {
  State Last =
      read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
  for (int I = 0; I < 70'000 && Last == State::Incomplete; ++I)
    Last = read("a:\r\n");
  CHECK(Last == State::Malformed);
}

/// Guards against a server that keeps a reader at work for ever, in one look at
/// its socket.
TEST(AReaderOfAResponse, RefusesEndlessInterimResponses) {
  std::string Interim;
  for (int I = 0; I < 1'000; ++I)
    Interim += "HTTP/1.1 100 Continue\r\n\r\n";
  State Last = State::Incomplete;
  for (int I = 0; I < 100 && Last == State::Incomplete; ++I)
    Last = read(Interim);
  CHECK(Last == State::Malformed);
}

/// Guards against a body that an interim response, which has none, adds to that
/// of the response.
TEST(AReaderOfAResponse, ReadsNoBodyOfAnInterimResponse) {
  CHECK(read("HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") ==
        State::Complete);
  STRCMP_EQUAL("ok", Reader.response().Body.c_str());
}

TEST(AReaderOfAResponse, RefusesAStatusThatIsNone) {
  CHECK(read("HTTP/1.1 42 x\r\nContent-Length: 0\r\n\r\n") == State::Malformed);
}

/// Guards against a transfer that can only be given up at its end.
TEST(AReaderOfAResponse, RefusesALengthBeyondTheLimitAtOnce) {
  CHECK(read("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n") ==
        State::Malformed);
}

TEST(AReaderOfAResponse, RefusesWhatCanBeReadInTwoWays) {
  for (std::string_view Fields :
       {"Content-Length: 2\r\nContent-Length: 3\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "Content-Length: -2\r\n", "Content-Length: 2, 3\r\n",
        "Content-Length: 18446744073709551617\r\n", "no colon\r\n",
        ": no name\r\n", "a b: c\r\n"}) {
    http::ResponseReader Other{MaxBodyBytes};
    std::string Text = "HTTP/1.1 200 OK\r\n" + std::string(Fields) + "\r\n";
    CHECK(Other.read(Text) == State::Malformed);
  }
}

TEST(AReaderOfAResponse, IsNotMovedByAnEmptyPiece) {
  CHECK(read("HTTP/1.1 200 OK\r\n\r\n") == State::Incomplete);
  CHECK(read("") == State::Incomplete);
}

namespace {

/// What a reader makes of bytes that arrive in pieces.
struct Reading {
  static constexpr size_t MaxBodyBytes = 40;
  http::ResponseReader Reader{MaxBodyBytes};
  State Reached = State::Incomplete;

  void read(std::string_view Piece) {
    State Before = Reached;
    Reached = Reader.read(Piece);
    if (Before != State::Incomplete)
      RC_ASSERT(Reached == Before);
    checkLimits();
  }

  void checkLimits() const {
    const http::Response &Received = Reader.response();
    size_t HeaderBytes = 0;
    for (const http::Header &Field : Received.Headers)
      HeaderBytes += Field.first.size() + Field.second.size();
    RC_ASSERT(Received.Body.size() <= MaxBodyBytes);
    RC_ASSERT(HeaderBytes <= http::ResponseReader::MaxHeaderBytes);
  }
};

/// Divides the text at random places; pieces may be empty.
void readInPieces(Reading &Result, std::string_view Text) {
  auto Cuts = *rc::gen::container<std::vector<size_t>>(
      rc::gen::inRange<size_t>(0, Text.size() + 1));
  Cuts.push_back(Text.size());
  std::sort(Cuts.begin(), Cuts.end());
  size_t Start = 0;
  for (size_t Cut : Cuts) {
    Result.read(Text.substr(Start, Cut - Start));
    Start = Cut;
  }
}

void checkSame(const Reading &Whole, const Reading &InPieces) {
  RC_ASSERT(Whole.Reached == InPieces.Reached);
  if (Whole.Reached != State::Complete)
    return;
  const http::Response &Expected = Whole.Reader.response();
  const http::Response &Read = InPieces.Reader.response();
  RC_ASSERT(Expected.Status == Read.Status);
  RC_ASSERT(Expected.Headers == Read.Headers);
  RC_ASSERT(Expected.Body == Read.Body);
  RC_ASSERT(Whole.Reader.mayReuseConnection() ==
            InPieces.Reader.mayReuseConnection());
}

std::string join(const std::vector<std::string> &Parts) {
  std::string Text;
  for (const std::string &Part : Parts)
    Text += Part;
  return Text;
}

/// Bytes, among them parts of responses.
std::string generateBytes() {
  auto Part = rc::gen::oneOf(
      rc::gen::element<std::string>(
          "HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.0 404 x\n", "HTTP/1.1 204 x\r\n", "HTTP/1.1 101 x\r\n",
          "Content-Length: 5\r\n", "Content-Length: 50\r\n",
          "Transfer-Encoding: chunked\r\n", "Connection: close\r\n",
          "Upgrade: x\r\n", "\r\n", "\n", " folded\r\n", "5\r\nhello\r\n",
          "5;x=y\r\nhello\r\n", "0\r\n", "0\r\n\r\n", "hello", "A: b\r\n",
          "A:\r\n", ":", "ffffffffffffffff\r\n"),
      rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
  return join(*rc::gen::container<std::vector<std::string>>(Part));
}

std::string generateToken() {
  return *rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::inRange('b', 'z')));
}

std::vector<http::Header> generateHeaders() {
  std::vector<http::Header> Headers(*rc::gen::inRange<size_t>(0, 4));
  for (http::Header &Field : Headers)
    Field = {"X-" + generateToken(), generateToken()};
  return Headers;
}

std::string headerText(const std::vector<http::Header> &Headers) {
  std::string Text;
  for (const http::Header &Field : Headers)
    Text += Field.first + ": " + Field.second + "\r\n";
  return Text;
}

std::string chunksOf(const std::string &Body) {
  constexpr std::string_view HexDigits = "0123456789abcdef";
  std::string Text;
  for (size_t Start = 0; Start < Body.size();) {
    auto Size = *rc::gen::inRange<size_t>(1, 10);
    std::string Chunk = Body.substr(Start, Size);
    Text += HexDigits[Chunk.size()];
    Text += "\r\n" + Chunk + "\r\n";
    Start += Chunk.size();
  }
  return Text + "0\r\n";
}

struct Expected {
  std::string Text;
  uint16_t Status = 0;
  std::vector<http::Header> Headers;
  std::string Body;
  bool IsReusable = true;
};

Expected generateResponse() {
  Expected Generated;
  int InterimCount = *rc::gen::inRange(0, 3);
  for (int I = 0; I < InterimCount; ++I)
    Generated.Text +=
        "HTTP/1.1 103 x\r\n" + headerText(generateHeaders()) + "\r\n";
  Generated.Status = *rc::gen::element<uint16_t>(200, 409, 503);
  Generated.Body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  Generated.Body.resize(std::min(Generated.Body.size(), Reading::MaxBodyBytes));
  Generated.IsReusable = *rc::gen::arbitrary<bool>();
  Generated.Headers = generateHeaders();
  if (!Generated.IsReusable)
    Generated.Headers.emplace_back("Connection", "close");
  bool IsChunked = *rc::gen::arbitrary<bool>();
  if (IsChunked)
    Generated.Headers.emplace_back("Transfer-Encoding", "chunked");
  else
    Generated.Headers.emplace_back("Content-Length",
                                   std::to_string(Generated.Body.size()));
  Generated.Text += "HTTP/1.1 " + std::to_string(Generated.Status) + " x\r\n" +
                    headerText(Generated.Headers) + "\r\n";
  if (!IsChunked) {
    Generated.Text += Generated.Body;
    return Generated;
  }
  std::vector<http::Header> Trailers = generateHeaders();
  Generated.Text += chunksOf(Generated.Body) + headerText(Trailers) + "\r\n";
  Generated.Headers.insert(Generated.Headers.end(), Trailers.begin(),
                           Trailers.end());
  return Generated;
}

} // namespace

TEST(AReaderOfAResponse, StaysWithinItsLimitsForAllBytes) {
  CHECK(rc::check("any bytes", [] {
    std::string Text = generateBytes();
    Reading Whole;
    Whole.read(Text);
    Reading InPieces;
    readInPieces(InPieces, Text);
    checkSame(Whole, InPieces);
  }));
}

TEST(AReaderOfAResponse, ReadsAResponseHoweverItIsDivided) {
  CHECK(rc::check("responses", [] {
    Expected Generated = generateResponse();
    Reading InPieces;
    readInPieces(InPieces, Generated.Text);
    RC_ASSERT(InPieces.Reached == State::Complete);
    const http::Response &Read = InPieces.Reader.response();
    RC_ASSERT(Read.Status == Generated.Status);
    RC_ASSERT(Read.Headers == Generated.Headers);
    RC_ASSERT(Read.Body == Generated.Body);
    RC_ASSERT(InPieces.Reader.mayReuseConnection() == Generated.IsReusable);
  }));
}
