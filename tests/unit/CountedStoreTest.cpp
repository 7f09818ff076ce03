#include "node/CountedStore.h"

#include <CppUTest/TestHarness.h>

using namespace daisylanding;

namespace {

/// Answers nothing.
class SilentStore final : public store::RowStore {
public:
  void commit(const store::Transaction &, store::TransactionDone) override {}
  void read(const store::RangeRead &, store::ReadDone) override {}
  void readChanges(const store::ChangeQuery &, store::ChangesDone) override {}
};

} // namespace

// clang-format off
TEST_GROUP(CallsToTheStore) {
  Metrics Counters;
  node::CountedStore Store{std::make_unique<SilentStore>(), Counters, "intake"};
  bool shows(std::string_view Line) const {
    return Counters.render().find(Line) != std::string::npos;
  }
};
// clang-format on

TEST(CallsToTheStore, AreCountedByLoopKindAndTable) {
  store::Transaction Tx;
  Tx.Writes.push_back({.Table = "jobs", .Key = "1"});
  Store.commit(Tx, {});
  Store.read({.Table = "ended"}, {});
  Store.read({.Table = "ended"}, {});
  Store.readChanges({.Table = "op"}, {});
  CHECK(shows(R"(store_calls{loop="intake",kind="commit",table="jobs"} 1)"));
  CHECK(shows(R"(store_calls{loop="intake",kind="read",table="ended"} 2)"));
  CHECK(shows(R"(store_calls{loop="intake",kind="feed",table="op"} 1)"));
}
