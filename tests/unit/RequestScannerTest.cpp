#include "http/RequestScanner.h"
#include "common/Random.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::http;

// clang-format off
TEST_GROUP(AScannedConnection) {
  RequestLimits Limits{.MaxHeaderBytes = 200, .MaxBodyBytes = 1'000};
  TimePoint Now{Millis(5'000)};
  RequestScanner Scanner{Now};

  std::optional<Refusal> feed(std::string_view Bytes) { return Scanner.feed(Bytes, Limits, Now); }
  /// Checks that Bytes are refused, both fed at once and byte by byte.
  void checkRefused(const std::string &Bytes, uint16_t Status, const char *Field) {
    auto WholeRefusal = RequestScanner(Now).feed(Bytes, Limits, Now);
    CHECK_TRUE_TEXT(WholeRefusal.has_value(), Bytes.c_str());
    RequestScanner SplitScanner(Now);
    std::optional<Refusal> SplitRefusal;
    for (size_t I = 0; I < Bytes.size() && !SplitRefusal; ++I)
      SplitRefusal = SplitScanner.feed(std::string_view(Bytes).substr(I, 1), Limits, Now);
    CHECK_TRUE_TEXT(SplitRefusal.has_value(), Bytes.c_str());
    LONGS_EQUAL(Status, WholeRefusal->Status);
    STRCMP_EQUAL(Field, WholeRefusal->Field.c_str());
    LONGS_EQUAL(Status, SplitRefusal->Status);
    STRCMP_EQUAL(Field, SplitRefusal->Field.c_str());
  }
};

TEST_GROUP_BASE(ThatSendsCompleteMessages, TEST_GROUP_CppUTestGroupAScannedConnection) {};
TEST_GROUP_BASE(ThatSendsInvalidRequests, TEST_GROUP_CppUTestGroupAScannedConnection) {};
TEST_GROUP_BASE(ThatSendsSlowly, TEST_GROUP_CppUTestGroupAScannedConnection) {};
// clang-format on

TEST(ThatSendsCompleteMessages, PipelinedMessagesAreCountedOneByOne) {
  CHECK_FALSE(feed("GET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\n"
                   "Content-Length: 5\r\n\r\nhelloDELETE /c HTTP/1.1\r\n\r\n")
                  .has_value());
  LONGS_EQUAL(3, Scanner.completedMessages());
  CHECK(Scanner.phase() == RequestScanner::Phase::BetweenMessages);
}

TEST(ThatSendsCompleteMessages, ChunksWithExtensionsAndTrailersFormOneMessage) {
  std::string_view Input =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;a=b\r\nhello\r\nA\r\n0123456789\r\n0\r\nT: x\r\n"
      "\r\nGET / HTTP/1.1\r\n\r\n";
  for (size_t I = 0; I < Input.size(); ++I)
    CHECK_FALSE(feed(Input.substr(I, 1)).has_value());
  LONGS_EQUAL(2, Scanner.completedMessages());
}

TEST(ThatSendsCompleteMessages, ABodyMayLookLikeAHead) {
  CHECK_FALSE(
      feed("POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\n\r\n\r\nA: \x01")
          .has_value());
  LONGS_EQUAL(1, Scanner.completedMessages());
}

TEST(ThatSendsInvalidRequests, IsRefusedForTwoContentLengths) {
  checkRefused(
      "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n", 400,
      "content-length");
}

TEST(ThatSendsInvalidRequests, IsRefusedForAContentLengthWithChunkedEncoding) {
  checkRefused(
      "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked"
      "\r\n\r\n",
      400, "transfer-encoding");
}

TEST(ThatSendsInvalidRequests, IsRefusedForMalformedContentLengths) {
  for (const char *Length : {"-5", "+5", "5,5", "0x10", "five", "", "1 2"})
    checkRefused(
        fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", Length),
        400, "content-length");
}

TEST(ThatSendsInvalidRequests,
     IsRefusedForATooLargeContentLengthBeforeTheBody) {
  for (const char *Length :
       {"1001", "99000000000", "99999999999999999999999999999999"})
    checkRefused(
        fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", Length),
        413, "body");
}

TEST(ThatSendsInvalidRequests, IsRefusedForChunksThatTogetherExceedTheLimit) {
  std::string Input = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int I = 0; I < 3; ++I)
    Input += "190\r\n" + std::string(400, 'x') + "\r\n";
  checkRefused(Input, 413, "body");
}

TEST(ThatSendsInvalidRequests, IsRefusedForMalformedChunks) {
  for (const char *Chunk : {"xyz\r\n", "\r\n", "2\r\nabc\r\n", "-1\r\n"})
    checkRefused(
        fmt::format("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{}",
                    Chunk),
        400, "chunk");
}

TEST(ThatSendsInvalidRequests, IsRefusedForATooLargeHead) {
  checkRefused("GET / HTTP/1.1\r\nX: " + std::string(300, 'y'), 431, "headers");
}

TEST(ThatSendsInvalidRequests, IsRefusedForMalformedHeaders) {
  checkRefused("GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, "headers");
  checkRefused("GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400, "headers");
  checkRefused("GET / HTTP/1.1\r\n: x\r\n\r\n", 400, "headers");
}

TEST(ThatSendsInvalidRequests, IsRefusedForMalformedRequestLines) {
  checkRefused("hello\r\n\r\n", 400, "request-line");
  checkRefused("PRI * HTTP/2.0\r\n\r\n", 400, "version");
  checkRefused("BREW /pot HTTP/1.1\r\n\r\n", 405, "method");
  checkRefused("GET pot HTTP/1.1\r\n\r\n", 400, "target");
}

TEST(ThatSendsSlowly, TimesOutWithAnIncompleteHead) {
  feed("GET / HT");
  CHECK_FALSE(Scanner.checkTimeout(Limits, Now + Millis(3'000)).has_value());
  LONGS_EQUAL(408, Scanner.checkTimeout(Limits, Now + Millis(3'001))->Status);
}

TEST(ThatSendsSlowly, TimesOutWithAnIncompleteBody) {
  feed("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  CHECK_FALSE(Scanner.checkTimeout(Limits, Now + Millis(5'000)).has_value());
  STRCMP_EQUAL(
      "body", Scanner.checkTimeout(Limits, Now + Millis(6'001))->Field.c_str());
}

TEST(ThatSendsSlowly, DoesNotTimeOutBetweenMessages) {
  feed("GET / HTTP/1.1\r\n\r\n\r\n");
  CHECK_FALSE(Scanner.checkTimeout(Limits, Now + Millis(60'000)).has_value());
}

/// For any input, split at any points, the scanner terminates with the same
/// result as for the whole input at once.
TEST(ThatSendsInvalidRequests, RandomInputGivesTheSameResultHoweverItIsSplit) {
  const char *Fragments[] = {"GET ",
                             "/",
                             " HTTP/1.1",
                             "\r\n",
                             "\n",
                             "\r",
                             ":",
                             "Host: x",
                             "Content-Length: ",
                             "Transfer-Encoding: chunked",
                             "5",
                             "-1",
                             "hello",
                             "0\r\n\r\n",
                             "A;x",
                             "\x00\xff",
                             " ",
                             "POST /a HTTP/1.1\r\n"};
  for (uint64_t Seed = 1; Seed <= 20'000; ++Seed) {
    Random Generator(Seed);
    std::string Input;
    for (uint64_t FragmentsLeft = Generator.below(14); FragmentsLeft > 0;
         --FragmentsLeft)
      Input += Fragments[Generator.below(std::size(Fragments))];
    RequestScanner WholeScanner(Now);
    auto WholeRefusal = WholeScanner.feed(Input, Limits, Now);
    RequestScanner SplitScanner(Now);
    std::optional<Refusal> SplitRefusal;
    for (size_t Offset = 0; Offset < Input.size() && !SplitRefusal;) {
      size_t Size = 1 + Generator.below(4);
      SplitRefusal = SplitScanner.feed(
          std::string_view(Input).substr(Offset, Size), Limits, Now);
      Offset += Size;
    }
    std::string SeedLabel = fmt::format("seed {}", Seed);
    CHECK_TRUE_TEXT(WholeRefusal.has_value() == SplitRefusal.has_value(),
                    SeedLabel.c_str());
    LONGS_EQUAL_TEXT(WholeScanner.completedMessages(),
                     SplitScanner.completedMessages(), SeedLabel.c_str());
    if (WholeRefusal)
      LONGS_EQUAL_TEXT(WholeRefusal->Status, SplitRefusal->Status,
                       SeedLabel.c_str());
  }
}

/// Guards against requests of legal size that take a hundred times as much
/// memory, for their many short fields.
TEST(ThatSendsInvalidRequests, TooManyFieldsAreRefusedBeforeTheHeadEnds) {
  Limits.MaxHeaderFields = 3;
  std::string Head = "GET / HTTP/1.1\r\na:\r\nb:\r\nc:\r\n";
  CHECK_FALSE(feed(Head + "\r\n").has_value());
  LONGS_EQUAL(1, Scanner.completedMessages());
  checkRefused(Head + "d:\r\n\r\n", 431, "headers");
  checkRefused(Head + "d:\r\ne:\r\n", 431, "headers");
}

TEST(ThatSendsInvalidRequests, TooManyFieldsAfterTheChunksAreRefused) {
  Limits.MaxHeaderFields = 3;
  checkRefused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
               "a:b\r\na:b\r\na:b\r\na:b\r\n",
               431, "headers");
}

TEST(ThatSendsCompleteMessages, WhatTheyHoldIsKnownWhileAndOnceTheyArrive) {
  std::string_view Input = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";
  feed(Input.substr(0, Input.size() - 1));
  size_t Partial = Scanner.heldBytes();
  CHECK(Partial > Input.size() - 1);
  CHECK(Scanner.completedSizes().empty());
  feed(Input.substr(Input.size() - 1));
  LONGS_EQUAL(0, Scanner.heldBytes());
  LONGS_EQUAL(1, Scanner.completedSizes().size());
  LONGS_EQUAL(Partial + 1, Scanner.completedSizes().front());
}

TEST(ThatSendsCompleteMessages, ManySmallChunksHoldMoreThanTheirBytes) {
  constexpr size_t Chunks = 100;
  feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  size_t Before = Scanner.heldBytes();
  std::string_view Chunk = "1\r\n \r\n";
  for (size_t I = 0; I < Chunks; ++I)
    feed(Chunk);
  CHECK(Scanner.heldBytes() > Before + 2 * Chunks * Chunk.size());
}

TEST(ThatSendsSlowly, ABodyHasItsOwnTimeIfThatIsShorter) {
  Limits.BodyTimeout = Limits.HeaderTimeout;
  feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhell");
  Now += Limits.HeaderTimeout;
  CHECK_FALSE(Scanner.checkTimeout(Limits, Now).has_value());
  Now += Millis(1);
  LONGS_EQUAL(408, Scanner.checkTimeout(Limits, Now)->Status);
}
