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
  /// Byte by byte the verdict must be the same as all at once.
  void refused(const std::string &Bytes, uint16_t Status, const char *Field) {
    auto Whole = RequestScanner(Now).feed(Bytes, Limits, Now);
    CHECK_TRUE_TEXT(Whole.has_value(), Bytes.c_str());
    RequestScanner Other(Now);
    std::optional<Refusal> Parted;
    for (size_t I = 0; I < Bytes.size() && !Parted; ++I)
      Parted = Other.feed(std::string_view(Bytes).substr(I, 1), Limits, Now);
    CHECK_TRUE_TEXT(Parted.has_value(), Bytes.c_str());
    LONGS_EQUAL(Status, Whole->Status);
    STRCMP_EQUAL(Field, Whole->Field.c_str());
    LONGS_EQUAL(Status, Parted->Status);
    STRCMP_EQUAL(Field, Parted->Field.c_str());
  }
};

TEST_GROUP_BASE(ThatSendsWholeMessages, TEST_GROUP_CppUTestGroupAScannedConnection) {};
TEST_GROUP_BASE(ThatSendsWhatIsNotAllowed, TEST_GROUP_CppUTestGroupAScannedConnection) {};
TEST_GROUP_BASE(ThatTakesItsTime, TEST_GROUP_CppUTestGroupAScannedConnection) {};
// clang-format on

TEST(ThatSendsWholeMessages, EachIsCountedAlsoWhenTheyComeTogether) {
  CHECK_FALSE(feed("GET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\n"
                   "Content-Length: 5\r\n\r\nhelloDELETE /c HTTP/1.1\r\n\r\n")
                  .has_value());
  LONGS_EQUAL(3, Scanner.complete());
  CHECK(Scanner.part() == RequestScanner::Part::Between);
}

TEST(ThatSendsWholeMessages, ChunksWithExtensionsAndTrailersAreOne) {
  std::string_view Text =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;a=b\r\nhello\r\nA\r\n0123456789\r\n0\r\nT: x\r\n"
      "\r\nGET / HTTP/1.1\r\n\r\n";
  for (size_t I = 0; I < Text.size(); ++I)
    CHECK_FALSE(feed(Text.substr(I, 1)).has_value());
  LONGS_EQUAL(2, Scanner.complete());
}

TEST(ThatSendsWholeMessages, ABodyMayLookLikeAHead) {
  CHECK_FALSE(
      feed("POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\n\r\n\r\nA: \x01")
          .has_value());
  LONGS_EQUAL(1, Scanner.complete());
}

TEST(ThatSendsWhatIsNotAllowed, TwoLengths) {
  refused("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
          400, "content-length");
}

TEST(ThatSendsWhatIsNotAllowed, ALengthWithChunks) {
  refused("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked"
          "\r\n\r\n",
          400, "transfer-encoding");
}

TEST(ThatSendsWhatIsNotAllowed, LengthsThatAreNone) {
  for (const char *Each : {"-5", "+5", "5,5", "0x10", "five", "", "1 2"})
    refused(fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", Each),
            400, "content-length");
}

TEST(ThatSendsWhatIsNotAllowed, ABodyOverTheLimitAsSoonAsItIsAnnounced) {
  for (const char *Each :
       {"1001", "99000000000", "99999999999999999999999999999999"})
    refused(fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", Each),
            413, "body");
}

TEST(ThatSendsWhatIsNotAllowed, ChunksOverTheLimitTogether) {
  std::string Text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int I = 0; I < 3; ++I)
    Text += "190\r\n" + std::string(400, 'x') + "\r\n";
  refused(Text, 413, "body");
}

TEST(ThatSendsWhatIsNotAllowed, ChunksThatAreNone) {
  for (const char *Each : {"xyz\r\n", "\r\n", "2\r\nabc\r\n", "-1\r\n"})
    refused(
        fmt::format("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{}",
                    Each),
        400, "chunk");
}

TEST(ThatSendsWhatIsNotAllowed, AHeadOverTheLimit) {
  refused("GET / HTTP/1.1\r\nX: " + std::string(300, 'y'), 431, "headers");
}

TEST(ThatSendsWhatIsNotAllowed, LinesThatAreNoHeaders) {
  refused("GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, "headers");
  refused("GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400, "headers");
  refused("GET / HTTP/1.1\r\n: x\r\n\r\n", 400, "headers");
}

TEST(ThatSendsWhatIsNotAllowed, RequestLinesThatAreNone) {
  refused("hello\r\n\r\n", 400, "request-line");
  refused("PRI * HTTP/2.0\r\n\r\n", 400, "version");
  refused("BREW /pot HTTP/1.1\r\n\r\n", 405, "method");
  refused("GET pot HTTP/1.1\r\n\r\n", 400, "target");
}

TEST(ThatTakesItsTime, AHeadMustBeWholeInTime) {
  feed("GET / HT");
  CHECK_FALSE(Scanner.late(Limits, Now + Millis(3'000)).has_value());
  LONGS_EQUAL(408, Scanner.late(Limits, Now + Millis(3'001))->Status);
}

TEST(ThatTakesItsTime, ABodyMustBeWholeInTime) {
  feed("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  CHECK_FALSE(Scanner.late(Limits, Now + Millis(5'000)).has_value());
  STRCMP_EQUAL("body",
               Scanner.late(Limits, Now + Millis(6'001))->Field.c_str());
}

TEST(ThatTakesItsTime, BetweenMessagesNothingIsLate) {
  feed("GET / HTTP/1.1\r\n\r\n\r\n");
  CHECK_FALSE(Scanner.late(Limits, Now + Millis(60'000)).has_value());
}

/// Whatever the bytes and however they are parted: the scanner ends, and comes
/// to the same verdict as on all of them at once.
TEST(ThatSendsWhatIsNotAllowed, RandomBytesGetOneVerdictHoweverTheyAreParted) {
  const char *Pieces[] = {"GET ",
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
    Random Dice(Seed);
    std::string Text;
    for (uint64_t N = Dice.below(14); N > 0; --N)
      Text += Pieces[Dice.below(std::size(Pieces))];
    RequestScanner Whole(Now);
    auto First = Whole.feed(Text, Limits, Now);
    RequestScanner Parted(Now);
    std::optional<Refusal> Second;
    for (size_t At = 0; At < Text.size() && !Second;) {
      size_t Size = 1 + Dice.below(4);
      Second =
          Parted.feed(std::string_view(Text).substr(At, Size), Limits, Now);
      At += Size;
    }
    std::string Name = fmt::format("seed {}", Seed);
    CHECK_TRUE_TEXT(First.has_value() == Second.has_value(), Name.c_str());
    LONGS_EQUAL_TEXT(Whole.complete(), Parted.complete(), Name.c_str());
    if (First)
      LONGS_EQUAL_TEXT(First->Status, Second->Status, Name.c_str());
  }
}
