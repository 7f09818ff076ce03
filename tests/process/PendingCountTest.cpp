#include "cell/OwnerRow.h"
#include "process/CellFixture.h"

#include <csignal>
#include <deque>

using namespace daisylanding;
using namespace daisylanding::celltest;

namespace {

/// A job counts this long after its acceptance at the latest: the protocol has
/// counts of 2 s ago, and 3 s until an accepted job is visible everywhere.
constexpr Millis MaxCountDelay{5'000};

} // namespace

// clang-format off
/// What callers are told of how many jobs wait, while no executor takes any.
TEST_GROUP_BASE(ACellWhoseJobsAllWait, CellOfTwoEntries) {
  int Submitted = 0;
  std::deque<TimePoint> AcceptedAt;

  void setup() override {
    CellOfTwoEntries::setup();
    for (int I = 0; I < 3; ++I)
      Platform.killExecutor(fmt::format("i-{}", I));
    submitJobs(4);
    for (int I = 0; I < 2; ++I)
      CHECK(eventually([&] { return pending(I) == 4; }));
  }

  void submitJobs(int Count) {
    for (int I = 0; I < Count; ++I) {
      int Number = ++Submitted;
      CHECK(eventually([&] { return submit(Number % 2, Number, 1) == 200; }));
      AcceptedAt.push_back(monotonicNow());
    }
  }
  /// None if the entry gives no number.
  std::optional<uint64_t> pending(int Entry) {
    auto Answer = call(Entry, 0, "GET", "/q/");
    if (!Answer || Answer->Status != 200)
      return std::nullopt;
    return json::parse(Answer->Body).at("pending").get<uint64_t>();
  }
  /// Accepted so long ago that each answer has to count them.
  uint64_t jobsToCount(TimePoint AskedAt) const {
    return static_cast<uint64_t>(std::count_if(AcceptedAt.begin(), AcceptedAt.end(), [&](TimePoint At) {
      return At + MaxCountDelay < AskedAt;
    }));
  }
  /// Asks both entries until all jobs have to be counted; each answer with a
  /// number has to count them.
  void checkAnswersUntilAllCount() {
    CHECK(eventually([&] {
      TimePoint AskedAt = monotonicNow();
      uint64_t Expected = jobsToCount(AskedAt);
      for (int I = 0; I < 2; ++I) {
        auto Told = pending(I);
        CHECK(!Told || *Told >= Expected);
      }
      return Expected == static_cast<uint64_t>(Submitted);
    }));
  }
  int owner() const {
    auto Row = cell::decodeOwnerRow(Platform.rowValue(cell::OwnerTable, "s", cell::OwnerKey));
    return Row->Holder.starts_with("e0/") ? 0 : 1;
  }
  void restart(int Entry) {
    Entries[static_cast<size_t>(Entry)].signal(SIGKILL);
    startEntry(Entry);
    CHECK(eventually([&] { return get(Entry, 1, "/ready") == 200; }));
  }
};
// clang-format on

TEST(ACellWhoseJobsAllWait, TellsTheirNumberAtEachEntry) {
  submitJobs(6);
  checkAnswersUntilAllCount();
  for (int I = 0; I < 2; ++I)
    CHECK(eventually([&] { return pending(I) == 10; }));
}

/// Guards against the count of an owner that is gone, which each one that takes
/// the service without reading its jobs passes on.
TEST(ACellWhoseJobsAllWait, NeverTellsTheCountOfAnOwnerLongGone) {
  Platform.setFaults({.RefusedTable = "progress"});
  restart(owner());
  submitJobs(12);
  checkAnswersUntilAllCount();
  Platform.setFaults({});
  for (int I = 0; I < 2; ++I)
    CHECK(eventually([&] { return pending(I) == 16; }));
}

/// Guards against a count that an entry read long ago, as the store doesn't
/// answer it any more.
TEST(ACellWhoseJobsAllWait, IsNotTellingACountReadLongAgo) {
  Platform.setFaults({.StoreUnresponsive = true});
  for (int I = 0; I < 2; ++I)
    CHECK(eventually([&] { return !pending(I); }));
  Platform.setFaults({});
  for (int I = 0; I < 2; ++I)
    CHECK(eventually([&] { return pending(I) == 4; }));
}

/// Guards against a count of none by an entry that has read no row of an owner.
TEST(ACellWhoseJobsAllWait, IsNotToldToBeEmptyBeforeItsRowIsRead) {
  Platform.setFaults({.RefusedTable = "owners"});
  restart(0);
  CHECK_FALSE(pending(0).has_value());
  Platform.setFaults({});
  CHECK(eventually([&] { return pending(0) == 4; }));
}
