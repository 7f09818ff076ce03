#include "http/PollRounds.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using http::PollRounds;

// clang-format off
TEST_GROUP(ThePollOfManySockets) {
  static constexpr size_t Full = PollRounds::MaxEventsPerRound;
  static TimePoint at(int Millisecond) { return TimePoint{} + Millis(Millisecond); }
};
// clang-format on

TEST(ThePollOfManySockets, EndsWhenNoEventIsLeft) {
  PollRounds Rounds(10 * Full);
  CHECK_FALSE(Rounds.isLast(Full, at(1)));
  CHECK_TRUE(Rounds.isLast(Full - 1, at(2)));
  CHECK(Rounds.readUntil() == at(2));
}

/// Guards against answers that are taken for late although they had arrived:
/// more sockets were ready than a poll looked at.
TEST(ThePollOfManySockets, SeesEachOnce) {
  PollRounds Rounds(100 * Full);
  for (int Round = 1; Round < 100; ++Round)
    CHECK_FALSE(Rounds.isLast(Full, at(Round)));
  CHECK_TRUE(Rounds.isLast(Full, at(100)));
}

/// Guards against a poll that vouches for what it hasn't read.
TEST(ThePollOfManySockets, HasReadWhatHadArrivedAtTheFirstLook) {
  PollRounds Rounds(2 * Full);
  CHECK_FALSE(Rounds.isLast(Full, at(1)));
  CHECK_TRUE(Rounds.isLast(Full, at(2)));
  CHECK(Rounds.readUntil() == at(1));
}

TEST(ThePollOfManySockets, LooksAtLeastOnce) {
  PollRounds Rounds(0);
  CHECK_TRUE(Rounds.isLast(Full, at(1)));
}
