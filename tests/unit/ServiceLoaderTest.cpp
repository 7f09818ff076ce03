#include "node/ServiceLoader.h"
#include "unit/CellSim.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;

namespace {

constexpr uint64_t AcquiredVersion = 40;
constexpr TimePoint Now{Millis(1'000'000)};

/// Looks at its rows when a read is asked, and states its newest version when
/// it answers; entries store jobs between the two.
class LateStatingStore final : public store::RowStore {
public:
  void commit(const store::Transaction &, store::TransactionDone) override {}
  void readChanges(const store::ChangeQuery &, store::ChangesDone) override {}
  void read(const store::RangeRead &Range, store::ReadDone Done) override {
    store::RowPage Page;
    for (const store::Row &Row : Rows) {
      if (Row.Table == Range.Table)
        Page.Rows.push_back(Row);
    }
    if (Range.Table == cell::JobTable)
      storeJob("00000000000000d4");
    Page.Version = Version;
    Done(Page);
  }
  void storeJob(const std::string &Id) {
    cell::JobSpec Job =
        cellsim::Simulation::makeJob(Id, 1, {.MilliCores = 100}, 100);
    Rows.push_back({.Table = cell::JobTable,
                    .Partition = "s",
                    .Key = Id,
                    .Value = cell::encodeJob(Job),
                    .Version = ++Version});
  }
  const std::vector<store::Row> &rows() const { return Rows; }

private:
  std::vector<store::Row> Rows;
  uint64_t Version = AcquiredVersion;
};

} // namespace

// clang-format off
TEST_GROUP(ALoadOfAService) {
  LateStatingStore Store;
  Timers TimerQueue;
  node::ServiceLoader Loader{"s", Store, TimerQueue, [](int64_t) {}};
};
// clang-format on

/// Guards against a stored job that stays unknown to the owner: a page may
/// state a version that is newer than its rows.
TEST(ALoadOfAService, LeavesNoJobBetweenItsRowsAndTheFeed) {
  Store.storeJob("00000000000000d3");
  Loader.start(AcquiredVersion, Now);
  CHECK(Loader.done());
  node::StoredService Stored = Loader.take();
  LONGS_EQUAL(1, Stored.Jobs.size());
  for (const store::Row &Row : Store.rows())
    CHECK_TEXT(Stored.Jobs.count(Row.Key) || Row.Version > Stored.JobsVersion,
               Row.Key.c_str());
}
