#include "store/FeedCursor.h"
#include "common/Random.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisylanding;
using namespace daisylanding::store;

namespace {

constexpr TimePoint Start{Millis(1'000'000)};
constexpr Millis Lag{3'000};

/// A feed that shows each change some time after it was made, in order.
class LateFeed {
public:
  void change(TimePoint At, Millis ShownAfter) {
    ShownUpTo = std::max(ShownUpTo, At + ShownAfter);
    Changes.push_back({.At = At, .ShownAt = ShownUpTo});
  }
  /// The page of a read that the store looks at \p At.
  ChangePage pageAt(uint64_t After, TimePoint At) const {
    ChangePage Page;
    for (size_t I = 0; I < Changes.size() && Changes[I].At <= At; ++I) {
      Page.Version = I + 1;
      if (Page.Version > After && Changes[I].ShownAt <= At)
        Page.Rows.push_back({.Version = Page.Version});
    }
    return Page;
  }
  size_t count() const { return Changes.size(); }

private:
  struct Change {
    TimePoint At;
    TimePoint ShownAt;
  };
  std::vector<Change> Changes;
  TimePoint ShownUpTo{};
};

} // namespace

// clang-format off
/// What is read of a change feed that shows changes late.
TEST_GROUP(AFeedCursor) {
  FeedCursor Cursor{Lag};
  TimePoint Now = Start;

  void setup() override { Cursor.restart(10); }
  /// A page that took \p Took from its request.
  void receive(const ChangePage &Page, Millis Took = Millis(800)) {
    Cursor.advance(Page, Now, Now + Took);
    Now += Took;
  }
};

TEST_GROUP_BASE(ThatHasSeenAPageWithoutRows, TEST_GROUP_CppUTestGroupAFeedCursor) {
  void setup() override {
    TEST_GROUP_CppUTestGroupAFeedCursor::setup();
    receive({.Version = 12});
  }
};
// clang-format on

TEST(AFeedCursor, GoesOnAfterTheLastRow) {
  receive({.Rows = {{.Version = 11}, {.Version = 14}}, .Version = 15});
  LONGS_EQUAL(14, Cursor.position());
}

TEST(ThatHasSeenAPageWithoutRows, ReadsTheSameRangeAgain) {
  receive({.Version = 13});
  LONGS_EQUAL(10, Cursor.position());
}

TEST(ThatHasSeenAPageWithoutRows, GoesOnOnceAPageRequestedAfterTheLagHasNone) {
  Now += Lag;
  receive({.Version = 13});
  LONGS_EQUAL(12, Cursor.position());
}

/// Guards against a change that is passed over as the page that should have
/// shown it was taken seconds after the store had looked at its feed.
TEST(ThatHasSeenAPageWithoutRows, IsNotMovedOnByAPageThatTookAsLongAsTheLag) {
  receive({.Version = 13}, Lag + Millis(500));
  LONGS_EQUAL(10, Cursor.position());
  receive({.Rows = {{.Version = 12}}, .Version = 13});
  LONGS_EQUAL(12, Cursor.position());
}

/// Guards against changes that are never read, whatever the times of answers.
TEST(AFeedCursor, ReadsAllChangesOfRandomFeeds) {
  constexpr uint64_t Plays = 300;
  constexpr Millis PlayTime{60'000};
  for (uint64_t Seed = 1; Seed <= Plays; ++Seed) {
    Random Rng(Seed);
    auto RandomMs = [&](uint64_t Bound) {
      return Millis(static_cast<int64_t>(Rng.below(Bound)));
    };
    LateFeed Feed;
    for (TimePoint At = Start; At < Start + PlayTime;
         At += Millis(50) + RandomMs(Rng.below(4) == 0 ? 9'000 : 400))
      Feed.change(At, RandomMs(3'000));
    FeedCursor Reader{Lag};
    std::set<uint64_t> Read;
    TimePoint RequestedAt = Start;
    while (RequestedAt < Start + 2 * PlayTime) {
      TimePoint LookedAt = RequestedAt + RandomMs(800);
      TimePoint ReceivedAt = LookedAt + RandomMs(Rng.below(5) == 0 ? 5'000 : 9);
      ChangePage Page = Feed.pageAt(Reader.position(), LookedAt);
      for (const Row &Changed : Page.Rows)
        Read.insert(Changed.Version);
      Reader.advance(Page, RequestedAt, ReceivedAt);
      RequestedAt = ReceivedAt + RandomMs(200);
    }
    CHECK_EQUAL_TEXT(Feed.count(), Read.size(),
                     fmt::format("seed {}", Seed).c_str());
  }
}
